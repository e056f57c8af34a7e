// Announcements, leases and state changes of the upstreams of one host.
#include "registry/local_endpoints.h"

#include <algorithm>
#include "registry/endpoint_registry.h"

namespace buckthorngate::registry {

LocalEndpoints::LocalEndpoints(HostIdentity identity, base::Duration lease)
    : identity_(std::move(identity)), lease_(lease) {}

AnnouncementCheck LocalEndpoints::Check(
    const Announcement& announcement) const {
  const bool foreign = !identity_.service_.empty() &&
                       announcement.service_ != identity_.service_;
  if (foreign) {
    return AnnouncementCheck::kForeignService;
  }
  return IsStale(announcement) ? AnnouncementCheck::kStale
                               : AnnouncementCheck::kAccepted;
}

bool LocalEndpoints::IsStale(const Announcement& announcement) const {
  const auto found = upstreams_.find(announcement.address_);
  if (found == upstreams_.end()) {
    return false;
  }
  const Upstream& stored = found->second;
  const bool both_report_start =
      announcement.started_ms_ != 0 && stored.started_ms_ != 0;
  if (both_report_start && announcement.started_ms_ != stored.started_ms_) {
    return announcement.started_ms_ < stored.started_ms_;
  }
  return announcement.instance_ == stored.instance_ &&
         announcement.sequence_ != 0 &&
         announcement.sequence_ <= stored.sequence_;
}

std::string LocalEndpoints::AddressOf(const std::string& instance) const {
  const auto found = std::find_if(upstreams_.begin(), upstreams_.end(),
                                  [&instance](const auto& item) {
                                    return item.second.instance_ == instance;
                                  });
  return found == upstreams_.end() ? std::string() : found->first;
}

std::string LocalEndpoints::EndpointId(const std::string& address) const {
  return identity_.host_ + "/" + address;
}

bool LocalEndpoints::Announce(const Announcement& announcement,
                              base::MonoTime now) {
  if (Check(announcement) != AnnouncementCheck::kAccepted) {
    return false;
  }
  const auto [found, added] = upstreams_.try_emplace(announcement.address_);
  Upstream& upstream = found->second;
  const bool same_instance = upstream.instance_ == announcement.instance_ &&
                             upstream.started_ms_ == announcement.started_ms_;
  if (upstream.deregistered_ && same_instance &&
      !announcement.instance_.empty()) {
    // The announcement was still in flight when the upstream deregistered.
    return false;
  }
  upstream.deregistered_ = false;
  upstream.renewed_ = now;
  rpc::Endpoint& endpoint = upstream.endpoint_;
  upstream.instance_ = announcement.instance_;
  upstream.started_ms_ = announcement.started_ms_;
  upstream.sequence_ = announcement.sequence_;
  const bool unchanged = !added && same_instance &&
                         endpoint.service() == announcement.service_ &&
                         endpoint.version() == announcement.version_ &&
                         endpoint.slots() == announcement.slots_ &&
                         (endpoint.state() == rpc::ENDPOINT_STATE_READY ||
                          endpoint.state() == rpc::ENDPOINT_STATE_DRAINING);
  if (unchanged) {
    return false;
  }
  endpoint.set_id(EndpointId(announcement.address_));
  endpoint.set_host(identity_.host_);
  endpoint.set_zone(identity_.zone_);
  endpoint.set_incarnation(identity_.incarnation_);
  endpoint.set_sequence(next_sequence_++);
  endpoint.set_service(announcement.service_);
  endpoint.set_version(announcement.version_);
  endpoint.set_peer_address(identity_.peer_address_);
  endpoint.set_control_address(identity_.control_address_);
  endpoint.set_slots(announcement.slots_);
  endpoint.set_state(rpc::ENDPOINT_STATE_READY);
  ++version_;
  return true;
}

bool LocalEndpoints::SetState(const std::string& address,
                              rpc::EndpointState state) {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end() || found->second.endpoint_.state() == state) {
    return false;
  }
  found->second.endpoint_.set_state(state);
  found->second.endpoint_.set_sequence(next_sequence_++);
  ++version_;
  return true;
}

bool LocalEndpoints::Drain(const std::string& address) {
  return SetState(address, rpc::ENDPOINT_STATE_DRAINING);
}

bool LocalEndpoints::Leave(const std::string& address) {
  const auto found = upstreams_.find(address);
  if (found != upstreams_.end()) {
    found->second.deregistered_ = true;
  }
  return SetState(address, rpc::ENDPOINT_STATE_GONE);
}

bool LocalEndpoints::MarkCrashed(const std::string& address) {
  return SetState(address, rpc::ENDPOINT_STATE_CRASHED);
}

void LocalEndpoints::DrainAll() {
  for (const auto& [address, upstream] : upstreams_) {
    Drain(address);
  }
}

void LocalEndpoints::LeaveAll() {
  for (const auto& [address, upstream] : upstreams_) {
    Leave(address);
  }
}

void LocalEndpoints::RaiseIncarnationAbove(uint64_t incarnation) {
  identity_.incarnation_ = incarnation + 1;
  for (auto& [address, upstream] : upstreams_) {
    upstream.endpoint_.set_incarnation(identity_.incarnation_);
  }
  Reannounce();
}

void LocalEndpoints::Reannounce() {
  for (auto& [address, upstream] : upstreams_) {
    upstream.endpoint_.set_sequence(next_sequence_++);
  }
  ++version_;
}

bool LocalEndpoints::Expire(base::MonoTime now) {
  bool changed = false;
  for (auto& [address, upstream] : upstreams_) {
    if (now - upstream.renewed_ > lease_) {
      changed |= SetState(address, rpc::ENDPOINT_STATE_GONE);
    }
  }
  return changed;
}

std::vector<rpc::Endpoint> LocalEndpoints::Entries() const {
  std::vector<rpc::Endpoint> entries;
  for (const auto& [address, upstream] : upstreams_) {
    entries.push_back(upstream.endpoint_);
  }
  return entries;
}

uint64_t LocalEndpoints::Digest() const {
  uint64_t digest = 0;
  for (const auto& [address, upstream] : upstreams_) {
    if (upstream.endpoint_.state() != rpc::ENDPOINT_STATE_GONE) {
      digest += EntryDigest(upstream.endpoint_);
    }
  }
  return digest;
}

}  // namespace buckthorngate::registry
