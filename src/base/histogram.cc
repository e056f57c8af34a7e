// Counts of times by upper bounds.
#include "base/histogram.h"

#include <algorithm>

namespace buckthorngate::base {
namespace {

std::string Seconds(Duration time) {
  return std::to_string(std::chrono::duration<double>(time).count());
}

}  // namespace

void TimeHistogram::Note(Duration time) {
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), time);
  counts_.at(static_cast<size_t>(bound - kBounds.begin()))
      .fetch_add(1, std::memory_order_relaxed);
  sum_us_.fetch_add(time.count(), std::memory_order_relaxed);
}

std::string TimeHistogram::Render(const std::string& name,
                                  std::string_view labels) const {
  const std::string more = labels.empty() ? "" : std::string(labels) + ",";
  const std::string set = labels.empty() ? "" : "{" + std::string(labels) + "}";
  std::string out;
  uint64_t count = 0;
  for (size_t i = 0; i < counts_.size(); ++i) {
    count += counts_.at(i).load(std::memory_order_relaxed);
    const std::string bound =
        i < kBounds.size() ? Seconds(kBounds.at(i)) : "+Inf";
    out += name;
    out += "_bucket{";
    out += more;
    out += "le=\"";
    out += bound;
    out += "\"} ";
    out += std::to_string(count);
    out += "\n";
  }
  out += name + "_sum" + set + " " +
         Seconds(Duration(sum_us_.load(std::memory_order_relaxed))) + "\n";
  out += name + "_count" + set + " " + std::to_string(count) + "\n";
  return out;
}

}  // namespace buckthorngate::base
