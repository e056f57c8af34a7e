// Repairs the Raft membership of the sources without an operator, so that
// they keep tolerating the loss of as many voters as configured, or of a zone.
//
// The leader adds hosts that ask to join as learners. When a voter has lost its
// disk or is unresponsive, the leader promotes a learner that has caught up and
// removes the failed voter.
//
// An unresponsive voter may recover. It is removed only after a learner has
// been promoted in its place, so that the number of reachable voters never
// drops. A voter whose disk is lost cannot recover. It is removed first, as
// soon as a learner is ready to replace it: if the replacement were promoted
// first and failed as well, two of four voters would be down.
//
// Voters are placed in different zones as far as possible: a learner of the
// zone with the fewest voters is promoted first.
#ifndef SRC_MEMBERSHIP_PLANNER_H_
#define SRC_MEMBERSHIP_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::membership {

// Voters that are needed to tolerate the loss of `tolerated_losses` of them;
// at least three. Further members stay learners on standby.
constexpr size_t TargetVoters(size_t tolerated_losses) {
  constexpr size_t kMinVoters = 3;
  const size_t needed = 2 * tolerated_losses + 1;
  return needed < kMinVoters ? kMinVoters : needed;
}
// Bounds the size of heartbeats and the messages between control hosts. Room
// for all control hosts of the largest mesh and their replacements.
inline constexpr size_t kMaxMembers = 40;
// A voter without contact for this long is replaced if a learner has caught up.
inline constexpr base::Duration kVoterTimeout = std::chrono::milliseconds(3000);
// A learner without contact for longer than this is removed.
inline constexpr base::Duration kLearnerTimeout = std::chrono::seconds(20);
// Lifetime of a join request. A joining host repeats its request within it.
inline constexpr base::Duration kJoinRequestTtl = std::chrono::seconds(2);

// State of one member as the leader sees it.
struct MemberStatus {
  rpc::Member member_;
  // Time since the last reply of the member to the leader, or since the leader
  // began to replicate to it if that is later.
  base::Duration since_contact_{0};
  // Whether the member's log has caught up with the leader's.
  bool caught_up_ = false;
  // Zone as reported by the host, if the membership does not contain it: seeds
  // are listed without a zone.
  std::string reported_zone_;

  const std::string& Zone() const {
    return member_.zone().empty() ? reported_zone_ : member_.zone();
  }
};

enum class ChangeKind : uint8_t {
  kAddLearner,
  kPromote,
  kRemove,
  kDescribe,  // Adds the member's zone to the membership.
};

struct MembershipChange {
  ChangeKind kind_ = ChangeKind::kAddLearner;
  rpc::Member member_;
  std::string reason_;
};

class MembershipPlanner {
 public:
  explicit MembershipPlanner(size_t target_voters = TargetVoters(1))
      : target_voters_(target_voters) {}

  // Drops all pending join requests. Called when leadership begins.
  void Reset() { pending_joins_.clear(); }
  // Records a join request. It expires after kJoinRequestTtl unless repeated.
  void RecordJoinRequest(const rpc::Member& member, base::MonoTime now);

  // Returns the next membership change to propose, if any. `members` includes
  // the leader itself.
  std::optional<MembershipChange> Plan(const std::vector<MemberStatus>& members,
                                       base::MonoTime now);

 private:
  struct PendingJoin {
    rpc::Member member_;
    base::MonoTime requested_at_;
  };

  // Returns the change that admits a joining host, if one is pending.
  std::optional<MembershipChange> PlanJoin(
      const std::vector<MemberStatus>& members,
      base::MonoTime now);

  const size_t target_voters_;
  std::map<std::string, PendingJoin> pending_joins_;  // By member id.
};

}  // namespace buckthorngate::membership

#endif  // SRC_MEMBERSHIP_PLANNER_H_
