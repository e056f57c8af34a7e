// Local brake: a circuit breaker with which a proxy stops sending calls to the
// new version of a move on strong evidence of its own, without waiting for the
// move controller.
#ifndef SRC_ROLLOUT_BRAKE_H_
#define SRC_ROLLOUT_BRAKE_H_

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace buckthorngate::rollout {

// Brake of one service. Lock-free and safe for concurrent use.
//
// A failure raises a version's score, a success lowers it. The brake engages
// when the new version's score is high while the old version's is low, so that
// a degradation of both versions does not engage it. It stays engaged for one
// step of the move; the controller's next step releases it.
class Brake {
 public:
  // Records the outcome of a call at `step` of the move. Returns true if this
  // call engaged the brake.
  bool RecordOutcome(uint64_t step, bool new_version, bool failed);

  // Returns whether calls at `step` must not go to the new version.
  bool IsEngaged(uint64_t step) const {
    return engaged_step_.load(std::memory_order_relaxed) == step + 1;
  }

 private:
  static constexpr int32_t kFailureScore = 8;
  static constexpr int32_t kMaxScore = 64;
  static constexpr int32_t kEngageScore = 32;

  // Applies one outcome to a score and returns the new score.
  static int32_t UpdateScore(std::atomic<int32_t>& score, bool failed);

  std::atomic<int32_t> new_score_{0};
  std::atomic<int32_t> old_score_{0};
  // Step that the new version's score belongs to, plus one; 0 if none yet.
  std::atomic<uint64_t> score_step_{0};
  // Step for which the brake is engaged, plus one; 0 if it never was.
  std::atomic<uint64_t> engaged_step_{0};
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_BRAKE_H_
