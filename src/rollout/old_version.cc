// Estimates of the old version's failure rate and latencies.
#include "rollout/old_version.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::rollout {
namespace {

// Factors by which a history decays from one window to the next.
constexpr double kLongTermDecay = 0.98;
constexpr double kShortTermDecay = 0.8;
// Number of standard errors that upper estimates lie above the observed rate.
constexpr double kErrorMarginSigmas = 2.0;
// Rates from fewer calls are estimated as if there had been this many, because
// a rate from few calls is not reliable.
constexpr double kMinCalls = 30.0;
// The short-term history shows a degradation if it has this many failures,
constexpr double kDegradedFailures = 3.0;
// or if its median latency is higher by this many buckets.
constexpr size_t kDegradedMedianBuckets = 2;
constexpr double kMinLatencies = 20.0;
// A slow answer is this many buckets above the median, about 3x.
constexpr size_t kSlowAnswerBuckets = 8;
// Weight of the uniform distribution that bounds likelihood ratios.
constexpr double kUniformWeight = 0.02;

double UpperRate(double failures, double calls) {
  const double counted = std::max(calls, kMinCalls);
  const double rate = (failures + 0.5) / (counted + 1.0);
  const double error = std::sqrt(rate * (1.0 - rate) / (counted + 1.0));
  return rate + kErrorMarginSigmas * error;
}

}  // namespace

void OldVersionBaseline::DecayedCounts::Decay(double factor) {
  calls_ *= factor;
  failures_ *= factor;
  latency_total_ *= factor;
  for (double& count : latencies_) {
    count *= factor;
  }
  for (double& count : unanswered_) {
    count *= factor;
  }
}

void OldVersionBaseline::DecayedCounts::Add(const rpc::RouteEvidence& window) {
  calls_ += static_cast<double>(window.calls());
  failures_ += static_cast<double>(window.failures());
  const size_t buckets = std::min(
      static_cast<size_t>(window.latency_buckets_size()), kLatencyBuckets);
  for (size_t i = 0; i < buckets; ++i) {
    const double count = window.latency_buckets(static_cast<int>(i));
    latencies_[i] += count;
    latency_total_ += count;
  }
  const size_t unanswered = std::min(
      static_cast<size_t>(window.unanswered_buckets_size()), kLatencyBuckets);
  for (size_t i = 0; i < unanswered; ++i) {
    unanswered_[i] += window.unanswered_buckets(static_cast<int>(i));
  }
}

double OldVersionBaseline::DecayedCounts::BadRate(size_t slow_bucket) const {
  double slow = 0.0;
  double unanswered = 0.0;
  for (size_t i = slow_bucket; i < kLatencyBuckets; ++i) {
    slow += latencies_[i];
    unanswered += unanswered_[i];
  }
  return UpperRate(failures_ + slow + unanswered,
                   failures_ + latency_total_ + unanswered);
}

size_t OldVersionBaseline::DecayedCounts::MedianBucket() const {
  double count = 0.0;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    count += latencies_[i];
    if (count * 2.0 >= latency_total_) {
      return i;
    }
  }
  return kLatencyBuckets - 1;
}

void OldVersionBaseline::Add(const rpc::RouteEvidence& window) {
  if (window.calls() == 0 && window.unanswered_buckets_size() == 0) {
    ++windows_without_calls_;
    return;
  }
  windows_without_calls_ = 0;
  calls_ += window.calls();
  crashes_ += window.crashes();
  long_term_.Decay(kLongTermDecay);
  long_term_.Add(window);
  short_term_.Decay(kShortTermDecay);
  short_term_.Add(window);
}

double OldVersionBaseline::FailureRate() const {
  const double long_term_rate =
      UpperRate(long_term_.failures_, long_term_.calls_);
  if (short_term_.failures_ >= kDegradedFailures) {
    return std::max(long_term_rate,
                    UpperRate(short_term_.failures_, short_term_.calls_));
  }
  return long_term_rate;
}

bool OldVersionBaseline::HasLatencies() const {
  return long_term_.latency_total_ >= kMinLatencies;
}

bool OldVersionBaseline::IsSlowedDown() const {
  return short_term_.latency_total_ >= kMinLatencies &&
         short_term_.MedianBucket() >=
             long_term_.MedianBucket() + kDegradedMedianBuckets;
}

size_t OldVersionBaseline::SlowBucket() const {
  return HasLatencies()
             ? std::min(LatencyCounts().MedianBucket() + kSlowAnswerBuckets,
                        kLatencyBuckets)
             : kLatencyBuckets;
}

double OldVersionBaseline::BadRate() const {
  const size_t slow = SlowBucket();
  const double long_term_rate = long_term_.BadRate(slow);
  const double short_term_rate = short_term_.BadRate(slow);
  return short_term_.failures_ >= kDegradedFailures || IsSlowedDown()
             ? std::max(long_term_rate, short_term_rate)
             : long_term_rate;
}

LatencyDistribution OldVersionBaseline::ShiftedLatencies(size_t buckets) const {
  const DecayedCounts& counts = LatencyCounts();
  const double total = std::max(counts.latency_total_, 1.0);
  LatencyDistribution distribution;
  distribution.fill(kUniformWeight / static_cast<double>(kLatencyBuckets));
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    const double mass = counts.latencies_[i] / total * (1.0 - kUniformWeight);
    // Smooth with a narrow kernel, because the counts are sparse.
    const size_t at = std::min(i + buckets, kLatencyBuckets - 1);
    const size_t below = at == 0 ? 0 : at - 1;
    const size_t above = std::min(at + 1, kLatencyBuckets - 1);
    distribution[below] += mass / 4.0;
    distribution[at] += mass / 2.0;
    distribution[above] += mass / 4.0;
  }
  return distribution;
}

}  // namespace buckthorngate::rollout
