// Experiment with moves: the real controller, brake and policies on virtual
// time, against stand-in versions at the evidence interface.
#ifndef BENCHMARK_MOVE_EXPERIMENT_H_
#define BENCHMARK_MOVE_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "rollout/move_policy.h"

namespace buckthorngate::benchmark {

enum class VersionKind : uint8_t {
  kGood,
  kGoodThin,
  kGoodOldFails,
  kGoodColdStart,
  kFailsAtOnce,
  kFailsLater,
  kFailsAfterDone,
  kSlowAtOnce,
  kSlowLater,
  kBadUnderLoad,
  kBadOnOneRoute,
  kFailsRarely,
  kCrashes,
};

inline constexpr VersionKind kAllKinds[] = {
    VersionKind::kGood,           VersionKind::kGoodThin,
    VersionKind::kGoodOldFails,   VersionKind::kGoodColdStart,
    VersionKind::kFailsAtOnce,    VersionKind::kFailsLater,
    VersionKind::kFailsAfterDone, VersionKind::kSlowAtOnce,
    VersionKind::kSlowLater,      VersionKind::kBadUnderLoad,
    VersionKind::kBadOnOneRoute,  VersionKind::kFailsRarely,
    VersionKind::kCrashes,
};

const char* NameOf(VersionKind kind);
const char* NameOf(rollout::PolicyKind policy);
bool IsGood(VersionKind kind);
// Fails or slows by a visible amount: >= 5 % failures or >= 2x latency.
bool IsVisiblyBad(VersionKind kind);
bool IsBadFromTheStart(VersionKind kind);

// One service's traffic, after the sizes of a deployment.
struct Deployment {
  std::string name_;
  double calls_per_second_ = 0.0;
  int proxies_ = 0;
  base::Duration deadline_{0};
};

std::vector<Deployment> Deployments();

struct MoveResult {
  bool done_in_time_ = false;
  bool taken_back_ = false;
  // Share of all calls that met the new version, from the first step until it
  // was taken back (or the end).
  double exposure_ = 0.0;
  uint32_t most_share_permille_ = 0;
  // From the moment that all calls so far, taken together without delay, show
  // harm at the test's stated error rate, to the last call of the new version.
  base::Duration after_evidence_{0};
};

MoveResult RunMove(VersionKind kind,
                   rollout::PolicyKind policy,
                   const Deployment& deployment,
                   uint64_t seed);

// Sums over seeds of one kind, policy and deployment.
struct MoveSummary {
  VersionKind kind_ = VersionKind::kGood;
  rollout::PolicyKind policy_ = rollout::PolicyKind::kSequential;
  std::string deployment_;
  int runs_ = 0;
  int done_in_time_ = 0;
  int taken_back_ = 0;
  double mean_exposure_ = 0.0;
  double most_exposure_ = 0.0;
  uint32_t most_share_permille_ = 0;
  base::Duration most_after_evidence_{0};
};

// Runs all kinds and deployments over `seeds` seeds for each given policy, on
// all processors; results do not depend on their number.
std::vector<MoveSummary> RunExperiment(
    int seeds,
    const std::vector<rollout::PolicyKind>& policies);

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_MOVE_EXPERIMENT_H_
