// A source: joining the membership, and repairing it to keep fault tolerance.
#include "base/events.h"
#include "distribution/source_node.h"
#include "membership/node_id.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

// A source without contact to a leader for this long asks to join: it may have
// been removed, or have never been a member.
constexpr base::Duration kLeaderContactTimeout =
    std::chrono::milliseconds(1000);
constexpr base::Duration kJoinInterval = std::chrono::milliseconds(300);
constexpr base::Duration kRepairInterval = std::chrono::milliseconds(100);

const char* ChangeName(membership::ChangeKind kind) {
  switch (kind) {
    case membership::ChangeKind::kAddLearner:
      return "add-learner";
    case membership::ChangeKind::kPromote:
      return "promote";
    case membership::ChangeKind::kRemove:
      return "remove";
    case membership::ChangeKind::kDescribe:
      return "describe";
  }
  return "remove";
}

}  // namespace

void SourceNode::RequestJoin(const base::Now& now) {
  const bool may_request =
      raft_->CurrentRole() == consensus::Role::kFollower ||
      raft_->CurrentRole() == consensus::Role::kPreCandidate;
  // Without any membership there is no leader to wait for.
  const bool newcomer = raft_->CurrentMembership().members_size() == 0;
  const bool no_contact = raft_->ContactAge(now) > kLeaderContactTimeout;
  if (!may_request || !(newcomer || no_contact) || now.mono_ < next_join_) {
    return;
  }
  next_join_ = now.mono_ + kJoinInterval;
  hosts_.Update(raft_->CurrentMembership(), raft_->MembershipIndex());
  std::set<std::string> targets;
  for (const std::string& address : options_.seeds_) {
    targets.insert(membership::NodeId(membership::kSourceRole, address));
  }
  for (const std::string& source : hosts_.Sources()) {
    targets.insert(source);
  }
  for (const std::string& source : targets) {
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
    membership_planner_.RecordJoinRequest(envelope.join(), now.mono_);
    return;
  }
  raft_->RecordReplacement(envelope.join(), now);
  const std::string& leader = raft_->LeaderId();
  // Only a direct request is forwarded, so that it cannot loop.
  const bool direct = envelope.from() == envelope.join().id();
  if (direct && !leader.empty() && leader != options_.id_) {
    *outbox_.Add(options_.id_, leader).mutable_join() = envelope.join();
  }
}

std::string SourceNode::ReportedZone(const std::string& source) const {
  if (source == options_.id_) {
    return options_.zone_;
  }
  const auto relay = distributor_.Subscribers().find(
      membership::NodeIdOnSameHost(source, membership::kRelayRole));
  return relay == distributor_.Subscribers().end()
             ? std::string()
             : relay->second.resume_.zone();
}

std::vector<membership::MemberStatus> SourceNode::MemberStatuses(
    const base::Now& now) const {
  std::vector<membership::MemberStatus> statuses;
  for (const rpc::Member& member : raft_->CurrentMembership().members()) {
    membership::MemberStatus& status = statuses.emplace_back();
    status.member_ = member;
    status.since_contact_ = raft_->TimeSinceLastReply(member.id(), now);
    status.caught_up_ = raft_->CaughtUp(member.id());
    status.reported_zone_ = ReportedZone(member.id());
  }
  return statuses;
}

void SourceNode::RepairMembership(const base::Now& now) {
  if (!leading_ || !raft_->CanServe() || now.mono_ < next_repair_) {
    return;
  }
  next_repair_ = now.mono_ + kRepairInterval;
  const std::optional<membership::MembershipChange> change =
      membership_planner_.Plan(MemberStatuses(now), now.mono_);
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
    case membership::ChangeKind::kDescribe:
      code =
          raft_->DescribeMember(change->member_.id(), change->member_.zone());
      break;
  }
  if (code == ResultCode::kMembershipBusy) {
    return;
  }
  LogEvent(EventId::kMemberRepaired, {{"change", ChangeName(change->kind_)},
                                      {"member", change->member_.id()},
                                      {"reason", change->reason_},
                                      {"code", Describe(code).name_.data()}});
  ProposeAudit("controller", std::string("member-") + ChangeName(change->kind_),
               change->member_.id() + ": " + change->reason_, code, now);
}

}  // namespace buckthorngate::distribution
