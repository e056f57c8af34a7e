// Sequential test of a new version against the old one.
#include "rollout/harm_test.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::rollout {
namespace {

// Alternatives as excess over the tolerated failure rate, small to large.
constexpr std::array<double, 4> kFailureExcess = {0.01, 0.05, 0.2, 0.7};
// Alternatives as slow-downs in buckets: about 2x and 4x.
constexpr std::array<size_t, 2> kSlowBuckets = {5, 10};
// Alternatives as excess of failed and slow answers together. The excess that
// is tolerated covers that endpoints of one service differ in speed.
constexpr std::array<double, 3> kBadExcess = {0.1, 0.3, 0.7};
constexpr double kBadTolerance = 0.05;
constexpr double kMaxRate = 0.98;
constexpr uint64_t kCrashesToHarm = 2;
// Odds of about 100 to 1 that the old version is sound, after an alarm.
constexpr double kSoundThreshold = 4.6;

// Log-likelihood ratio of `hits` among `calls` for rate `p1` against `p0`.
double LogRatio(uint64_t hits, uint64_t calls, double p1, double p0) {
  return static_cast<double>(hits) * std::log(p1 / p0) +
         static_cast<double>(calls - hits) * std::log((1.0 - p1) / (1.0 - p0));
}

// The same for latencies of distribution `shape1` against `shape0`.
double LogRatio(const rpc::RouteEvidence& window,
                const LatencyShape& shape1,
                const LatencyShape& shape0) {
  const size_t buckets = std::min(
      static_cast<size_t>(window.latency_buckets_size()), kLatencyBuckets);
  double ratio = 0.0;
  for (size_t b = 0; b < buckets; ++b) {
    ratio += window.latency_buckets(static_cast<int>(b)) *
             std::log(shape1[b] / shape0[b]);
  }
  return ratio;
}

constexpr char kBadAnswersKind[] = "bad answers";

struct BadCount {
  uint64_t calls_ = 0;
  uint64_t bad_ = 0;
};

// Calls that tell whether an answer is bad: it failed, or took as long as
// `slow_bucket`, or had not come by then.
BadCount CountBad(const rpc::RouteEvidence& window, size_t slow_bucket) {
  BadCount count;
  count.calls_ = window.failures();
  count.bad_ = window.failures();
  for (int i = 0; i < window.latency_buckets_size(); ++i) {
    const uint32_t answered = window.latency_buckets(i);
    count.calls_ += answered;
    count.bad_ += static_cast<size_t>(i) >= slow_bucket ? answered : 0;
  }
  for (int i = 0; i < window.unanswered_buckets_size(); ++i) {
    const bool late = static_cast<size_t>(i) >= slow_bucket;
    const uint32_t unanswered = late ? window.unanswered_buckets(i) : 0;
    count.calls_ += unanswered;
    count.bad_ += unanswered;
  }
  return count;
}

}  // namespace

void HarmTest::RestartSuspicious() {
  alarm_ = harm_;
  old_sound_ = 0.0;
  failure_sums_ = {};
  latency_sums_ = {};
  bad_sums_ = {};
  trust_ = 0.0;
  new_crashes_ = 0;
  old_crashes_before_ = old_.Crashes();
  safe_ = 0.0;
  harm_.clear();
}

void HarmTest::AddOldAfterAlarm(const rpc::RouteEvidence& window) {
  if (alarm_.empty() || window.calls() == 0) {
    return;
  }
  if (alarm_ == "latency") {
    const LatencyShape sound = old_.Latencies(0);
    const LatencyShape slow = old_.Latencies(kSlowBuckets[0]);
    old_sound_ += LogRatio(window, sound, slow);
  } else if (alarm_ == kBadAnswersKind) {
    const BadCount count = CountBad(window, old_.SlowBucket());
    const double sound = std::min(old_.BadRate(), alarm_rate_ / 2.0);
    old_sound_ += LogRatio(count.bad_, count.calls_, sound, alarm_rate_);
  } else {
    const double sound = std::min(old_.FailureRate(), alarm_rate_ / 2.0);
    old_sound_ +=
        LogRatio(window.failures(), window.calls(), sound, alarm_rate_);
  }
  if (old_sound_ >= kSoundThreshold) {
    harm_ = alarm_;
  } else if (old_sound_ <= -kSoundThreshold) {
    // The old version suffers as well: the cause is common.
    alarm_.clear();
  }
}

