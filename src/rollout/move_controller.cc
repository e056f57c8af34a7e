// Evidence, step decisions and status of all moves.
#include "rollout/move_controller.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::rollout {
namespace {

// A proposed step that is not committed within this time is considered lost and
// is decided again.
constexpr base::Duration kProposalTimeout = std::chrono::seconds(3);

uint64_t BadAnswers(const std::map<std::string, RouteState>& routes) {
  uint64_t bad = 0;
  for (const auto& [name, route] : routes) {
    bad += route.harm_test_.BadAnswers();
  }
  return bad;
}

}  // namespace

MoveController::MoveController(std::unique_ptr<MovePolicy> policy)
    : policy_(std::move(policy)) {}

void MoveController::Reset() {
  for (auto& [name, tracked] : tracked_) {
    TrackedMove kept;
    kept.step_ = tracked.step_;
    kept.to_ = tracked.to_;
    kept.declared_ms_ = tracked.declared_ms_;
    kept.step_started_ = tracked.step_started_;
    kept.move_started_ = tracked.move_started_;
    kept.last_evidence_at_ = tracked.last_evidence_at_;
    tracked = std::move(kept);
  }
  pending_brakes_.clear();
  merger_ = EvidenceMerger();
}

void MoveController::TrackAsFollower(const config::ConfigState& config,
                                     base::MonoTime now) {
  TrackAll(config, now);
  for (auto& [name, tracked] : tracked_) {
    // If this source becomes the leader, it measures missing evidence from then
    // on.
    tracked.last_evidence_at_ = now;
  }
}

void MoveController::TrackAll(const config::ConfigState& config,
                              base::MonoTime now) {
  for (const auto& [name, service] : config.Services()) {
    if (service->has_move()) {
      Track(service->move(), now);
    }
  }
}

base::Duration MoveController::SinceStep(const std::string& service,
                                         base::MonoTime now) const {
  const auto found = tracked_.find(service);
  return found == tracked_.end() ? base::Duration(0)
                                 : now - found->second.step_started_;
}

void MoveController::OnEvidence(const rpc::Evidence& report) {
  merger_.Add(report);
}

void MoveController::OnBrake(const std::string& proxy,
                             const rpc::BrakeNotice& notice) {
  pending_brakes_.emplace_back(proxy, notice);
}

MoveController::TrackedMove& MoveController::Track(const rpc::Move& move,
                                                   base::MonoTime now) {
  const auto [found, added] = tracked_.try_emplace(move.service());
  TrackedMove& tracked = found->second;
  if (added || tracked.to_ != move.to()) {
    tracked = TrackedMove();
    tracked.to_ = move.to();
    tracked.step_ = move.step();
    tracked.step_started_ = now;
    tracked.last_evidence_at_ = now;
  }
  if (tracked.declared_ms_ != move.declared_ms()) {
    tracked.declared_ms_ = move.declared_ms();
    tracked.move_started_ = now - std::chrono::milliseconds(move.elapsed_ms());
  }
  if (tracked.step_ != move.step()) {
    StartStep(tracked, move, now);
  }
  return tracked;
}

void MoveController::StartStep(TrackedMove& tracked,
                               const rpc::Move& move,
                               base::MonoTime now) {
  tracked.step_ = move.step();
  tracked.step_started_ = now;
  tracked.move_started_ =
      std::min(tracked.move_started_,
               now - std::chrono::milliseconds(move.elapsed_ms()));
  tracked.proposed_at_.reset();
  tracked.braked_proxies_.clear();
  for (auto& [name, route] : tracked.routes_) {
    route.new_sums_.Clear();
    route.old_sums_.Clear();
    route.step_calls_ = 0;
    route.harm_test_.StartStep();
    if (tracked.restart_tests_) {
      route.harm_test_.RestartAfterAlarm();
    }
  }
  tracked.restart_tests_ = false;
  const bool pause =
      move.share_permille() == 0 && move.phase() == rpc::MOVE_PHASE_CANARY;
  if (pause) {
    tracked.bad_answers_to_pause_ =
        BadAnswers(tracked.routes_) + kBadAnswersAfterPause;
  }
}

void MoveController::AddWindow(TrackedMove& tracked,
                               const rpc::Move& move,
                               const std::vector<rpc::RouteEvidence>& window,
                               base::MonoTime now) {
  std::map<std::string, std::pair<rpc::RouteEvidence, rpc::RouteEvidence>>
      new_and_old_by_route;
  for (const auto& [name, route] : tracked.routes_) {
    new_and_old_by_route[name] = {};
  }
  for (const rpc::RouteEvidence& evidence : window) {
    if (evidence.service() != move.service()) {
      continue;
    }
    tracked.last_evidence_at_ = now;
    tracked.routes_[evidence.route()].calls_ += evidence.calls();
    if (evidence.version() == move.to()) {
      const bool in_this_step = evidence.step() == move.step();
      tracked.routes_[evidence.route()].step_calls_ +=
          in_this_step ? evidence.calls() : 0;
      MergeEvidence(evidence, new_and_old_by_route[evidence.route()].first);
    } else if (evidence.version() == move.from()) {
      MergeEvidence(evidence, new_and_old_by_route[evidence.route()].second);
    }
  }
  for (const auto& [name, pair] : new_and_old_by_route) {
    RouteState& route = tracked.routes_[name];
    route.harm_test_.Add(pair.first, pair.second);
    MergeEvidence(pair.first, route.new_sums_);
    MergeEvidence(pair.second, route.old_sums_);
  }
}

