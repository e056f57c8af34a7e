// What the path of a request reads: one immutable view of configuration,
// endpoints and quarantine, published as a whole.
#ifndef SRC_REQUEST_MESH_VIEW_H_
#define SRC_REQUEST_MESH_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "config/config_state.h"
#include "registry/endpoint_registry.h"
#include "request/endpoint_stats.h"
#include "request/route_table.h"

namespace buckthorngate::request {

struct EndpointView {
  rpc::Endpoint endpoint_;
  EndpointStatsPtr stats_;
};

// Endpoints of one version that may get new work: own zone first.
struct VersionView {
  std::vector<EndpointView> endpoints_;
  size_t own_zone_count_ = 0;  // The first so many are in the own zone.
};

// Stands for the endpoints of all versions of a service.
inline constexpr char kAnyVersion[] = "";

// Endpoints of one service by version, and under kAnyVersion.
using ServiceView = std::unordered_map<std::string, VersionView>;

struct MeshView {
  bool may_serve_ = false;
  uint64_t revision_ = 0;
  // Daemons of the mesh: the most endpoints that were ready at a time, since
  // each has a daemon beside it. Of a zone that is cut off, the others count.
  size_t daemon_count_ = 1;
  std::shared_ptr<const RouteTable> routes_;
  // Unchanged services are shared between views.
  std::unordered_map<std::string, std::shared_ptr<const ServiceView>> services_;
  // Of services whose endpoints tell versions.
  std::unordered_map<std::string, std::string> versions_in_use_;
  std::unordered_set<std::string> quarantined_;
  // Suspects are served but never retried.
  std::unordered_set<std::string> suspects_;

  // Null if no endpoint of the version may get work.
  const VersionView* Find(const std::string& service,
                          const std::string& version) const;
  // The version that serves while no move of the service is known; kAnyVersion
  // if its endpoints tell none. Another one gets nothing before its move.
  const std::string& VersionInUse(const std::string& service) const;
};

// Builds views; keeps the statistics of endpoints from view to view, and
// reuses the route table while the configuration is unchanged and each service
// whose endpoints are unchanged.
class MeshViewBuilder {
 public:
  explicit MeshViewBuilder(std::string own_zone);

  std::shared_ptr<const MeshView> Build(
      bool may_serve,
      const config::ConfigState& config,
      registry::EndpointRegistry& endpoints,
      const std::map<std::string, rpc::QuarantineEntry>& quarantine,
      base::MonoTime now);

 private:
  std::shared_ptr<const ServiceView> BuildService(
      std::vector<rpc::Endpoint> endpoints,
      const ServiceView* previous,
      base::MonoTime now) const;

  const std::string own_zone_;
  std::unordered_map<std::string, std::shared_ptr<const ServiceView>> services_;
  void NoteVersionInUse(const std::string& service, const ServiceView& view);

  // Invariant: a version stays while the service has endpoints of it.
  std::unordered_map<std::string, std::string> versions_in_use_;
  std::shared_ptr<const RouteTable> routes_;
  uint64_t routes_revision_ = 0;
  size_t most_daemons_ = 1;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_MESH_VIEW_H_
