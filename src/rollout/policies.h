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

// Sequential test with an exposure budget.
class SequentialPolicy : public MovePolicy {
 public:
  std::optional<MoveDecision> Decide(const MoveView& view,
                                     std::string& hold_reason) const override;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_POLICIES_H_
