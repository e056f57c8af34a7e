// Repair of the Raft membership of the sources.
#include "membership/planner.h"

#include <algorithm>

namespace buckthorngate::membership {
namespace {

bool IsVoter(const MemberStatus& status) {
  return !status.member_.learner();
}

// Returns whether another member with the same address but a different id was
// in contact more recently. The host has then restarted under a new id because
// its disk was lost.
bool LostItsDisk(const MemberStatus& status,
                 const std::vector<MemberStatus>& members) {
  return std::any_of(
      members.begin(), members.end(), [&status](const MemberStatus& other) {
        return other.member_.address() == status.member_.address() &&
               other.member_.id() != status.member_.id() &&
               other.since_contact_ < status.since_contact_;
      });
}

// Returns whether the member has failed: it timed out or lost its disk.
bool IsLost(const MemberStatus& status,
            const std::vector<MemberStatus>& members) {
  return status.since_contact_ >= kVoterTimeout || LostItsDisk(status, members);
}

// Returns the failed voter that has been without contact for longest, or null.
const MemberStatus* FindLostVoter(const std::vector<MemberStatus>& members) {
  const MemberStatus* lost = nullptr;
  for (const MemberStatus& status : members) {
    const bool longer_lost =
        lost == nullptr || status.since_contact_ > lost->since_contact_;
    if (IsVoter(status) && IsLost(status, members) && longer_lost) {
      lost = &status;
    }
  }
  return lost;
}

// Returns the number of live voters in `zone`.
size_t LiveVotersIn(const std::string& zone,
                    const std::vector<MemberStatus>& members) {
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(), [&](const MemberStatus& status) {
        return IsVoter(status) && status.Zone() == zone &&
               !IsLost(status, members);
      }));
}

// Returns a live learner that has caught up with the log, of the zone with the
// fewest live voters, or null.
const MemberStatus* FindReadyLearner(const std::vector<MemberStatus>& members) {
  const MemberStatus* ready = nullptr;
  size_t fewest = 0;
  for (const MemberStatus& status : members) {
    if (IsVoter(status) || !status.caught_up_ || IsLost(status, members)) {
      continue;
    }
    const size_t voters = LiveVotersIn(status.Zone(), members);
    if (ready == nullptr || voters < fewest) {
      ready = &status;
      fewest = voters;
    }
  }
  return ready;
}

// Returns a member whose zone the membership lacks although it is known, or
// null.
const MemberStatus* FindUndescribed(const std::vector<MemberStatus>& members) {
  const auto found = std::find_if(
      members.begin(), members.end(), [](const MemberStatus& status) {
        return status.member_.zone().empty() && !status.reported_zone_.empty();
      });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace

void MembershipPlanner::RecordJoinRequest(const rpc::Member& member,
                                          base::MonoTime now) {
  pending_joins_[member.id()] = {member, now};
}

std::optional<MembershipChange> MembershipPlanner::PlanJoin(
    const std::vector<MemberStatus>& members,
    base::MonoTime now) {
  std::erase_if(pending_joins_, [&](const auto& item) {
    const bool member = std::any_of(members.begin(), members.end(),
                                    [&item](const MemberStatus& status) {
                                      return status.member_.id() == item.first;
                                    });
    return member || now - item.second.requested_at_ > kJoinRequestTtl;
  });
  if (pending_joins_.empty()) {
    return std::nullopt;
  }
  const rpc::Member& joiner = pending_joins_.begin()->second.member_;
  // A learner at the same address is an earlier id of the joining host. It is
  // removed first.
  for (const MemberStatus& status : members) {
    if (!IsVoter(status) && status.member_.address() == joiner.address()) {
      return MembershipChange{ChangeKind::kRemove, status.member_,
                              "its host joins under another identity"};
    }
  }
  if (members.size() >= kMaxMembers) {
    return std::nullopt;
  }
  return MembershipChange{ChangeKind::kAddLearner, joiner, "asked to join"};
}

std::optional<MembershipChange> MembershipPlanner::Plan(
    const std::vector<MemberStatus>& members,
    base::MonoTime now) {
  const size_t voters = static_cast<size_t>(
      std::count_if(members.begin(), members.end(), IsVoter));
  const MemberStatus* lost = FindLostVoter(members);
  if (lost != nullptr && voters > target_voters_) {
    return MembershipChange{ChangeKind::kRemove, lost->member_,
                            "lost, and replaced"};
  }
  const MemberStatus* ready = FindReadyLearner(members);
  if (lost != nullptr && ready != nullptr && voters == target_voters_ &&
      LostItsDisk(*lost, members)) {
    return MembershipChange{ChangeKind::kRemove, lost->member_,
                            "its disk is lost"};
  }
  if (ready != nullptr && (lost != nullptr || voters < target_voters_)) {
    return MembershipChange{
        ChangeKind::kPromote, ready->member_,
        lost != nullptr ? "a voter is lost" : "voters are missing"};
  }
  const MemberStatus* undescribed = FindUndescribed(members);
  if (undescribed != nullptr) {
    MembershipChange change{ChangeKind::kDescribe, undescribed->member_,
                            "its zone is known"};
    change.member_.set_zone(undescribed->reported_zone_);
    return change;
  }
  std::optional<MembershipChange> join = PlanJoin(members, now);
  if (join) {
    return join;
  }
  for (const MemberStatus& status : members) {
    if (!IsVoter(status) && status.since_contact_ > kLearnerTimeout) {
      return MembershipChange{ChangeKind::kRemove, status.member_,
                              "a silent learner"};
    }
  }
  return std::nullopt;
}

}  // namespace buckthorngate::membership
