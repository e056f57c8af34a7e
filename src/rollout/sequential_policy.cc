// Sequential test with an exposure budget.
//
// The share starts small and doubles when each route that has traffic shows
// enough evidence of harmlessness at the current step. Until the first proof
// it stays within the declared unproven share. When traffic is too thin to
// prove anything, steps are spread over the time that is left.
#include <algorithm>
#include <cmath>

#include "rollout/harm_decision.h"
#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

constexpr uint32_t kCanaryPermille = 10;
// Part of the time before the deadline that the ramp plans to leave free.
constexpr double kDeadlineReserve = 0.15;

// How long a single proxy's brake holds the move.
constexpr base::Duration kHoldAfterBrake = std::chrono::seconds(5);

struct Pace {
  base::Duration min_step_;
  // Multiplies the evidence that a step needs.
  double proof_ = 1.0;
  uint32_t growth_ = 2;
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

uint32_t NextShare(const rpc::Move& move, bool proven, uint32_t growth) {
  const uint32_t share = move.share_permille();
  if (share == 0) {
    return std::min(kCanaryPermille, move.unproven_share_permille());
  }
  const uint32_t next = std::min(share * growth, kFullSharePermille);
  if (!proven && share < move.unproven_share_permille()) {
    return std::min(next, move.unproven_share_permille());
  }
  return next > kFullSharePermille * 7 / 10 ? kFullSharePermille : next;
}

int StepsLeft(uint32_t share, uint32_t growth) {
  const double ratio = static_cast<double>(kFullSharePermille) /
                       std::max<uint32_t>(share, kCanaryPermille);
  return static_cast<int>(std::ceil(std::log(ratio) / std::log(growth))) + 1;
}

enum class Proof : uint8_t { kNoTraffic, kOpen, kProven };

Proof ProofOf(const MoveView& view, double needed) {
  Proof proof = Proof::kNoTraffic;
  for (const auto& [name, route] : *view.routes_) {
    const bool traffic = route.new_.calls() + route.old_.calls() > 0;
    if (!traffic) {
      continue;
    }
    if (route.test_.SafeEvidence() < needed) {
      return Proof::kOpen;
    }
    proof = Proof::kProven;
  }
  return proof;
}

std::optional<MoveDecision> DecideWatch(const MoveView& view,
                                        std::string& hold_reason) {
  hold_reason = "done; watching";
  if (!view.old_endpoints_ && view.move_->watch_open()) {
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
  } else if (share <= kCanaryPermille) {
    decision.phase_ = rpc::MOVE_PHASE_CANARY;
  } else {
    decision.phase_ = rpc::MOVE_PHASE_RAMPING;
  }
  return decision;
}

}  // namespace

std::optional<MoveDecision> SequentialPolicy::Decide(
    const MoveView& view,
    std::string& hold_reason) const {
  const rpc::Move& move = *view.move_;
  if (view.done_is_final_) {
    return final_moves_.Decide(view, hold_reason);
  }
  if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
      move.phase() == rpc::MOVE_PHASE_WITHDRAWN) {
    return std::nullopt;
  }
  if (move.phase() == rpc::MOVE_PHASE_DONE && !move.watch_open()) {
    hold_reason = "done";
    return std::nullopt;
  }
  std::optional<MoveDecision> harm = DecideOnHarm(view, hold_reason);
  if (harm || !hold_reason.empty()) {
    return harm;
  }
  if (move.phase() == rpc::MOVE_PHASE_DONE) {
    return DecideWatch(view, hold_reason);
  }
  if (!view.new_endpoints_) {
    hold_reason = "the new version has no endpoints yet";
    return std::nullopt;
  }
  if (view.brakes_ > 0) {
    hold_reason = "a proxy braked; waiting for evidence";
    if (view.since_brake_ < kHoldAfterBrake) {
      return std::nullopt;
    }
  }
  const Pace pace = PaceOf(move.policy());
  if (move.share_permille() != 0 && view.in_step_ < pace.min_step_) {
    hold_reason = "minimum time of a step";
    return std::nullopt;
  }
  const int steps = StepsLeft(move.share_permille(), pace.growth_);
  const base::Duration slot = std::chrono::duration_cast<base::Duration>(
                                  view.left_ * (1.0 - kDeadlineReserve)) /
                              steps;
  const bool time_decides = view.in_step_ >= slot && view.brakes_ == 0;
  const Proof proof = ProofOf(view, kSafeThreshold * pace.proof_);
  const bool first = move.share_permille() == 0;
  if (first) {
    return Advance(NextShare(move, false, pace.growth_), "first share");
  }
  if (proof == Proof::kProven) {
    return Advance(NextShare(move, true, pace.growth_),
                   "evidence of harmlessness on each route");
  }
  if (time_decides) {
    return Advance(NextShare(move, false, pace.growth_),
                   "time decides: too little traffic to prove anything");
  }
  hold_reason =
      proof == Proof::kNoTraffic ? "no traffic yet" : "collecting evidence";
  return std::nullopt;
}

}  // namespace buckthorngate::rollout
