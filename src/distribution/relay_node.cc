// A relay: configuration, claims and the journal.
#include "distribution/relay_node.h"

#include "membership/node_id.h"

#include <algorithm>
#include <utility>

#include "base/events.h"
#include "base/hash.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

constexpr base::Duration kZoneAckInterval = std::chrono::milliseconds(500);
constexpr base::Duration kZoneAckMinInterval = std::chrono::milliseconds(20);
constexpr base::Duration kKeepalive = std::chrono::seconds(1);
// A proxy must leave a relay that is cut off well before others count it as
// connected; see kStaleContact.
constexpr base::Duration kManagedHeartbeat = std::chrono::milliseconds(500);
constexpr int kNonceCountBits = 32;

uint64_t FirstNonce(const RelayOptions& options) {
  const uint64_t draw =
      base::Hash(options.id_, options.incarnation_ ^ options.seed_);
  return (draw << kNonceCountBits) + 1;
}

// Whether a source that has confirmed one nonce has confirmed the other, too.
bool Covers(uint64_t confirmed, uint64_t nonce) {
  const bool same_start =
      confirmed >> kNonceCountBits == nonce >> kNonceCountBits;
  return same_start && confirmed >= nonce;
}

}  // namespace

RelayNode::RelayNode(RelayOptions options, storage::Journal& journal)
    : options_(std::move(options)),
      hosts_(options_.seeds_),
      sources_(options_.sources_),
      relays_(options_.relays_),
      journal_(journal),
      follower_(journal),
      distributor_(options_.id_, options_.seed_ + 1),
      link_(options_.id_, options_.sources_, options_.seed_ + 2),
      claims_(options_.id_, journal),
      nonce_(FirstNonce(options_)) {
  if (hosts_.Managed()) {
    UseHosts();
  }
}

void RelayNode::UseHosts() {
  sources_ = hosts_.Sources();
  // The own source is there before any membership lists it.
  const std::string own =
      membership::NodeIdOnSameHost(options_.id_, membership::kSourceRole);
  if (std::find(sources_.begin(), sources_.end(), own) == sources_.end()) {
    sources_.push_back(own);
  }
  relays_ = hosts_.Relays();
  std::erase(relays_, options_.id_);
  link_.SetCandidates(
      sources_, [&own](const std::string& source) { return source == own; });
}

tl::expected<std::unique_ptr<RelayNode>, ResultCode> RelayNode::Create(
    RelayOptions options,
    storage::Journal& journal) {
  const tl::expected<std::vector<rpc::JournalRecord>, ResultCode> records =
      journal.Load();
  if (!records) {
    return tl::unexpected(records.error());
  }
  std::unique_ptr<RelayNode> node(new RelayNode(std::move(options), journal));
  node->Restore(*records);
  return node;
}

void RelayNode::Restore(const std::vector<rpc::JournalRecord>& records) {
  for (const rpc::JournalRecord& record : records) {
    follower_.Restore(record);
    claims_.Restore(record);
    if (record.has_quarantine()) {
      rpc::QuarantineNotice notice;
      *notice.add_entries() = record.quarantine();
      quarantine_.Merge(notice);
    }
  }
  // Fences the epochs before the configuration's claim group.
  claims_.SetGroup(follower_.State().Claims());
  quarantine_.Lift(follower_.State().LiftedFingerprints());
  if (!records.empty()) {
    base::LogEvent(base::EventId::kStateRestored,
                   {{"node", options_.id_},
                    {"revision", std::to_string(follower_.State().Revision())},
                    {"routing_number",
                     std::to_string(follower_.State().Routing().number())},
                    {"records", std::to_string(records.size())},
                    {"tail_cut", journal_.TailTruncated() ? "true" : "false"}});
  }
}

