// Time types and the clock interface.
//
// Decision logic never reads a clock: it receives the current time as a
// parameter. Adapters read it through Clock, so that tests can run on virtual
// time.
#ifndef SRC_BASE_TIME_H_
#define SRC_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace buckthorngate::base {

using Duration = std::chrono::microseconds;

// Monotonic time of one process; not comparable between processes.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock,
                                         std::chrono::microseconds>;

// Wall-clock time, comparable between processes up to clock error.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Clock of leases that another host may have replaced while this one was
// suspended: unlike MonoTime, it also counts that time.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() {
    timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
  }
};
using BootTime = BootClock::time_point;

struct Now {
  MonoTime mono_;
  WallTime wall_;
  // Virtual clocks that are never suspended leave the default.
  BootTime boot_{mono_.time_since_epoch()};
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Now Read() const = 0;
};

// Current time of the steady clock, for adapters without access to a Clock.
inline MonoTime MonoNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

// Reads the operating system's clocks.
class SystemClock : public Clock {
 public:
  Now Read() const override {
    return {MonoNow(),
            std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now()),
            BootClock::now()};
  }
};

// Conversions for the integer fields of messages (Unix time, milliseconds).
inline int64_t ToUnixMs(WallTime time) {
  return time.time_since_epoch().count();
}
inline WallTime FromUnixMs(int64_t unix_ms) {
  return WallTime(std::chrono::milliseconds(unix_ms));
}

}  // namespace buckthorngate::base

#endif  // SRC_BASE_TIME_H_
