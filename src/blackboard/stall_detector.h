// Detects that this process was recently stopped or starved of CPU time.
//
// A process that resumes finds old requests in its sockets. Their deadlines,
// transmitted as remaining time, do not account for the time they waited there.
// After a stall the request path therefore checks that the caller is still
// connected before it executes a request.
#ifndef SRC_BLACKBOARD_STALL_DETECTOR_H_
#define SRC_BLACKBOARD_STALL_DETECTOR_H_

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace buckthorngate::blackboard {

// Safe for concurrent use; Tick has one caller.
class StallDetector {
 public:
  // Called at least every base::kTimerInterval while the process runs.
  void Tick(base::MonoTime now) {
    const int64_t now_us = now.time_since_epoch().count();
    const int64_t last_us =
        last_tick_us_.exchange(now_us, std::memory_order_relaxed);
    if (last_us != 0 && now_us - last_us > kStallThreshold.count()) {
      suspect_until_us_.store(now_us + kSuspectTime.count(),
                              std::memory_order_relaxed);
    }
  }

  // Whether a stall ended within the last kSuspectTime or is just ending.
  bool Stalled(base::MonoTime now) const {
    const int64_t now_us = now.time_since_epoch().count();
    const int64_t last_us = last_tick_us_.load(std::memory_order_relaxed);
    // When the process resumes, requests may run before the next tick.
    return now_us < suspect_until_us_.load(std::memory_order_relaxed) ||
           (last_us != 0 && now_us - last_us > kStallThreshold.count());
  }

 private:
  static constexpr base::Duration kStallThreshold =
      std::chrono::milliseconds(150);
  // How long requests found after a stall are treated as possibly outdated.
  static constexpr base::Duration kSuspectTime = std::chrono::seconds(2);

  std::atomic<int64_t> last_tick_us_{0};
  std::atomic<int64_t> suspect_until_us_{0};
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_STALL_DETECTOR_H_
