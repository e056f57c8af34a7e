// Announcements, leases and state changes of the upstreams of one host.
#include "registry/local_endpoints.h"

#include <algorithm>
#include <utility>

#include "registry/endpoint_registry.h"

namespace buckthorngate::registry {
LocalEndpoints::LocalEndpoints(HostIdentity identity, base::Duration lease)
    : identity_(std::move(identity)), lease_(lease) {}

std::string LocalEndpoints::AddressOf(const std::string& instance) const {
  const auto found = std::find_if(upstreams_.begin(), upstreams_.end(),
                                  [&instance](const auto& item) {
                                    return item.second.instance_ == instance;
                                  });
  return found == upstreams_.end() ? std::string() : found->first;
}

std::string LocalEndpoints::InstanceAt(const std::string& address) const {
  const auto found = upstreams_.find(address);
  return found == upstreams_.end() ? std::string() : found->second.instance_;
}

bool LocalEndpoints::HasState(const std::string& address,
                              rpc::EndpointState state) const {
  const auto found = upstreams_.find(address);
  return found != upstreams_.end() && found->second.endpoint_.state() == state;
}

bool LocalEndpoints::Ready(const std::string& address) const {
  return HasState(address, rpc::ENDPOINT_STATE_READY);
}

bool LocalEndpoints::Draining(const std::string& address) const {
  return HasState(address, rpc::ENDPOINT_STATE_DRAINING);
}

std::string LocalEndpoints::EndpointId(const std::string& address) const {
  return identity_.host_ + "/" + address;
}

bool LocalEndpoints::Announce(const Announcement& announcement,
                              base::MonoTime now) {
  const AnnouncementCheck check = Check(announcement, now);
  if (check == AnnouncementCheck::kStale) {
    NoteLate(announcement, now);
  }
  if (check != AnnouncementCheck::kAccepted) {
    return false;
  }
  const bool departing =
      departures_.Find(identity_.host_, announcement.instance_,
                       announcement.started_ms_) != nullptr;
  if (announcement.draining_ && !departing) {
    RecordDeparture(
        announcement.instance_, announcement.started_ms_, /*left=*/false,
        IsEstablished(announcement.instance_, announcement.started_ms_));
  }
  if (closed_) {
    return false;
  }
  const auto [found, added] = upstreams_.try_emplace(announcement.address_);
  Upstream& upstream = found->second;
  const bool same_start = !added &&
                          upstream.instance_ == announcement.instance_ &&
                          upstream.started_ms_ == announcement.started_ms_;
  upstream.draining_ =
      announcement.draining_ || departing || (same_start && upstream.draining_);
  const rpc::EndpointState state = upstream.draining_ || draining_all_
                                       ? rpc::ENDPOINT_STATE_DRAINING
                                       : rpc::ENDPOINT_STATE_READY;
  upstream.first_ = same_start ? upstream.first_ : now;
  upstream.renewed_ = now;
  upstream.heard_ = now;
  upstream.replaced_ = false;
  rpc::Endpoint& endpoint = upstream.endpoint_;
  upstream.instance_ = announcement.instance_;
  upstream.started_ms_ = announcement.started_ms_;
  upstream.sequence_ = announcement.sequence_;
  const bool unchanged =
      same_start && endpoint.service() == announcement.service_ &&
      endpoint.version() == announcement.version_ &&
      endpoint.slots() == announcement.slots_ && endpoint.state() == state;
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
  endpoint.set_state(state);
  endpoint.set_cause(rpc::ENDPOINT_CAUSE_NONE);
  ++version_;
  return true;
}

bool LocalEndpoints::SetState(const std::string& address,
                              rpc::EndpointState state,
                              rpc::EndpointCause cause) {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end() || found->second.endpoint_.state() == state) {
    return false;
  }
  found->second.endpoint_.set_state(state);
  found->second.endpoint_.set_cause(cause);
  found->second.endpoint_.set_sequence(next_sequence_++);
  ++version_;
  return true;
}

