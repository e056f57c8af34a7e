// Moving averages of work and of its deviation.
#include "request/work_estimator.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

// Least weight of a new sample. The first samples are averaged evenly.
constexpr double kMinSampleWeight = 0.1;
// Time constant by which an estimate without new samples approaches the
// average: the mix of a route's requests may have changed meanwhile.
constexpr double kDecaySeconds = 30.0;
// Kinds with estimates of their own; the others count as average.
constexpr size_t kMaxKinds = 64;

void Blend(base::Duration& average, base::Duration sample, double weight) {
  const double difference = static_cast<double>((sample - average).count());
  average += base::Duration(static_cast<int64_t>(difference * weight));
}

}  // namespace

void WorkEstimator::Entry::Add(base::Duration work, base::MonoTime now) {
  ++samples_;
  const double weight =
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(samples_));
  const base::Duration deviation = std::chrono::abs(work - estimate_.mean_);
  if (samples_ > 1) {
    Blend(estimate_.deviation_, deviation, weight);
  }
  Blend(estimate_.mean_, work, weight);
  updated_ = now;
}

void WorkEstimator::Record(const std::string& kind,
                           base::Duration work,
                           base::MonoTime now) {
  average_.Add(work, now);
  if (kinds_.size() >= kMaxKinds && !kinds_.contains(kind)) {
    const auto oldest = std::min_element(
        kinds_.begin(), kinds_.end(), [](const auto& a, const auto& b) {
          return a.second.updated_ < b.second.updated_;
        });
    kinds_.erase(oldest);
  }
  kinds_[kind].Add(work, now);
}

WorkEstimate WorkEstimator::Of(const std::string& kind,
                               base::MonoTime now) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return average_.estimate_;
  }
  const Entry& entry = found->second;
  const double age =
      std::chrono::duration<double>(now - entry.updated_).count();
  const double faded = 1.0 - std::exp(-std::max(age, 0.0) / kDecaySeconds);
  WorkEstimate estimate = entry.estimate_;
  Blend(estimate.mean_, average_.estimate_.mean_, faded);
  Blend(estimate.deviation_, average_.estimate_.deviation_, faded);
  return estimate;
}

}  // namespace buckthorngate::request
