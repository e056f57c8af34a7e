// Parsing of the settings of optional features.
#include "daemon/startup/settings_bounds.h"

#include <chrono>
#include <string_view>

namespace buckthorngate::daemon::startup {
namespace {

using config::TomlReader;

// A number from 0 to `max`; 0 if it is missing.
double BoundedNumber(TomlReader& reader,
                     std::string_view key,
                     double fallback,
                     double max) {
  const double value = reader.Number(key, fallback);
  if (value >= 0.0 && value <= max) {
    return value;
  }
  reader.Report(ResultCode::kWrongType, key,
                "expected a number from 0 to " + std::to_string(max));
  return fallback;
}

std::chrono::milliseconds Seconds(TomlReader& reader,
                                  std::string_view key,
                                  std::chrono::milliseconds fallback) {
  const double fallback_s = std::chrono::duration<double>(fallback).count();
  const std::chrono::duration<double> value(
      BoundedNumber(reader, key, fallback_s, kMaxBoundSeconds));
  return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

void ParseRevocation(TomlReader& reader, Settings& settings) {
  settings.revocation_bound_ =
      Seconds(reader, "bound_s", settings.revocation_bound_);
}

void ParseConfiguration(TomlReader& reader, Settings& settings) {
  settings.apply_bound_ = Seconds(reader, "apply_s", settings.apply_bound_);
}

void ParseQuotas(TomlReader& reader, Settings& settings) {
  QuotaBounds& quotas = settings.quotas_;
  quotas.window_ = Seconds(reader, "window_s", quotas.window_);
  quotas.overage_ =
      BoundedNumber(reader, "overage", quotas.overage_, kMaxBoundRequests);
  quotas.slack_ =
      BoundedNumber(reader, "slack", quotas.slack_, kMaxBoundRequests);
}

void ParseColdStart(TomlReader& reader, Settings& settings) {
  ColdStartBounds& cold = settings.cold_start_;
  cold.over_ = BoundedNumber(reader, "over", cold.over_, kMaxBoundRequests);
  cold.slack_ = BoundedNumber(reader, "slack", cold.slack_, kMaxBoundRequests);
}

void ParseLink(TomlReader& reader, Settings& settings) {
  settings.link_mbps_ =
      BoundedNumber(reader, "mbps", settings.link_mbps_, kMaxLinkMbps);
}

void ParseOverload(TomlReader& reader, Settings& settings) {
  const std::string policy = reader.String("policy", "precedence");
  if (policy == "value") {
    settings.overload_mode_ = OverloadMode::kValue;
  } else if (policy != "precedence") {
    reader.Report(ResultCode::kWrongType, "policy",
                  "expected precedence or value");
  }
}

}  // namespace

void ParseBounds(TomlReader& reader,
                 const std::string& file,
                 config::Problems& problems,
                 Settings& settings) {
  using ParseTable = void (*)(TomlReader&, Settings&);
  struct Item {
    std::string_view key_;
    ParseTable parse_;
  };
  for (const Item& item :
       {Item{"revocation", ParseRevocation},
        Item{"configuration", ParseConfiguration}, Item{"quotas", ParseQuotas},
        Item{"cold_start", ParseColdStart}, Item{"link", ParseLink},
        Item{"overload", ParseOverload}}) {
    const toml::table* const table = reader.Table(item.key_);
    if (table != nullptr) {
      TomlReader entries(*table, file, problems);
      item.parse_(entries, settings);
      entries.RejectUnknownKeys();
    }
  }
}

}  // namespace buckthorngate::daemon::startup
