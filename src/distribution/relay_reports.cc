// A relay: heartbeats to its subscribers and reports to the sources.
#include "distribution/relay_node.h"

namespace buckthorngate::distribution {
namespace {

constexpr base::Duration kZoneAckInterval = std::chrono::milliseconds(500);
// Each report goes to all sources, so its rate must not follow the rate at
// which proxies acknowledge.
constexpr base::Duration kZoneAckMinInterval = std::chrono::milliseconds(200);
// Shorter than the keepalive: a proxy must learn that this relay is cut off
// from the sources, and fail over to another one, well before other hosts count
// the proxy as connected; see kMaxContactAge.
constexpr base::Duration kDiscoveryHeartbeatInterval =
    std::chrono::milliseconds(500);

}  // namespace

void RelayNode::SendHeartbeats(const base::Now& now) {
  if (now.mono_ < next_heartbeat_) {
    return;
  }
  next_heartbeat_ =
      now.mono_ + (hosts_.UsesDiscovery() ? kDiscoveryHeartbeatInterval
                                          : kKeepaliveInterval);
  for (auto& [id, subscriber] : distributor_.MutableSubscribers()) {
    // Standby subscribers only need to know that this relay is there.
    const bool due =
        !subscriber.resume_.standby() ||
        now.mono_ - subscriber.last_heartbeat_ >= kKeepaliveInterval;
    if (due) {
      subscriber.last_heartbeat_ = now.mono_;
      SendHeartbeat(id, subscriber.members_digest_, now);
    }
  }
}

void RelayNode::SendHeartbeat(const std::string& to,
                              uint64_t held_members_digest,
                              const base::Now& now) {
  rpc::SourceHeartbeat& heartbeat =
      *outbox_.Add(options_.id_, to).mutable_heartbeat();
  heartbeat.set_revision(config_.State().Revision());
  heartbeat.set_zone(options_.zone_);
  distributor_.DescribeUpdates(to, heartbeat);
  if (hosts_.UsesDiscovery()) {
    // Lets proxies leave a relay that is cut off from the sources.
    heartbeat.set_contact_age_ms(parents_.ContactAge(now.mono_) /
                                 std::chrono::milliseconds(1));
    AddMembers(hosts_.Members(), hosts_.Index(), held_members_digest,
               heartbeat);
  }
}

void RelayNode::SendZoneAck(const base::Now& now) {
  const SubscriberSummary summary = distributor_.Summary();
  rpc::ZoneAck ack;
  ack.set_zone(options_.zone_);
  ack.set_proxies(summary.subscribers_);
  ack.set_min_revision(summary.min_revision_);
  ack.set_refused(summary.refused_);
  ack.set_claim_epoch(claims_.Ready() ? config_.State().Claims().epoch() : 0);
  const bool changed = ack.min_revision() != last_zone_ack_.min_revision() ||
                       ack.proxies() != last_zone_ack_.proxies();
  const bool due = now.mono_ >= next_zone_ack_ + kZoneAckInterval ||
                   (changed && now.mono_ >= next_zone_ack_);
  if (!due) {
    return;
  }
  next_zone_ack_ = now.mono_ + kZoneAckMinInterval;
  last_zone_ack_ = ack;
  for (const std::string& source : sources_) {
    *outbox_.Add(options_.id_, source).mutable_zone_ack() = ack;
  }
}

}  // namespace buckthorngate::distribution
