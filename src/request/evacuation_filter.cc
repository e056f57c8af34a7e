// Filters the services of a view by evacuated availability zones.
#include "request/evacuation_filter.h"

#include <cstddef>
#include <utility>

namespace buckthorngate::request {
namespace {

VersionView WithoutZones(const std::set<std::string>& zones,
                         const VersionView& version) {
  VersionView kept;
  for (size_t i = 0; i < version.endpoints_.size(); ++i) {
    const EndpointView& endpoint = version.endpoints_[i];
    if (zones.count(endpoint.endpoint_.zone()) == 0) {
      kept.endpoints_.push_back(endpoint);
      kept.own_zone_count_ += i < version.own_zone_count_ ? 1 : 0;
    }
  }
  return kept;
}

std::shared_ptr<const ServiceView> WithoutZones(
    const std::set<std::string>& zones,
    const ServiceView& service) {
  std::shared_ptr<ServiceView> kept = std::make_shared<ServiceView>();
  for (const auto& [name, version] : service) {
    VersionView filtered = WithoutZones(zones, version);
    if (!filtered.endpoints_.empty()) {
      (*kept)[name] = std::move(filtered);
    }
  }
  return kept;
}

}  // namespace

EvacuationFilter::Services EvacuationFilter::Apply(
    const std::set<std::string>& zones,
    const Services& services) {
  if (zones != zones_) {
    filtered_.clear();
    zones_ = zones;
  }
  if (zones_.empty()) {
    return services;
  }
  Services kept;
  std::unordered_map<std::string, Filtered> next;
  for (const auto& [name, service] : services) {
    Filtered& filtered = next[name];
    const auto held = filtered_.find(name);
    if (held != filtered_.end() && held->second.from_ == service) {
      filtered = held->second;
    } else {
      filtered = {service, WithoutZones(zones_, *service)};
    }
    if (!filtered.view_->empty()) {
      kept[name] = filtered.view_;
    }
  }
  filtered_ = std::move(next);
  return kept;
}

}  // namespace buckthorngate::request