void HarmTest::Raise(double& sum, double ratio, const char* kind) {
  sum = std::max(0.0, sum + ratio);
  if (sum >= kHarmThreshold) {
    harm_ = kind;
  }
}

void HarmTest::RaiseRates(std::span<double> sums,
                          std::span<const double> excess,
                          double p0,
                          uint64_t hits,
                          uint64_t calls,
                          const char* kind) {
  const bool before = Harmful();
  size_t likeliest = 0;
  for (size_t i = 0; i < sums.size(); ++i) {
    const double p1 = std::min(p0 + excess[i], kMaxRate);
    Raise(sums[i], LogRatio(hits, calls, p1, p0), kind);
    likeliest = sums[i] > sums[likeliest] ? i : likeliest;
  }
  if (!before && Harmful()) {
    alarm_rate_ = std::min(p0 + excess[likeliest], kMaxRate);
  }
}

void HarmTest::AddFailures(const rpc::RouteEvidence& window) {
  const double old_rate = old_.FailureRate();
  const double p0 = std::min(old_rate + kFailureTolerance, kMaxRate - 0.01);
  RaiseRates(failure_sums_, kFailureExcess, p0, window.failures(),
             window.calls(), "failures");
  const double bad = std::min(old_rate + kVisibleFailures, kMaxRate);
  const double good = std::min(old_rate, bad - 0.01);
  safe_ += LogRatio(window.failures(), window.calls(), good, bad);
}

void HarmTest::AddLatencies(const rpc::RouteEvidence& window) {
  if (!old_.HasLatencies() || window.latency_buckets_size() == 0) {
    return;
  }
  const LatencyShape tolerated = old_.Latencies(kLatencyToleranceBuckets);
  for (size_t i = 0; i < kLatencyAlternatives; ++i) {
    const LatencyShape slow = old_.Latencies(kSlowBuckets[i]);
    const double ratio = LogRatio(window, slow, tolerated);
    Raise(latency_sums_[i], ratio, "latency");
  }
}

void HarmTest::AddBadAnswers(const rpc::RouteEvidence& window) {
  const BadCount count = CountBad(window, old_.SlowBucket());
  bad_answers_ += count.bad_;
  const double old_rate = old_.BadRate();
  const double p0 = std::min(old_rate + kBadTolerance, kMaxRate - 0.01);
  RaiseRates(bad_sums_, kBadExcess, p0, count.bad_, count.calls_,
             kBadAnswersKind);
  if (!old_.HasLatencies()) {
    return;
  }
  const double bad = std::min(old_rate + kDistrustedBad, kMaxRate);
  const double good = std::min(old_rate, bad - 0.01);
  trust_ = std::min(kMostTrust,
                    trust_ + LogRatio(count.bad_, count.calls_, good, bad));
}

void HarmTest::AddCrashes(const rpc::RouteEvidence& window) {
  new_crashes_ += window.crashes();
  const uint64_t old_crashes = old_.Crashes() - old_crashes_before_;
  if (new_crashes_ >= kCrashesToHarm && new_crashes_ > 2 * old_crashes) {
    harm_ = "crashes";
  }
}

void HarmTest::Add(const rpc::RouteEvidence& new_window,
                   const rpc::RouteEvidence& old_window) {
  AddOldAfterAlarm(old_window);
  old_.Add(old_window);
  AddBadAnswers(new_window);
  if (new_window.calls() == 0 && new_window.crashes() == 0) {
    return;
  }
  AddFailures(new_window);
  AddLatencies(new_window);
  AddCrashes(new_window);
}

}  // namespace buckthorngate::rollout
