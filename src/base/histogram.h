// Counts of times by upper bounds, for pages of metrics.
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

// Safe for concurrent use; takes no lock.
class TimeHistogram {
 public:
  // Inclusive upper bounds, the same for all, so that counts of daemons add up.
  static constexpr std::array<Duration, 14> kBounds = {
      std::chrono::milliseconds(1),     std::chrono::milliseconds(2),
      std::chrono::milliseconds(5),     std::chrono::milliseconds(10),
      std::chrono::milliseconds(25),    std::chrono::milliseconds(50),
      std::chrono::milliseconds(100),   std::chrono::milliseconds(250),
      std::chrono::milliseconds(500),   std::chrono::milliseconds(1000),
      std::chrono::milliseconds(2500),  std::chrono::milliseconds(5000),
      std::chrono::milliseconds(10000), std::chrono::milliseconds(30000)};

  void Note(Duration time);

  // Lines of the Prometheus text format, without the TYPE line. `labels` is
  // empty or like `side="entry"`.
  std::string Render(const std::string& name, std::string_view labels) const;

 private:
  // By bound; the last counts what exceeds all bounds.
  std::array<std::atomic<uint64_t>, kBounds.size() + 1> counts_ = {};
  std::atomic<int64_t> sum_us_{0};
};

}  // namespace buckthorngate::base

#endif  // SRC_BASE_HISTOGRAM_H_
