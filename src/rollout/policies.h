// The policies behind MakeMovePolicy.
#ifndef SRC_ROLLOUT_POLICIES_H_
#define SRC_ROLLOUT_POLICIES_H_

#include <optional>
#include <string>

#include "rollout/move_policy.h"

namespace buckthorngate::rollout {

// Doubles the share at fixed intervals; never looks at evidence.
class TimerPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const MoveView& view,
                                     std::string& hold_reason) const override;
};

// Doubles at fixed intervals and takes back when a step's failure rate or
// median latency exceeds a fixed limit.
class ThresholdPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const MoveView& view,
                                     std::string& hold_reason) const override;
};

// Moves that are final once done. The share stays small for most of the time
// and rises only on proof: a version that turns bad late must be found before
// there is no way back, and what it gets until the deadline counts. Without
// proof the move waits, beyond its deadline if need be.
class FinalMovePolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const MoveView& view,
                                     std::string& hold_reason) const override;
};

// Sequential test; time decides where traffic is too thin to prove anything.
// Moves that are final once done are left to FinalMovePolicy.
class SequentialPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const MoveView& view,
                                     std::string& hold_reason) const override;

 private:
  FinalMovePolicy final_moves_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_POLICIES_H_
