// Local brake: a proxy stops sending calls to a move's target on strong
// evidence of its own, without waiting for the controller.
#ifndef SRC_ROLLOUT_BRAKE_H_
#define SRC_ROLLOUT_BRAKE_H_

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace buckthorngate::rollout {

// Brake of one service. Safe for concurrent use, without locks.
//
// Failures raise a score, successes lower it. The brake closes when the new
// version's score is high while the old version's is low, so that trouble that
// is common to both does not close it. It holds for one step of the move: the
// controller's next step opens it again.
class Brake {
 public:
  // Notes the outcome of a call; true if it closed the brake just now.
  bool RecordOutcome(uint64_t step, bool new_version, bool failed);

  bool IsEngaged(uint64_t step) const {
    return closed_step_.load(std::memory_order_relaxed) == step + 1;
  }

 private:
  static constexpr int32_t kFailureScore = 8;
  static constexpr int32_t kMaxScore = 64;
  static constexpr int32_t kCloseScore = 32;

  static int32_t Move(std::atomic<int32_t>& score, bool failed);

  std::atomic<int32_t> new_score_{0};
  std::atomic<int32_t> old_score_{0};
  // Step of the scores, plus one; 0: none yet.
  std::atomic<uint64_t> score_step_{0};
  // Step for which the brake is closed, plus one; 0: never closed.
  std::atomic<uint64_t> closed_step_{0};
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_BRAKE_H_
