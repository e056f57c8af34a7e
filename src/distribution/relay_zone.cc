// A relay: endpoint registry of the zone, departures and evidence.
#include <algorithm>
#include <optional>
#include <utility>

#include "base/events.h"
#include "distribution/relay_node.h"
#include "registry/endpoint_log.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

constexpr base::Duration kDigestInterval = std::chrono::seconds(2);
// Time after a start for the zone's proxies to announce their endpoints and for
// other relays to send theirs.
constexpr base::Duration kRegistryWarmUp = std::chrono::seconds(4);
constexpr base::Duration kExpiryInterval = std::chrono::milliseconds(250);
// If a lease check runs later than this, the process itself was suspended.
constexpr base::Duration kMaxExpiryDelay = std::chrono::seconds(1);
// A host without a heartbeat for this long counts as unreachable. Shorter than
// the lease by more than one heartbeat interval: hosts that become unreachable
// together are all detected before the first of their leases expires.
constexpr base::Duration kHostTimeout =
    registry::kEndpointLease - std::chrono::milliseconds(1100);
// While this relay is connected to a source it forgets hosts that sent nothing
// for this long, so that the endpoints of a zone do expire after all of its
// hosts have failed.
constexpr base::Duration kHostRetention = std::chrono::seconds(15);
constexpr base::Duration kHostLeasesInterval = std::chrono::seconds(1);
constexpr base::Duration kEvidenceInterval = std::chrono::milliseconds(250);
// Minimum time between endpoint updates; well below the time by which other
// daemons must learn of a draining endpoint.
constexpr base::Duration kEndpointUpdateInterval =
    std::chrono::milliseconds(50);

}  // namespace

bool RelayNode::IsRelay(const std::string& id) const {
  return std::find(relays_.begin(), relays_.end(), id) != relays_.end();
}

bool RelayNode::IsSource(const std::string& id) const {
  return std::find(sources_.begin(), sources_.end(), id) != sources_.end();
}

base::Duration RelayNode::Uptime(base::MonoTime now) {
  if (!started_at_) {
    started_at_ = now;
  }
  return now - *started_at_;
}

bool RelayNode::RegistryComplete(base::MonoTime now) {
  return Uptime(now) >= kRegistryWarmUp;
}

