// Policy for moves that cannot be rolled back once done.
//
// Stages: a trial at a small share until shortly before the deadline; the full
// share, which shows how the version behaves under load, while the proxies'
// exposure caps still bound it (see exposure_cap.h); the full share without
// caps, until the last requests to the old version have ended. Each stage is
// entered only on proof.
#include <algorithm>
#include <array>

#include "rollout/harm_decision.h"
#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shares of the trial. The larger ones are for services with too little traffic
// to prove anything at the smaller ones.
constexpr std::array<uint32_t, 4> kTrialSharesPermille = {10, 30, 50, 70};
constexpr uint32_t kUsualTrialSharePermille = 30;

// Minimum time of the first step of the trial and of each later one.
constexpr base::Duration kFirstTrialStepTime = seconds(1);
constexpr base::Duration kTrialStepTime = seconds(3);
// Minimum time at the full share before the caps are lifted: enough for answers
// of usual latency, the reports on late ones, and a decision.
constexpr base::Duration kMinFullShareTime = milliseconds(1300);
// Time until the last requests to the old version are answered.
constexpr base::Duration kOldRequestsDrainTime = milliseconds(400);

// Time before the deadline at which a stage begins. The lead times allow a
// client that asks for the outcome by the deadline, counted from when it sent
// the order, to receive the outcome by then.
constexpr base::Duration kFullShareLeadTime = milliseconds(4300);
constexpr base::Duration kUncapLeadTime = milliseconds(2600);
constexpr base::Duration kDoneLeadTime = milliseconds(2000);
// With at most this much time left, the move ends without waiting for the last
// requests to the old version.
constexpr base::Duration kSkipDrainLeadTime = milliseconds(700);

// How long the brake of a single proxy holds the move.
constexpr base::Duration kHoldAfterBrake = seconds(5);
// Shorter at the full share, where evidence accumulates fast.
constexpr base::Duration kHoldAfterBrakeAtFullShare = seconds(2);
// Without any report for longer than this, the new version is not monitored and
// the move is paused.
constexpr base::Duration kEvidenceTimeout = seconds(2);
// Minimum length of a pause.
constexpr base::Duration kMinPauseTime = seconds(2);

// Routes with less than this fraction of the service's calls need no proof of
// their own.
constexpr double kMinorRouteFraction = 0.05;
// Services with fewer calls than this since the order need no proof, because a
// bad version would receive only a few of them.
constexpr uint64_t kLowTrafficCalls = 30;
// Minimum observation time before a service counts as one with low traffic: a
// new leader has seen few calls of any service.
constexpr base::Duration kMinLowTrafficObservation = seconds(5);
// Calls of the current step that a decision at the full share needs.
constexpr uint64_t kMinStepCalls = 10;
// Confidence (log-likelihood ratio) below which a version is doubtful.
constexpr double kDoubtThreshold = -1.0;
// Fraction of bad answers above which the old version is degraded.
constexpr double kDegradedBadRate = 0.15;
// With this many bad answers a doubtful version is rolled back if the old
// version is healthy; otherwise the move stays paused until it is.
constexpr uint64_t kMaxBadAnswers = 37;

uint64_t CallsOf(const PolicyInput& input) {
  uint64_t calls = 0;
  for (const auto& [name, route] : *input.routes_) {
    calls += route.calls_;
  }
  return calls;
}

uint64_t StepCallsOf(const PolicyInput& input) {
  uint64_t calls = 0;
  for (const auto& [name, route] : *input.routes_) {
    calls += route.step_calls_;
  }
  return calls;
}

// Returns whether the service has too little traffic to need proof.
bool HasLowTraffic(const PolicyInput& input) {
  return input.observed_for_ >= kMinLowTrafficObservation &&
         CallsOf(input) < kLowTrafficCalls && input.bad_answers_ == 0;
}

// Returns whether the new version is proven harmless on every major route, or
// the service has too little traffic to need proof.
bool IsProven(const PolicyInput& input) {
  if (CallsOf(input) < kLowTrafficCalls) {
    return HasLowTraffic(input);
  }
  const double least =
      kMinorRouteFraction * static_cast<double>(CallsOf(input));
  return std::all_of(
      input.routes_->begin(), input.routes_->end(), [least](const auto& item) {
        const RouteState& route = item.second;
        return static_cast<double>(route.calls_) < least ||
               route.harm_test_.ConfidenceLogRatio() >= kConfidenceThreshold;
      });
}

// Returns whether there is enough evidence of the current step.
bool HasStepEvidence(const PolicyInput& input) {
  return HasLowTraffic(input) || StepCallsOf(input) >= kMinStepCalls;
}

// Returns whether some route indicates, if not conclusively, that the new
// version is worse.
bool IsDoubtful(const PolicyInput& input) {
  return std::any_of(
      input.routes_->begin(), input.routes_->end(), [](const auto& item) {
        return item.second.harm_test_.ConfidenceLogRatio() < kDoubtThreshold;
      });
}

// Returns whether the old version is degraded on some route.
bool IsOldVersionDegraded(const PolicyInput& input) {
  return std::any_of(
      input.routes_->begin(), input.routes_->end(), [](const auto& item) {
        return item.second.harm_test_.OldVersionBadRate() > kDegradedBadRate;
      });
}

