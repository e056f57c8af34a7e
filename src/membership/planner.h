// Keeps the sources' membership at its fault tolerance without an operator.
//
// The leader adds hosts that ask to join as learners, promotes a caught-up
// learner when a voter has lost its disk or is silent, and removes that voter.
//
// A silent voter may come back: it is removed only after its successor was
// promoted, so that the number of voters that can be reached never falls. One
// whose disk is lost is removed first, once a successor is ready: beside it, a
// successor that is lost as well would leave two dead voters of four.
#ifndef SRC_MEMBERSHIP_PLANNER_H_
#define SRC_MEMBERSHIP_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::membership {

// Voters that are wanted; further members stay learners, ready to take over.
inline constexpr size_t kWantedVoters = 3;
inline constexpr size_t kMaxMembers = 9;
// A voter that is silent for longer is replaced if a learner is at hand.
inline constexpr base::Duration kVoterSilence = std::chrono::milliseconds(3000);
inline constexpr base::Duration kLearnerSilence = std::chrono::seconds(20);
// A host that wants to join asks again within this time.
inline constexpr base::Duration kJoinLifetime = std::chrono::seconds(2);

// What the leader knows of one member.
struct MemberStatus {
  rpc::Member member_;
  base::Duration since_contact_{0};
  bool caught_up_ = false;
};

enum class ChangeKind : uint8_t { kAddLearner, kPromote, kRemove };

struct MembershipChange {
  ChangeKind kind_ = ChangeKind::kAddLearner;
  rpc::Member member_;
  std::string reason_;
};

class MembershipPlanner {
 public:
  // Forgets who asked, when leadership begins.
  void Reset() { joining_.clear(); }
  void RecordJoinRequest(const rpc::Member& member, base::MonoTime now);

  // The next change, if any. `members` includes the leader itself.
  std::optional<MembershipChange> Plan(const std::vector<MemberStatus>& members,
                                       base::MonoTime now);

 private:
  struct Joining {
    rpc::Member member_;
    base::MonoTime asked_;
  };

  std::optional<MembershipChange> PlanJoin(
      const std::vector<MemberStatus>& members,
      base::MonoTime now);

  std::map<std::string, Joining> joining_;  // By identity.
};

}  // namespace buckthorngate::membership

#endif  // SRC_MEMBERSHIP_PLANNER_H_