void RelayNode::SendToProxies(const rpc::Envelope& content, bool active_only) {
  for (const auto& [id, subscriber] : distributor_.Subscribers()) {
    if (active_only && subscriber.resume_.standby()) {
      continue;
    }
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

void RelayNode::QueueEndpoints(const std::vector<rpc::Endpoint>& endpoints,
                               bool beyond_zone) {
  for (const rpc::Endpoint& endpoint : endpoints) {
    *queued_for_proxies_.add_endpoints() = endpoint;
    if (beyond_zone) {
      *queued_beyond_zone_.add_endpoints() = endpoint;
    }
  }
}

void RelayNode::SendQueuedEndpoints(const base::Now& now) {
  if (queued_for_proxies_.endpoints_size() == 0 ||
      now.mono_ < next_endpoint_update_) {
    return;
  }
  next_endpoint_update_ = now.mono_ + kEndpointUpdateInterval;
  rpc::Envelope content;
  *content.mutable_registry() = std::move(queued_for_proxies_);
  content.mutable_registry()->set_zone(options_.zone_);
  SendToProxies(content, /*active_only=*/true);
  if (queued_beyond_zone_.endpoints_size() > 0) {
    *content.mutable_registry() = std::move(queued_beyond_zone_);
    content.mutable_registry()->set_zone(options_.zone_);
    SendToRelaysAndSources(content);
  }
  queued_for_proxies_.Clear();
  queued_beyond_zone_.Clear();
}

void RelayNode::OnEndpoint(const rpc::Envelope& envelope,
                           const base::Now& now) {
  const rpc::Endpoint& endpoint = envelope.endpoint();
  if (envelope.from() != endpoint.host()) {
    // Only the daemon of its host writes an entry.
    LogEvent(EventId::kAnnouncementIgnored,
             {{"endpoint", endpoint.id()}, {"from", envelope.from()}});
    return;
  }
  const std::optional<rpc::Endpoint> before = endpoints_.Copy(endpoint.id());
  if (!endpoints_.Merge(endpoint, now.mono_)) {
    ReturnIfSuperseded(endpoint);
    return;
  }
  QueueEndpoints({endpoint}, /*beyond_zone=*/true);
  registry::LogEndpointChange(before, endpoint, envelope.from());
}

void RelayNode::ReturnIfSuperseded(const rpc::Endpoint& endpoint) {
  const rpc::Endpoint* held = endpoints_.Find(endpoint.id());
  const bool same = held->incarnation() == endpoint.incarnation() &&
                    held->sequence() == endpoint.sequence() &&
                    held->state() == endpoint.state();
  if (same) {
    return;
  }
  *outbox_.Add(options_.id_, endpoint.host())
       .mutable_registry()
       ->add_endpoints() = *held;
}

void RelayNode::OnEndpointHeartbeat(const rpc::Envelope& envelope,
                                    const base::Now& now) {
  const rpc::EndpointHeartbeat& heartbeat = envelope.endpoint_heartbeat();
  host_contacts_[envelope.from()] = {now.mono_, heartbeat.incarnation()};
  const bool matches =
      endpoints_.Heartbeat(envelope.from(), heartbeat, now.mono_);
  if (!matches) {
    outbox_.Add(options_.id_, envelope.from())
        .mutable_endpoint_heartbeat()
        ->set_announce_again(true);
  }
}

void RelayNode::OnRegistry(const rpc::Envelope& envelope,
                           const base::Now& now) {
  const rpc::RegistryUpdate& update = envelope.registry();
  std::vector<rpc::Endpoint> changed;
  for (const rpc::Endpoint& endpoint : update.endpoints()) {
    const std::optional<rpc::Endpoint> before = endpoints_.Copy(endpoint.id());
    if (!endpoints_.Merge(endpoint, now.mono_)) {
      continue;
    }
    changed.push_back(endpoint);
    if (!before || before->state() != endpoint.state()) {
      registry::LogEndpointChange(before, endpoint, envelope.from());
    }
  }
  QueueEndpoints(changed, /*beyond_zone=*/false);
  if (!update.compare()) {
    return;
  }
  const std::vector<rpc::Endpoint> newer =
      endpoints_.NewerThan(update.endpoints(), update.zone());
  if (newer.empty()) {
    return;
  }
  rpc::RegistryUpdate& reply =
      *outbox_.Add(options_.id_, envelope.from()).mutable_registry();
  reply.set_zone(update.zone());
  reply.mutable_endpoints()->Add(newer.begin(), newer.end());
}

void RelayNode::OnHostLeases(const rpc::HostLeases& leases,
                             const base::Now& now) {
  for (const rpc::HostLease& lease : leases.leases()) {
    endpoints_.Renew(lease.host(), lease.incarnation(),
                     now.mono_ - std::chrono::milliseconds(lease.age_ms()));
  }
}

void RelayNode::SendHostLeases(const base::Now& now) {
  if (now.mono_ < next_host_leases_) {
    return;
  }
  next_host_leases_ = now.mono_ + kHostLeasesInterval;
  rpc::HostLeases leases;
  for (const auto& [host, contact] : host_contacts_) {
    const base::Duration age = now.mono_ - contact.heard_;
    if (age > registry::kEndpointLease) {
      continue;
    }
    rpc::HostLease& lease = *leases.add_leases();
    lease.set_host(host);
    lease.set_incarnation(contact.incarnation_);
    lease.set_age_ms(static_cast<uint32_t>(age / std::chrono::milliseconds(1)));
  }
  for (const std::string& relay : relays_) {
    if (hosts_.InZone(relay, options_.zone_)) {
      *outbox_.Add(options_.id_, relay).mutable_host_leases() = leases;
    }
  }
}

void RelayNode::SendRegistry(const std::string& to, bool full) {
  rpc::RegistryUpdate& update =
      *outbox_.Add(options_.id_, to).mutable_registry();
  update.set_full(full);
  for (rpc::Endpoint& endpoint : endpoints_.Live()) {
    *update.add_endpoints() = std::move(endpoint);
  }
}

void RelayNode::OnRegistryDigest(const rpc::Envelope& envelope,
                                 const base::Now& now) {
  const rpc::RegistryDigest& digest = envelope.registry_digest();
  // A proxy's digest covers all zones; if it differs, the proxy gets a full
  // list. A relay sends the digest of its zone.
  const bool from_proxy = distributor_.HasSubscriber(envelope.from());
  const std::string zone = from_proxy ? std::string() : digest.zone();
  if (endpoints_.Digest(zone) == digest.digest()) {
    return;
  }
  if (!from_proxy) {
    *outbox_.Add(options_.id_, envelope.from()).mutable_registry() =
        endpoints_.Comparison(zone);
  } else if (RegistryComplete(now.mono_)) {
    SendRegistry(envelope.from(), /*full=*/true);
  }
}

void RelayNode::SendRegistryDigests(const base::Now& now) {
  if (now.mono_ < next_digest_) {
    return;
  }
  next_digest_ = now.mono_ + kDigestInterval;
  if (!RegistryComplete(now.mono_)) {
    return;
  }
  rpc::Envelope content;
  content.mutable_registry_digest()->set_zone(options_.zone_);
  content.mutable_registry_digest()->set_digest(
      endpoints_.Digest(options_.zone_));
  SendToRelaysAndSources(content);
  content.mutable_registry_digest()->set_zone("");
  content.mutable_registry_digest()->set_digest(endpoints_.Digest());
  SendToProxies(content, /*active_only=*/true);
}

bool RelayNode::HostsReachable(base::MonoTime now) {
  if (parents_.Connected(now)) {
    std::erase_if(host_contacts_, [now](const auto& host) {
      return now - host.second.heard_ > kHostRetention;
    });
  }
  const auto is_reachable = [now](const auto& host) {
    return now - host.second.heard_ <= kHostTimeout;
  };
  const size_t reachable = static_cast<size_t>(std::count_if(
      host_contacts_.begin(), host_contacts_.end(), is_reachable));
  return 2 * reachable >= host_contacts_.size();
}

void RelayNode::UpdateHostsReachable(bool reachable) {
  if (reachable == hosts_reachable_) {
    return;
  }
  hosts_reachable_ = reachable;
  LogEvent(reachable ? EventId::kHostsHeard : EventId::kHostsUnheard,
           {{"zone", options_.zone_},
            {"hosts", std::to_string(host_contacts_.size())}});
}

void RelayNode::ExpireEndpoints(const base::Now& now) {
  if (now.mono_ < next_expiry_) {
    return;
  }
  if (now.mono_ - next_expiry_ > kMaxExpiryDelay) {
    // Heartbeats that arrived meanwhile may not have been processed yet.
    next_expiry_ = now.mono_ + registry::kEndpointLease;
    return;
  }
  next_expiry_ = now.mono_ + kExpiryInterval;
  if (host_contacts_.empty() && Uptime(now.mono_) < kHostRetention) {
    // Hosts that may not know this relay yet keep their endpoints.
    return;
  }
  const bool reachable_before = hosts_reachable_;
  UpdateHostsReachable(HostsReachable(now.mono_));
  if (!hosts_reachable_) {
    return;
  }
  if (!reachable_before) {
    // Gives hosts that have not sent a heartbeat yet the time of one lease.
    next_expiry_ = now.mono_ + registry::kEndpointLease;
    return;
  }
  const std::vector<rpc::Endpoint> expired =
      endpoints_.ExpireLeases(options_.zone_, now.mono_);
  for (const rpc::Endpoint& endpoint : expired) {
    registry::LogEndpointChange(std::nullopt, endpoint);
  }
  QueueEndpoints(expired, /*beyond_zone=*/true);
  endpoints_.DropTombstones(now.mono_);
}

void RelayNode::SendEvidence(const base::Now& now) {
  if (now.mono_ < next_evidence_) {
    return;
  }
  next_evidence_ = now.mono_ + kEvidenceInterval;
  std::vector<rpc::RouteEvidence> routes = evidence_.TakeSums();
  if (routes.empty() || parents_.Active().empty()) {
    return;
  }
  rpc::Evidence& report =
      *outbox_.Add(options_.id_, parents_.Active()).mutable_evidence();
  report.set_origin(options_.id_);
  report.set_incarnation(options_.incarnation_);
  report.set_sequence(++evidence_sequence_);
  for (rpc::RouteEvidence& route : routes) {
    *report.add_routes() = std::move(route);
  }
}

void RelayNode::OnDeparture(const rpc::Envelope& envelope) {
  const rpc::Departure& departure = envelope.departure();
  const bool from_host = envelope.from() == departure.host();
  const bool added = departures_.Record(departure);
  if (added) {
    rpc::JournalRecord record;
    *record.mutable_departure() = departure;
    (void)journal_.Append(record);
    journal_dirty_ = true;
  }
  if (!from_host) {
    return;
  }
  if (added) {
    for (const std::string& relay : relays_) {
      *outbox_.Add(options_.id_, relay).mutable_departure() = departure;
    }
  }
  *outbox_.Add(options_.id_, departure.host()).mutable_departure_stored() =
      departure;
}

}  // namespace buckthorngate::distribution
