// A relay: message dispatch, configuration and claims.
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

uint64_t InitialNonce(const RelayOptions& options) {
  const uint64_t random_part =
      base::Hash(options.id_, options.incarnation_ ^ options.seed_);
  return (random_part << kRelayNonceCounterBits) + 1;
}

}  // namespace

RelayNode::RelayNode(RelayOptions options, storage::Journal& journal)
    : options_(std::move(options)),
      hosts_(options_.seeds_),
      sources_(options_.sources_),
      relays_(options_.relays_),
      journal_(journal),
      config_(journal),
      distributor_(options_.id_, options_.seed_ + 1),
      parents_(options_.id_, options_.sources_, options_.seed_ + 2),
      claims_(options_.id_, journal),
      quota_(options_.id_, options_.incarnation_),
      nonce_(InitialNonce(options_)) {
  if (hosts_.UsesDiscovery()) {
    UpdateTopology();
  }
}

void RelayNode::UpdateTopology() {
  sources_ = hosts_.Sources();
  // The host's own source is a candidate before any membership lists it.
  const std::string own =
      membership::NodeIdOnSameHost(options_.id_, membership::kSourceRole);
  if (std::find(sources_.begin(), sources_.end(), own) == sources_.end()) {
    sources_.push_back(own);
  }
  relays_ = hosts_.Relays();
  std::erase(relays_, options_.id_);
  parents_.SetCandidates(
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
    config_.Restore(record);
    claims_.Restore(record);
    if (record.has_quarantine()) {
      rpc::QuarantineNotice notice;
      *notice.add_entries() = record.quarantine();
      quarantine_.Merge(notice);
    }
    if (record.has_departure()) {
      departures_.Record(record.departure());
    }
  }
  // Fences the epochs older than the configuration's claim group.
  claims_.SetGroup(config_.State().Claims());
  UpdateQuotaLimits();
  quarantine_.Lift(config_.State().LiftedFingerprints());
  if (!records.empty()) {
    base::LogEvent(
        base::EventId::kStateRestored,
        {{"node", options_.id_},
         {"revision", std::to_string(config_.State().Revision())},
         {"routing_number", std::to_string(config_.State().Routing().number())},
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
      parents_.RecordContact(envelope.from(), envelope.floor().relay_revision(),
                             base::Duration(0), now.mono_);
      break;
    case rpc::Envelope::kRetryAfter:
      parents_.DelayResume(
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
    case rpc::Envelope::kHostLeases:
      OnHostLeases(envelope.host_leases(), now);
      break;
    case rpc::Envelope::kEvidence:
      evidence_.Add(envelope.evidence());
      break;
    case rpc::Envelope::kBrake:
      // The proxy stays the sender, so that the controller counts each once.
      *outbox_.Add(envelope.from(), parents_.Active()).mutable_brake() =
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
    case rpc::Envelope::kDeparture:
      OnDeparture(envelope);
      break;
    case rpc::Envelope::kCrash:
      OnCrash(envelope, now);
      break;
    case rpc::Envelope::kAnswered:
      OnAnswered(envelope.answered(), now);
      break;
    case rpc::Envelope::kQuarantine:
      OnQuarantine(envelope);
      break;
    case rpc::Envelope::kQuotaDemand:
      quota_.OnDemand(envelope.from(), envelope.quota_demand(), now.boot_);
      break;
    case rpc::Envelope::kQuotaShares:
      quota_.OnShares(envelope.quota_shares(), now.boot_);
      break;
    default:
      break;
  }
}

void RelayNode::OnResume(const rpc::Envelope& envelope, const base::Now& now) {
  rpc::Floor& floor =
      *outbox_.Add(options_.id_, envelope.from()).mutable_floor();
  floor.set_revision(config_.Floor());
  floor.set_relay_revision(config_.State().Revision());
  for (rpc::Departure& departure : departures_.OfHost(envelope.from())) {
    *floor.add_departures() = std::move(departure);
  }
  distributor_.OnResume(envelope.from(), envelope.resume(), config_.State(),
                        config_.Deltas(), now, outbox_);
  if (hosts_.UsesDiscovery()) {
    SendHeartbeat(envelope.from(), /*held_members_digest=*/0, now);
    if (envelope.resume().role() == rpc::NODE_ROLE_PROXY &&
        !envelope.resume().standby() &&
        envelope.resume().registry_digest() != endpoints_.Digest()) {
      // A proxy serves no requests until it has received a registry.
      SendRegistry(envelope.from(), RegistryComplete(now.mono_));
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
  if (ack.needs_floor() && unconfirmed_floors_.count(envelope.from()) == 0) {
    unconfirmed_floors_[envelope.from()] = ++nonce_;
    next_keepalive_ = base::MonoTime();
  }
  if (ack.lease_nonce() != 0) {
    authority_questions_.Add(envelope.from(), ack.lease_nonce(), now.mono_);
    next_keepalive_ =
        std::min(next_keepalive_, last_source_ack_ + kQuestionAckInterval);
  }
  // A proxy that was updated by another relay may be ahead of this one.
  if (ack.revision() > config_.Floor()) {
    config_.RaiseFloor(ack.revision());
    journal_dirty_ = true;
  }
  distributor_.OnAck(envelope.from(), ack, config_.State(), config_.Deltas(),
                     now, outbox_);
}

void RelayNode::OnTimer(const base::Now& now) {
  if (storage_failed_ && now.mono_ >= next_storage_repair_) {
    RepairStorage(now);
  }
  SendResumes(now);
  SendHeartbeats(now);
  distributor_.DropUnresponsive(now);
  claims_.OnTimer(now, outbox_);
  quarantine_.Expire(now.wall_);
  departures_.Expire(now.wall_);
  SendHostLeases(now);
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
    // State that is not durable must not be announced: neither claims nor
    // revisions.
    outbox_.Take();
    return {};
  }
  SendQueuedEndpoints(now);
  SendQuotas(now);
  distributor_.Push(config_.State(), config_.Deltas(), now, outbox_);
  return outbox_.Take();
}

rpc::QueryReply RelayNode::Query(const rpc::QueryRequest& request,
                                 const base::Now& now) const {
  rpc::QueryReply reply;
  reply.set_node(options_.id_);
  reply.set_revision(config_.State().Revision());
  if (request.kind() == rpc::QueryRequest::QUARANTINE) {
    for (const auto& [fingerprint, entry] : quarantine_.Entries()) {
      *reply.add_quarantine() = entry;
    }
  } else if (request.kind() == rpc::QueryRequest::ENDPOINTS) {
    for (rpc::Endpoint& endpoint : endpoints_.Live()) {
      *reply.add_endpoints() = std::move(endpoint);
    }
  } else if (request.kind() == rpc::QueryRequest::CONFIG) {
    *reply.mutable_config() = config_.State().ToSnapshot();
  } else if (request.kind() == rpc::QueryRequest::EVACUATIONS) {
    for (const auto& [zone, evacuation] : config_.State().Evacuations()) {
      *reply.add_evacuations() = *evacuation;
    }
  }
  (void)now;
  return reply;
}

}  // namespace buckthorngate::distribution