MoveDecision StepTo(uint32_t share, std::string reason) {
  MoveDecision decision;
  decision.phase_ = share > kTrialSharesPermille.front()
                        ? rpc::MOVE_PHASE_RAMPING
                        : rpc::MOVE_PHASE_CANARY;
  decision.share_permille_ = share;
  decision.reason_ = std::move(reason);
  return decision;
}

// Decides at shares below the full one.
std::optional<MoveDecision> DecideTrial(const PolicyInput& input,
                                        bool proven,
                                        std::string& hold_reason) {
  const uint32_t share = input.move_->share_permille();
  if (share == 0) {
    if (input.move_->phase() != rpc::MOVE_PHASE_WAITING &&
        input.time_in_step_ < kMinPauseTime) {
      hold_reason = "paused";
      return std::nullopt;
    }
    if (input.bad_answers_ >= kMaxBadAnswers && IsOldVersionDegraded(input)) {
      hold_reason = "paused until the old version is well";
      return std::nullopt;
    }
    return StepTo(kTrialSharesPermille.front(), "first share");
  }
  const bool first = share < kUsualTrialSharePermille;
  if (proven && !first) {
    if (input.time_left_ <= kFullShareLeadTime) {
      return StepTo(kFullSharePermille,
                    "evidence of harmlessness on each route");
    }
    hold_reason = "trusted; the share rises shortly before the deadline";
    return std::nullopt;
  }
  if (input.time_in_step_ < (first ? kFirstTrialStepTime : kTrialStepTime)) {
    hold_reason = "minimum time of a step";
    return std::nullopt;
  }
  const auto* const next = std::upper_bound(kTrialSharesPermille.begin(),
                                            kTrialSharesPermille.end(), share);
  if (next == kTrialSharesPermille.end()) {
    hold_reason = "collecting evidence";
    return std::nullopt;
  }
  return StepTo(*next, "more evidence is needed");
}

// Decides at the full share: lifts the caps, then ends the move.
std::optional<MoveDecision> DecideFullShare(const PolicyInput& input,
                                            std::string& hold_reason) {
  const rpc::Move& move = *input.move_;
  if (!HasStepEvidence(input)) {
    hold_reason = "no evidence of this step yet";
    return std::nullopt;
  }
  if (!move.uncapped()) {
    if (input.time_in_step_ >= kMinFullShareTime &&
        input.time_left_ <= kUncapLeadTime) {
      MoveDecision decision =
          StepTo(kFullSharePermille, "harmless at the whole share");
      decision.uncapped_ = true;
      return decision;
    }
    hold_reason = "watching the new version at the whole share";
    return std::nullopt;
  }
  const bool old_requests_ended =
      input.time_in_step_ >= kOldRequestsDrainTime ||
      input.time_left_ <= kSkipDrainLeadTime;
  if (!old_requests_ended || input.time_left_ > kDoneLeadTime) {
    hold_reason = "requests to the old version end";
    return std::nullopt;
  }
  MoveDecision done =
      StepTo(kFullSharePermille, "all requests go to the new version");
  done.phase_ = rpc::MOVE_PHASE_DONE;
  done.watch_open_ = false;
  return done;
}

// Pauses the move if the new version is not monitored, or if a doubtful version
// has given too many bad answers, which both versions may have in common. Rolls
// it back if there are many more bad answers while the old version is healthy.
std::optional<MoveDecision> DecidePause(const PolicyInput& input) {
  if (input.move_->share_permille() == 0) {
    return std::nullopt;
  }
  const bool doubtful = IsDoubtful(input);
  if (doubtful && input.bad_answers_ >= input.bad_answers_to_pause_) {
    if (input.bad_answers_ >= kMaxBadAnswers && !IsOldVersionDegraded(input)) {
      return MakeRollback(std::to_string(input.bad_answers_) + " bad answers");
    }
    return StepTo(0, "paused: many bad answers, perhaps of both versions");
  }
  if (!HasLowTraffic(input) && input.since_evidence_ > kEvidenceTimeout) {
    return StepTo(0, "paused: no evidence comes");
  }
  return std::nullopt;
}

}  // namespace

std::optional<MoveDecision> FinalMovePolicy::Decide(
    const PolicyInput& input,
    std::string& hold_reason) const {
  const rpc::Move& move = *input.move_;
  if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
      move.phase() == rpc::MOVE_PHASE_WITHDRAWN ||
      move.phase() == rpc::MOVE_PHASE_DONE) {
    return std::nullopt;
  }
  std::optional<MoveDecision> harm = DecideOnHarm(input, hold_reason);
  if (harm) {
    return harm;
  }
  const bool proven = IsProven(input);
  std::optional<MoveDecision> pause = DecidePause(input);
  if (pause) {
    return pause;
  }
  if (!input.has_new_endpoints_) {
    hold_reason = "the new version has no endpoints yet";
    return std::nullopt;
  }
  const bool at_full_share = move.share_permille() >= kFullSharePermille;
  if (input.braked_proxies_ > 0 &&
      input.since_brake_ <
          (at_full_share ? kHoldAfterBrakeAtFullShare : kHoldAfterBrake)) {
    hold_reason = "a proxy braked; waiting for evidence";
    return std::nullopt;
  }
  if (!proven && move.share_permille() > kTrialSharesPermille.back()) {
    return StepTo(kUsualTrialSharePermille, "the evidence is no longer clear");
  }
  if (!at_full_share) {
    return DecideTrial(input, proven, hold_reason);
  }
  return DecideFullShare(input, hold_reason);
}

}  // namespace buckthorngate::rollout
