// Sequential test of a new version against the old one on one route.
//
// Failures and slow calls are Bernoulli outcomes. For several alternatives the
// test sums log-likelihood ratios against the old version's rate in the same
// window, never below zero (CUSUM), so that it finds harm from the start as
// well as harm that begins later. By Wald's bound a sum reaches kHarmThreshold
// without harm at most once in exp(kHarmThreshold) calls for each alternative.
// docs/design/moves.md has the derivation and the measured error rates.
#ifndef SRC_ROLLOUT_HARM_TEST_H_
#define SRC_ROLLOUT_HARM_TEST_H_

#include <array>
#include <string>

#include "rollout/evidence.h"

namespace buckthorngate::rollout {

inline constexpr double kHarmThreshold = 9.2;
// Failures above the old version's rate that do not count as harm.
inline constexpr double kFailureTolerance = 0.004;
// Slow-down that does not count as harm, in latency buckets (about 1.56x).
inline constexpr size_t kLatencyToleranceBuckets = 2;
// Evidence of harmlessness that a step needs: odds of about 20 to 1 against
// kVisibleFailures more failures than the old version.
inline constexpr double kSafeThreshold = 3.0;
inline constexpr double kVisibleFailures = 0.05;

class HarmTest {
 public:
  // Adds one window's calls of both versions.
  void Add(const rpc::RouteEvidence& new_window,
           const rpc::RouteEvidence& old_window);

  // Starts the evidence for the next step.
  void StartStep() { safe_ = 0.0; }
  // Forgets everything but the old version's rates.
  void Restart();

  bool Harmful() const { return !harm_.empty(); }
  // What kind of harm was found; empty if none.
  const std::string& Harm() const { return harm_; }
  bool Safe() const { return safe_ >= kSafeThreshold; }
  double SafeEvidence() const { return safe_; }
  uint64_t NewCalls() const { return new_calls_; }
  uint64_t OldCalls() const { return old_calls_; }
  // Whether the old version was seen lately on this route.
  bool OldIsCurrent() const { return windows_since_old_ <= kOldMaxWindows; }

 private:
  static constexpr int kOldMaxWindows = 6;
  static constexpr size_t kAlternatives = 4;
  static constexpr size_t kQuantiles = 2;

  void AddOld(const rpc::RouteEvidence& window);
  void AddFailures(const rpc::RouteEvidence& window);
  void AddLatencies(const rpc::RouteEvidence& window);
  void AddCrashes(const rpc::RouteEvidence& window);
  double OldFailureRate() const;

  // Old version: exponentially aged sums, so that "the same window" covers a
  // few reports.
  rpc::RouteEvidence old_;
  double old_weighted_calls_ = 0.0;
  double old_weighted_failures_ = 0.0;
  std::array<double, kLatencyBuckets> old_latency_ = {};
  int windows_since_old_ = kOldMaxWindows + 1;

  std::array<double, kAlternatives> failure_sums_ = {};
  std::array<std::array<double, kAlternatives>, kQuantiles> latency_sums_ = {};
  uint64_t new_crashes_ = 0;
  uint64_t old_crashes_ = 0;
  double safe_ = 0.0;
  uint64_t new_calls_ = 0;
  uint64_t old_calls_ = 0;
  std::string harm_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_HARM_TEST_H_
