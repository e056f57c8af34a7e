// Sequential test with an exposure budget.
//
// The share starts small and doubles when each route that has traffic shows
// enough evidence of harmlessness at the current step. Until the first proof
// it stays within the declared unproven share. When traffic is too thin to
// prove anything, steps are spread over the time that is left.
#include <algorithm>
#include <cmath>

#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

constexpr uint32_t kCanaryPermille = 10;
constexpr uint32_t kComparePermille = 500;
// Part of the time before the deadline that the ramp plans to leave free.
constexpr double kDeadlineReserve = 0.15;

// How long a single proxy's brake holds the move.
constexpr base::Duration kHoldAfterBrake = std::chrono::seconds(5);
constexpr base::Duration kHoldAtWholeShare = std::chrono::seconds(2);
// Part of all requests of an ordered move's time that a step may expose before
// time decides. Versions that are bad under load only show it at large shares.
constexpr double kStepExposure = 0.01;

// At the whole share, until proxies have heard of it and the old endpoints
// have answered what they were sent before.
constexpr base::Duration kSettleTime = std::chrono::milliseconds(1200);
// Whoever asks for the outcome by the deadline gets it by then.
constexpr base::Duration kReportTime = std::chrono::milliseconds(700);

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
  const uint32_t next = std::min(share * growth, kWholeShare);
  if (!proven && share < move.unproven_share_permille()) {
    return std::min(next, move.unproven_share_permille());
  }
  return next > kWholeShare * 7 / 10 ? kWholeShare : next;
}

int StepsLeft(uint32_t share, uint32_t growth) {
  const double ratio = static_cast<double>(kWholeShare) /
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

const RouteView* FindHarm(const MoveView& view, std::string& route_name) {
  for (const auto& [name, route] : *view.routes_) {
    if (route.test_.Harmful()) {
      route_name = name;
      return &route;
    }
  }
  return nullptr;
}

bool OldIsCurrent(const MoveView& view) {
  return std::any_of(
      view.routes_->begin(), view.routes_->end(),
      [](const auto& item) { return item.second.test_.OldIsCurrent(); });
}

MoveDecision TakeBack(const std::string& reason) {
  MoveDecision decision;
  decision.phase_ = rpc::MOVE_PHASE_TAKEN_BACK;
  decision.share_permille_ = 0;
  decision.reason_ = reason;
  decision.watch_open_ = false;
  return decision;
}

std::optional<MoveDecision> DecideOnHarm(const MoveView& view,
                                         std::string& hold_reason) {
  std::string route_name;
  const RouteView* harmed = FindHarm(view, route_name);
  if (harmed == nullptr && view.brakes_ < 2) {
    return std::nullopt;
  }
  const std::string kind =
      harmed != nullptr ? harmed->test_.Harm() + " on route " + route_name
                        : std::to_string(view.brakes_) + " proxies braked";
  const bool done = view.move_->phase() == rpc::MOVE_PHASE_DONE;
  if (!view.old_endpoints_) {
    hold_reason =
        "harm seen (" + kind + ") but the old version has no endpoints";
    return std::nullopt;
  }
  if (done && !OldIsCurrent(view)) {
    // Nothing to compare with at full share: the cause may be common to both.
    MoveDecision decision;
    decision.phase_ = rpc::MOVE_PHASE_RAMPING;
    decision.share_permille_ = kComparePermille;
    decision.reason_ = kind + " after done; comparing with the old version";
    decision.restart_tests_ = true;
    return decision;
  }
  return TakeBack(kind);
}

std::optional<MoveDecision> DecideWatch(const MoveView& view,
                                        std::string& hold_reason) {
  hold_reason = "done; watching";
  if (!view.old_endpoints_ && view.move_->watch_open()) {
    MoveDecision decision;
    decision.phase_ = rpc::MOVE_PHASE_DONE;
    decision.share_permille_ = kWholeShare;
    decision.reason_ = "the old version has no endpoints; cannot go back";
    decision.watch_open_ = false;
    return decision;
  }
  return std::nullopt;
}

// All requests go to the new version already; what is left is to say so.
std::optional<MoveDecision> DecideWholeShare(const MoveView& view,
                                             base::Duration left,
                                             std::string& hold_reason) {
  if (view.in_step_ < kSettleTime && left > kReportTime) {
    hold_reason = "requests to the old version end";
    return std::nullopt;
  }
  MoveDecision decision;
  decision.share_permille_ = kWholeShare;
  decision.phase_ = rpc::MOVE_PHASE_DONE;
  decision.reason_ = "all requests go to the new version";
  decision.watch_open_ = false;
  return decision;
}

MoveDecision Advance(const MoveView& view, uint32_t share, std::string reason) {
  MoveDecision decision;
  decision.share_permille_ = share;
  decision.reason_ = std::move(reason);
  if (share >= kWholeShare && !view.done_is_final_) {
    decision.phase_ = rpc::MOVE_PHASE_DONE;
  } else if (share <= kCanaryPermille) {
    decision.phase_ = rpc::MOVE_PHASE_CANARY;
  } else {
    decision.phase_ = rpc::MOVE_PHASE_RAMPING;
  }
  return decision;
}

// How long the present share may last until it has exposed its part.
base::Duration ExposureTime(const MoveView& view) {
  const rpc::Move& move = *view.move_;
  if (!view.done_is_final_ || move.share_permille() == 0) {
    return base::Duration::max();
  }
  const base::Duration whole =
      std::chrono::milliseconds(move.deadline_ms() - move.declared_ms());
  return std::chrono::duration_cast<base::Duration>(
      whole * (kStepExposure * kWholeShare / move.share_permille()));
}

}  // namespace

std::optional<MoveDecision> SequentialPolicy::Decide(
    const MoveView& view,
    std::string& hold_reason) const {
  const rpc::Move& move = *view.move_;
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
    // At the whole share evidence comes fast.
    const base::Duration hold = move.share_permille() >= kWholeShare
                                    ? kHoldAtWholeShare
                                    : kHoldAfterBrake;
    if (view.since_brake_ < hold) {
      return std::nullopt;
    }
  }
  const base::Duration left = base::FromUnixMs(move.deadline_ms()) - view.now_;
  if (move.share_permille() >= kWholeShare) {
    return DecideWholeShare(view, left, hold_reason);
  }
  const Pace pace = PaceOf(move.policy());
  if (move.share_permille() != 0 && view.in_step_ < pace.min_step_) {
    hold_reason = "minimum time of a step";
    return std::nullopt;
  }
  const int steps = StepsLeft(move.share_permille(), pace.growth_);
  const base::Duration slot = std::chrono::duration_cast<base::Duration>(
                                  left * (1.0 - kDeadlineReserve)) /
                              steps;
  const bool time_decides =
      view.in_step_ >= std::min(slot, ExposureTime(view)) && view.brakes_ == 0;
  const Proof proof = ProofOf(view, kSafeThreshold * pace.proof_);
  const bool first = move.share_permille() == 0;
  if (first) {
    return Advance(view, NextShare(move, false, pace.growth_), "first share");
  }
  if (proof == Proof::kProven) {
    return Advance(view, NextShare(move, true, pace.growth_),
                   "evidence of harmlessness on each route");
  }
  if (time_decides) {
    return Advance(view, NextShare(move, false, pace.growth_),
                   "time decides: too little traffic to prove anything");
  }
  hold_reason =
      proof == Proof::kNoTraffic ? "no traffic yet" : "collecting evidence";
  return std::nullopt;
}

}  // namespace buckthorngate::rollout
