// A source: joining the membership and keeping it at its fault tolerance.
#include "base/events.h"
#include "distribution/source_node.h"
#include "membership/node_id.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

// A source without word from a leader for this long asks to join; it may have
// been removed, or never been a member.
constexpr base::Duration kJoinAfterSilence = std::chrono::milliseconds(1000);
constexpr base::Duration kJoinInterval = std::chrono::milliseconds(300);
constexpr base::Duration kRepairInterval = std::chrono::milliseconds(100);

const char* NameOf(membership::ChangeKind kind) {
  switch (kind) {
    case membership::ChangeKind::kAddLearner:
      return "add-learner";
    case membership::ChangeKind::kPromote:
      return "promote";
    case membership::ChangeKind::kRemove:
      return "remove";
  }
  return "remove";
}

}  // namespace

void SourceNode::AskToJoin(const base::Now& now) {
  const bool may_ask = raft_->CurrentRole() == consensus::Role::kFollower ||
                       raft_->CurrentRole() == consensus::Role::kPreCandidate;
  // Without any membership there is no leader to wait for.
  const bool newcomer = raft_->CurrentMembership().members_size() == 0;
  const bool silent = raft_->ContactAge(now) > kJoinAfterSilence;
  if (!may_ask || !(newcomer || silent) || now.mono_ < next_join_) {
    return;
  }
  next_join_ = now.mono_ + kJoinInterval;
  hosts_.Update(raft_->CurrentMembership(), raft_->MembershipIndex());
  std::set<std::string> asked;
  for (const std::string& address : options_.seeds_) {
    asked.insert(membership::NodeId(membership::kSourceRole, address));
  }
  for (const std::string& source : hosts_.Sources()) {
    asked.insert(source);
  }
  for (const std::string& source : asked) {
    if (source == options_.id_) {
      continue;
    }
    rpc::Member& member = *outbox_.Add(options_.id_, source).mutable_join();
    member.set_id(options_.id_);
    member.set_address(options_.address_);
    member.set_zone(options_.zone_);
    member.set_learner(true);
  }
}

void SourceNode::OnJoin(const rpc::Envelope& envelope, const base::Now& now) {
  if (leading_) {
    planner_.RecordJoinRequest(envelope.join(), now.mono_);
    return;
  }
  raft_->RecordReplacement(envelope.join(), now);
  const std::string& leader = raft_->LeaderId();
  // Only the first receiver forwards, so that a request cannot go in circles.
  const bool first_hand = envelope.from() == envelope.join().id();
  if (first_hand && !leader.empty() && leader != options_.id_) {
    *outbox_.Add(options_.id_, leader).mutable_join() = envelope.join();
  }
}

std::vector<membership::MemberStatus> SourceNode::MemberStatuses(
    const base::Now& now) const {
  std::vector<membership::MemberStatus> statuses;
  for (const rpc::Member& member : raft_->CurrentMembership().members()) {
    membership::MemberStatus& status = statuses.emplace_back();
    status.member_ = member;
    status.since_contact_ = raft_->TimeSinceLastReply(member.id(), now);
    status.caught_up_ = raft_->CaughtUp(member.id());
  }
  return statuses;
}

void SourceNode::RepairMembership(const base::Now& now) {
  if (!leading_ || !raft_->CanServe() || now.mono_ < next_repair_) {
    return;
  }
  next_repair_ = now.mono_ + kRepairInterval;
  const std::optional<membership::MembershipChange> change =
      planner_.Plan(MemberStatuses(now), now.mono_);
  if (!change) {
    return;
  }
  ResultCode code = ResultCode::kOk;
  switch (change->kind_) {
    case membership::ChangeKind::kAddLearner:
      code = raft_->AddLearner(change->member_);
      break;
    case membership::ChangeKind::kPromote:
      code = raft_->PromoteLearner(change->member_.id());
      break;
    case membership::ChangeKind::kRemove:
      code = raft_->RemoveMember(change->member_.id());
      break;
  }
  if (code == ResultCode::kMembershipBusy) {
    return;
  }
  LogEvent(EventId::kMemberRepaired, {{"change", NameOf(change->kind_)},
                                      {"member", change->member_.id()},
                                      {"reason", change->reason_},
                                      {"code", Describe(code).name_.data()}});
  Audit("controller", std::string("member-") + NameOf(change->kind_),
        change->member_.id() + ": " + change->reason_, code, now);
}

}  // namespace buckthorngate::distribution