void LocalEndpoints::RecordDeparture(const std::string& instance,
                                     int64_t started_ms,
                                     bool left,
                                     bool known) {
  if (instance.empty()) {
    // Its later starts could not be told from this one.
    return;
  }
  rpc::Departure departure;
  departure.set_host(identity_.host_);
  departure.set_instance(instance);
  departure.set_started_ms(started_ms);
  departure.set_left(left);
  // Departures without a start time apply to starts without one anyway.
  departure.set_only_this_start(!known && started_ms != 0);
  if (departures_.Record(departure)) {
    new_departures_.push_back(std::move(departure));
  }
}

std::vector<rpc::Departure> LocalEndpoints::TakeDepartures() {
  return std::exchange(new_departures_, {});
}

bool LocalEndpoints::Learn(const rpc::Departure& departure) {
  if (departure.host() != identity_.host_ || !departures_.Record(departure)) {
    return false;
  }
  const std::string address = AddressOf(departure.instance());
  const auto found = upstreams_.find(address);
  const rpc::Departure* applies =
      found == upstreams_.end()
          ? nullptr
          : departures_.Find(identity_.host_, departure.instance(),
                             found->second.started_ms_);
  if (applies == nullptr) {
    return false;
  }
  found->second.draining_ = true;
  return applies->left() ? SetState(address, rpc::ENDPOINT_STATE_GONE,
                                    rpc::ENDPOINT_CAUSE_DEREGISTERED)
                         : SetState(address, rpc::ENDPOINT_STATE_DRAINING,
                                    rpc::ENDPOINT_CAUSE_NONE);
}

bool LocalEndpoints::Drain(const std::string& address) {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end()) {
    return false;
  }
  found->second.draining_ = true;
  RecordDeparture(found->second.instance_, found->second.started_ms_,
                  /*left=*/false, /*known=*/true);
  // An expired entry stays gone.
  return found->second.endpoint_.state() != rpc::ENDPOINT_STATE_GONE &&
         SetState(address, rpc::ENDPOINT_STATE_DRAINING,
                  rpc::ENDPOINT_CAUSE_NONE);
}

bool LocalEndpoints::Leave(const std::string& address) {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end()) {
    return false;
  }
  RecordDeparture(found->second.instance_, found->second.started_ms_,
                  /*left=*/true, /*known=*/true);
  return SetState(address, rpc::ENDPOINT_STATE_GONE,
                  rpc::ENDPOINT_CAUSE_DEREGISTERED);
}

bool LocalEndpoints::LeaveInstance(const std::string& instance,
                                   int64_t started_ms) {
  const auto found = upstreams_.find(AddressOf(instance));
  if (found == upstreams_.end()) {
    RecordDeparture(instance, started_ms, /*left=*/true, /*known=*/false);
    return false;
  }
  const Upstream& upstream = found->second;
  const int64_t leaves = started_ms == 0 ? upstream.started_ms_ : started_ms;
  RecordDeparture(instance, leaves, /*left=*/true,
                  IsEstablished(instance, leaves));
  if (upstream.started_ms_ > leaves) {
    return false;
  }
  SetState(found->first, rpc::ENDPOINT_STATE_GONE,
           rpc::ENDPOINT_CAUSE_DEREGISTERED);
  return true;
}

bool LocalEndpoints::MarkCrashed(const std::string& address) {
  return SetState(address, rpc::ENDPOINT_STATE_CRASHED,
                  rpc::ENDPOINT_CAUSE_CRASHED);
}

void LocalEndpoints::DrainAll() {
  draining_all_ = true;
  for (const auto& [address, upstream] : upstreams_) {
    if (upstream.endpoint_.state() == rpc::ENDPOINT_STATE_READY) {
      SetState(address, rpc::ENDPOINT_STATE_DRAINING,
               rpc::ENDPOINT_CAUSE_DAEMON_STOPPED);
    }
  }
}

void LocalEndpoints::LeaveAll() {
  closed_ = true;
  for (const auto& [address, upstream] : upstreams_) {
    SetState(address, rpc::ENDPOINT_STATE_GONE,
             rpc::ENDPOINT_CAUSE_DAEMON_STOPPED);
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
      changed |= SetState(address, rpc::ENDPOINT_STATE_GONE,
                          rpc::ENDPOINT_CAUSE_UPSTREAM_SILENT);
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
