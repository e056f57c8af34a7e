// Sequential test of a new version against the old one.
#include "rollout/harm_test.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::rollout {
namespace {

// Alternatives as excess over the tolerated rate, small to large.
constexpr std::array<double, 4> kFailureExcess = {0.01, 0.05, 0.2, 0.7};
constexpr std::array<double, 4> kSlowExcess = {0.1, 0.2, 0.35, 0.6};
// Quantiles of the old version that slow calls are counted against.
constexpr std::array<double, 2> kSlowQuantiles = {0.5, 0.9};
constexpr double kMaxRate = 0.98;
// Weight that old windows keep from one report to the next.
constexpr double kOldAgeing = 0.8;
// Old calls needed before latencies are compared.
constexpr double kMinOldLatencies = 20.0;
constexpr uint64_t kCrashesToHarm = 2;
// Standard errors that the old version's rate is raised by.
constexpr double kOldErrorMargin = 2.0;

// Log-likelihood ratio of `hits` among `calls` for rate `p1` against `p0`.
double LogRatio(uint64_t hits, uint64_t calls, double p1, double p0) {
  return static_cast<double>(hits) * std::log(p1 / p0) +
         static_cast<double>(calls - hits) * std::log((1.0 - p1) / (1.0 - p0));
}

// Upper estimate of a rate that was seen as `hits` among `calls`.
double UpperRate(double hits, double calls) {
  const double rate = (hits + 0.5) / (calls + 1.0);
  return rate +
         kOldErrorMargin * std::sqrt(rate * (1.0 - rate) / (calls + 1.0));
}

}  // namespace

void HarmTest::Restart() {
  failure_sums_ = {};
  latency_sums_ = {};
  new_crashes_ = 0;
  old_crashes_ = 0;
  safe_ = 0.0;
  new_calls_ = 0;
  harm_.clear();
}

double HarmTest::OldFailureRate() const {
  // Few old calls say little; then the bound stays near the raw rate.
  const double calls = std::max(old_weighted_calls_, 30.0);
  return UpperRate(old_weighted_failures_, calls);
}

void HarmTest::AddOld(const rpc::RouteEvidence& window) {
  if (window.calls() == 0) {
    ++windows_since_old_;
    return;
  }
  windows_since_old_ = 0;
  old_calls_ += window.calls();
  old_crashes_ += window.crashes();
  old_weighted_calls_ =
      old_weighted_calls_ * kOldAgeing + static_cast<double>(window.calls());
  old_weighted_failures_ = old_weighted_failures_ * kOldAgeing +
                           static_cast<double>(window.failures());
  for (size_t i = 0; i < kLatencyBuckets; ++i) {
    const int index = static_cast<int>(i);
    const uint32_t count = index < window.latency_buckets_size()
                               ? window.latency_buckets(index)
                               : 0;
    old_latency_[i] = old_latency_[i] * kOldAgeing + count;
  }
}

void HarmTest::AddFailures(const rpc::RouteEvidence& window) {
  const double old_rate = OldFailureRate();
  const double p0 = std::min(old_rate + kFailureTolerance, kMaxRate - 0.01);
  for (size_t i = 0; i < kAlternatives; ++i) {
    const double p1 = std::min(p0 + kFailureExcess[i], kMaxRate);
    const double ratio = LogRatio(window.failures(), window.calls(), p1, p0);
    failure_sums_[i] = std::max(0.0, failure_sums_[i] + ratio);
    if (failure_sums_[i] >= kHarmThreshold) {
      harm_ = "failures";
    }
  }
  const double bad = std::min(old_rate + kVisibleFailures, kMaxRate);
  const double good = std::min(old_rate, bad - 0.01);
  safe_ += LogRatio(window.failures(), window.calls(), good, bad);
}

void HarmTest::AddLatencies(const rpc::RouteEvidence& window) {
  double old_total = 0.0;
  for (const double count : old_latency_) {
    old_total += count;
  }
  uint64_t calls = 0;
  for (const uint32_t count : window.latency_buckets()) {
    calls += count;
  }
  if (old_total < kMinOldLatencies || calls == 0) {
    return;
  }
  for (size_t q = 0; q < kQuantiles; ++q) {
    double at_or_below = 0.0;
    size_t bucket = 0;
    while (bucket + 1 < kLatencyBuckets &&
           at_or_below + old_latency_[bucket] < kSlowQuantiles[q] * old_total) {
      at_or_below += old_latency_[bucket];
      ++bucket;
    }
    // A new version within the tolerance has at most as many calls above the
    // raised bound as the old one has above the quantile itself.
    double old_above = old_total - at_or_below - old_latency_[bucket];
    const size_t bound =
        std::min(bucket + kLatencyToleranceBuckets, kLatencyBuckets - 1);
    const uint64_t slow = static_cast<uint64_t>(
        std::lround(FractionAbove(window, bound) * static_cast<double>(calls)));
    const double p0 = std::min(UpperRate(old_above, old_total), 0.6);
    for (size_t i = 0; i < kAlternatives; ++i) {
      const double p1 = std::min(p0 + kSlowExcess[i], kMaxRate);
      double& sum = latency_sums_[q][i];
      sum = std::max(0.0, sum + LogRatio(slow, calls, p1, p0));
      if (sum >= kHarmThreshold) {
        harm_ = "latency";
      }
    }
  }
}

void HarmTest::AddCrashes(const rpc::RouteEvidence& window) {
  new_crashes_ += window.crashes();
  if (new_crashes_ >= kCrashesToHarm && new_crashes_ > 2 * old_crashes_) {
    harm_ = "crashes";
  }
}

void HarmTest::Add(const rpc::RouteEvidence& new_window,
                   const rpc::RouteEvidence& old_window) {
  AddOld(old_window);
  if (new_window.calls() == 0 && new_window.crashes() == 0) {
    return;
  }
  new_calls_ += new_window.calls();
  AddFailures(new_window);
  AddLatencies(new_window);
  AddCrashes(new_window);
}

}  // namespace buckthorngate::rollout
