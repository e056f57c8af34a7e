// A relay: the zone's endpoints, evidence and quarantined requests.
#include <algorithm>
#include <utility>

#include "base/events.h"
#include "distribution/relay_node.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

constexpr base::Duration kDigestInterval = std::chrono::seconds(2);
// After a start: time for the zone's proxies to announce their endpoints, and
// for other relays to tell of theirs.
constexpr base::Duration kRegistryWarmUp = std::chrono::seconds(4);
constexpr base::Duration kExpiryInterval = std::chrono::milliseconds(250);
// A check of leases that is later than this says that this process was stopped.
constexpr base::Duration kLateExpiry = std::chrono::seconds(1);
// A heartbeat less than a lease: whoever falls silent together is missed before
// the first lease of them ends.
constexpr base::Duration kHostSilence =
    registry::kEndpointLease - std::chrono::milliseconds(1100);
// Hosts that are silent for longer are forgotten by a relay that is in contact
// itself, so that a zone whose hosts have all died is told as gone.
constexpr base::Duration kHostMemory = std::chrono::seconds(15);
constexpr base::Duration kEvidenceInterval = std::chrono::milliseconds(250);
// Well within the time that other daemons have to learn of a drain.
constexpr base::Duration kShareInterval = std::chrono::milliseconds(50);

}  // namespace

bool RelayNode::IsRelay(const std::string& id) const {
  return std::find(relays_.begin(), relays_.end(), id) != relays_.end();
}

bool RelayNode::IsSource(const std::string& id) const {
  return std::find(sources_.begin(), sources_.end(), id) != sources_.end();
}

bool RelayNode::Warm(base::MonoTime now) {
  if (!warm_at_) {
    warm_at_ = now + kRegistryWarmUp;
  }
  return now >= *warm_at_;
}

void RelayNode::SendToProxies(const rpc::Envelope& content) {
  for (const auto& [id, follower] : distributor_.Followers()) {
    rpc::Envelope& envelope = outbox_.Add(options_.id_, id);
    envelope = content;
    envelope.set_from(options_.id_);
    envelope.set_to(id);
  }
}

void RelayNode::SendToRelaysAndSources(const rpc::Envelope& content) {
  for (const std::vector<std::string>* list : {&relays_, &sources_}) {
    for (const std::string& id : *list) {
      rpc::Envelope& envelope = outbox_.Add(options_.id_, id);
      envelope = content;
      envelope.set_from(options_.id_);
      envelope.set_to(id);
    }
  }
}

void RelayNode::ShareEndpoints(const std::vector<rpc::Endpoint>& endpoints,
                               bool beyond_zone) {
  for (const rpc::Endpoint& endpoint : endpoints) {
    *share_near_.add_endpoints() = endpoint;
    if (beyond_zone) {
      *share_far_.add_endpoints() = endpoint;
    }
  }
}

void RelayNode::SendShares(const base::Now& now) {
  if (share_near_.endpoints_size() == 0 || now.mono_ < next_share_) {
    return;
  }
  next_share_ = now.mono_ + kShareInterval;
  rpc::Envelope content;
  *content.mutable_registry() = std::move(share_near_);
  content.mutable_registry()->set_zone(options_.zone_);
  SendToProxies(content);
  if (share_far_.endpoints_size() > 0) {
    *content.mutable_registry() = std::move(share_far_);
    content.mutable_registry()->set_zone(options_.zone_);
    SendToRelaysAndSources(content);
  }
  share_near_.Clear();
  share_far_.Clear();
}

