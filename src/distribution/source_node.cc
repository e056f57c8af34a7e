// A source: message handling, replication and distribution.
#include "distribution/source_node.h"

#include <algorithm>
#include <utility>

#include "base/events.h"
#include "consensus/raft_journal.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

// Entries applied per Flush. A restarted source has many to apply and must keep
// sending messages meanwhile, or the others treat it as failed.
constexpr size_t kMaxAppliedPerFlush = 4;
constexpr base::Duration kZoneReportTimeout = std::chrono::seconds(6);

}  // namespace

SourceNode::SourceNode(SourceOptions options, storage::Journal& journal)
    : options_(std::move(options)),
      journal_(journal),
      distributor_(options_.id_, options_.seed_ + 1),
      controller_(rollout::MakeMovePolicy(options_.policy_)),
      hosts_(options_.seeds_),
      membership_planner_(
          membership::TargetVoters(options_.tolerated_losses_)) {}

tl::expected<std::unique_ptr<SourceNode>, ResultCode> SourceNode::Create(
    SourceOptions options,
    storage::Journal& journal,
    const base::Now& now) {
  tl::expected<consensus::PersistentState, ResultCode> persistent =
      consensus::LoadPersistentState(journal);
  if (!persistent) {
    return tl::unexpected(persistent.error());
  }
  // A new identity cannot have voted, so no other member needs to confirm it.
  const bool joins =
      !options.seeds_.empty() && options.members_.members_size() == 0;
  persistent->confirmed_ = persistent->confirmed_ || joins;
  std::unique_ptr<SourceNode> node(new SourceNode(std::move(options), journal));
  const std::string& saved = persistent->snapshot_.state();
  if (!saved.empty() && !node->state_.Restore(saved)) {
    return tl::unexpected(ResultCode::kStorageCorrupt);
  }
  node->LogRestoredState(*persistent);
  node->raft_ = std::make_unique<consensus::RaftCore>(
      node->options_.id_, node->options_.members_, std::move(*persistent),
      node->options_.seed_, now);
  if (node->hosts_.UsesDiscovery()) {
    node->raft_->DisableAutoPromotion();
  }
  return node;
}

void SourceNode::LogRestoredState(
    const consensus::PersistentState& persistent) const {
  if (persistent.entries_.empty() && persistent.snapshot_.state().empty()) {
    return;
  }
  // The entries take effect once a leader reports them as committed.
  uint64_t number = state_.HighestNumber();
  uint64_t routing_number = state_.Config().Routing().number();
  for (const rpc::LogEntry& entry : persistent.entries_) {
    rpc::Command command;
    if (entry.kind() != rpc::ENTRY_KIND_COMMAND ||
        !command.ParseFromString(entry.payload())) {
      continue;
    }
    if (command.has_publish()) {
      number = std::max(number, command.publish().publication().number());
    } else if (command.has_routing()) {
      routing_number = std::max(routing_number,
                                command.routing().routing().header().number());
    }
  }
  const uint64_t last = persistent.snapshot_.index() +
                        static_cast<uint64_t>(persistent.entries_.size());
  LogEvent(EventId::kStateRestored,
           {{"node", options_.id_},
            {"revision", std::to_string(state_.Config().Revision())},
            {"number", std::to_string(number)},
            {"routing_number", std::to_string(routing_number)},
            {"entries", std::to_string(persistent.entries_.size())},
            {"last_index", std::to_string(last)},
            {"tail_cut", journal_.TailTruncated() ? "true" : "false"}});
}

void SourceNode::OnMessage(const rpc::Envelope& envelope,
                           const base::Now& now) {
  switch (envelope.body_case()) {
    case rpc::Envelope::kRaft:
      raft_->Step(envelope.from(), envelope.raft(), now);
      break;
    case rpc::Envelope::kResume:
      OnResume(envelope, now);
      break;
    case rpc::Envelope::kAck:
      OnAck(envelope, now);
      break;
    case rpc::Envelope::kZoneAck:
      OnZoneAck(envelope, now);
      break;
    case rpc::Envelope::kRegistry:
      OnRegistry(envelope, now);
      break;
    case rpc::Envelope::kRegistryDigest:
      OnRegistryDigest(envelope);
      break;
    case rpc::Envelope::kJoin:
      OnJoin(envelope, now);
      break;
    case rpc::Envelope::kQuotaShareRequest:
      OnQuotaShareRequest(envelope, now);
      break;
    case rpc::Envelope::kEvidence:
      if (leading_) {
        controller_.OnEvidence(envelope.evidence());
      } else {
        ForwardToLeader(envelope);
      }
      break;
    case rpc::Envelope::kBrake:
      if (leading_) {
        controller_.OnBrake(envelope.from(), envelope.brake());
      } else {
        ForwardToLeader(envelope);
      }
      break;
    default:
      break;
  }
}

