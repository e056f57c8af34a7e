// Parsing of service files.
#include "config/service_file.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

#include "base/time.h"
#include "config/toml_reader.h"

namespace buckthorngate::config {
namespace {

constexpr double kPermillePerPercent = 10.0;

int64_t ToUnixMs(const toml::date_time& time) {
  const std::chrono::sys_days day{
      std::chrono::year{time.date.year} /
      std::chrono::month{static_cast<unsigned>(time.date.month)} /
      std::chrono::day{static_cast<unsigned>(time.date.day)}};
  const std::chrono::milliseconds of_day =
      std::chrono::hours(time.time.hour) +
      std::chrono::minutes(time.time.minute) +
      std::chrono::seconds(time.time.second) +
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::nanoseconds(time.time.nanosecond));
  const std::chrono::minutes offset(time.offset->minutes);
  return base::ToUnixMs(day + of_day - offset);
}

void ParseKey(TomlReader& reader, rpc::Route& route) {
  const std::string key = reader.String("key", "header:Idempotency-Key");
  constexpr std::string_view kHeaderPrefix = "header:";
  if (key == "digest") {
    route.set_key_source(rpc::KEY_SOURCE_DIGEST);
    return;
  }
  if (key.starts_with(kHeaderPrefix) && key.size() > kHeaderPrefix.size()) {
    route.set_key_source(rpc::KEY_SOURCE_HEADER);
    route.set_key_header(key.substr(kHeaderPrefix.size()));
    return;
  }
  reader.Report(ResultCode::kWrongType, "key",
                "expected \"digest\" or \"header:NAME\"");
}

bool OnlySafeMethods(const rpc::Route& route) {
  return !route.methods().empty() &&
         std::all_of(route.methods().begin(), route.methods().end(),
                     [](const std::string& method) {
                       return method == "GET" || method == "HEAD" ||
                              method == "OPTIONS";
                     });
}

void CheckRouteOptions(TomlReader& reader, const rpc::Route& route) {
  if (!route.path_prefix().starts_with('/')) {
    reader.Report(ResultCode::kWrongType, "path", "must start with /");
  }
  if (route.at_most_once() && route.repeatable()) {
    reader.Report(ResultCode::kConflictingOptions, "at_most_once",
                  "excludes repeatable");
  }
  if (route.hedge() && !(route.repeatable() && OnlySafeMethods(route))) {
    reader.Report(ResultCode::kConflictingOptions, "hedge",
                  "needs repeatable and only GET, HEAD or OPTIONS");
  }
  if (route.large_body() && (route.at_most_once() || route.repeatable())) {
    reader.Report(ResultCode::kConflictingOptions, "large_body",
                  "excludes at_most_once and repeatable: a body that is not "
                  "kept cannot be sent or compared again");
  }
}

void ParseRoute(const toml::table& table,
                const std::string& file,
                Problems& problems,
                rpc::Route& route) {
  TomlReader reader(table, file, problems);
  route.set_name(reader.RequiredString("name"));
  route.set_host(reader.String("host", "*"));
  route.set_path_prefix(reader.RequiredString("path"));
  for (const std::string& method : reader.Strings("methods")) {
    route.add_methods(method);
  }
  route.set_timeout_ms(static_cast<uint32_t>(
      reader.Integer("timeout_ms", kDefaultTimeoutMs, 1, kMaxTimeoutMs)));
  route.set_at_most_once(reader.Bool("at_most_once", false));
  route.set_repeatable(reader.Bool("repeatable", false));
  route.set_max_concurrency(static_cast<uint32_t>(
      reader.Integer("max_concurrency", 0, 0, kMaxConcurrency)));
  route.set_hedge(reader.Bool("hedge", false));
  route.set_large_body(reader.Bool("large_body", false));
  ParseKey(reader, route);
  CheckRouteOptions(reader, route);
  reader.RejectUnknownKeys();
}

void ParsePolicy(TomlReader& reader, rpc::MoveDeclaration& move) {
  const std::string policy = reader.String("policy", "balanced");
  if (policy == "balanced") {
    move.set_policy(rpc::MOVE_POLICY_BALANCED);
  } else if (policy == "cautious") {
    move.set_policy(rpc::MOVE_POLICY_CAUTIOUS);
  } else if (policy == "fast") {
    move.set_policy(rpc::MOVE_POLICY_FAST);
  } else {
    reader.Report(ResultCode::kWrongType, "policy",
                  "expected balanced, cautious or fast");
  }
}

void ParseMove(const toml::table& table,
               const std::string& file,
               Problems& problems,
               rpc::MoveDeclaration& move) {
  TomlReader reader(table, file, problems);
  move.set_to(reader.RequiredString("to"));
  const std::optional<toml::date_time> deadline = reader.DateTime("deadline");
  if (deadline) {
    move.set_deadline_ms(ToUnixMs(*deadline));
  }
  const double permille =
      reader.Number("unproven_share",
                    kDefaultUnprovenPermille / kPermillePerPercent) *
      kPermillePerPercent;
  if (!(permille >= 1.0 && permille <= kMaxUnprovenPermille)) {
    reader.Report(ResultCode::kShareOutOfRange, "unproven_share", "");
  } else {
    move.set_unproven_share_permille(
        static_cast<uint32_t>(std::lround(permille)));
  }
  ParsePolicy(reader, move);
  reader.RejectUnknownKeys();
}

std::optional<std::string> ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace

rpc::Service ParseServiceFile(std::string_view text,
                              const std::string& file,
                              Problems& problems) {
  rpc::Service service;
  const std::optional<toml::table> table = ParseToml(text, file, problems);
  if (!table) {
    return service;
  }
  TomlReader reader(*table, file, problems);
  service.set_name(reader.RequiredString("service"));
  service.set_version(reader.RequiredString("version"));
  for (const std::string& version : reader.Strings("versions")) {
    service.add_versions(version);
  }
  service.set_retry_percent(static_cast<uint32_t>(reader.Integer(
      "retry_percent", kDefaultRetryPercent, 0, kMaxRetryPercent)));
  for (const toml::table* route : reader.Tables("route")) {
    ParseRoute(*route, file, problems, *service.add_routes());
  }
  const toml::table* move = reader.Table("move");
  if (move != nullptr) {
    ParseMove(*move, file, problems, *service.mutable_move());
  }
  reader.RejectUnknownKeys();
  return service;
}

LoadedServices LoadServiceFolder(const std::string& folder,
                                 Problems& problems) {
  std::vector<std::filesystem::path> paths;
  std::error_code error;
  std::filesystem::recursive_directory_iterator entries(folder, error);
  if (error) {
    problems.push_back(
        {ResultCode::kFileUnreadable, folder, 0, error.message()});
    return {};
  }
  for (const std::filesystem::directory_entry& entry : entries) {
    if (entry.is_regular_file() && entry.path().extension() == ".toml") {
      paths.push_back(entry.path());
    }
  }
  std::sort(paths.begin(), paths.end());
  LoadedServices loaded;
  for (const std::filesystem::path& path : paths) {
    const std::optional<std::string> text = ReadFile(path);
    if (!text) {
      problems.push_back({ResultCode::kFileUnreadable, path.string(), 0, ""});
      continue;
    }
    loaded.services_.push_back(
        ParseServiceFile(*text, path.string(), problems));
    loaded.files_.push_back(path.string());
  }
  if (paths.empty()) {
    problems.push_back(
        {ResultCode::kFileUnreadable, folder, 0, "no *.toml files"});
  }
  return loaded;
}

}  // namespace buckthorngate::config
