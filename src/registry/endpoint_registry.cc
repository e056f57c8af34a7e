// Merging, indexing and lease expiry of endpoint entries.
#include "registry/endpoint_registry.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"

namespace buckthorngate::registry {
namespace {

constexpr base::Duration kTombstoneSweepInterval = std::chrono::seconds(10);

bool IsGone(const rpc::Endpoint& endpoint) {
  return endpoint.state() == rpc::ENDPOINT_STATE_GONE;
}

// Returns whether `offered` replaces `stored`.
bool Supersedes(const rpc::Endpoint& offered, const rpc::Endpoint& stored) {
  const std::pair<uint64_t, uint64_t> offered_pair(offered.incarnation(),
                                                   offered.sequence());
  const std::pair<uint64_t, uint64_t> stored_pair(stored.incarnation(),
                                                  stored.sequence());
  if (offered_pair != stored_pair) {
    return offered_pair > stored_pair;
  }
  return IsGone(offered) && !IsGone(stored);
}

bool InZone(const rpc::Endpoint& endpoint, const std::string& zone) {
  return zone.empty() || endpoint.zone() == zone;
}

}  // namespace

uint64_t EntryDigest(const rpc::Endpoint& endpoint) {
  const uint64_t pair = base::Hash(std::to_string(endpoint.incarnation()) +
                                   ":" + std::to_string(endpoint.sequence()));
  return base::Hash(endpoint.id(), pair);
}

bool EndpointRegistry::Merge(const rpc::Endpoint& endpoint,
                             base::MonoTime now) {
  const auto [found, added] = entries_.try_emplace(endpoint.id());
  Entry& entry = found->second;
  if (!added && !Supersedes(endpoint, entry.endpoint_)) {
    return false;
  }
  if (!added) {
    RemoveFromIndex(entry.endpoint_);
  }
  entry.endpoint_ = endpoint;
  entry.renewed_ = now;
  AddToIndex(endpoint);
  ++version_;
  return true;
}

void EndpointRegistry::AddToIndex(const rpc::Endpoint& endpoint) {
  changed_services_.insert(endpoint.service());
  if (IsGone(endpoint)) {
    return;
  }
  const uint64_t digest = EntryDigest(endpoint);
  zone_digests_[endpoint.zone()] += digest;
  digest_ += digest;
  by_service_[endpoint.service()].insert(endpoint.id());
}

void EndpointRegistry::RemoveFromIndex(const rpc::Endpoint& endpoint) {
  changed_services_.insert(endpoint.service());
  if (IsGone(endpoint)) {
    return;
  }
  const uint64_t digest = EntryDigest(endpoint);
  zone_digests_[endpoint.zone()] -= digest;
  digest_ -= digest;
  const auto ids = by_service_.find(endpoint.service());
  ids->second.erase(endpoint.id());
  if (ids->second.empty()) {
    by_service_.erase(ids);
  }
}

std::set<std::string> EndpointRegistry::TakeChangedServices() {
  return std::exchange(changed_services_, {});
}

std::vector<rpc::Endpoint> EndpointRegistry::LiveOfService(
    const std::string& service) const {
  std::vector<rpc::Endpoint> live;
  const auto ids = by_service_.find(service);
  if (ids == by_service_.end()) {
    return live;
  }
  live.reserve(ids->second.size());
  for (const std::string& id : ids->second) {
    live.push_back(entries_.at(id).endpoint_);
  }
  return live;
}

void EndpointRegistry::ForEachLive(const std::string& host,
                                   uint64_t incarnation,
                                   const std::function<void(Entry&)>& visit) {
  // Endpoint ids start with the host's name, so one host's entries are
  // adjacent.
  for (auto found = entries_.lower_bound(host + "/");
       found != entries_.end() && found->second.endpoint_.host() == host;
       ++found) {
    const rpc::Endpoint& endpoint = found->second.endpoint_;
    if (!IsGone(endpoint) && endpoint.incarnation() >= incarnation) {
      visit(found->second);
    }
  }
}

bool EndpointRegistry::Heartbeat(const std::string& host,
                                 const rpc::EndpointHeartbeat& heartbeat,
                                 base::MonoTime now) {
  uint64_t stored = 0;
  ForEachLive(host, heartbeat.incarnation(), [&](Entry& entry) {
    entry.renewed_ = now;
    stored += EntryDigest(entry.endpoint_);
  });
  return stored == heartbeat.digest();
}

void EndpointRegistry::Renew(const std::string& host,
                             uint64_t incarnation,
                             base::MonoTime heard) {
  ForEachLive(host, incarnation, [heard](Entry& entry) {
    entry.renewed_ = std::max(entry.renewed_, heard);
  });
}

void EndpointRegistry::MarkGone(Entry& entry, base::MonoTime now) {
  RemoveFromIndex(entry.endpoint_);
  entry.endpoint_.set_state(rpc::ENDPOINT_STATE_GONE);
  entry.endpoint_.set_cause(rpc::ENDPOINT_CAUSE_HOST_SILENT);
  entry.renewed_ = now;
  ++version_;
}

std::vector<rpc::Endpoint> EndpointRegistry::ExpireLeases(
    const std::string& zone,
    base::MonoTime now) {
  std::vector<rpc::Endpoint> expired;
  for (auto& [id, entry] : entries_) {
    const bool live = InZone(entry.endpoint_, zone) && !IsGone(entry.endpoint_);
    if (live && now - entry.renewed_ > kEndpointLease) {
      MarkGone(entry, now);
      expired.push_back(entry.endpoint_);
    }
  }
  return expired;
}

void EndpointRegistry::DropTombstones(base::MonoTime now) {
  if (now < next_tombstone_sweep_) {
    return;
  }
  next_tombstone_sweep_ = now + kTombstoneSweepInterval;
  std::erase_if(entries_, [now](const auto& item) {
    return IsGone(item.second.endpoint_) &&
           now - item.second.renewed_ > kTombstoneAge;
  });
}

bool EndpointRegistry::Follow(
    const google::protobuf::RepeatedPtrField<rpc::Endpoint>& all,
    const std::string& own_host,
    base::MonoTime now) {
  bool changed = false;
  std::set<std::string> listed;
  for (const rpc::Endpoint& endpoint : all) {
    listed.insert(endpoint.id());
    changed |= Merge(endpoint, now);
  }
  std::erase_if(entries_, [&](const auto& item) {
    const rpc::Endpoint& endpoint = item.second.endpoint_;
    const bool kept = IsGone(endpoint) || endpoint.host() == own_host ||
                      listed.count(item.first) != 0;
    if (!kept) {
      RemoveFromIndex(endpoint);
      ++version_;
      changed = true;
    }
    return !kept;
  });
  return changed;
}

rpc::RegistryUpdate EndpointRegistry::Comparison(
    const std::string& zone) const {
  rpc::RegistryUpdate update;
  update.set_zone(zone);
  update.set_compare(true);
  for (const auto& [id, entry] : entries_) {
    if (InZone(entry.endpoint_, zone)) {
      *update.add_endpoints() = entry.endpoint_;
    }
  }
  return update;
}

std::vector<rpc::Endpoint> EndpointRegistry::NewerThan(
    const google::protobuf::RepeatedPtrField<rpc::Endpoint>& other,
    const std::string& zone) const {
  std::vector<rpc::Endpoint> newer;
  std::set<std::string> listed;
  for (const rpc::Endpoint& endpoint : other) {
    listed.insert(endpoint.id());
    const rpc::Endpoint* held = Find(endpoint.id());
    if (held != nullptr && Supersedes(*held, endpoint)) {
      newer.push_back(*held);
    }
  }
  for (rpc::Endpoint& endpoint : Live(zone)) {
    if (listed.count(endpoint.id()) == 0) {
      newer.push_back(std::move(endpoint));
    }
  }
  return newer;
}

const rpc::Endpoint* EndpointRegistry::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.endpoint_;
}

