// Policies that decide the next step of a move.
//
// A policy is a pure function of the move, the evidence so far and the time.
// Three exist, to be compared by benchmark/moves: fixed steps on a timer, fixed
// thresholds, and the sequential test with an exposure budget (the default).
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

// Bad answers that end the share for a while, and how many more may come once
// it begins again.
inline constexpr uint64_t kBadAnswersToPause = 25;
inline constexpr uint64_t kBadAnswersAfterPause = 6;

// Evidence of one route, as a policy sees it.
struct RouteView {
  HarmTest test_;
  // Sums since the current step.
  rpc::RouteEvidence new_;
  rpc::RouteEvidence old_;
  // Calls of both versions since the move began.
  uint64_t calls_ = 0;
  // Calls of the new version that began in the current step and have ended.
  uint64_t fresh_calls_ = 0;
};

struct MoveView {
  const rpc::Move* move_ = nullptr;
  const std::map<std::string, RouteView>* routes_ = nullptr;
  // Until the deadline, on the steady clock.
  base::Duration left_{0};
  base::Duration in_step_{0};  // Time since the current step was logged.
  bool new_endpoints_ = false;
  bool old_endpoints_ = false;
  // Whoever ordered the move stops the old endpoints as soon as it is done, so
  // that there is no way back from there.
  bool done_is_final_ = false;
  // Proxies that braked the new version at the current step.
  uint32_t brakes_ = 0;
  base::Duration since_brake_{0};
  // Failed, slow and missing answers of the new version at all its routes.
  uint64_t bad_answers_ = 0;
  // So many of them end the share for a while, whatever the old version does.
  uint64_t bad_answers_to_pause_ = kBadAnswersToPause;
  // How long this controller has gathered evidence of the move.
  base::Duration watched_{0};
  // Since any proxy last reported calls of the service.
  base::Duration since_evidence_{0};
};

struct MoveDecision {
  rpc::MovePhase phase_ = rpc::MOVE_PHASE_WAITING;
  uint32_t share_permille_ = 0;
  std::string reason_;
  bool watch_open_ = true;
  // The new version has proved itself at the whole share.
  bool uncapped_ = false;
  // The comparison starts anew at the next step.
  bool restart_tests_ = false;
};

class MovePolicy {
 public:
  virtual ~MovePolicy() = default;

  // Returns the step to log now, or nothing to stay. `hold_reason` says why.
  virtual std::optional<MoveDecision> Decide(
      const MoveView& view,
      std::string& hold_reason) const = 0;
};

enum class PolicyKind : uint8_t { kTimer, kThreshold, kSequential };

std::unique_ptr<MovePolicy> MakeMovePolicy(PolicyKind kind);

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_MOVE_POLICY_H_
