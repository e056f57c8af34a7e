// Parsing and validation of settings.
#include "daemon/startup/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <optional>

#include "config/toml_reader.h"
#include "daemon/startup/settings_bounds.h"

namespace buckthorngate::daemon::startup {
namespace {

using config::TomlReader;

constexpr int kMaxPort = 65535;

void CheckAddress(TomlReader& reader,
                  std::string_view key,
                  const std::string& address) {
  if (!IsIpAddress(address)) {
    reader.Report(ResultCode::kWrongType, key, "expected IP:port");
  }
}

void ParseRoles(TomlReader& reader, Settings& settings) {
  const std::vector<std::string> roles = reader.Strings("roles");
  if (roles.empty()) {
    return;
  }
  settings.source_ = false;
  settings.relay_ = false;
  settings.proxy_ = false;
  for (const std::string& role : roles) {
    if (role == "source") {
      settings.source_ = true;
    } else if (role == "relay") {
      settings.relay_ = true;
    } else if (role == "proxy") {
      settings.proxy_ = true;
    } else {
      reader.Report(ResultCode::kWrongType, "roles",
                    "expected source, relay or proxy");
    }
  }
}

void ParseListen(const toml::table* table,
                 const std::string& file,
                 config::Problems& problems,
                 Settings& settings) {
  if (table == nullptr) {
    return;
  }
  TomlReader reader(*table, file, problems);
  struct Item {
    std::string_view key_;
    std::string* address_;
  };
  for (const Item& item : {Item{"control", &settings.control_address_},
                           Item{"callers", &settings.callers_address_},
                           Item{"peers", &settings.peers_address_},
                           Item{"admin", &settings.admin_address_}}) {
    *item.address_ = reader.String(item.key_, *item.address_);
    CheckAddress(reader, item.key_, *item.address_);
  }
  settings.admin_configured_ = table->contains("admin");
  reader.RejectUnknownKeys();
}

void ParseSources(const toml::table* table,
                  const std::string& file,
                  config::Problems& problems,
                  Settings& settings) {
  if (table == nullptr) {
    return;
  }
  TomlReader reader(*table, file, problems);
  for (const auto& [key, node] : *table) {
    const std::string id(key.str());
    settings.sources_[id] = reader.RequiredString(id);
    CheckAddress(reader, id, settings.sources_[id]);
  }
}

void ParseRelays(const toml::table* table,
                 const std::string& file,
                 config::Problems& problems,
                 Settings& settings) {
  if (table == nullptr) {
    return;
  }
  TomlReader reader(*table, file, problems);
  for (const auto& [key, node] : *table) {
    const std::string id(key.str());
    const toml::table* entry = reader.Table(id);
    if (entry == nullptr) {
      continue;
    }
    TomlReader relay(*entry, file, problems);
    RelayAddress& address = settings.relays_[id];
    address.address_ = relay.RequiredString("address");
    address.zone_ = relay.RequiredString("zone");
    CheckAddress(relay, "address", address.address_);
    relay.RejectUnknownKeys();
  }
}

void ParseTls(const toml::table* table,
              const std::string& file,
              config::Problems& problems,
              Settings& settings) {
  if (table == nullptr) {
    return;
  }
  TomlReader reader(*table, file, problems);
  settings.tls_.ca_file_ = reader.RequiredString("ca");
  settings.tls_.cert_file_ = reader.RequiredString("cert");
  settings.tls_.key_file_ = reader.RequiredString("key");
  settings.tls_.server_name_ = reader.String("server_name", "");
  reader.RejectUnknownKeys();
}

// On platforms that kill a process some time after the stop signal, that grace
// period can be configured instead of the drain time.
void ParseStopGrace(const toml::table& table,
                    TomlReader& reader,
                    Settings& settings) {
  constexpr std::string_view kKey = "stop_grace_s";
  const std::chrono::duration<double> grace(reader.Number(kKey, 0.0));
  if (!table.contains(kKey)) {
    return;
  }
  // The remainder is for closing connections and exiting.
  constexpr double kDrainShare = 0.9;
  const std::chrono::duration<double> drain = grace * kDrainShare;
  const bool fits = drain >= std::chrono::milliseconds(kMinDrainTimeMs) &&
                    drain <= std::chrono::milliseconds(kMaxDrainTimeMs);
  if (!fits || table.contains("drain_time_ms")) {
    reader.Report(ResultCode::kWrongType, kKey,
                  "expected 1.2 to 4000, not combined with drain_time_ms");
    return;
  }
  settings.drain_time_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(drain);
}

void ParseLimits(const toml::table* table,
                 const std::string& file,
                 config::Problems& problems,
                 Settings& settings) {
  if (table == nullptr) {
    return;
  }
  TomlReader reader(*table, file, problems);
  reader.Integer("http_threads", kMinThreads, kMinThreads, kMaxThreads);
  reader.Integer("exchange_threads", kMinThreads, kMinThreads, kMaxThreads);
  settings.announce_lease_ = std::chrono::milliseconds(
      reader.Integer("announce_lease_ms", settings.announce_lease_.count(),
                     kMinAnnounceLeaseMs, kMaxAnnounceLeaseMs));
  settings.drain_time_ = std::chrono::milliseconds(
      reader.Integer("drain_time_ms", settings.drain_time_.count(),
                     kMinDrainTimeMs, kMaxDrainTimeMs));
  ParseStopGrace(*table, reader, settings);
  reader.RejectUnknownKeys();
}

// Seeds may be listed with the port of another interface of these hosts;
// `mesh_port` then replaces it with the port that they use for the mesh.
void ParseSeeds(TomlReader& reader, Settings& settings) {
  settings.seeds_ = reader.Strings("seeds");
  settings.first_start_ = reader.Bool("first_start", false);
  settings.tolerated_losses_ = static_cast<size_t>(
      reader.Integer("tolerated_losses", 1, 0, kMaxToleratedLosses));
  const int64_t mesh_port = reader.Integer("mesh_port", 0, 0, kMaxPort);
  for (std::string& seed : settings.seeds_) {
    if (!IsIpAddress(seed)) {
      reader.Report(ResultCode::kWrongType, "seeds", "expected IP:port");
    } else if (mesh_port != 0) {
      seed = HostOf(seed) + ":" + std::to_string(mesh_port);
    }
  }
}

void ParseAdapter(const toml::table* table,
                  const std::string& file,
                  config::Problems& problems,
                  Settings& settings) {
  if (table == nullptr) {
    return;
  }
  TomlReader reader(*table, file, problems);
  for (const auto& [key, node] : *table) {
    const std::string name(key.str());
    settings.adapter_[name] = reader.RequiredString(name);
  }
}

void CheckConsistency(TomlReader& reader, const Settings& settings) {
  if (!settings.seeds_.empty()) {
    if (!settings.sources_.empty() || !settings.relays_.empty()) {
      reader.Report(ResultCode::kConflictingOptions, "seeds",
                    "cannot be combined with [sources] or [relays]");
    }
    return;
  }
  if (settings.source_ && !settings.sources_.empty() &&
      settings.sources_.count(settings.source_id_) == 0) {
    reader.Report(ResultCode::kUnknownMember, "source_id",
                  "must be one of [sources]");
  }
  if (settings.relay_ && !settings.relays_.empty() &&
      settings.relays_.count(settings.relay_id_) == 0) {
    reader.Report(ResultCode::kUnknownMember, "relay_id",
                  "must be one of [relays]");
  }
  if (!settings.source_ && settings.sources_.empty() && settings.relay_) {
    reader.Report(ResultCode::kMissingKey, "sources",
                  "required for the relay role");
  }
  if (!settings.relay_ && settings.relays_.empty() && settings.proxy_) {
    reader.Report(ResultCode::kMissingKey, "relays",
                  "required for the proxy role");
  }
}

}  // namespace

bool IsIpAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr parsed = {};
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) != 1) {
    return false;
  }
  const std::string port = address.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      std::all_of(port.begin(), port.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  return digits && std::stoi(port) <= kMaxPort;
}

