// Baselines that the sequential policy is compared with.
#include <algorithm>

#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

constexpr base::Duration kFixedStep = std::chrono::seconds(10);
constexpr uint32_t kFirstPermille = 10;
constexpr double kMaxFailureRate = 0.05;
constexpr uint64_t kMinCalls = 20;
constexpr size_t kMaxSlowerBuckets = 3;

std::optional<MoveDecision> TimedStep(const MoveView& view,
                                      std::string& hold_reason) {
  const rpc::Move& move = *view.move_;
  if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
      move.phase() == rpc::MOVE_PHASE_WITHDRAWN ||
      move.phase() == rpc::MOVE_PHASE_DONE) {
    return std::nullopt;
  }
  if (!view.new_endpoints_ ||
      (move.share_permille() != 0 && view.in_step_ < kFixedStep)) {
    hold_reason = "fixed step";
    return std::nullopt;
  }
  MoveDecision decision;
  decision.share_permille_ =
      move.share_permille() == 0
          ? kFirstPermille
          : std::min(move.share_permille() * 2, kFullSharePermille);
  decision.phase_ = decision.share_permille_ >= kFullSharePermille
                        ? rpc::MOVE_PHASE_DONE
                        : rpc::MOVE_PHASE_RAMPING;
  decision.reason_ = "fixed step";
  return decision;
}

bool ExceedsThreshold(const RouteView& route) {
  if (route.new_.calls() < kMinCalls) {
    return false;
  }
  const double failure_rate = static_cast<double>(route.new_.failures()) /
                              static_cast<double>(route.new_.calls());
  if (failure_rate > kMaxFailureRate) {
    return true;
  }
  return route.old_.calls() >= kMinCalls &&
         QuantileBucket(route.new_, 0.5) >=
             QuantileBucket(route.old_, 0.5) + kMaxSlowerBuckets;
}

}  // namespace

std::optional<MoveDecision> TimerPolicy::Decide(
    const MoveView& view,
    std::string& hold_reason) const {
  return TimedStep(view, hold_reason);
}

std::optional<MoveDecision> ThresholdPolicy::Decide(
    const MoveView& view,
    std::string& hold_reason) const {
  const bool open = view.move_->phase() != rpc::MOVE_PHASE_TAKEN_BACK &&
                    view.move_->phase() != rpc::MOVE_PHASE_WITHDRAWN;
  for (const auto& [name, route] : *view.routes_) {
    if (open && view.old_endpoints_ && ExceedsThreshold(route)) {
      MoveDecision decision;
      decision.phase_ = rpc::MOVE_PHASE_TAKEN_BACK;
      decision.reason_ = "threshold exceeded on route " + name;
      decision.watch_open_ = false;
      return decision;
    }
  }
  return TimedStep(view, hold_reason);
}

std::unique_ptr<MovePolicy> MakeMovePolicy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kTimer:
      return std::make_unique<TimerPolicy>();
    case PolicyKind::kThreshold:
      return std::make_unique<ThresholdPolicy>();
    case PolicyKind::kSequential:
      return std::make_unique<SequentialPolicy>();
  }
  return std::make_unique<SequentialPolicy>();
}

}  // namespace buckthorngate::rollout