std::vector<rpc::MoveStep> MoveController::Tick(
    const config::ConfigState& config,
    const EndpointPresence& presence,
    base::MonoTime now,
    base::WallTime wall) {
  std::vector<rpc::MoveStep> steps;
  if (now < next_decision_) {
    // Record new steps at once: a step begins when it is committed, not at the
    // next decision.
    TrackAll(config, now);
    return steps;
  }
  next_decision_ = now + kDecisionInterval;
  const std::vector<rpc::RouteEvidence> window = merger_.TakeSums();
  const std::vector<std::pair<std::string, rpc::BrakeNotice>> brakes =
      std::exchange(pending_brakes_, {});
  for (const auto& [name, service] : config.Services()) {
    if (!service->has_move()) {
      tracked_.erase(name);
      continue;
    }
    const rpc::Move& move = service->move();
    TrackedMove& tracked = Track(move, now);
    tracked.observed_since_ = tracked.observed_since_.value_or(now);
    AddWindow(tracked, move, window, now);
    for (const auto& [proxy, notice] : brakes) {
      if (notice.service() == name && notice.version() == move.to() &&
          notice.step() == move.step()) {
        tracked.braked_proxies_.insert(proxy);
        tracked.last_brake_at_ = now;
      }
    }
    const std::optional<rpc::MoveStep> step =
        Decide(*service, tracked, presence, now, wall);
    if (step) {
      steps.push_back(*step);
    }
  }
  return steps;
}

PolicyInput MoveController::BuildPolicyInput(const rpc::Move& move,
                                             const TrackedMove& tracked,
                                             const EndpointPresence& presence,
                                             base::MonoTime now) {
  PolicyInput input;
  input.move_ = &move;
  input.routes_ = &tracked.routes_;
  const base::Duration total_time =
      std::chrono::milliseconds(move.deadline_ms() - move.declared_ms());
  input.time_left_ = tracked.move_started_ + total_time - now;
  input.time_in_step_ = now - tracked.step_started_;
  input.has_new_endpoints_ = presence.HasEndpoints(move.service(), move.to());
  input.has_old_endpoints_ = presence.HasEndpoints(move.service(), move.from());
  input.braked_proxies_ = static_cast<uint32_t>(tracked.braked_proxies_.size());
  input.since_brake_ = now - tracked.last_brake_at_;
  input.bad_answers_ = BadAnswers(tracked.routes_);
  input.bad_answers_to_pause_ = tracked.bad_answers_to_pause_;
  input.observed_for_ = now - tracked.observed_since_.value_or(now);
  input.since_evidence_ = now - tracked.last_evidence_at_;
  return input;
}

std::optional<rpc::MoveStep> MoveController::Decide(
    const rpc::ServiceState& service,
    TrackedMove& tracked,
    const EndpointPresence& presence,
    base::MonoTime now,
    base::WallTime wall) const {
  if (tracked.proposed_at_ && now - *tracked.proposed_at_ < kProposalTimeout) {
    return std::nullopt;
  }
  const rpc::Move& move = service.move();
  PolicyInput input = BuildPolicyInput(move, tracked, presence, now);
  input.done_is_final_ = service.service().ordered();
  tracked.hold_reason_.clear();
  const std::optional<MoveDecision> decision =
      policy_->Decide(input, tracked.hold_reason_);
  if (!decision) {
    return std::nullopt;
  }
  tracked.proposed_at_ = now;
  tracked.restart_tests_ = decision->restart_tests_;
  rpc::MoveStep step;
  step.set_service(move.service());
  step.set_to(move.to());
  step.set_expected_step(move.step());
  step.set_phase(decision->phase_);
  step.set_share_permille(decision->share_permille_);
  step.set_reason(decision->reason_);
  step.set_watch_open(decision->watch_open_);
  step.set_uncapped(decision->uncapped_);
  step.set_elapsed_ms((now - tracked.move_started_) /
                      std::chrono::milliseconds(1));
  step.set_at_ms(base::ToUnixMs(wall));
  return step;
}

std::vector<MoveStatus> MoveController::Status(
    const config::ConfigState& config) const {
  std::vector<MoveStatus> all;
  for (const auto& [name, service] : config.Services()) {
    if (!service->has_move()) {
      continue;
    }
    MoveStatus& status = all.emplace_back();
    status.move_ = service->move();
    const auto found = tracked_.find(name);
    if (found == tracked_.end()) {
      continue;
    }
    status.hold_reason_ = found->second.hold_reason_;
    for (const auto& [route, state] : found->second.routes_) {
      status.evidence_.push_back(state.new_sums_);
      status.evidence_.push_back(state.old_sums_);
    }
  }
  return all;
}

}  // namespace buckthorngate::rollout