void RelayNode::OnEndpoint(const rpc::Envelope& envelope,
                           const base::Now& now) {
  const rpc::Endpoint& endpoint = envelope.endpoint();
  if (!endpoints_.Merge(endpoint, now.mono_)) {
    return;
  }
  ShareEndpoints({endpoint}, /*beyond_zone=*/true);
  EventId event = EventId::kEndpointReady;
  if (endpoint.state() == rpc::ENDPOINT_STATE_DRAINING) {
    event = EventId::kEndpointDraining;
  } else if (endpoint.state() == rpc::ENDPOINT_STATE_CRASHED) {
    event = EventId::kEndpointCrashed;
  } else if (endpoint.state() == rpc::ENDPOINT_STATE_GONE) {
    event = EventId::kEndpointExpired;
  }
  LogEvent(event, {{"endpoint", endpoint.id()},
                   {"service", endpoint.service()},
                   {"version", endpoint.version()}});
}

void RelayNode::OnEndpointHeartbeat(const rpc::Envelope& envelope,
                                    const base::Now& now) {
  heard_[envelope.from()] = now.mono_;
  const bool matches = endpoints_.Heartbeat(
      envelope.from(), envelope.endpoint_heartbeat().digest(), now.mono_);
  if (!matches) {
    outbox_.Add(options_.id_, envelope.from())
        .mutable_endpoint_heartbeat()
        ->set_announce_again(true);
  }
}

void RelayNode::OnRegistry(const rpc::Envelope& envelope,
                           const base::Now& now) {
  const rpc::RegistryUpdate& update = envelope.registry();
  if (update.full() && update.zone() != options_.zone_) {
    if (endpoints_.ReplaceZone(update.zone(), update.endpoints(), now.mono_)) {
      rpc::Envelope content;
      *content.mutable_registry() = update;
      SendToProxies(content);
    }
    return;
  }
  std::vector<rpc::Endpoint> changed;
  for (const rpc::Endpoint& endpoint : update.endpoints()) {
    if (endpoints_.Merge(endpoint, now.mono_)) {
      changed.push_back(endpoint);
    }
  }
  ShareEndpoints(changed, /*beyond_zone=*/false);
}

void RelayNode::SendRegistry(const std::string& to,
                             const std::string& zone,
                             bool full) {
  rpc::RegistryUpdate& update =
      *outbox_.Add(options_.id_, to).mutable_registry();
  update.set_full(full);
  update.set_zone(zone);
  for (rpc::Endpoint& endpoint : endpoints_.Live(zone)) {
    *update.add_endpoints() = std::move(endpoint);
  }
}

void RelayNode::OnRegistryDigest(const rpc::Envelope& envelope,
                                 const base::Now& now) {
  const rpc::RegistryDigest& digest = envelope.registry_digest();
  // A proxy reports what it holds of all zones; it gets the difference from
  // a full list. Relays and sources speak of one zone, which its relay owns.
  const bool from_proxy = distributor_.Knows(envelope.from());
  const std::string zone = from_proxy ? std::string() : digest.zone();
  if (endpoints_.Digest(zone) == digest.digest()) {
    return;
  }
  if (from_proxy || zone == options_.zone_) {
    if (!Warm(now.mono_)) {
      return;
    }
    SendRegistry(envelope.from(), zone, /*full=*/true);
    return;
  }
  // Not the owner: ask the owner for all of it.
  rpc::RegistryDigest& answer =
      *outbox_.Add(options_.id_, envelope.from()).mutable_registry_digest();
  answer.set_zone(zone);
  answer.set_digest(endpoints_.Digest(zone));
}

void RelayNode::SendRegistryDigests(const base::Now& now) {
  if (now.mono_ < next_digest_) {
    return;
  }
  next_digest_ = now.mono_ + kDigestInterval;
  if (!Warm(now.mono_)) {
    return;
  }
  rpc::Envelope content;
  content.mutable_registry_digest()->set_zone(options_.zone_);
  content.mutable_registry_digest()->set_digest(
      endpoints_.Digest(options_.zone_));
  SendToRelaysAndSources(content);
  content.mutable_registry_digest()->set_zone("");
  content.mutable_registry_digest()->set_digest(endpoints_.Digest());
  SendToProxies(content);
}

