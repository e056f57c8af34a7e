// Repair of the sources' membership.
#include "membership/planner.h"

#include <algorithm>

namespace buckthorngate::membership {
namespace {

bool IsVoter(const MemberStatus& status) {
  return !status.member_.learner();
}

// Whether a later identity lives at the member's address: its disk is lost.
bool Superseded(const MemberStatus& status,
                const std::vector<MemberStatus>& members) {
  return std::any_of(
      members.begin(), members.end(), [&status](const MemberStatus& other) {
        return other.member_.address() == status.member_.address() &&
               other.member_.id() != status.member_.id() &&
               other.since_contact_ < status.since_contact_;
      });
}

bool Lost(const MemberStatus& status,
          const std::vector<MemberStatus>& members) {
  return status.since_contact_ >= kVoterSilence || Superseded(status, members);
}

// The lost voter that has been silent for longest, or null.
const MemberStatus* FindLostVoter(const std::vector<MemberStatus>& members) {
  const MemberStatus* lost = nullptr;
  for (const MemberStatus& status : members) {
    const bool later =
        lost == nullptr || status.since_contact_ > lost->since_contact_;
    if (IsVoter(status) && Lost(status, members) && later) {
      lost = &status;
    }
  }
  return lost;
}

const MemberStatus* FindReadyLearner(const std::vector<MemberStatus>& members) {
  const auto found = std::find_if(
      members.begin(), members.end(), [&members](const MemberStatus& status) {
        return !IsVoter(status) && status.caught_up_ && !Lost(status, members);
      });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace

void MembershipPlanner::RecordJoinRequest(const rpc::Member& member,
                                          base::MonoTime now) {
  joining_[member.id()] = {member, now};
}

std::optional<MembershipChange> MembershipPlanner::PlanJoin(
    const std::vector<MemberStatus>& members,
    base::MonoTime now) {
  std::erase_if(joining_, [&](const auto& item) {
    const bool member = std::any_of(members.begin(), members.end(),
                                    [&item](const MemberStatus& status) {
                                      return status.member_.id() == item.first;
                                    });
    return member || now - item.second.asked_ > kJoinLifetime;
  });
  if (joining_.empty()) {
    return std::nullopt;
  }
  const rpc::Member& joiner = joining_.begin()->second.member_;
  // A learner at the joiner's address is its former identity.
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
  if (lost != nullptr && voters > kWantedVoters) {
    return MembershipChange{ChangeKind::kRemove, lost->member_,
                            "lost, and replaced"};
  }
  const MemberStatus* ready = FindReadyLearner(members);
  if (lost != nullptr && ready != nullptr && voters == kWantedVoters &&
      Superseded(*lost, members)) {
    return MembershipChange{ChangeKind::kRemove, lost->member_,
                            "its disk is lost"};
  }
  if (ready != nullptr && (lost != nullptr || voters < kWantedVoters)) {
    return MembershipChange{
        ChangeKind::kPromote, ready->member_,
        lost != nullptr ? "a voter is lost" : "voters are missing"};
  }
  std::optional<MembershipChange> join = PlanJoin(members, now);
  if (join) {
    return join;
  }
  for (const MemberStatus& status : members) {
    if (!IsVoter(status) && status.since_contact_ > kLearnerSilence) {
      return MembershipChange{ChangeKind::kRemove, status.member_,
                              "a silent learner"};
    }
  }
  return std::nullopt;
}

}  // namespace buckthorngate::membership
