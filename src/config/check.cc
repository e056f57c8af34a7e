// Checks of a publication as a whole.
#include "config/check.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "base/hash.h"
#include "config/versions.h"

namespace buckthorngate::config {
namespace {

using RouteKey = std::tuple<std::string, std::string, std::string>;

void Add(Problems& problems,
         ResultCode code,
         const rpc::Service& service,
         std::string detail) {
  problems.push_back({code, service.name(), 0, std::move(detail)});
}

void CheckVersions(const rpc::Service& service, Problems& problems) {
  if (service.name().empty()) {
    Add(problems, ResultCode::kMissingKey, service, "service");
  }
  if (!HasVersion(service, service.version())) {
    Add(problems, ResultCode::kUnknownVersion, service, service.version());
  }
  if (!service.has_move()) {
    return;
  }
  const rpc::MoveDeclaration& move = service.move();
  if (!HasVersion(service, move.to())) {
    Add(problems, ResultCode::kUnknownVersion, service, move.to());
  }
  if (move.to() == service.version()) {
    Add(problems, ResultCode::kConflictingOptions, service,
        "the move's target is the version in force");
  }
  if (move.unproven_share_permille() < 1 ||
      move.unproven_share_permille() > 500) {
    Add(problems, ResultCode::kShareOutOfRange, service, "unproven_share");
  }
}

void CheckRoutes(const rpc::Service& service,
                 std::set<RouteKey>& seen,
                 Problems& problems) {
  std::set<std::string> names;
  for (const rpc::Route& route : service.routes()) {
    if (!names.insert(route.name()).second) {
      Add(problems, ResultCode::kDuplicateRoute, service, route.name());
    }
    const bool keeps_body = route.at_most_once() || route.repeatable();
    if ((route.at_most_once() && route.repeatable()) ||
        (route.large_body() && keeps_body)) {
      Add(problems, ResultCode::kConflictingOptions, service, route.name());
    }
    std::vector<std::string> methods(route.methods().begin(),
                                     route.methods().end());
    if (methods.empty()) {
      methods.emplace_back();
    }
    for (const std::string& method : methods) {
      if (!seen.insert({route.host(), route.path_prefix(), method}).second) {
        Add(problems, ResultCode::kDuplicateRoute, service,
            route.name() + " " + route.host() + route.path_prefix() + " " +
                method);
      }
    }
  }
}

}  // namespace

Problems CheckServices(const std::vector<rpc::Service>& services) {
  Problems problems;
  std::set<std::string> names;
  std::set<RouteKey> routes;
  for (const rpc::Service& service : services) {
    if (!names.insert(service.name()).second) {
      Add(problems, ResultCode::kDuplicateService, service, service.name());
    }
    CheckVersions(service, problems);
    CheckRoutes(service, routes, problems);
  }
  return problems;
}

void CheckDeadlines(const std::vector<rpc::Service>& services,
                    base::WallTime now,
                    Problems& problems) {
  for (const rpc::Service& service : services) {
    if (service.has_move() &&
        base::FromUnixMs(service.move().deadline_ms()) <= now) {
      Add(problems, ResultCode::kDeadlinePassed, service, service.move().to());
    }
  }
}

uint64_t PublicationDigest(const std::vector<rpc::Service>& services,
                           const std::vector<std::string>& lifted) {
  // A sum of hashes does not depend on the order of its terms.
  uint64_t digest = 0;
  for (const rpc::Service& service : services) {
    digest += base::DigestOf(service);
  }
  for (const std::string& fingerprint : lifted) {
    digest += base::Hash(fingerprint, /*seed=*/1);
  }
  return digest;
}

}  // namespace buckthorngate::config
