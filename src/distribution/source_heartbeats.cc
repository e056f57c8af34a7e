// A source: heartbeats to relays, which confirm the nonces of their
// acknowledgements.
#include "distribution/source_node.h"

namespace buckthorngate::distribution {
namespace {

constexpr base::Duration kHeartbeatInterval = std::chrono::milliseconds(500);

}  // namespace

void SourceNode::OnAck(const rpc::Envelope& envelope, const base::Now& now) {
  distributor_.OnAck(envelope.from(), envelope.ack(), state_.Config(),
                     state_.Deltas(), now, outbox_);
  RelayNonce& nonce = relay_nonces_[envelope.from()];
  // A pending nonce is confirmed before a newer one replaces it, unless this
  // source confirms none.
  const bool replaceable = nonce.requested_ == nonce.confirmed_ ||
                           (ConfirmsAuthority() && !raft_->CanServe());
  if (replaceable && envelope.ack().nonce() != nonce.confirmed_) {
    nonce.requested_ = envelope.ack().nonce();
    nonce.arrived_ = now.mono_;
  }
}

uint64_t SourceNode::ConfirmNonce(const std::string& relay,
                                  const base::Now& now) {
  RelayNonce& nonce = relay_nonces_[relay];
  // The revision sent with the nonce must cover all committed entries.
  const bool serves = raft_->CanServe();
  if (serves && AppliedAll() && raft_->MajorityContact(now) >= nonce.arrived_) {
    nonce.confirmed_ = nonce.requested_;
  }
  return serves ? nonce.confirmed_ : 0;
}

void SourceNode::SendHeartbeats(const base::Now& now) {
  if (now.mono_ < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now.mono_ + kHeartbeatInterval;
  for (const auto& [id, relay] : distributor_.Subscribers()) {
    SendHeartbeat(id, relay.members_digest_, now);
  }
}

void SourceNode::SendHeartbeat(const std::string& relay,
                               uint64_t held_members_digest,
                               const base::Now& now) {
  rpc::SourceHeartbeat& heartbeat =
      *outbox_.Add(options_.id_, relay).mutable_heartbeat();
  heartbeat.set_revision(state_.Config().Revision());
  heartbeat.set_contact_age_ms(raft_->ContactAge(now) /
                               std::chrono::milliseconds(1));
  heartbeat.set_confirmed_nonce(ConfirmNonce(relay, now));
  distributor_.DescribeUpdates(relay, heartbeat);
  if (hosts_.UsesDiscovery()) {
    AddMembers(raft_->CurrentMembership(), raft_->MembershipIndex(),
               held_members_digest, heartbeat);
  }
}

bool SourceNode::ConfirmsAuthority() const {
  return state_.Config().UsesAccounts();
}

void SourceNode::SendConfirmations(const base::Now& now) {
  if (!ConfirmsAuthority() || !raft_->CanServe()) {
    return;
  }
  for (const auto& [id, relay] : distributor_.Subscribers()) {
    const uint64_t before = relay_nonces_[id].confirmed_;
    if (ConfirmNonce(id, now) != before) {
      SendHeartbeat(id, relay.members_digest_, now);
    }
  }
}

}  // namespace buckthorngate::distribution
