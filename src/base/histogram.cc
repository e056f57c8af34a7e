// Histogram of durations.
#include "base/histogram.h"

#include <algorithm>

namespace buckthorngate::base {
namespace {

std::string Seconds(Duration duration) {
  return std::to_string(std::chrono::duration<double>(duration).count());
}

}  // namespace

void TimeHistogram::Record(Duration duration) {
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), duration);
  counts_.at(static_cast<size_t>(bound - kBounds.begin()))
      .fetch_add(1, std::memory_order_relaxed);
  sum_us_.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::string TimeHistogram::Render(const std::string& name,
                                  std::string_view labels) const {
  const std::string label_prefix =
      labels.empty() ? "" : std::string(labels) + ",";
  const std::string label_set =
      labels.empty() ? "" : "{" + std::string(labels) + "}";
  std::string out;
  uint64_t count = 0;
  for (size_t i = 0; i < counts_.size(); ++i) {
    count += counts_.at(i).load(std::memory_order_relaxed);
    const std::string bound =
        i < kBounds.size() ? Seconds(kBounds.at(i)) : "+Inf";
    out += name;
    out += "_bucket{";
    out += label_prefix;
    out += "le=\"";
    out += bound;
    out += "\"} ";
    out += std::to_string(count);
    out += "\n";
  }
  out += name + "_sum" + label_set + " " +
         Seconds(Duration(sum_us_.load(std::memory_order_relaxed))) + "\n";
  out += name + "_count" + label_set + " " + std::to_string(count) + "\n";
  return out;
}

}  // namespace buckthorngate::base