std::optional<rpc::Endpoint> EndpointRegistry::Copy(
    const std::string& id) const {
  const rpc::Endpoint* held = Find(id);
  return held == nullptr ? std::nullopt : std::optional<rpc::Endpoint>(*held);
}

std::vector<rpc::Endpoint> EndpointRegistry::Live(
    const std::string& zone) const {
  std::vector<rpc::Endpoint> live;
  for (const auto& [id, entry] : entries_) {
    if (InZone(entry.endpoint_, zone) && !IsGone(entry.endpoint_)) {
      live.push_back(entry.endpoint_);
    }
  }
  return live;
}

bool EndpointRegistry::HasReady(const std::string& service,
                                const std::string& version) const {
  if (ready_version_ != version_) {
    ready_.clear();
    for (const auto& [id, entry] : entries_) {
      if (entry.endpoint_.state() == rpc::ENDPOINT_STATE_READY) {
        ready_.emplace(entry.endpoint_.service(), entry.endpoint_.version());
      }
    }
    ready_version_ = version_;
  }
  return ready_.count({service, version}) != 0;
}

uint64_t EndpointRegistry::Digest(const std::string& zone) const {
  if (zone.empty()) {
    return digest_;
  }
  const auto found = zone_digests_.find(zone);
  return found == zone_digests_.end() ? 0 : found->second;
}

}  // namespace buckthorngate::registry
