// Tells whether this process was stopped or starved a moment ago.
//
// A stopped process finds old requests in its sockets when it wakes, with a
// remaining time that says nothing of how long they lay there. After a stall
// the path of a request therefore checks that its caller is still there.
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
    if (last_us != 0 && now_us - last_us > kStall.count()) {
      suspect_until_us_.store(now_us + kSuspectTime.count(),
                              std::memory_order_relaxed);
    }
  }

  bool Stalled(base::MonoTime now) const {
    const int64_t now_us = now.time_since_epoch().count();
    const int64_t last_us = last_tick_us_.load(std::memory_order_relaxed);
    // On waking, requests may run before the next tick.
    return now_us < suspect_until_us_.load(std::memory_order_relaxed) ||
           (last_us != 0 && now_us - last_us > kStall.count());
  }

 private:
  static constexpr base::Duration kStall = std::chrono::milliseconds(150);
  static constexpr base::Duration kSuspectTime = std::chrono::seconds(2);

  std::atomic<int64_t> last_tick_us_{0};
  std::atomic<int64_t> suspect_until_us_{0};
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_STALL_DETECTOR_H_
