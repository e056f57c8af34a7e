// Route matching.
//
// Prefixes are looked up by hash from the whole path down, one segment less
// each time, so that a match costs the depth of the path and not the number
// of routes.
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

bool Allows(const rpc::Route& route,
            std::string_view path,
            std::string_view method) {
  // The prefix of a mesh route counts with its last slash.
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
  // Routes with methods go before a route for all methods.
  if (route.methods().empty()) {
    matches.push_back(match);
  } else {
    matches.insert(matches.begin(), match);
  }
}

void RouteTable::AddService(const config::ServicePtr& service) {
  services_.push_back(service);
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
    table->routes_.push_back(route);
    table->AddRoute(*route, nullptr);
  }
  return table;
}

const rpc::ServiceState* RouteTable::FindService(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

RouteMatch RouteTable::MatchIn(const ByPrefix& prefixes,
                               std::string_view whole_path,
                               std::string_view method) {
  std::string_view path = TrimSlash(whole_path);
  while (true) {
    const auto found = prefixes.find(path);
    if (found != prefixes.end()) {
      for (const RouteMatch& match : found->second) {
        if (Allows(*match.route_, whole_path, method)) {
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
  const auto own = hosts_.find(WithoutPort(host));
  if (own != hosts_.end()) {
    const RouteMatch match = MatchIn(own->second, path, method);
    if (match.route_ != nullptr) {
      return match;
    }
  }
  const auto any = hosts_.find(kAnyHost);
  return any == hosts_.end() ? RouteMatch()
                             : MatchIn(any->second, path, method);
}

}  // namespace buckthorngate::request