void RelayNode::OnMessage(const rpc::Envelope& envelope, const base::Now& now) {
  switch (envelope.body_case()) {
    case rpc::Envelope::kResume:
      OnResume(envelope, now);
      break;
    case rpc::Envelope::kAck:
      OnAck(envelope, now);
      break;
    case rpc::Envelope::kSnapshot:
    case rpc::Envelope::kDelta:
      OnConfig(envelope, now);
      break;
    case rpc::Envelope::kHeartbeat:
      OnSourceHeartbeat(envelope, now);
      break;
    case rpc::Envelope::kFloor:
      link_.Heard(envelope.from(), envelope.floor().relay_revision(),
                  base::Duration(0), now.mono_);
      break;
    case rpc::Envelope::kRetryAfter:
      link_.DelayResume(
          envelope.from(),
          std::chrono::milliseconds(envelope.retry_after().delay_ms()),
          now.mono_);
      break;
    case rpc::Envelope::kEndpoint:
      OnEndpoint(envelope, now);
      break;
    case rpc::Envelope::kEndpointHeartbeat:
      OnEndpointHeartbeat(envelope, now);
      break;
    case rpc::Envelope::kRegistry:
      OnRegistry(envelope, now);
      break;
    case rpc::Envelope::kRegistryDigest:
      OnRegistryDigest(envelope, now);
      break;
    case rpc::Envelope::kEvidence:
      evidence_.Add(envelope.evidence());
      break;
    case rpc::Envelope::kBrake:
      // Names the proxy, so that the controller counts each once.
      *outbox_.Add(envelope.from(), link_.Active()).mutable_brake() =
          envelope.brake();
      break;
    case rpc::Envelope::kClaim:
      claims_.OnRequest(envelope.from(), envelope.claim(), now, outbox_);
      break;
    case rpc::Envelope::kClaimTransferRequest:
      claims_.OnTransferRequest(envelope.from(),
                                envelope.claim_transfer_request(), outbox_);
      break;
    case rpc::Envelope::kClaimTransfer:
      claims_.OnTransfer(envelope.from(), envelope.claim_transfer());
      break;
    case rpc::Envelope::kCrash:
      OnCrash(envelope, now);
      break;
    case rpc::Envelope::kQuarantine:
      OnQuarantine(envelope);
      break;
    default:
      break;
  }
}

void RelayNode::OnResume(const rpc::Envelope& envelope, const base::Now& now) {
  rpc::Floor& floor =
      *outbox_.Add(options_.id_, envelope.from()).mutable_floor();
  floor.set_revision(follower_.Floor());
  floor.set_relay_revision(follower_.State().Revision());
  distributor_.OnResume(envelope.from(), envelope.resume(), follower_.State(),
                        follower_.Deltas(), now, outbox_);
  if (hosts_.Managed()) {
    SendHeartbeat(envelope.from(), now);
    if (envelope.resume().role() == rpc::NODE_ROLE_PROXY) {
      // It serves nobody before it knows endpoints.
      SendRegistry(envelope.from(), "", Warm(now.mono_));
    }
  }
  if (!quarantine_.Entries().empty()) {
    rpc::QuarantineNotice& notice =
        *outbox_.Add(options_.id_, envelope.from()).mutable_quarantine();
    for (const auto& [fingerprint, entry] : quarantine_.Entries()) {
      *notice.add_entries() = entry;
    }
  }
}

void RelayNode::OnAck(const rpc::Envelope& envelope, const base::Now& now) {
  const rpc::Ack& ack = envelope.ack();
  if (ack.needs_floor() && unconfirmed_.count(envelope.from()) == 0) {
    unconfirmed_[envelope.from()] = ++nonce_;
    next_keepalive_ = base::MonoTime();
  }
  // A proxy that another relay fed may be ahead of this one.
  if (ack.revision() > follower_.Floor()) {
    follower_.RaiseFloor(ack.revision());
    journal_dirty_ = true;
  }
  distributor_.OnAck(envelope.from(), ack, follower_.State(),
                     follower_.Deltas(), now, outbox_);
}

void RelayNode::OnConfig(const rpc::Envelope& envelope, const base::Now& now) {
  const ResultCode code = envelope.has_snapshot()
                              ? follower_.OnSnapshot(envelope.snapshot())
                              : follower_.OnDelta(envelope.delta());
  link_.Heard(envelope.from(), follower_.State().Revision(), base::Duration(0),
              now.mono_);
  if (code == ResultCode::kStorageFailed) {
    storage_failed_ = true;
    return;
  }
  if (code != ResultCode::kOk) {
    if (follower_.NeedsResync()) {
      link_.ResumeAgain();
    }
    return;
  }
  journal_dirty_ = true;
  claims_.SetGroup(follower_.State().Claims());
  quarantine_.Lift(follower_.State().LiftedFingerprints());
  rpc::Ack& ack = *outbox_.Add(options_.id_, envelope.from()).mutable_ack();
  ack.set_revision(follower_.State().Revision());
}

void RelayNode::OnSourceHeartbeat(const rpc::Envelope& envelope,
                                  const base::Now& now) {
  const rpc::SourceHeartbeat& heartbeat = envelope.heartbeat();
  link_.Heard(envelope.from(), heartbeat.revision(),
              std::chrono::milliseconds(heartbeat.contact_age_ms()), now.mono_);
  ConfirmFloors(heartbeat);
  if (hosts_.Update(heartbeat.members(), heartbeat.members_index())) {
    UseHosts();
  }
}

void RelayNode::ConfirmFloors(const rpc::SourceHeartbeat& heartbeat) {
  if (follower_.State().Revision() < heartbeat.revision()) {
    return;
  }
  std::erase_if(unconfirmed_, [&](const auto& item) {
    if (!Covers(heartbeat.confirmed_nonce(), item.second)) {
      return false;
    }
    rpc::Floor& floor = *outbox_.Add(options_.id_, item.first).mutable_floor();
    floor.set_revision(follower_.Floor());
    floor.set_relay_revision(follower_.State().Revision());
    floor.set_confirmed(true);
    return true;
  });
}

