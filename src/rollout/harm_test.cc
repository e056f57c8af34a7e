// Likelihood ratios and sums of the harm test.
#include "rollout/harm_test.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::rollout {
namespace {

// Alternatives: excess over the tolerated failure rate.
constexpr std::array<double, 4> kFailureExcess = {0.01, 0.05, 0.2, 0.7};
// Alternatives: slowdown in latency buckets, about 2x and 4x.
constexpr std::array<size_t, 2> kSlowBuckets = {5, 10};
// Alternatives: excess of bad answers, that is failed and slow ones together.
// The tolerance allows for endpoints of one service that differ in speed.
constexpr std::array<double, 3> kBadExcess = {0.1, 0.3, 0.7};
constexpr double kBadTolerance = 0.05;
constexpr double kMaxRate = 0.98;
// Crashes of the new version from which on they may count as harm.
constexpr uint64_t kMinCrashesForHarm = 2;
// Odds of about 100 to 1 for or against the old version being healthy after an
// alarm.
constexpr double kOldHealthyThreshold = 4.6;

// Log-likelihood ratio of rate `p1` against rate `p0`, given `events` among
// `calls`.
double LogRatio(uint64_t events, uint64_t calls, double p1, double p0) {
  return static_cast<double>(events) * std::log(p1 / p0) +
         static_cast<double>(calls - events) *
             std::log((1.0 - p1) / (1.0 - p0));
}

// Log-likelihood ratio of latency distribution `distribution1` against
// `distribution0`.
double LogRatio(const rpc::RouteEvidence& window,
                const LatencyDistribution& distribution1,
                const LatencyDistribution& distribution0) {
  const size_t buckets = std::min(
      static_cast<size_t>(window.latency_buckets_size()), kLatencyBuckets);
  double ratio = 0.0;
  for (size_t b = 0; b < buckets; ++b) {
    ratio += window.latency_buckets(static_cast<int>(b)) *
             std::log(distribution1[b] / distribution0[b]);
  }
  return ratio;
}

constexpr char kBadAnswersKind[] = "bad answers";

struct BadAnswerCount {
  uint64_t calls_ = 0;
  uint64_t bad_ = 0;
};

// Counts bad answers among the calls whose quality is known. An answer is bad
// if it failed, if its latency is in `slow_bucket` or above, or if the call had
// waited that long without an answer. Calls that were abandoned earlier are not
// counted.
BadAnswerCount CountBadAnswers(const rpc::RouteEvidence& window,
                               size_t slow_bucket) {
  BadAnswerCount count;
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

void HarmTest::RestartAfterAlarm() {
  alarm_ = harm_;
  old_healthy_ = 0.0;
  failure_sums_ = {};
  latency_sums_ = {};
  bad_sums_ = {};
  confidence_ = 0.0;
  new_crashes_ = 0;
  old_crashes_at_restart_ = baseline_.Crashes();
  step_safety_ = 0.0;
  harm_.clear();
}

void HarmTest::CompareOldVersionWithAlarm(const rpc::RouteEvidence& window) {
  if (alarm_.empty() || window.calls() == 0) {
    return;
  }
  if (alarm_ == "latency") {
    const LatencyDistribution healthy = baseline_.ShiftedLatencies(0);
    const LatencyDistribution slow =
        baseline_.ShiftedLatencies(kSlowBuckets[0]);
    old_healthy_ += LogRatio(window, healthy, slow);
  } else if (alarm_ == kBadAnswersKind) {
    const BadAnswerCount count =
        CountBadAnswers(window, baseline_.SlowBucket());
    const double healthy = std::min(baseline_.BadRate(), alarm_rate_ / 2.0);
    old_healthy_ += LogRatio(count.bad_, count.calls_, healthy, alarm_rate_);
  } else {
    const double healthy = std::min(baseline_.FailureRate(), alarm_rate_ / 2.0);
    old_healthy_ +=
        LogRatio(window.failures(), window.calls(), healthy, alarm_rate_);
  }
  if (old_healthy_ >= kOldHealthyThreshold) {
    harm_ = alarm_;
  } else if (old_healthy_ <= -kOldHealthyThreshold) {
    // The old version is degraded as well: the cause is common to both.
    alarm_.clear();
  }
}

void HarmTest::RaiseSum(double& sum, double ratio, const char* kind) {
  sum = std::max(0.0, sum + ratio);
  if (sum >= kHarmThreshold) {
    harm_ = kind;
  }
}

void HarmTest::RaiseRateSums(std::span<double> sums,
                             std::span<const double> excess,
                             double p0,
                             uint64_t events,
                             uint64_t calls,
                             const char* kind) {
  const bool before = Harmful();
  size_t likeliest = 0;
  for (size_t i = 0; i < sums.size(); ++i) {
    const double p1 = std::min(p0 + excess[i], kMaxRate);
    RaiseSum(sums[i], LogRatio(events, calls, p1, p0), kind);
    likeliest = sums[i] > sums[likeliest] ? i : likeliest;
  }
  if (!before && Harmful()) {
    alarm_rate_ = std::min(p0 + excess[likeliest], kMaxRate);
  }
}

void HarmTest::AddFailures(const rpc::RouteEvidence& window) {
  const double old_rate = baseline_.FailureRate();
  const double p0 = std::min(old_rate + kFailureTolerance, kMaxRate - 0.01);
  RaiseRateSums(failure_sums_, kFailureExcess, p0, window.failures(),
                window.calls(), "failures");
  const double bad = std::min(old_rate + kDetectableFailureExcess, kMaxRate);
  const double good = std::min(old_rate, bad - 0.01);
  step_safety_ += LogRatio(window.failures(), window.calls(), good, bad);
}

void HarmTest::AddLatencies(const rpc::RouteEvidence& window) {
  if (!baseline_.HasLatencies() || window.latency_buckets_size() == 0) {
    return;
  }
  const LatencyDistribution tolerated =
      baseline_.ShiftedLatencies(kLatencyToleranceBuckets);
  for (size_t i = 0; i < kLatencyAlternatives; ++i) {
    const LatencyDistribution slow =
        baseline_.ShiftedLatencies(kSlowBuckets[i]);
    const double ratio = LogRatio(window, slow, tolerated);
    RaiseSum(latency_sums_[i], ratio, "latency");
  }
}

void HarmTest::AddBadAnswers(const rpc::RouteEvidence& window) {
  const BadAnswerCount count = CountBadAnswers(window, baseline_.SlowBucket());
  bad_answers_ += count.bad_;
  const double old_rate = baseline_.BadRate();
  const double p0 = std::min(old_rate + kBadTolerance, kMaxRate - 0.01);
  RaiseRateSums(bad_sums_, kBadExcess, p0, count.bad_, count.calls_,
                kBadAnswersKind);
  if (!baseline_.HasLatencies()) {
    return;
  }
  const double bad = std::min(old_rate + kUnacceptableBadExcess, kMaxRate);
  const double good = std::min(old_rate, bad - 0.01);
  confidence_ =
      std::min(kMaxConfidence,
               confidence_ + LogRatio(count.bad_, count.calls_, good, bad));
}

void HarmTest::AddCrashes(const rpc::RouteEvidence& window) {
  new_crashes_ += window.crashes();
  const uint64_t old_crashes = baseline_.Crashes() - old_crashes_at_restart_;
  if (new_crashes_ >= kMinCrashesForHarm && new_crashes_ > 2 * old_crashes) {
    harm_ = "crashes";
  }
}

void HarmTest::Add(const rpc::RouteEvidence& new_window,
                   const rpc::RouteEvidence& old_window) {
  CompareOldVersionWithAlarm(old_window);
  baseline_.Add(old_window);
  AddBadAnswers(new_window);
  if (new_window.calls() == 0 && new_window.crashes() == 0) {
    return;
  }
  AddFailures(new_window);
  AddLatencies(new_window);
  AddCrashes(new_window);
}

}  // namespace buckthorngate::rollout
