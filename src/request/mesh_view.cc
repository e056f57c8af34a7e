// Building of views.
#include "request/mesh_view.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::request {

const VersionView* MeshView::Find(const std::string& service,
                                  const std::string& version) const {
  const auto versions = services_.find(service);
  if (versions == services_.end()) {
    return nullptr;
  }
  const auto found = versions->second.find(version);
  return found == versions->second.end() ? nullptr : &found->second;
}

MeshViewBuilder::MeshViewBuilder(std::string own_zone)
    : own_zone_(std::move(own_zone)) {}

EndpointStatsPtr MeshViewBuilder::StatsOf(const rpc::Endpoint& endpoint,
                                          base::MonoTime now) {
  // A new incarnation of the host starts cold.
  EndpointStatsPtr& stats =
      stats_[endpoint.id() + "#" + std::to_string(endpoint.incarnation())];
  if (stats == nullptr) {
    stats = std::make_shared<EndpointStats>(now);
  }
  return stats;
}

std::shared_ptr<const MeshView> MeshViewBuilder::Build(
    bool may_serve,
    const config::ConfigState& config,
    const registry::EndpointRegistry& endpoints,
    const std::map<std::string, rpc::QuarantineEntry>& quarantine,
    base::MonoTime now) {
  std::shared_ptr<MeshView> view = std::make_shared<MeshView>();
  view->may_serve_ = may_serve;
  view->revision_ = config.Revision();
  if (routes_ == nullptr || routes_revision_ != config.Revision()) {
    routes_ = RouteTable::Build(config.Services());
    routes_revision_ = config.Revision();
  }
  view->routes_ = routes_;
  std::unordered_map<std::string, EndpointStatsPtr> kept;
  for (rpc::Endpoint& endpoint : endpoints.Live()) {
    if (endpoint.state() != rpc::ENDPOINT_STATE_READY) {
      continue;
    }
    VersionView& version =
        view->services_[endpoint.service()][endpoint.version()];
    const EndpointStatsPtr stats = StatsOf(endpoint, now);
    kept[endpoint.id() + "#" + std::to_string(endpoint.incarnation())] = stats;
    const bool own = endpoint.zone() == own_zone_;
    EndpointView entry = {std::move(endpoint), stats};
    if (own) {
      const auto at = version.endpoints_.begin() +
                      static_cast<std::ptrdiff_t>(version.own_zone_);
      version.endpoints_.insert(at, std::move(entry));
      ++version.own_zone_;
    } else {
      version.endpoints_.push_back(std::move(entry));
    }
  }
  stats_ = std::move(kept);
  for (const auto& [fingerprint, entry] : quarantine) {
    if (entry.quarantined()) {
      view->quarantined_.insert(fingerprint);
    } else {
      view->suspects_.insert(fingerprint);
    }
  }
  return view;
}

}  // namespace buckthorngate::request
