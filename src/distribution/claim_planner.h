// Plans the membership of the claim group, the relays that replicate claims of
// at-most-once requests.
//
// Members are chosen among the relays that have a disk: up to kClaimGroupSize,
// each in a different zone. After its formation the group changes by one member
// at a time, and only while a majority of the current members holds a complete
// ledger, so that the next group can copy every claim. Runs on the leader.
#ifndef SRC_DISTRIBUTION_CLAIM_PLANNER_H_
#define SRC_DISTRIBUTION_CLAIM_PLANNER_H_

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

inline constexpr int kClaimGroupSize = 3;
// A member that has been out of contact for this long is replaced.
inline constexpr base::Duration kClaimMemberTimeout = std::chrono::seconds(30);
// Time from the first relay's contact to the formation of the first group, so
// that relays of other zones can connect.
inline constexpr base::Duration kClaimFormationDelay = std::chrono::seconds(2);

class ClaimPlanner {
 public:
  // Discards all observations of relays. Called when this source becomes
  // leader.
  void Reset();

  // Records contact with a relay that has a disk.
  void RecordRelay(const std::string& relay,
                   const std::string& zone,
                   base::MonoTime now);
  // Records that the relay's ledger is complete for `epoch`. Ignored for relays
  // that RecordRelay has not seen.
  void RecordReadyEpoch(const std::string& relay,
                        uint64_t epoch,
                        base::MonoTime now);

  // Returns the next change to propose, if any.
  std::optional<rpc::ClaimGroupChange> Plan(const rpc::ClaimGroup& group,
                                            const base::Now& now);

 private:
  struct Relay {
    std::string zone_;
    base::MonoTime last_contact_;
    uint64_t ready_epoch_ = 0;
  };

  // Whether the relay was in contact within `timeout`. For a relay without any
  // contact the time counts from the first contact of any relay.
  bool Responsive(const std::string& relay,
                  base::MonoTime now,
                  base::Duration timeout) const;
  // Returns a responsive relay in a zone that none of `members` is in, if any.
  std::optional<rpc::ClaimMember> FindCandidate(
      const google::protobuf::RepeatedPtrField<rpc::ClaimMember>& members,
      base::MonoTime now) const;

  std::map<std::string, Relay> relays_;
  // First contact of any relay since Reset.
  std::optional<base::MonoTime> first_contact_;
  base::MonoTime next_plan_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CLAIM_PLANNER_H_
