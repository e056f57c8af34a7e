// Histogram of durations, for the metrics page.
#ifndef SRC_BASE_HISTOGRAM_H_
#define SRC_BASE_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace buckthorngate::base {

// Safe for concurrent use; lock-free.
class TimeHistogram {
 public:
  // Inclusive upper bounds of the buckets; the same in all daemons, so that
  // their counts can be summed.
  static constexpr std::array<Duration, 14> kBounds = {
      std::chrono::milliseconds(1),     std::chrono::milliseconds(2),
      std::chrono::milliseconds(5),     std::chrono::milliseconds(10),
      std::chrono::milliseconds(25),    std::chrono::milliseconds(50),
      std::chrono::milliseconds(100),   std::chrono::milliseconds(250),
      std::chrono::milliseconds(500),   std::chrono::milliseconds(1000),
      std::chrono::milliseconds(2500),  std::chrono::milliseconds(5000),
      std::chrono::milliseconds(10000), std::chrono::milliseconds(30000)};

  void Record(Duration duration);

  // The histogram in the Prometheus text format, without the TYPE line.
  // `labels` is empty or like `side="entry"`.
  std::string Render(const std::string& name, std::string_view labels) const;

 private:
  // One count per bucket; the last one is for durations beyond all bounds.
  std::array<std::atomic<uint64_t>, kBounds.size() + 1> counts_ = {};
  std::atomic<int64_t> sum_us_{0};
};

}  // namespace buckthorngate::base

#endif  // SRC_BASE_HISTOGRAM_H_
