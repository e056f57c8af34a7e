// Moves that are final once done.
//
// Stages: a trial at a small share until shortly before the deadline; the whole
// share, which shows what the version does under load, for as long as the
// proxies' caps last (see exposure_cap.h); the whole share without cap, until
// the old version's last requests have ended. Each is reached on proof only.
#include <algorithm>
#include <array>

#include "rollout/harm_decision.h"
#include "rollout/policies.h"

namespace buckthorngate::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shares of the trial, in permille. The later ones are for services with too
// little traffic to prove anything at the earlier ones.
constexpr std::array<uint32_t, 4> kTrialShares = {10, 30, 50, 70};
constexpr uint32_t kUsualTrialShare = 30;

constexpr base::Duration kFirstTrialTime = seconds(1);
constexpr base::Duration kTrialTime = seconds(3);
// Enough for answers of usual latency, a report of those that are late, and a
// decision.
constexpr base::Duration kWholeTime = milliseconds(1300);
// Requests that the old version got last are answered.
constexpr base::Duration kSettleTime = milliseconds(400);

// Time before the deadline at which a stage begins. Whoever asks for the
// outcome by the deadline, counted from when the order was sent, gets it by
// then.
constexpr base::Duration kWholeLead = milliseconds(4300);
constexpr base::Duration kSettleLead = milliseconds(2600);
constexpr base::Duration kDoneLead = milliseconds(2000);
// With no more time than this the move does not wait for settling.
constexpr base::Duration kReportTime = milliseconds(700);

constexpr base::Duration kHoldAfterBrake = seconds(5);
// At the whole share evidence comes fast.
constexpr base::Duration kHoldAtWholeShare = seconds(2);
// Without any report for so long, nobody watches the new version.
constexpr base::Duration kMostSilence = seconds(2);
constexpr base::Duration kPauseTime = seconds(2);

// Routes with less than this part of the service's calls need no proof of
// their own.
constexpr double kMinorRoute = 0.05;
// Services with fewer calls than this since the order need no proof: a bad
// version gets few of them.
constexpr uint64_t kThinCalls = 30;
// A leader that has just begun has seen few calls of any service.
constexpr base::Duration kThinWatch = seconds(5);
constexpr uint64_t kLeastFreshCalls = 10;
constexpr double kLeastTrust = -1.0;
constexpr double kSufferingRate = 0.15;
// With so many bad answers the move waits until the old version is well, or is
// taken back if it is.
constexpr uint64_t kMostBadAnswers = 37;

uint64_t CallsOf(const MoveView& view) {
  uint64_t calls = 0;
  for (const auto& [name, route] : *view.routes_) {
    calls += route.calls_;
  }
  return calls;
}

uint64_t FreshCallsOf(const MoveView& view) {
  uint64_t calls = 0;
  for (const auto& [name, route] : *view.routes_) {
    calls += route.fresh_calls_;
  }
  return calls;
}

bool Thin(const MoveView& view) {
  return view.watched_ >= kThinWatch && CallsOf(view) < kThinCalls &&
         view.bad_answers_ == 0;
}

bool Trusted(const MoveView& view) {
  if (CallsOf(view) < kThinCalls) {
    return Thin(view);
  }
  const double least = kMinorRoute * static_cast<double>(CallsOf(view));
  return std::all_of(view.routes_->begin(), view.routes_->end(),
                     [least](const auto& item) {
                       const RouteView& route = item.second;
                       return static_cast<double>(route.calls_) < least ||
                              route.test_.Trust() >= kTrustThreshold;
                     });
}

bool Fresh(const MoveView& view) {
  return Thin(view) || FreshCallsOf(view) >= kLeastFreshCalls;
}

// Some route speaks for the new version being worse, if not clearly.
bool Distrusted(const MoveView& view) {
  return std::any_of(
      view.routes_->begin(), view.routes_->end(),
      [](const auto& item) { return item.second.test_.Trust() < kLeastTrust; });
}

bool OldSuffers(const MoveView& view) {
  return std::any_of(view.routes_->begin(), view.routes_->end(),
                     [](const auto& item) {
                       return item.second.test_.OldBadRate() > kSufferingRate;
                     });
}

MoveDecision StepTo(uint32_t share, std::string reason) {
  MoveDecision decision;
  decision.phase_ = share > kTrialShares.front() ? rpc::MOVE_PHASE_RAMPING
                                                 : rpc::MOVE_PHASE_CANARY;
  decision.share_permille_ = share;
  decision.reason_ = std::move(reason);
  return decision;
}

