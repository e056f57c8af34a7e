// Route matching.
//
// Prefixes are looked up in a hash map, starting with the whole path and
// removing one segment at a time. The cost of a match thus depends on the depth
// of the path and not on the number of routes.
#include "request/route_table.h"

#include <algorithm>

namespace buckthorngate::request {
namespace {

constexpr std::string_view kAnyHost = "*";

// "/a/b/" and "/a/b" are the same prefix; the root is "".
std::string_view TrimSlash(std::string_view prefix) {
  while (prefix.ends_with('/')) {
    prefix.remove_suffix(1);
  }
  return prefix;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

bool Accepts(const rpc::Route& route,
             std::string_view path,
             std::string_view method) {
  // The trailing slash of a mesh route's prefix is significant: "/a/" does not
  // match "/a".
  if (route.targets_size() > 0 && !path.starts_with(route.path_prefix())) {
    return false;
  }
  return route.methods().empty() ||
         std::find(route.methods().begin(), route.methods().end(), method) !=
             route.methods().end();
}

}  // namespace

void RouteTable::AddRoute(const rpc::Route& route,
                          const rpc::ServiceState* service) {
  ByPrefix& prefixes = hosts_[route.host()];
  const std::string prefix(TrimSlash(route.path_prefix()));
  std::vector<RouteMatch>& matches = prefixes[prefix];
  const RouteMatch match = {&route, service};
  // Routes with methods take precedence over routes for all methods.
  if (route.methods().empty()) {
    matches.push_back(match);
  } else {
    matches.insert(matches.begin(), match);
  }
}

void RouteTable::AddService(const config::ServicePtr& service) {
  owned_services_.push_back(service);
  by_name_[service->service().name()] = service.get();
  for (const rpc::Route& route : service->service().routes()) {
    AddRoute(route, service.get());
  }
}

std::shared_ptr<const RouteTable> RouteTable::Build(
    const std::map<std::string, config::ServicePtr>& services) {
  std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
  for (const auto& [name, service] : services) {
    table->AddService(service);
  }
  return table;
}

std::shared_ptr<const RouteTable> RouteTable::Build(
    const config::ConfigState& config) {
  std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
  for (const auto& [name, service] : config.Services()) {
    table->AddService(service);
  }
  for (const auto& [key, route] : config.Routes()) {
    table->owned_routes_.push_back(route);
    table->AddRoute(*route, nullptr);
  }
  return table;
}

const rpc::ServiceState* RouteTable::FindService(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

RouteMatch RouteTable::MatchPrefix(const ByPrefix& prefixes,
                                   std::string_view whole_path,
                                   std::string_view method) {
  std::string_view path = TrimSlash(whole_path);
  while (true) {
    const auto found = prefixes.find(path);
    if (found != prefixes.end()) {
      for (const RouteMatch& match : found->second) {
        if (Accepts(*match.route_, whole_path, method)) {
          return match;
        }
      }
    }
    if (path.empty()) {
      return {};
    }
    path = TrimSlash(path.substr(0, path.rfind('/')));
  }
}

RouteMatch RouteTable::Match(std::string_view host,
                             std::string_view path,
                             std::string_view method) const {
  if (!path.starts_with('/')) {
    return {};
  }
  const auto exact = hosts_.find(WithoutPort(host));
  if (exact != hosts_.end()) {
    const RouteMatch match = MatchPrefix(exact->second, path, method);
    if (match.route_ != nullptr) {
      return match;
    }
  }
  const auto any = hosts_.find(kAnyHost);
  return any == hosts_.end() ? RouteMatch()
                             : MatchPrefix(any->second, path, method);
}

}  // namespace buckthorngate::request
