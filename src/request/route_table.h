// Matches requests to routes by host, longest path prefix and method.
#ifndef SRC_REQUEST_ROUTE_TABLE_H_
#define SRC_REQUEST_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config_state.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

struct RouteMatch {
  // Null if no route matches. Valid for the lifetime of the table.
  const rpc::Route* route_ = nullptr;
  // The service that declares the route; null for a mesh route, which names its
  // services as targets.
  const rpc::ServiceState* service_ = nullptr;
};

// Immutable after Build; safe for concurrent use.
class RouteTable {
 public:
  // Routes of the given services only.
  static std::shared_ptr<const RouteTable> Build(
      const std::map<std::string, config::ServicePtr>& services);

  // Mesh routes and routes of services.
  static std::shared_ptr<const RouteTable> Build(
      const config::ConfigState& config);

  // State of a service, or null if the table has none. Services that occur only
  // as targets of mesh routes have a state only after a move of theirs was
  // ordered.
  const rpc::ServiceState* FindService(std::string_view name) const;

  // Whether there are no routes at all: nothing was published yet.
  bool Empty() const { return hosts_.empty(); }

  // A prefix matches whole path segments: /orders matches /orders/7 but not
  // /orders2. A route for exactly this host takes precedence over one for "*".
  // Costs one hash lookup for each segment of the path.
  RouteMatch Match(std::string_view host,
                   std::string_view path,
                   std::string_view method) const;

 private:
  struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using ByPrefix = std::unordered_map<std::string,
                                      std::vector<RouteMatch>,
                                      StringHash,
                                      std::equal_to<>>;

  // Matches among the routes of one host.
  static RouteMatch MatchPrefix(const ByPrefix& prefixes,
                                std::string_view whole_path,
                                std::string_view method);

  std::unordered_map<std::string, ByPrefix, StringHash, std::equal_to<>> hosts_;
  void AddService(const config::ServicePtr& service);
  void AddRoute(const rpc::Route& route, const rpc::ServiceState* service);

  // Own the services and routes that the entries point to.
  std::vector<config::ServicePtr> owned_services_;
  std::vector<config::RoutePtr> owned_routes_;
  std::unordered_map<std::string,
                     const rpc::ServiceState*,
                     StringHash,
                     std::equal_to<>>
      by_name_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ROUTE_TABLE_H_