std::optional<MoveDecision> DecideTrial(const MoveView& view,
                                        bool trusted,
                                        std::string& hold_reason) {
  const uint32_t share = view.move_->share_permille();
  if (share == 0) {
    if (view.move_->phase() != rpc::MOVE_PHASE_WAITING &&
        view.in_step_ < kPauseTime) {
      hold_reason = "paused";
      return std::nullopt;
    }
    if (view.bad_answers_ >= kMostBadAnswers && OldSuffers(view)) {
      hold_reason = "paused until the old version is well";
      return std::nullopt;
    }
    return StepTo(kTrialShares.front(), "first share");
  }
  const bool first = share < kUsualTrialShare;
  if (trusted && !first) {
    if (view.left_ <= kWholeLead) {
      return StepTo(kFullSharePermille,
                    "evidence of harmlessness on each route");
    }
    hold_reason = "trusted; the share rises shortly before the deadline";
    return std::nullopt;
  }
  if (view.in_step_ < (first ? kFirstTrialTime : kTrialTime)) {
    hold_reason = "minimum time of a step";
    return std::nullopt;
  }
  const auto* const next =
      std::upper_bound(kTrialShares.begin(), kTrialShares.end(), share);
  if (next == kTrialShares.end()) {
    hold_reason = "collecting evidence";
    return std::nullopt;
  }
  return StepTo(*next, "more evidence is needed");
}

std::optional<MoveDecision> DecideWholeShare(const MoveView& view,
                                             std::string& hold_reason) {
  const rpc::Move& move = *view.move_;
  if (!Fresh(view)) {
    hold_reason = "no evidence of this step yet";
    return std::nullopt;
  }
  if (!move.uncapped()) {
    if (view.in_step_ >= kWholeTime && view.left_ <= kSettleLead) {
      MoveDecision decision =
          StepTo(kFullSharePermille, "harmless at the whole share");
      decision.uncapped_ = true;
      return decision;
    }
    hold_reason = "watching the new version at the whole share";
    return std::nullopt;
  }
  const bool settled =
      view.in_step_ >= kSettleTime || view.left_ <= kReportTime;
  if (!settled || view.left_ > kDoneLead) {
    hold_reason = "requests to the old version end";
    return std::nullopt;
  }
  MoveDecision done =
      StepTo(kFullSharePermille, "all requests go to the new version");
  done.phase_ = rpc::MOVE_PHASE_DONE;
  done.watch_open_ = false;
  return done;
}

// A share that nobody watches, or at which both versions suffer, ends.
std::optional<MoveDecision> DecidePause(const MoveView& view) {
  if (view.move_->share_permille() == 0) {
    return std::nullopt;
  }
  const bool distrusted = Distrusted(view);
  if (distrusted && view.bad_answers_ >= view.bad_answers_to_pause_) {
    if (view.bad_answers_ >= kMostBadAnswers && !OldSuffers(view)) {
      return TakeBack(std::to_string(view.bad_answers_) + " bad answers");
    }
    return StepTo(0, "paused: many bad answers, perhaps of both versions");
  }
  if (!Thin(view) && view.since_evidence_ > kMostSilence) {
    return StepTo(0, "paused: no evidence comes");
  }
  return std::nullopt;
}

}  // namespace

std::optional<MoveDecision> FinalMovePolicy::Decide(
    const MoveView& view,
    std::string& hold_reason) const {
  const rpc::Move& move = *view.move_;
  if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
      move.phase() == rpc::MOVE_PHASE_WITHDRAWN ||
      move.phase() == rpc::MOVE_PHASE_DONE) {
    return std::nullopt;
  }
  std::optional<MoveDecision> harm = DecideOnHarm(view, hold_reason);
  if (harm) {
    return harm;
  }
  const bool trusted = Trusted(view);
  std::optional<MoveDecision> pause = DecidePause(view);
  if (pause) {
    return pause;
  }
  if (!view.new_endpoints_) {
    hold_reason = "the new version has no endpoints yet";
    return std::nullopt;
  }
  const bool whole = move.share_permille() >= kFullSharePermille;
  if (view.brakes_ > 0 &&
      view.since_brake_ < (whole ? kHoldAtWholeShare : kHoldAfterBrake)) {
    hold_reason = "a proxy braked; waiting for evidence";
    return std::nullopt;
  }
  if (!trusted && move.share_permille() > kTrialShares.back()) {
    return StepTo(kUsualTrialShare, "the evidence is no longer clear");
  }
  if (!whole) {
    return DecideTrial(view, trusted, hold_reason);
  }
  return DecideWholeShare(view, hold_reason);
}

}  // namespace buckthorngate::rollout
