// Checks and application of the routes of the mesh.
#include "config/routing.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "config/accounts.h"

namespace buckthorngate::config {
namespace {

Refusal Refuse(ResultCode code, const rpc::Route& route, const char* what) {
  return {code, "route " + route.name() + " " + RouteKey(route) + ": " + what};
}

Refusal CheckTargets(const rpc::Route& route,
                     const std::set<std::string_view>& services) {
  uint64_t weights = 0;
  for (const rpc::RouteTarget& target : route.targets()) {
    if (services.count(target.service()) == 0) {
      return Refuse(ResultCode::kUnknownService, route,
                    target.service().c_str());
    }
    weights += target.weight();
  }
  if (weights == 0) {
    return Refuse(ResultCode::kInvalidValue, route, "the weights add up to 0");
  }
  return {};
}

Refusal CheckRoute(const rpc::Route& route,
                   const std::set<std::string_view>& services) {
  if (!route.path_prefix().starts_with('/')) {
    return Refuse(ResultCode::kInvalidValue, route,
                  "the prefix does not begin with a slash");
  }
  if (route.timeout_ms() == 0) {
    return Refuse(ResultCode::kInvalidValue, route, "the time-out is 0");
  }
  return CheckTargets(route, services);
}

bool UsesAccounts(const rpc::Routing& routing) {
  return routing.header().uses_accounts() || routing.accounts_size() > 0 ||
         std::any_of(
             routing.routes().begin(), routing.routes().end(),
             [](const rpc::Route& route) { return route.requires_account(); });
}

}  // namespace

Refusal CheckRouting(const rpc::Routing& routing) {
  const std::set<std::string_view> services(routing.header().services().begin(),
                                            routing.header().services().end());
  std::set<std::string> keys;
  for (const rpc::Route& route : routing.routes()) {
    Refusal refusal = CheckRoute(route, services);
    if (refusal.code_ != ResultCode::kOk) {
      return refusal;
    }
    if (!keys.insert(RouteKey(route)).second) {
      return Refuse(ResultCode::kDuplicateRoute, route, "already there");
    }
  }
  return CheckAccounts(routing);
}

tl::expected<void, Refusal> ApplyRouting(const rpc::RoutingCommand& command,
                                         ConfigState& state) {
  const rpc::RoutingHeader& header = command.routing().header();
  const uint64_t current = state.Routing().number();
  if (command.base_number() != current) {
    return tl::unexpected(Refusal{ResultCode::kBaseNotCurrent,
                                  std::to_string(current) + " is current"});
  }
  if (header.number() <= current) {
    return tl::unexpected(Refusal{ResultCode::kNumberStale,
                                  std::to_string(current) + " is current"});
  }
  const Refusal refusal = CheckRouting(command.routing());
  if (refusal.code_ != ResultCode::kOk) {
    return tl::unexpected(refusal);
  }
  rpc::RoutingHeader published = header;
  published.set_uses_accounts(state.UsesAccounts() ||
                              UsesAccounts(command.routing()));
  state.SetRouting(std::move(published), command.routing().routes());
  state.SetAccounts(command.routing().accounts());
  return {};
}

}  // namespace buckthorngate::config
