// Interface of the policies that decide the next step of a move.
//
// A policy is a pure function of the move, the evidence so far and the time.
// There are three, which benchmark/moves compares: fixed steps on a timer,
// fixed thresholds, and the sequential test with an exposure budget (the
// default).
#ifndef SRC_ROLLOUT_MOVE_POLICY_H_
#define SRC_ROLLOUT_MOVE_POLICY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "mesh.pb.h"
#include "rollout/harm_test.h"

namespace buckthorngate::rollout {

inline constexpr uint32_t kFullSharePermille = 1000;

// Bad answers of the new version that pause the move (share 0), and how many
// more are allowed after the move has resumed.
inline constexpr uint64_t kBadAnswersToPause = 25;
inline constexpr uint64_t kBadAnswersAfterPause = 6;

// Evidence of one route.
struct RouteState {
  HarmTest harm_test_;
  // Sums of both versions since the current step began.
  rpc::RouteEvidence new_sums_;
  rpc::RouteEvidence old_sums_;
  // Calls of both versions since the move began.
  uint64_t calls_ = 0;
  // Calls of the new version that began in the current step and have ended.
  uint64_t step_calls_ = 0;
};

// Input of a policy.
struct PolicyInput {
  const rpc::Move* move_ = nullptr;
  const std::map<std::string, RouteState>* routes_ = nullptr;  // By route name.
  // Time until the deadline, on the steady clock; negative once it has passed.
  base::Duration time_left_{0};
  // Time since the current step was committed.
  base::Duration time_in_step_{0};
  // Whether the new and the old version have endpoints that can serve.
  bool has_new_endpoints_ = false;
  bool has_old_endpoints_ = false;
  // The client that ordered the move stops the old endpoints as soon as the
  // move is done, so that it cannot be rolled back from then on.
  bool done_is_final_ = false;
  // Number of proxies whose brake engaged at the current step.
  uint32_t braked_proxies_ = 0;
  base::Duration since_brake_{0};
  // Failed, slow and missing answers of the new version on all routes.
  uint64_t bad_answers_ = 0;
  // Number of bad answers that pauses the move, whatever the old version does.
  uint64_t bad_answers_to_pause_ = kBadAnswersToPause;
  // How long this controller has collected evidence of the move.
  base::Duration observed_for_{0};
  // Time since any proxy last reported calls of the service.
  base::Duration since_evidence_{0};
};

// Next step of a move; see rpc::MoveStep for the fields that are logged.
struct MoveDecision {
  rpc::MovePhase phase_ = rpc::MOVE_PHASE_WAITING;
  uint32_t share_permille_ = 0;
  std::string reason_;
  // After done: the old version can still take over again.
  bool watch_open_ = true;
  // The new version has proved itself at the full share; the proxies' exposure
  // caps no longer apply.
  bool uncapped_ = false;
  // The harm tests restart when the step begins (see
  // HarmTest::RestartAfterAlarm).
  bool restart_tests_ = false;
};

class MovePolicy {
 public:
  virtual ~MovePolicy() = default;

  // Returns the step to take now. Returns nothing to stay at the current step
  // and sets `hold_reason` to the reason, for operators.
  virtual std::optional<MoveDecision> Decide(
      const PolicyInput& input,
      std::string& hold_reason) const = 0;
};

enum class PolicyKind : uint8_t { kTimer, kThreshold, kSequential };

std::unique_ptr<MovePolicy> MakeMovePolicy(PolicyKind kind);

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_MOVE_POLICY_H_
