// Default move policy: sequential harm test with an exposure budget.
//
// The share starts small and grows by a constant factor (2 or 3, depending on
// the move's policy) when every route with traffic shows enough evidence of
// harmlessness at the current step. Until the first proof it stays within the
// declared unproven share. When traffic is too low to prove anything, the steps
// are spread evenly over the remaining time.
#include <algorithm>
#include <cmath>

#include "rollout/harm_decision.h"
#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

constexpr uint32_t kCanarySharePermille = 10;
// Fraction of the time until the deadline that the ramp keeps in reserve.
constexpr double kDeadlineReserve = 0.15;

// How long the brake of a single proxy holds the move.
constexpr base::Duration kHoldAfterBrake = std::chrono::seconds(5);

// Parameters of one of the policies that an operator can choose for a move.
struct Pace {
  base::Duration min_step_time_;
  // Factor on the evidence that a step needs.
  double evidence_factor_ = 1.0;
  // Factor by which the share grows with each step.
  uint32_t growth_factor_ = 2;
};

Pace PaceOf(rpc::MovePolicy policy) {
  switch (policy) {
    case rpc::MOVE_POLICY_CAUTIOUS:
      return {std::chrono::seconds(4), 2.0, 2};
    case rpc::MOVE_POLICY_FAST:
      return {std::chrono::seconds(1), 1.0, 3};
    default:
      return {std::chrono::seconds(2), 1.0, 2};
  }
}

// Returns the next share in permille. Shares above 70 % are rounded up to the
// full share.
uint32_t NextShare(const rpc::Move& move, bool proven, uint32_t growth) {
  const uint32_t share = move.share_permille();
  if (share == 0) {
    return std::min(kCanarySharePermille, move.unproven_share_permille());
  }
  const uint32_t next = std::min(share * growth, kFullSharePermille);
  if (!proven && share < move.unproven_share_permille()) {
    return std::min(next, move.unproven_share_permille());
  }
  return next > kFullSharePermille * 7 / 10 ? kFullSharePermille : next;
}

// Returns the number of steps that are left until the move is done.
int StepsLeft(uint32_t share, uint32_t growth) {
  const double ratio = static_cast<double>(kFullSharePermille) /
                       std::max<uint32_t>(share, kCanarySharePermille);
  return static_cast<int>(std::ceil(std::log(ratio) / std::log(growth))) + 1;
}

// Evidence of harmlessness at the current step.
enum class Proof : uint8_t { kNoTraffic, kInsufficient, kProven };

// Returns the evidence of all routes together; the weakest route counts.
Proof ProofOf(const PolicyInput& input, double threshold) {
  Proof proof = Proof::kNoTraffic;
  for (const auto& [name, route] : *input.routes_) {
    const bool traffic = route.new_sums_.calls() + route.old_sums_.calls() > 0;
    if (!traffic) {
      continue;
    }
    if (route.harm_test_.StepSafetyLogRatio() < threshold) {
      return Proof::kInsufficient;
    }
    proof = Proof::kProven;
  }
  return proof;
}

// Ends the watch after done once the old version has no endpoints left.
std::optional<MoveDecision> DecideAfterDone(const PolicyInput& input,
                                            std::string& hold_reason) {
  hold_reason = "done; watching";
  if (!input.has_old_endpoints_ && input.move_->watch_open()) {
    MoveDecision decision;
    decision.phase_ = rpc::MOVE_PHASE_DONE;
    decision.share_permille_ = kFullSharePermille;
    decision.reason_ = "the old version has no endpoints; cannot go back";
    decision.watch_open_ = false;
    return decision;
  }
  return std::nullopt;
}

MoveDecision Advance(uint32_t share, std::string reason) {
  MoveDecision decision;
  decision.share_permille_ = share;
  decision.reason_ = std::move(reason);
  if (share >= kFullSharePermille) {
    decision.phase_ = rpc::MOVE_PHASE_DONE;
  } else if (share <= kCanarySharePermille) {
    decision.phase_ = rpc::MOVE_PHASE_CANARY;
  } else {
    decision.phase_ = rpc::MOVE_PHASE_RAMPING;
  }
  return decision;
}

}  // namespace

std::optional<MoveDecision> SequentialPolicy::Decide(
    const PolicyInput& input,
    std::string& hold_reason) const {
  const rpc::Move& move = *input.move_;
  if (input.done_is_final_) {
    return final_moves_.Decide(input, hold_reason);
  }
  if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
      move.phase() == rpc::MOVE_PHASE_WITHDRAWN) {
    return std::nullopt;
  }
  if (move.phase() == rpc::MOVE_PHASE_DONE && !move.watch_open()) {
    hold_reason = "done";
    return std::nullopt;
  }
  std::optional<MoveDecision> harm = DecideOnHarm(input, hold_reason);
  if (harm || !hold_reason.empty()) {
    return harm;
  }
  if (move.phase() == rpc::MOVE_PHASE_DONE) {
    return DecideAfterDone(input, hold_reason);
  }
  if (!input.has_new_endpoints_) {
    hold_reason = "the new version has no endpoints yet";
    return std::nullopt;
  }
  if (input.braked_proxies_ > 0) {
    hold_reason = "a proxy braked; waiting for evidence";
    if (input.since_brake_ < kHoldAfterBrake) {
      return std::nullopt;
    }
  }
  const Pace pace = PaceOf(move.policy());
  if (move.share_permille() != 0 && input.time_in_step_ < pace.min_step_time_) {
    hold_reason = "minimum time of a step";
    return std::nullopt;
  }
  const int steps = StepsLeft(move.share_permille(), pace.growth_factor_);
  const base::Duration step_slot =
      std::chrono::duration_cast<base::Duration>(input.time_left_ *
                                                 (1.0 - kDeadlineReserve)) /
      steps;
  const bool step_slot_elapsed =
      input.time_in_step_ >= step_slot && input.braked_proxies_ == 0;
  const Proof proof =
      ProofOf(input, kStepSafetyThreshold * pace.evidence_factor_);
  const bool first = move.share_permille() == 0;
  if (first) {
    return Advance(NextShare(move, false, pace.growth_factor_), "first share");
  }
  if (proof == Proof::kProven) {
    return Advance(NextShare(move, true, pace.growth_factor_),
                   "evidence of harmlessness on each route");
  }
  if (step_slot_elapsed) {
    return Advance(NextShare(move, false, pace.growth_factor_),
                   "time decides: too little traffic to prove anything");
  }
  hold_reason =
      proof == Proof::kNoTraffic ? "no traffic yet" : "collecting evidence";
  return std::nullopt;
}

}  // namespace buckthorngate::rollout
