// Sequential test of a new version against the old one on one route.
//
// For several alternatives the test sums log-likelihood ratios against what
// the old version does in the same window, never below zero (CUSUM), so that
// it finds harm from the start as well as harm that begins later. By Wald's
// bound a sum reaches kHarmThreshold without harm at most once in
// exp(kHarmThreshold) calls for each alternative. docs/design/moves.md has
// the derivation and the measured error rates.
#ifndef SRC_ROLLOUT_HARM_TEST_H_
#define SRC_ROLLOUT_HARM_TEST_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>

#include "rollout/evidence.h"
#include "rollout/old_version.h"

namespace buckthorngate::rollout {

inline constexpr double kHarmThreshold = 9.2;
// Failures above the old version's rate that do not count as harm.
inline constexpr double kFailureTolerance = 0.004;
// Slow-down that does not count as harm, in latency buckets (about 1.3x).
inline constexpr size_t kLatencyToleranceBuckets = 2;
// Evidence of harmlessness that a step needs: odds of about 20 to 1 against
// kVisibleFailures more failures than the old version.
inline constexpr double kSafeThreshold = 3.0;
inline constexpr double kVisibleFailures = 0.05;
// Bad answers beyond the old version's that a trusted version does not give, at
// odds of kTrustThreshold (about 20 to 1).
inline constexpr double kDistrustedBad = 0.2;
inline constexpr double kTrustThreshold = 3.0;
// Trust does not grow beyond this, so that it is soon lost.
inline constexpr double kMostTrust = 6.0;

class HarmTest {
 public:
  // Adds one window's calls of both versions.
  void Add(const rpc::RouteEvidence& new_window,
           const rpc::RouteEvidence& old_window);

  // Starts the evidence for the next step.
  void StartStep() { safe_ = 0.0; }
  // After an alarm without an old version to compare with: the harm stands,
  // only its cause is open. It is the new version's if the old one, which gets
  // calls again now, does clearly better than the alarm's rate.
  void RestartSuspicious();

  bool Harmful() const { return !harm_.empty(); }
  // What kind of harm was found; empty if none.
  const std::string& Harm() const { return harm_; }
  double SafeEvidence() const { return safe_; }
  // Log-likelihood ratio of harmlessness over all steps.
  double Trust() const { return trust_; }
  // Answers of the new version that failed, were slow or did not come.
  uint64_t BadAnswers() const { return bad_answers_; }
  // Upper estimate of what the old version fails or answers slowly now.
  double OldBadRate() const { return old_.BadRate(); }
  bool OldIsCurrent() const { return old_.Current(); }

 private:
  static constexpr size_t kFailureAlternatives = 4;
  static constexpr size_t kLatencyAlternatives = 2;
  static constexpr size_t kBadAlternatives = 3;

  void AddFailures(const rpc::RouteEvidence& window);
  void AddLatencies(const rpc::RouteEvidence& window);
  void AddBadAnswers(const rpc::RouteEvidence& window);
  void AddCrashes(const rpc::RouteEvidence& window);
  void AddOldAfterAlarm(const rpc::RouteEvidence& window);
  void Raise(double& sum, double ratio, const char* kind);
  // Raises the sums of rates that exceed `p0`; notes the likeliest of them if
  // they find harm.
  void RaiseRates(std::span<double> sums,
                  std::span<const double> excess,
                  double p0,
                  uint64_t hits,
                  uint64_t calls,
                  const char* kind);

  OldVersion old_;
  std::array<double, kFailureAlternatives> failure_sums_ = {};
  std::array<double, kLatencyAlternatives> latency_sums_ = {};
  uint64_t new_crashes_ = 0;
  uint64_t old_crashes_before_ = 0;
  std::array<double, kBadAlternatives> bad_sums_ = {};
  double safe_ = 0.0;
  double trust_ = 0.0;
  uint64_t bad_answers_ = 0;
  std::string harm_;
  // Kind of the alarm whose cause is open; empty if none is.
  std::string alarm_;
  double alarm_rate_ = 0.0;
  // Log-likelihood ratio that the old version is sound.
  double old_sound_ = 0.0;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_HARM_TEST_H_
