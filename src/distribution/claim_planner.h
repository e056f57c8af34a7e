// Chooses the claim group's members among the relays that have a disk.
//
// The group has up to kClaimGroupSize members in different zones. It changes
// by one member at a time, only when a majority of the present members has a
// complete ledger, so that the next group can copy every claim.
#ifndef SRC_DISTRIBUTION_CLAIM_PLANNER_H_
#define SRC_DISTRIBUTION_CLAIM_PLANNER_H_

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

inline constexpr int kClaimGroupSize = 3;
// A member is replaced after being silent for this long.
inline constexpr base::Duration kClaimMemberPatience = std::chrono::seconds(30);
// The first group waits this long for relays to appear.
inline constexpr base::Duration kClaimFormationDelay = std::chrono::seconds(2);

class ClaimPlanner {
 public:
  // Forgets what is known, when leadership begins.
  void Reset();

  void NoteRelay(const std::string& relay,
                 const std::string& zone,
                 base::MonoTime now);
  // The relay's ledger is complete for `epoch`.
  void NoteReady(const std::string& relay, uint64_t epoch, base::MonoTime now);

  // The next change to propose, if any.
  std::optional<rpc::ClaimGroupChange> Plan(const rpc::ClaimGroup& group,
                                            const base::Now& now);

 private:
  struct Relay {
    std::string zone_;
    base::MonoTime heard_;
    uint64_t ready_epoch_ = 0;
  };

  bool Alive(const std::string& relay,
             base::MonoTime now,
             base::Duration patience) const;
  std::optional<rpc::ClaimMember> Candidate(
      const google::protobuf::RepeatedPtrField<rpc::ClaimMember>& members,
      base::MonoTime now) const;

  std::map<std::string, Relay> relays_;
  std::optional<base::MonoTime> first_seen_;
  base::MonoTime next_plan_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CLAIM_PLANNER_H_
