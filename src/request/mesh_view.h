// Immutable snapshot of configuration, endpoints and quarantine that the
// request path reads. Each new snapshot is published as a whole.
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
#include "request/account_table.h"
#include "request/endpoint_stats.h"
#include "request/route_table.h"

namespace buckthorngate::request {

struct EndpointView {
  rpc::Endpoint endpoint_;
  EndpointStatsPtr stats_;
};

// Endpoints of one version that may get new requests, those of the own zone
// first.
struct VersionView {
  std::vector<EndpointView> endpoints_;
  size_t own_zone_count_ = 0;  // Number of endpoints in the own zone.
};

// Key for the endpoints of all versions of a service.
inline constexpr char kAnyVersion[] = "";

// Endpoints of one service by version, and all of them under kAnyVersion.
using ServiceView = std::unordered_map<std::string, VersionView>;

struct MeshView {
  // False until the configuration is known to be recent enough to serve
  // requests; see ResultCode::kBelowFloor.
  bool may_serve_ = false;
  uint64_t revision_ = 0;  // Of the configuration.
  // Estimated number of daemons in the mesh: the largest number of endpoints
  // that have been ready at the same time, since each has a daemon on its host.
  // It does not fall when a zone is partitioned, since the daemons on the other
  // side still count.
  size_t daemon_count_ = 1;
  std::shared_ptr<const RouteTable> routes_;
  // Never null. The same object in all views whose accounts are equal.
  std::shared_ptr<const AccountTable> accounts_ =
      AccountTable::Build({}, /*in_use=*/false);
  // Unchanged services are shared between views.
  std::unordered_map<std::string, std::shared_ptr<const ServiceView>> services_;
  // See VersionInUse. By service, for services whose endpoints announce
  // versions.
  std::unordered_map<std::string, std::string> versions_in_use_;
  // Fingerprints of requests that are refused.
  std::unordered_set<std::string> quarantined_;
  // Fingerprints of requests that may have crashed an upstream. They are
  // served, but not sent again once they may have run.
  std::unordered_set<std::string> suspects_;

  // Null if no endpoint of the version may get requests.
  const VersionView* Find(const std::string& service,
                          const std::string& version) const;
  // The version that gets all requests while no move of the service is known,
  // or kAnyVersion if its endpoints announce no versions. Another version gets
  // no requests before a move to it.
  const std::string& VersionInUse(const std::string& service) const;
};

class EvacuationFilter;

// Builds views. Carries the statistics of endpoints over from view to view, and
// reuses the route table while the configuration is unchanged and the view of
// each service whose endpoints are unchanged.
class MeshViewBuilder {
 public:
  explicit MeshViewBuilder(std::string own_zone);
  ~MeshViewBuilder();

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
  // Keeps the version in use while the service has endpoints of it, else
  // chooses the version with the most endpoints.
  void UpdateVersionInUse(const std::string& service, const ServiceView& view);

  // Invariant: the entry of a service changes only when the service has no
  // endpoint of that version any more.
  std::unordered_map<std::string, std::string> versions_in_use_;
  std::shared_ptr<const RouteTable> routes_;
  uint64_t routes_revision_ = 0;
  std::shared_ptr<const AccountTable> accounts_ =
      AccountTable::Build({}, /*in_use=*/false);
  size_t max_daemon_count_ = 1;
  const std::unique_ptr<EvacuationFilter> evacuation_filter_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_MESH_VIEW_H_
