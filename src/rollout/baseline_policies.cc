// Timer and threshold policies, the baselines for the sequential policy, and
// the factory of all policies.
#include <algorithm>

#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

constexpr base::Duration kStepInterval = std::chrono::seconds(10);
constexpr uint32_t kFirstSharePermille = 10;
constexpr double kMaxFailureRate = 0.05;
constexpr uint64_t kMinCalls = 20;
constexpr size_t kMaxMedianSlowdownBuckets = 3;

std::optional<MoveDecision> DecideTimedStep(const PolicyInput& input,
                                            std::string& hold_reason) {
  const rpc::Move& move = *input.move_;
  if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
      move.phase() == rpc::MOVE_PHASE_WITHDRAWN ||
      move.phase() == rpc::MOVE_PHASE_DONE) {
    return std::nullopt;
  }
  if (!input.has_new_endpoints_ ||
      (move.share_permille() != 0 && input.time_in_step_ < kStepInterval)) {
    hold_reason = "fixed step";
    return std::nullopt;
  }
  MoveDecision decision;
  decision.share_permille_ =
      move.share_permille() == 0
          ? kFirstSharePermille
          : std::min(move.share_permille() * 2, kFullSharePermille);
  decision.phase_ = decision.share_permille_ >= kFullSharePermille
                        ? rpc::MOVE_PHASE_DONE
                        : rpc::MOVE_PHASE_RAMPING;
  decision.reason_ = "fixed step";
  return decision;
}

bool ExceedsThreshold(const RouteState& route) {
  if (route.new_sums_.calls() < kMinCalls) {
    return false;
  }
  const double failure_rate = static_cast<double>(route.new_sums_.failures()) /
                              static_cast<double>(route.new_sums_.calls());
  if (failure_rate > kMaxFailureRate) {
    return true;
  }
  return route.old_sums_.calls() >= kMinCalls &&
         QuantileBucket(route.new_sums_, 0.5) >=
             QuantileBucket(route.old_sums_, 0.5) + kMaxMedianSlowdownBuckets;
}

}  // namespace

std::optional<MoveDecision> TimerPolicy::Decide(
    const PolicyInput& input,
    std::string& hold_reason) const {
  return DecideTimedStep(input, hold_reason);
}

std::optional<MoveDecision> ThresholdPolicy::Decide(
    const PolicyInput& input,
    std::string& hold_reason) const {
  const bool active = input.move_->phase() != rpc::MOVE_PHASE_TAKEN_BACK &&
                      input.move_->phase() != rpc::MOVE_PHASE_WITHDRAWN;
  for (const auto& [name, route] : *input.routes_) {
    if (active && input.has_old_endpoints_ && ExceedsThreshold(route)) {
      MoveDecision decision;
      decision.phase_ = rpc::MOVE_PHASE_TAKEN_BACK;
      decision.reason_ = "threshold exceeded on route " + name;
      decision.watch_open_ = false;
      return decision;
    }
  }
  return DecideTimedStep(input, hold_reason);
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
