// The old version's rates and latencies.
#include "rollout/old_version.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::rollout {
namespace {

// Weight that a memory keeps from one window to the next.
constexpr double kLongKeep = 0.98;
constexpr double kShortKeep = 0.8;
// Standard errors that the failure rate is raised by.
constexpr double kErrorMargin = 2.0;
// Few calls say little: the rate is estimated as of at least so many.
constexpr double kLeastCalls = 30.0;
// Trouble shows in the short memory by this many failures.
constexpr double kTroubleFailures = 3.0;
// Or by a median that is slower by this many buckets.
constexpr size_t kTroubleBuckets = 2;
constexpr double kLeastLatencies = 20.0;
// A slow answer is slower than the median by so many buckets, about 3x.
constexpr size_t kSlowBuckets = 8;
// Weight of the uniform distribution that bounds likelihood ratios.
constexpr double kUniformWeight = 0.02;

double UpperRate(double failures, double calls) {
  const double counted = std::max(calls, kLeastCalls);
  const double rate = (failures + 0.5) / (counted + 1.0);
  const double error = std::sqrt(rate * (1.0 - rate) / (counted + 1.0));
  return rate + kErrorMargin * error;
}

}  // namespace

void OldVersion::Memory::Age(double keep) {
  calls_ *= keep;
  failures_ *= keep;
  latency_total_ *= keep;
  for (double& count : latencies_) {
    count *= keep;
  }
  for (double& count : unanswered_) {
    count *= keep;
  }
}

void OldVersion::Memory::Add(const rpc::RouteEvidence& window) {
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

double OldVersion::Memory::BadRate(size_t slow_bucket) const {
  double slow = 0.0;
  double unanswered = 0.0;
  for (size_t i = slow_bucket; i < kLatencyBuckets; ++i) {
    slow += latencies_[i];
    unanswered += unanswered_[i];
  }
  return UpperRate(failures_ + slow + unanswered,
                   failures_ + latency_total_ + unanswered);
}

size_t OldVersion::Memory::MedianBucket() const {
  double count = 0.0;
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    count += latencies_[i];
    if (count * 2.0 >= latency_total_) {
      return i;
    }
  }
  return kLatencyBuckets - 1;
}

void OldVersion::Add(const rpc::RouteEvidence& window) {
  if (window.calls() == 0 && window.unanswered_buckets_size() == 0) {
    ++windows_without_;
    return;
  }
  windows_without_ = 0;
  calls_ += window.calls();
  crashes_ += window.crashes();
  long_.Age(kLongKeep);
  long_.Add(window);
  short_.Age(kShortKeep);
  short_.Add(window);
}

double OldVersion::FailureRate() const {
  const double usual = UpperRate(long_.failures_, long_.calls_);
  if (short_.failures_ >= kTroubleFailures) {
    return std::max(usual, UpperRate(short_.failures_, short_.calls_));
  }
  return usual;
}

bool OldVersion::HasLatencies() const {
  return long_.latency_total_ >= kLeastLatencies;
}

bool OldVersion::Slowed() const {
  return short_.latency_total_ >= kLeastLatencies &&
         short_.MedianBucket() >= long_.MedianBucket() + kTroubleBuckets;
}

size_t OldVersion::SlowBucket() const {
  return HasLatencies()
             ? std::min(LatencyMemory().MedianBucket() + kSlowBuckets,
                        kLatencyBuckets)
             : kLatencyBuckets;
}

double OldVersion::BadRate() const {
  const size_t slow = SlowBucket();
  const double usual = long_.BadRate(slow);
  const double lately = short_.BadRate(slow);
  return short_.failures_ >= kTroubleFailures || Slowed()
             ? std::max(usual, lately)
             : usual;
}

LatencyShape OldVersion::Latencies(size_t buckets) const {
  const Memory& memory = LatencyMemory();
  const double total = std::max(memory.latency_total_, 1.0);
  LatencyShape shape;
  shape.fill(kUniformWeight / static_cast<double>(kLatencyBuckets));
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    const double mass = memory.latencies_[i] / total * (1.0 - kUniformWeight);
    // A narrow kernel makes up for sparse counts.
    const size_t at = std::min(i + buckets, kLatencyBuckets - 1);
    const size_t below = at == 0 ? 0 : at - 1;
    const size_t above = std::min(at + 1, kLatencyBuckets - 1);
    shape[below] += mass / 4.0;
    shape[at] += mass / 2.0;
    shape[above] += mass / 4.0;
  }
  return shape;
}

}  // namespace buckthorngate::rollout
