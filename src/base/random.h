// Pseudo-random generator, passed in as a parameter so that a run can be
// reproduced from its seed.
#ifndef SRC_BASE_RANDOM_H_
#define SRC_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "base/time.h"

namespace buckthorngate::base {

// Not safe for concurrent use; give each thread or node its own.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // Uniform in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
  }
  // Uniform in [0, 1).
  double Unit() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
  }
  // Uniform in [0, max), that is full jitter; 0 if `max` is not positive.
  Duration Jitter(Duration max) {
    if (max.count() <= 0) {
      return Duration(0);
    }
    return Duration(Below(static_cast<uint64_t>(max.count())));
  }
  std::mt19937_64& Engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace buckthorngate::base

#endif  // SRC_BASE_RANDOM_H_
