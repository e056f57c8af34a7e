// Sequential test of a new version against the old one on one route.
//
// Harm means that the new version fails more often, answers more slowly or
// crashes more often than the old one. For several alternative hypotheses the
// test sums log-likelihood ratios against the old version's behavior in the
// same window. The sums are never below zero (CUSUM), so that the test finds
// harm from the start as well as harm that begins later. By Wald's bound a sum
// reaches kHarmThreshold without harm at most once in exp(kHarmThreshold) calls
// for each alternative. docs/design/moves.md has the derivation and the
// error rates.
#ifndef SRC_ROLLOUT_HARM_TEST_H_
#define SRC_ROLLOUT_HARM_TEST_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>

#include "rollout/evidence.h"
#include "rollout/old_version.h"

namespace buckthorngate::rollout {

// Log-likelihood ratio at which harm counts as found.
inline constexpr double kHarmThreshold = 9.2;
// Excess over the old version's failure rate that does not count as harm.
inline constexpr double kFailureTolerance = 0.004;
// Slowdown that does not count as harm, in latency buckets (about 1.3x).
inline constexpr size_t kLatencyToleranceBuckets = 2;
// Evidence of harmlessness that a step needs, as a log-likelihood ratio: odds
// of about 20 to 1 against a failure rate that exceeds the old version's by
// kDetectableFailureExcess.
inline constexpr double kStepSafetyThreshold = 3.0;
inline constexpr double kDetectableFailureExcess = 0.05;
// A version is proven at odds of kConfidenceThreshold (about 20 to 1) against a
// rate of bad answers that exceeds the old version's by this much.
inline constexpr double kUnacceptableBadExcess = 0.2;
inline constexpr double kConfidenceThreshold = 3.0;
// Upper limit of the confidence, so that it drops soon after the version turns
// bad.
inline constexpr double kMaxConfidence = 6.0;

class HarmTest {
 public:
  // Adds the calls of both versions in one window.
  void Add(const rpc::RouteEvidence& new_window,
           const rpc::RouteEvidence& old_window);

  // Resets the evidence that is counted per step of the move.
  void StartStep() { step_safety_ = 0.0; }
  // Restarts the test after an alarm that was raised while the old version had
  // no calls to compare with. The harm is established, only its cause is open.
  // The new version is the cause if the old one, which receives calls again
  // from now on, does clearly better than the rate that raised the alarm.
  void RestartAfterAlarm();

  bool Harmful() const { return !harm_.empty(); }
  // Kind of harm that was found; empty if none.
  const std::string& Harm() const { return harm_; }
  // Log-likelihood ratio of harmlessness in the current step.
  double StepSafetyLogRatio() const { return step_safety_; }
  // Log-likelihood ratio of harmlessness over all steps, at most
  // kMaxConfidence.
  double ConfidenceLogRatio() const { return confidence_; }
  // Calls of the new version that failed, were slow or were not answered in
  // time.
  uint64_t BadAnswers() const { return bad_answers_; }
  // Upper estimate of the old version's current fraction of bad answers.
  double OldVersionBadRate() const { return baseline_.BadRate(); }
  bool OldVersionHasRecentCalls() const { return baseline_.HasRecentCalls(); }

 private:
  static constexpr size_t kFailureAlternatives = 4;
  static constexpr size_t kLatencyAlternatives = 2;
  static constexpr size_t kBadAlternatives = 3;

  void AddFailures(const rpc::RouteEvidence& window);
  void AddLatencies(const rpc::RouteEvidence& window);
  void AddBadAnswers(const rpc::RouteEvidence& window);
  void AddCrashes(const rpc::RouteEvidence& window);
  // Decides, from the old version's calls after RestartAfterAlarm, whether the
  // new version caused the alarm.
  void CompareOldVersionWithAlarm(const rpc::RouteEvidence& window);
  // Adds `ratio` to a CUSUM sum; records harm of `kind` at the threshold.
  void RaiseSum(double& sum, double ratio, const char* kind);
  // Adds `events` among `calls` to the sums of the alternatives, whose rates
  // exceed `p0` by `excess`. Records the likeliest alternative's rate if this
  // finds harm.
  void RaiseRateSums(std::span<double> sums,
                     std::span<const double> excess,
                     double p0,
                     uint64_t events,
                     uint64_t calls,
                     const char* kind);

  OldVersionBaseline baseline_;
  std::array<double, kFailureAlternatives> failure_sums_ = {};
  std::array<double, kLatencyAlternatives> latency_sums_ = {};
  uint64_t new_crashes_ = 0;
  uint64_t old_crashes_at_restart_ = 0;
  std::array<double, kBadAlternatives> bad_sums_ = {};
  double step_safety_ = 0.0;
  double confidence_ = 0.0;
  uint64_t bad_answers_ = 0;
  std::string harm_;
  // Kind of the alarm whose cause is still open; empty if there is none.
  std::string alarm_;
  // Rate of the likeliest alternative when the alarm was raised.
  double alarm_rate_ = 0.0;
  // Log-likelihood ratio of the old version being healthy against it showing
  // the same harm that raised the alarm.
  double old_healthy_ = 0.0;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_HARM_TEST_H_
