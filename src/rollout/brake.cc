// Local brake.
#include "rollout/brake.h"

#include <algorithm>

namespace buckthorngate::rollout {

int32_t Brake::Move(std::atomic<int32_t>& score, bool failed) {
  const int32_t change = failed ? kFailureScore : -1;
  int32_t held = score.load(std::memory_order_relaxed);
  int32_t next = 0;
  do {
    next = std::clamp(held + change, 0, kMaxScore);
  } while (!score.compare_exchange_weak(held, next, std::memory_order_relaxed));
  return next;
}

bool Brake::RecordOutcome(uint64_t step, bool new_version, bool failed) {
  if (score_step_.exchange(step + 1, std::memory_order_relaxed) != step + 1) {
    new_score_.store(0, std::memory_order_relaxed);
  }
  if (!new_version) {
    Move(old_score_, failed);
    return false;
  }
  const int32_t score = Move(new_score_, failed);
  const bool strong =
      score >= kCloseScore &&
      old_score_.load(std::memory_order_relaxed) < kCloseScore / 2;
  if (!strong) {
    return false;
  }
  return closed_step_.exchange(step + 1, std::memory_order_relaxed) != step + 1;
}

}  // namespace buckthorngate::rollout
