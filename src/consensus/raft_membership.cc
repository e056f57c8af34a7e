// Membership of the sources: voters, learners, the leader's quorum check, and
// what the leader knows of the voters' replies and clocks.
#include <algorithm>

#include "consensus/raft_core.h"

namespace buckthorngate::consensus {

bool RaftCore::IsVoter(const std::string& id) const {
  return std::any_of(membership_.members().begin(), membership_.members().end(),
                     [&id](const rpc::Member& member) {
                       return member.id() == id && !member.learner();
                     });
}

bool RaftCore::IsMember(const std::string& id) const {
  return std::any_of(
      membership_.members().begin(), membership_.members().end(),
      [&id](const rpc::Member& member) { return member.id() == id; });
}

size_t RaftCore::VoterCount() const {
  return static_cast<size_t>(std::count_if(
      membership_.members().begin(), membership_.members().end(),
      [](const rpc::Member& member) { return !member.learner(); }));
}

std::vector<std::string> RaftCore::OtherMembers(bool voters_only) const {
  std::vector<std::string> ids;
  for (const rpc::Member& member : membership_.members()) {
    if (member.id() != id_ && !(voters_only && member.learner())) {
      ids.push_back(member.id());
    }
  }
  return ids;
}

void RaftCore::RecomputeMembership() {
  membership_ =
      snapshot_.index() > 0 ? snapshot_.membership() : initial_membership_;
  membership_index_ = snapshot_.index();
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->kind() == rpc::ENTRY_KIND_MEMBERSHIP) {
      membership_.ParseFromString(entry->payload());
      membership_index_ = entry->index();
      return;
    }
  }
}

ResultCode RaftCore::CheckMembershipChange() const {
  if (role_ != Role::kLeader) {
    return ResultCode::kNotLeader;
  }
  // Two concurrent changes, or one before the leader has committed an entry of
  // its term, could lead to two disjoint majorities.
  if (membership_index_ > commit_index_ || !CanServe()) {
    return ResultCode::kMembershipBusy;
  }
  return ResultCode::kOk;
}

ResultCode RaftCore::AddLearner(const rpc::Member& member) {
  const ResultCode allowed = CheckMembershipChange();
  if (allowed != ResultCode::kOk || IsMember(member.id())) {
    return allowed;
  }
  rpc::Membership next = membership_;
  rpc::Member& added = *next.add_members();
  added = member;
  added.set_learner(true);
  AppendAsLeader(rpc::ENTRY_KIND_MEMBERSHIP, next.SerializeAsString());
  return ResultCode::kOk;
}

ResultCode RaftCore::RemoveMember(const std::string& id) {
  const ResultCode allowed = CheckMembershipChange();
  if (allowed != ResultCode::kOk) {
    return allowed;
  }
  if (!IsMember(id) || (IsVoter(id) && VoterCount() == 1)) {
    return ResultCode::kUnknownMember;
  }
  rpc::Membership next;
  for (const rpc::Member& member : membership_.members()) {
    if (member.id() != id) {
      *next.add_members() = member;
    }
  }
  AppendAsLeader(rpc::ENTRY_KIND_MEMBERSHIP, next.SerializeAsString());
  peers_.erase(id);
  return ResultCode::kOk;
}

bool RaftCore::CaughtUp(const std::string& id) const {
  const auto peer = peers_.find(id);
  return id == id_ || (peer != peers_.end() && peer->second.match_index_ > 0 &&
                       peer->second.match_index_ >= commit_index_);
}

base::Duration RaftCore::TimeSinceLastReply(const std::string& id,
                                            const base::Now& now) const {
  const auto peer = peers_.find(id);
  return peer == peers_.end() ? base::Duration(0)
                              : now.mono_ - peer->second.last_reply_;
}

ResultCode RaftCore::PromoteLearner(const std::string& id) {
  const ResultCode allowed = CheckMembershipChange();
  if (allowed != ResultCode::kOk) {
    return allowed;
  }
  rpc::Membership next = membership_;
  for (rpc::Member& member : *next.mutable_members()) {
    if (member.id() == id && member.learner()) {
      member.set_learner(false);
      AppendAsLeader(rpc::ENTRY_KIND_MEMBERSHIP, next.SerializeAsString());
      return ResultCode::kOk;
    }
  }
  return ResultCode::kUnknownMember;
}

ResultCode RaftCore::DescribeMember(const std::string& id,
                                    const std::string& zone) {
  const ResultCode allowed = CheckMembershipChange();
  if (allowed != ResultCode::kOk) {
    return allowed;
  }
  rpc::Membership next = membership_;
  for (rpc::Member& member : *next.mutable_members()) {
    if (member.id() == id) {
      member.set_zone(zone);
      AppendAsLeader(rpc::ENTRY_KIND_MEMBERSHIP, next.SerializeAsString());
      return ResultCode::kOk;
    }
  }
  return ResultCode::kUnknownMember;
}

void RaftCore::PromoteCaughtUpLearner() {
  for (const rpc::Member& member : membership_.members()) {
    if (member.learner() && CaughtUp(member.id())) {
      (void)PromoteLearner(member.id());
      return;
    }
  }
}

base::MonoTime RaftCore::MajorityContact(const base::Now& now) const {
  std::vector<base::MonoTime> contacts;
  if (IsVoter(id_)) {
    contacts.push_back(now.mono_);
  }
  for (const std::string& id : OtherMembers(true)) {
    const auto peer = peers_.find(id);
    contacts.push_back(peer == peers_.end() ? base::MonoTime()
                                            : peer->second.acked_send_time_);
  }
  if (contacts.size() < Majority()) {
    return base::MonoTime();
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts[Majority() - 1];
}

void RaftCore::CheckQuorum(const base::Now& now) {
  const bool removed = !IsMember(id_) && membership_index_ <= commit_index_;
  if (removed || now.mono_ - MajorityContact(now) > kQuorumTimeout) {
    BecomeFollower(hard_state_.term(), "");
    ResetElectionTimer(now);
  }
}

base::Duration RaftCore::ContactAge(const base::Now& now) const {
  const base::MonoTime contact =
      role_ == Role::kLeader ? MajorityContact(now) : last_leader_contact_;
  return now.mono_ - contact;
}

base::WallTime RaftCore::MedianClock(const base::Now& now) const {
  std::vector<std::chrono::milliseconds> offsets = {
      std::chrono::milliseconds(0)};
  for (const std::string& id : OtherMembers(true)) {
    const auto peer = peers_.find(id);
    if (peer != peers_.end() && peer->second.clock_offset_) {
      offsets.push_back(*peer->second.clock_offset_);
    }
  }
  std::sort(offsets.begin(), offsets.end());
  // For an even number of clocks, the lower of the two middle ones.
  return now.wall_ + offsets[(offsets.size() - 1) / 2];
}

}  // namespace buckthorngate::consensus
