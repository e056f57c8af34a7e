// Scores of the local brake.
#include "rollout/brake.h"

#include <algorithm>

namespace buckthorngate::rollout {

int32_t Brake::UpdateScore(std::atomic<int32_t>& score, bool failed) {
  const int32_t change = failed ? kFailureScore : -1;
  int32_t current = score.load(std::memory_order_relaxed);
  int32_t next = 0;
  do {
    next = std::clamp(current + change, 0, kMaxScore);
  } while (
      !score.compare_exchange_weak(current, next, std::memory_order_relaxed));
  return next;
}

bool Brake::RecordOutcome(uint64_t step, bool new_version, bool failed) {
  if (score_step_.exchange(step + 1, std::memory_order_relaxed) != step + 1) {
    new_score_.store(0, std::memory_order_relaxed);
  }
  if (!new_version) {
    UpdateScore(old_score_, failed);
    return false;
  }
  const int32_t score = UpdateScore(new_score_, failed);
  const bool evidence_is_strong =
      score >= kEngageScore &&
      old_score_.load(std::memory_order_relaxed) < kEngageScore / 2;
  if (!evidence_is_strong) {
    return false;
  }
  return engaged_step_.exchange(step + 1, std::memory_order_relaxed) !=
         step + 1;
}

}  // namespace buckthorngate::rollout
