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

bool Allows(const rpc::Route& route, std::string_view method) {
  return route.methods().empty() ||
         std::find(route.methods().begin(), route.methods().end(), method) !=
             route.methods().end();
}

}  // namespace

std::shared_ptr<const RouteTable> RouteTable::Build(
    const std::map<std::string, config::ServicePtr>& services) {
  std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
  for (const auto& [name, service] : services) {
    table->services_.push_back(service);
    for (const rpc::Route& route : service->service().routes()) {
      ByPrefix& prefixes = table->hosts_[route.host()];
      const std::string prefix(TrimSlash(route.path_prefix()));
      std::vector<RouteMatch>& matches = prefixes[prefix];
      const RouteMatch match = {&route, service.get()};
      // Routes with methods go before a route for all methods.
      if (route.methods().empty()) {
        matches.push_back(match);
      } else {
        matches.insert(matches.begin(), match);
      }
    }
  }
  return table;
}

RouteMatch RouteTable::MatchIn(const ByPrefix& prefixes,
                               std::string_view path,
                               std::string_view method) {
  path = TrimSlash(path);
  while (true) {
    const auto found = prefixes.find(path);
    if (found != prefixes.end()) {
      for (const RouteMatch& match : found->second) {
        if (Allows(*match.route_, method)) {
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
