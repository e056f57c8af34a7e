// Matches requests to routes: host, longest path prefix, method.
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
  // Null if nothing matches. Valid as long as the table is held.
  const rpc::Route* route_ = nullptr;
  // The route's service; null for a route of the mesh, which has targets.
  const rpc::ServiceState* service_ = nullptr;
};

// Immutable after Build; safe for concurrent use.
class RouteTable {
 public:
  static std::shared_ptr<const RouteTable> Build(
      const std::map<std::string, config::ServicePtr>& services);

  // Routes of the mesh and of services.
  static std::shared_ptr<const RouteTable> Build(
      const config::ConfigState& config);

  // What is known of a service, or null: services of mesh routes are known
  // here only once a move was ordered.
  const rpc::ServiceState* FindService(std::string_view name) const;

  // A prefix matches whole path segments: /orders matches /orders/7 but not
  // /orders2. A route for the very host goes before one for "*". Costs one
  // hash look-up for each segment of the path.
  RouteMatch Match(std::string_view host,
                   std::string_view path,
                   std::string_view method) const;

 private:
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using ByPrefix = std::unordered_map<std::string,
                                      std::vector<RouteMatch>,
                                      Hash,
                                      std::equal_to<>>;

  static RouteMatch MatchIn(const ByPrefix& prefixes,
                            std::string_view whole_path,
                            std::string_view method);

  std::unordered_map<std::string, ByPrefix, Hash, std::equal_to<>> hosts_;
  void AddService(const config::ServicePtr& service);
  void AddRoute(const rpc::Route& route, const rpc::ServiceState* service);

  // Keep what the entries point at.
  std::vector<config::ServicePtr> services_;
  std::vector<config::RoutePtr> routes_;
  std::unordered_map<std::string,
                     const rpc::ServiceState*,
                     Hash,
                     std::equal_to<>>
      by_name_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ROUTE_TABLE_H_