void RelayNode::SendResumes(const base::Now& now) {
  const uint64_t revision = follower_.State().Revision();
  for (const std::string& source : link_.DueResumes(revision, now.mono_)) {
    rpc::Resume& resume = *outbox_.Add(options_.id_, source).mutable_resume();
    resume.set_role(rpc::NODE_ROLE_RELAY);
    resume.set_zone(options_.zone_);
    resume.set_revision(revision);
    resume.set_digest(follower_.State().Digest());
    resume.set_has_disk(options_.has_disk_);
    resume.set_standby(source != link_.Active());
  }
  if (now.mono_ < next_keepalive_) {
    return;
  }
  next_keepalive_ = now.mono_ + kKeepalive;
  for (const std::string& source : sources_) {
    rpc::Ack& ack = *outbox_.Add(options_.id_, source).mutable_ack();
    ack.set_revision(revision);
    ack.set_nonce(nonce_);
    ack.set_standby(source != link_.Active());
  }
}

void RelayNode::SendHeartbeats(const base::Now& now) {
  if (now.mono_ < next_heartbeat_) {
    return;
  }
  next_heartbeat_ =
      now.mono_ + (hosts_.Managed() ? kManagedHeartbeat : kKeepalive);
  for (const auto& [id, follower] : distributor_.Followers()) {
    SendHeartbeat(id, now);
  }
}

void RelayNode::SendHeartbeat(const std::string& to, const base::Now& now) {
  rpc::SourceHeartbeat& heartbeat =
      *outbox_.Add(options_.id_, to).mutable_heartbeat();
  heartbeat.set_revision(follower_.State().Revision());
  heartbeat.set_zone(options_.zone_);
  if (hosts_.Managed()) {
    // A relay that is cut off from the sources says so, and is left.
    heartbeat.set_contact_age_ms(link_.ContactAge(now.mono_) /
                                 std::chrono::milliseconds(1));
    *heartbeat.mutable_members() = hosts_.Members();
    heartbeat.set_members_index(hosts_.Index());
  }
}

void RelayNode::SendZoneAck(const base::Now& now) {
  const SubscriberSummary summary = distributor_.Summary();
  rpc::ZoneAck ack;
  ack.set_zone(options_.zone_);
  ack.set_proxies(summary.subscribers_);
  ack.set_min_revision(summary.min_revision_);
  ack.set_refused(summary.refused_);
  ack.set_claim_epoch(claims_.Ready() ? follower_.State().Claims().epoch() : 0);
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

void RelayNode::OnTimer(const base::Now& now) {
  if (storage_failed_ && now.mono_ >= next_storage_repair_) {
    RepairStorage(now);
  }
  SendResumes(now);
  SendHeartbeats(now);
  distributor_.DropSilent(now);
  claims_.OnTimer(now, outbox_);
  quarantine_.Expire(now.wall_);
  ExpireEndpoints(now);
  SendRegistryDigests(now);
  SendEvidence(now);
  SendZoneAck(now);
}

std::vector<rpc::Envelope> RelayNode::Flush(const base::Now& now) {
  if (!storage_failed_ && SyncAndCompact() != ResultCode::kOk) {
    storage_failed_ = true;
    next_storage_repair_ = now.mono_ + storage::kRepairInterval;
    LogEvent(EventId::kStorageFailed, {{"relay", options_.id_}});
  }
  if (storage_failed_) {
    // What is not durable must not be promised: neither claims nor revisions.
    outbox_.Take();
    return {};
  }
  SendShares(now);
  distributor_.Push(follower_.State(), follower_.Deltas(), now, outbox_);
  return outbox_.Take();
}

rpc::QueryReply RelayNode::Query(const rpc::QueryRequest& request,
                                 const base::Now& now) const {
  rpc::QueryReply reply;
  reply.set_node(options_.id_);
  reply.set_revision(follower_.State().Revision());
  if (request.kind() == rpc::QueryRequest::QUARANTINE) {
    for (const auto& [fingerprint, entry] : quarantine_.Entries()) {
      *reply.add_quarantine() = entry;
    }
  } else if (request.kind() == rpc::QueryRequest::ENDPOINTS) {
    for (rpc::Endpoint& endpoint : endpoints_.Live()) {
      *reply.add_endpoints() = std::move(endpoint);
    }
  } else if (request.kind() == rpc::QueryRequest::CONFIG) {
    *reply.mutable_config() = follower_.State().ToSnapshot();
  }
  (void)now;
  return reply;
}

}  // namespace buckthorngate::distribution