bool IsLoopback(const std::string& address) {
  return address.starts_with("127.");
}

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

int PortOf(const std::string& address) {
  return std::stoi(address.substr(address.rfind(':') + 1));
}

Settings ParseSettings(std::string_view text,
                       const std::string& file,
                       config::Problems& problems) {
  Settings settings;
  const std::optional<toml::table> table =
      config::ParseToml(text, file, problems);
  if (!table) {
    return settings;
  }
  TomlReader reader(*table, file, problems);
  settings.host_ = reader.String("host", settings.host_);
  settings.zone_ = reader.String("zone", settings.zone_);
  settings.data_folder_ = reader.String("data_folder", "");
  settings.source_id_ = reader.String("source_id", "");
  settings.source_joins_ = reader.Bool("source_joins", false);
  settings.relay_id_ = reader.String("relay_id", "");
  settings.service_ = reader.String("service", "");
  settings.upstream_address_ = reader.String("upstream", "");
  if (!settings.upstream_address_.empty()) {
    CheckAddress(reader, "upstream", settings.upstream_address_);
  }
  ParseSeeds(reader, settings);
  const std::string format = reader.String("log_format", "text");
  if (format != "text" && format != "json") {
    reader.Report(ResultCode::kWrongType, "log_format",
                  "expected text or json");
  }
  settings.log_format_ =
      format == "json" ? base::LogFormat::kJson : base::LogFormat::kText;
  ParseRoles(reader, settings);
  ParseListen(reader.Table("listen"), file, problems, settings);
  ParseSources(reader.Table("sources"), file, problems, settings);
  ParseRelays(reader.Table("relays"), file, problems, settings);
  ParseTls(reader.Table("tls"), file, problems, settings);
  ParseAdapter(reader.Table("adapter"), file, problems, settings);
  ParseLimits(reader.Table("limits"), file, problems, settings);
  settings.zones_ = reader.Strings("zones");
  ParseBounds(reader, file, problems, settings);
  if ((settings.source_ || settings.relay_) && settings.data_folder_.empty()) {
    reader.Report(ResultCode::kMissingKey, "data_folder",
                  "required for the source and relay roles");
  }
  CheckConsistency(reader, settings);
  reader.RejectUnknownKeys();
  return settings;
}

void CompleteSettings(Settings& settings) {
  if (!settings.seeds_.empty()) {
    return;
  }
  if (settings.source_id_.empty()) {
    settings.source_id_ = settings.host_ + "-source";
  }
  if (settings.relay_id_.empty()) {
    settings.relay_id_ = settings.host_ + "-relay";
  }
  if (settings.source_ && settings.sources_.empty()) {
    settings.sources_[settings.source_id_] = settings.control_address_;
  }
  if (settings.relay_ && settings.relays_.empty()) {
    settings.relays_[settings.relay_id_] = {settings.control_address_,
                                            settings.zone_};
  }
}

}  // namespace buckthorngate::daemon::startup
