// Announcements, leases and state changes of the upstreams of one host.
#include "registry/local_endpoints.h"

#include <algorithm>
#include <utility>

#include "registry/endpoint_registry.h"

namespace buckthorngate::registry {
namespace {

// Whether an announced value differs from the one in the settings, if they have
// one.
bool IsForeign(const std::string& in_settings, const std::string& announced) {
  return !in_settings.empty() && announced != in_settings;
}

}  // namespace

LocalEndpoints::LocalEndpoints(HostIdentity identity, base::Duration lease)
    : identity_(std::move(identity)), lease_(lease) {}

AnnouncementCheck LocalEndpoints::Check(const Announcement& announcement,
                                        base::MonoTime now) const {
  if (IsForeign(identity_.service_, announcement.service_)) {
    return AnnouncementCheck::kForeignService;
  }
  if (IsForeign(identity_.upstream_address_, announcement.address_)) {
    return AnnouncementCheck::kForeignAddress;
  }
  const rpc::Departure* departure = departures_.Find(
      identity_.host_, announcement.instance_, announcement.started_ms_);
  if (departure != nullptr && departure->left()) {
    // It was still in flight when the upstream deregistered.
    return AnnouncementCheck::kStale;
  }
  const auto found = upstreams_.find(announcement.address_);
  return found == upstreams_.end()
             ? AnnouncementCheck::kAccepted
             : CheckAgainst(found->second, announcement, now);
}

bool LocalEndpoints::Holds(const Upstream& stored,
                           base::MonoTime last,
                           base::MonoTime now) const {
  return !stored.replaced_ && now - last <= lease_ / 2;
}

AnnouncementCheck LocalEndpoints::CheckAgainst(const Upstream& stored,
                                               const Announcement& announcement,
                                               base::MonoTime now) const {
  const bool ready = stored.endpoint_.state() == rpc::ENDPOINT_STATE_READY;
  const bool same_start = announcement.instance_ == stored.instance_ &&
                          announcement.started_ms_ == stored.started_ms_;
  const bool same_version = announcement.version_ == stored.endpoint_.version();
  // Numbers that are too high must not refuse the start for good.
  const base::MonoTime last =
      same_start && same_version ? stored.renewed_ : stored.heard_;
  if (!Holds(stored, last, now)) {
    return AnnouncementCheck::kAccepted;
  }
  if (same_start) {
    // A drain holds for the whole start, so its report cannot come too late.
    const bool new_drain = announcement.draining_ && !stored.draining_;
    if (announcement.sequence_ != 0 &&
        announcement.sequence_ <= stored.sequence_ && !new_drain) {
      return AnnouncementCheck::kStale;
    }
    // A start runs one version.
    return ready && !same_version ? AnnouncementCheck::kAddressHeld
                                  : AnnouncementCheck::kAccepted;
  }
  const bool earlier = announcement.started_ms_ != 0 &&
                       announcement.started_ms_ < stored.started_ms_;
  return ready || earlier ? AnnouncementCheck::kAddressHeld
                          : AnnouncementCheck::kAccepted;
}

AnnouncementCheck LocalEndpoints::CheckLeave(const std::string& instance,
                                             int64_t started_ms,
                                             base::MonoTime now) const {
  const auto found = upstreams_.find(AddressOf(instance));
  if (found == upstreams_.end() || started_ms == 0) {
    return AnnouncementCheck::kAccepted;
  }
  const Upstream& stored = found->second;
  const bool later = stored.started_ms_ != 0 && started_ms > stored.started_ms_;
  const bool ready = stored.endpoint_.state() == rpc::ENDPOINT_STATE_READY;
  return later && ready && Holds(stored, stored.heard_, now)
             ? AnnouncementCheck::kAddressHeld
             : AnnouncementCheck::kAccepted;
}

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

Holder LocalEndpoints::HolderOf(const std::string& address,
                                base::MonoTime now) const {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end()) {
    return {};
  }
  const Upstream& upstream = found->second;
  return {upstream.instance_, upstream.started_ms_, upstream.sequence_,
          now - upstream.renewed_};
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
        announcement.instance_, announcement.started_ms_,
        /*left=*/false,
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

void LocalEndpoints::NoteLate(const Announcement& announcement,
                              base::MonoTime now) {
  const auto found = upstreams_.find(announcement.address_);
  if (found != upstreams_.end() &&
      found->second.endpoint_.state() == rpc::ENDPOINT_STATE_READY &&
      found->second.instance_ == announcement.instance_ &&
      found->second.started_ms_ == announcement.started_ms_ &&
      found->second.endpoint_.version() == announcement.version_) {
    found->second.heard_ = now;
  }
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

bool LocalEndpoints::IsEstablished(const std::string& instance,
                                   int64_t started_ms) const {
  const auto found = upstreams_.find(AddressOf(instance));
  return found != upstreams_.end() && found->second.started_ms_ >= started_ms &&
         found->second.renewed_ - found->second.first_ >= lease_ / 2;
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

bool LocalEndpoints::MarkReplaced(const std::string& address,
                                  const std::string& instance) {
  const auto found = upstreams_.find(address);
  if (found == upstreams_.end() || found->second.instance_ != instance) {
    return false;
  }
  found->second.replaced_ = true;
  return found->second.endpoint_.state() == rpc::ENDPOINT_STATE_READY &&
         SetState(address, rpc::ENDPOINT_STATE_CRASHED,
                  rpc::ENDPOINT_CAUSE_REPLACED);
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