void SourceNode::ForwardToLeader(const rpc::Envelope& envelope) {
  const std::string& leader = raft_->LeaderId();
  if (leader.empty() || leader == options_.id_) {
    return;
  }
  rpc::Envelope& forwarded = outbox_.Add(envelope.from(), leader);
  if (envelope.has_evidence()) {
    *forwarded.mutable_evidence() = envelope.evidence();
  } else {
    *forwarded.mutable_brake() = envelope.brake();
  }
}

void SourceNode::OnResume(const rpc::Envelope& envelope, const base::Now& now) {
  const rpc::Resume& resume = envelope.resume();
  if (resume.role() == rpc::NODE_ROLE_RELAY && resume.has_disk()) {
    claim_planner_.RecordRelay(envelope.from(), resume.zone(), now.mono_);
  }
  rpc::Floor& floor =
      *outbox_.Add(options_.id_, envelope.from()).mutable_floor();
  floor.set_revision(state_.Config().Revision());
  floor.set_relay_revision(state_.Config().Revision());
  distributor_.OnResume(envelope.from(), resume, state_.Config(),
                        state_.Deltas(), now, outbox_);
}

void SourceNode::OnZoneAck(const rpc::Envelope& envelope,
                           const base::Now& now) {
  ZoneReport& zone = zone_reports_[envelope.from()];
  zone.ack_ = envelope.zone_ack();
  zone.received_at_ = now.mono_;
  claim_planner_.RecordReadyEpoch(envelope.from(), zone.ack_.claim_epoch(),
                                  now.mono_);
  LogRevisionInForce();
}

uint64_t SourceNode::RevisionInForce() const {
  uint64_t lowest = state_.Config().Revision();
  for (const auto& [relay, zone] : zone_reports_) {
    if (zone.ack_.proxies() > 0) {
      lowest = std::min(lowest, zone.ack_.min_revision());
    }
  }
  return lowest;
}

void SourceNode::LogRevisionInForce() {
  const uint64_t in_force = RevisionInForce();
  const bool is_latest = in_force == state_.Config().Revision() && in_force > 0;
  if (leading_ && is_latest && in_force > reported_in_force_) {
    reported_in_force_ = in_force;
    LogEvent(EventId::kInForceEverywhere,
             {{"revision", std::to_string(in_force)}});
  }
}

void SourceNode::OnRegistry(const rpc::Envelope& envelope,
                            const base::Now& now) {
  for (const rpc::Endpoint& endpoint : envelope.registry().endpoints()) {
    endpoints_.Merge(endpoint, now.mono_);
  }
}

void SourceNode::OnRegistryDigest(const rpc::Envelope& envelope) {
  const rpc::RegistryDigest& digest = envelope.registry_digest();
  if (endpoints_.Digest(digest.zone()) != digest.digest()) {
    *outbox_.Add(options_.id_, envelope.from()).mutable_registry() =
        endpoints_.Comparison(digest.zone());
  }
}

bool SourceNode::HasEndpoints(const std::string& service,
                              const std::string& version) const {
  return endpoints_.HasReady(service, version);
}

void SourceNode::OnTimer(const base::Now& now) {
  if (storage_failed_ && now.mono_ >= next_storage_repair_) {
    RepairStorage(now);
  }
  raft_->Tick(now);
  UpdateLeadership();
  distributor_.DropUnresponsive(now);
  std::erase_if(zone_reports_, [&now](const auto& item) {
    return now.mono_ - item.second.received_at_ > kZoneReportTimeout;
  });
  endpoints_.DropTombstones(now.mono_);
  if (leading_ && raft_->CanServe() && AppliedAll()) {
    RunController(now);
  } else if (!leading_) {
    controller_.TrackAsFollower(state_.Config(), now.mono_);
  }
  if (hosts_.UsesDiscovery()) {
    RepairMembership(now);
    RequestJoin(now);
  }
  SendHeartbeats(now);
  SendConfirmations(now);
}

