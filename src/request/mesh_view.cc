// Builds the views that the request path reads.
#include "request/mesh_view.h"

#include <algorithm>
#include <utility>

#include "config/evacuation.h"
#include "request/evacuation_filter.h"

namespace buckthorngate::request {

namespace {

void AddEndpoint(EndpointView endpoint, bool own_zone, VersionView& version) {
  const auto at = own_zone
                      ? version.endpoints_.begin() +
                            static_cast<std::ptrdiff_t>(version.own_zone_count_)
                      : version.endpoints_.end();
  version.endpoints_.insert(at, std::move(endpoint));
  version.own_zone_count_ += own_zone ? 1 : 0;
}

// Number of ready endpoints of all services.
size_t CountReady(
    const std::unordered_map<std::string, std::shared_ptr<const ServiceView>>&
        services) {
  size_t ready = 0;
  for (const auto& [name, versions] : services) {
    const auto all = versions->find(kAnyVersion);
    ready += all == versions->end() ? 0 : all->second.endpoints_.size();
  }
  return ready;
}

}  // namespace

const VersionView* MeshView::Find(const std::string& service,
                                  const std::string& version) const {
  const auto versions = services_.find(service);
  if (versions == services_.end()) {
    return nullptr;
  }
  const auto found = versions->second->find(version);
  return found == versions->second->end() ? nullptr : &found->second;
}

const std::string& MeshView::VersionInUse(const std::string& service) const {
  static const std::string any = kAnyVersion;
  const auto found = versions_in_use_.find(service);
  return found == versions_in_use_.end() ? any : found->second;
}

MeshViewBuilder::MeshViewBuilder(std::string own_zone)
    : own_zone_(std::move(own_zone)),
      evacuation_filter_(std::make_unique<EvacuationFilter>()) {}
MeshViewBuilder::~MeshViewBuilder() = default;

std::shared_ptr<const ServiceView> MeshViewBuilder::BuildService(
    std::vector<rpc::Endpoint> endpoints,
    const ServiceView* previous,
    base::MonoTime now) const {
  // An endpoint keeps its statistics; a new incarnation starts without any.
  std::map<std::pair<std::string, uint64_t>, EndpointStatsPtr> known;
  if (previous != nullptr) {
    for (const auto& [name, version] : *previous) {
      // Each endpoint occurs under kAnyVersion too, with the same statistics.
      for (const EndpointView& endpoint : version.endpoints_) {
        known[{endpoint.endpoint_.id(), endpoint.endpoint_.incarnation()}] =
            endpoint.stats_;
      }
    }
  }
  std::shared_ptr<ServiceView> view = std::make_shared<ServiceView>();
  for (rpc::Endpoint& endpoint : endpoints) {
    if (endpoint.state() != rpc::ENDPOINT_STATE_READY) {
      continue;
    }
    EndpointStatsPtr& stats = known[{endpoint.id(), endpoint.incarnation()}];
    if (stats == nullptr) {
      stats = std::make_shared<EndpointStats>(now);
    }
    const bool own = endpoint.zone() == own_zone_;
    AddEndpoint({endpoint, stats}, own, (*view)[kAnyVersion]);
    if (!endpoint.version().empty()) {
      const std::string version = endpoint.version();
      AddEndpoint({std::move(endpoint), stats}, own, (*view)[version]);
    }
  }
  return view;
}

void MeshViewBuilder::UpdateVersionInUse(const std::string& service,
                                         const ServiceView& view) {
  const auto held = versions_in_use_.find(service);
  if (held != versions_in_use_.end() && view.count(held->second) != 0) {
    return;
  }
  versions_in_use_.erase(service);
  size_t most = 0;
  for (const auto& [version, endpoints] : view) {
    // Ties are broken by name, so that the choice is deterministic.
    const bool more = endpoints.endpoints_.size() > most;
    const bool tied = endpoints.endpoints_.size() == most;
    if (version != kAnyVersion &&
        (more || (tied && version < versions_in_use_[service]))) {
      most = endpoints.endpoints_.size();
      versions_in_use_[service] = version;
    }
  }
}

std::shared_ptr<const MeshView> MeshViewBuilder::Build(
    bool may_serve,
    const config::ConfigState& config,
    registry::EndpointRegistry& endpoints,
    const std::map<std::string, rpc::QuarantineEntry>& quarantine,
    base::MonoTime now) {
  std::shared_ptr<MeshView> view = std::make_shared<MeshView>();
  view->may_serve_ = may_serve;
  view->revision_ = config.Revision();
  if (routes_ == nullptr || routes_revision_ != config.Revision()) {
    routes_ = RouteTable::Build(config);
    routes_revision_ = config.Revision();
  }
  view->routes_ = routes_;
  if (accounts_->Items() != config.Accounts() ||
      accounts_->InUse() != config.UsesAccounts()) {
    accounts_ = AccountTable::Build(config.Accounts(), config.UsesAccounts());
  }
  view->accounts_ = accounts_;
  for (const std::string& service : endpoints.TakeChangedServices()) {
    std::shared_ptr<const ServiceView>& held = services_[service];
    held = BuildService(endpoints.LiveOfService(service), held.get(), now);
    UpdateVersionInUse(service, *held);
    if (held->empty()) {
      services_.erase(service);
    }
  }
  view->services_ =
      evacuation_filter_->Apply(config::EvacuatedZones(config), services_);
  view->versions_in_use_ = versions_in_use_;
  max_daemon_count_ = std::max(max_daemon_count_, CountReady(services_));
  view->daemon_count_ = max_daemon_count_;
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
