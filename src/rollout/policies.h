// Move policies that MakeMovePolicy creates.
#ifndef SRC_ROLLOUT_POLICIES_H_
#define SRC_ROLLOUT_POLICIES_H_

#include <optional>
#include <string>

#include "rollout/move_policy.h"

namespace buckthorngate::rollout {

// Doubles the share at fixed intervals and ignores the evidence.
class TimerPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const PolicyInput& input,
                                     std::string& hold_reason) const override;
};

// Doubles the share at fixed intervals and rolls back when a step's failure
// rate or median latency exceeds a fixed limit.
class ThresholdPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const PolicyInput& input,
                                     std::string& hold_reason) const override;
};

// Policy for moves that cannot be rolled back once done. The share stays small
// for most of the time and rises only on proof: a version that turns bad late
// must be detected while a rollback is still possible, and the requests that it
// receives until the deadline count against the bound on its exposure. Without
// proof the move waits, beyond its deadline if necessary.
class FinalMovePolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const PolicyInput& input,
                                     std::string& hold_reason) const override;
};

// Default policy, based on the sequential harm test. Where traffic is too low
// to prove anything, the share rises on a time schedule. Moves that cannot be
// rolled back once done are delegated to FinalMovePolicy.
class SequentialPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const PolicyInput& input,
                                     std::string& hold_reason) const override;

 private:
  FinalMovePolicy final_moves_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_POLICIES_H_