void SourceNode::UpdateLeadership() {
  const bool leads = raft_->IsLeader();
  if (leads == leading_) {
    return;
  }
  leading_ = leads;
  if (leads) {
    controller_.Reset();
    claim_planner_.Reset();
    membership_planner_.Reset();
    LogEvent(
        EventId::kLeaderElected,
        {{"source", options_.id_}, {"term", std::to_string(raft_->Term())}});
  } else {
    LogEvent(EventId::kLeaderSteppedDown, {{"source", options_.id_}});
    FailPending(ResultCode::kOutcomeUnknown);
  }
}

void SourceNode::RunController(const base::Now& now) {
  const std::vector<rpc::MoveStep> steps = controller_.Tick(
      state_.Config(), *this, now.mono_, raft_->MedianClock(now));
  for (const rpc::MoveStep& step : steps) {
    rpc::Command command;
    *command.mutable_move_step() = step;
    Propose(command);
  }
  // Relays subscribed to this source count as in contact.
  for (const auto& [id, relay] : distributor_.Subscribers()) {
    if (relay.resume_.has_disk()) {
      claim_planner_.RecordRelay(id, relay.resume_.zone(), relay.last_contact_);
    }
  }
  const std::optional<rpc::ClaimGroupChange> change =
      claim_planner_.Plan(state_.Config().Claims(), now);
  if (change) {
    rpc::Command command;
    *command.mutable_claim_group() = *change;
    Propose(command);
  }
}

void SourceNode::Propose(const rpc::Command& command) {
  // Dropped if this source does not lead; its originator decides again.
  (void)raft_->Propose(command.SerializeAsString());
}

std::vector<rpc::Envelope> SourceNode::Flush(const base::Now& now) {
  const ResultCode synced = consensus::SyncPending(*raft_, journal_, now);
  UpdateLeadership();
  if (synced != ResultCode::kOk) {
    storage_failed_ = true;
    next_storage_repair_ = now.mono_ + storage::kRepairInterval;
    FailPending(ResultCode::kStorageFailed);
    outbox_.Take();
    return {};
  }
  ApplyCommitted();
  for (consensus::AddressedMessage& message : raft_->TakeMessages(now)) {
    *outbox_.Add(options_.id_, message.to_).mutable_raft() =
        std::move(message.message_);
  }
  AnswerReads(now);
  AnswerQuotaRequests(now);
  distributor_.Push(state_.Config(), state_.Deltas(), now, outbox_);
  MaybeCompact();
  return outbox_.Take();
}

void SourceNode::ApplyCommitted() {
  const std::optional<rpc::LogSnapshot> installed =
      raft_->TakeInstalledSnapshot();
  if (installed && !state_.Restore(installed->state())) {
    raft_->Halt();
    return;
  }
  for (const rpc::LogEntry& entry : raft_->TakeCommitted(kMaxAppliedPerFlush)) {
    ApplyEntry(entry);
  }
}

void SourceNode::ApplyEntry(const rpc::LogEntry& entry) {
  if (entry.kind() == rpc::ENTRY_KIND_MEMBERSHIP) {
    LogEvent(EventId::kMembershipChanged,
             {{"members",
               std::to_string(raft_->CurrentMembership().members_size())}});
  }
  const ApplyResult applied = state_.Apply(entry);
  if (applied.outcome_) {
    AnswerPublication(entry, applied);
  }
  if (applied.routing_) {
    AnswerRouting(entry, *applied.routing_);
  }
  if (applied.order_) {
    AnswerOrder(entry, *applied.order_);
  }
  if (applied.evacuation_) {
    AnswerEvacuation(entry, *applied.evacuation_);
  }
  if (applied.move_ && leading_) {
    LogMove(*applied.move_);
  }
}

void SourceNode::LogMove(const rpc::Move& move) {
  EventId event = EventId::kMoveStep;
  if (move.phase() == rpc::MOVE_PHASE_DONE) {
    event = move.watch_open() ? EventId::kMoveDone : EventId::kMoveCannotReturn;
  } else if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK) {
    event = EventId::kMoveTakenBack;
  }
  LogEvent(event, {{"service", move.service()},
                   {"to", move.to()},
                   {"share_permille", std::to_string(move.share_permille())},
                   {"elapsed_ms", std::to_string(move.elapsed_ms())},
                   {"uncapped", move.uncapped() ? "true" : "false"},
                   {"reason", move.reason()}});
}

}  // namespace buckthorngate::distribution