bool RelayNode::HearsHosts(base::MonoTime now) {
  if (link_.Connected(now)) {
    std::erase_if(heard_, [now](const auto& host) {
      return now - host.second > kHostMemory;
    });
  }
  const auto hears = [now](const auto& host) {
    return now - host.second <= kHostSilence;
  };
  const size_t heard =
      static_cast<size_t>(std::count_if(heard_.begin(), heard_.end(), hears));
  return 2 * heard >= heard_.size();
}

void RelayNode::NoteHearing(bool hears) {
  if (hears == hears_hosts_) {
    return;
  }
  hears_hosts_ = hears;
  LogEvent(
      hears ? EventId::kHostsHeard : EventId::kHostsUnheard,
      {{"zone", options_.zone_}, {"hosts", std::to_string(heard_.size())}});
}

void RelayNode::ExpireEndpoints(const base::Now& now) {
  if (now.mono_ < next_expiry_) {
    return;
  }
  if (now.mono_ - next_expiry_ > kLateExpiry) {
    // Heartbeats of that time may not have been read yet.
    next_expiry_ = now.mono_ + registry::kEndpointLease;
    return;
  }
  next_expiry_ = now.mono_ + kExpiryInterval;
  const bool heard_before = hears_hosts_;
  NoteHearing(HearsHosts(now.mono_));
  if (!hears_hosts_) {
    return;
  }
  if (!heard_before) {
    // Those that are not heard yet get the time of a lease.
    next_expiry_ = now.mono_ + registry::kEndpointLease;
    return;
  }
  const std::vector<rpc::Endpoint> expired =
      endpoints_.ExpireLeases(options_.zone_, now.mono_);
  for (const rpc::Endpoint& endpoint : expired) {
    LogEvent(EventId::kEndpointExpired, {{"endpoint", endpoint.id()},
                                         {"service", endpoint.service()},
                                         {"version", endpoint.version()}});
  }
  ShareEndpoints(expired, /*beyond_zone=*/true);
  endpoints_.DropTombstones(now.mono_);
}

void RelayNode::SendEvidence(const base::Now& now) {
  if (now.mono_ < next_evidence_) {
    return;
  }
  next_evidence_ = now.mono_ + kEvidenceInterval;
  std::vector<rpc::RouteEvidence> routes = evidence_.TakeSums();
  if (routes.empty() || link_.Active().empty()) {
    return;
  }
  rpc::Evidence& report =
      *outbox_.Add(options_.id_, link_.Active()).mutable_evidence();
  report.set_origin(options_.id_);
  report.set_incarnation(options_.incarnation_);
  report.set_sequence(++evidence_sequence_);
  for (rpc::RouteEvidence& route : routes) {
    *report.add_routes() = std::move(route);
  }
}

void RelayNode::SendQuarantine(const std::vector<rpc::QuarantineEntry>& entries,
                               bool to_relays) {
  if (entries.empty()) {
    return;
  }
  rpc::Envelope content;
  for (const rpc::QuarantineEntry& entry : entries) {
    *content.mutable_quarantine()->add_entries() = entry;
    rpc::JournalRecord record;
    *record.mutable_quarantine() = entry;
    (void)journal_.Append(record);
    journal_dirty_ = true;
    if (entry.quarantined()) {
      LogEvent(
          EventId::kRequestQuarantined,
          {{"fingerprint", entry.fingerprint()}, {"service", entry.service()}});
    }
  }
  SendToProxies(content);
  if (to_relays) {
    for (const std::string& relay : relays_) {
      *outbox_.Add(options_.id_, relay).mutable_quarantine() =
          content.quarantine();
    }
  }
}

void RelayNode::OnCrash(const rpc::Envelope& envelope, const base::Now& now) {
  SendQuarantine(quarantine_.OnCrash(envelope.crash(), now.wall_),
                 /*to_relays=*/true);
}

void RelayNode::OnQuarantine(const rpc::Envelope& envelope) {
  SendQuarantine(quarantine_.Merge(envelope.quarantine()),
                 /*to_relays=*/false);
}

}  // namespace buckthorngate::distribution
