// Controller of all moves.
#include "rollout/move_controller.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::rollout {
namespace {

// A step that is not committed by then was lost and is decided again.
constexpr base::Duration kProposalTimeout = std::chrono::seconds(3);

uint64_t BadAnswers(const std::map<std::string, RouteView>& routes) {
  uint64_t bad = 0;
  for (const auto& [name, route] : routes) {
    bad += route.test_.BadAnswers();
  }
  return bad;
}

}  // namespace

MoveController::MoveController(std::unique_ptr<MovePolicy> policy)
    : policy_(std::move(policy)) {}

void MoveController::Reset() {
  for (auto& [name, tracked] : tracked_) {
    Tracked kept;
    kept.step_ = tracked.step_;
    kept.to_ = tracked.to_;
    kept.declared_ms_ = tracked.declared_ms_;
    kept.step_began_ = tracked.step_began_;
    kept.began_ = tracked.began_;
    kept.last_evidence_ = tracked.last_evidence_;
    tracked = std::move(kept);
  }
  brakes_.clear();
  merger_ = EvidenceMerger();
}

void MoveController::TrackAsFollower(const config::ConfigState& config,
                                     base::MonoTime now) {
  TrackAll(config, now);
  for (auto& [name, tracked] : tracked_) {
    // A leader to be counts silence from the moment when it leads.
    tracked.last_evidence_ = now;
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
                                 : now - found->second.step_began_;
}

void MoveController::OnEvidence(const rpc::Evidence& report) {
  merger_.Add(report);
}

void MoveController::OnBrake(const std::string& proxy,
                             const rpc::BrakeNotice& notice) {
  brakes_.emplace_back(proxy, notice);
}

MoveController::Tracked& MoveController::Track(const rpc::Move& move,
                                               base::MonoTime now) {
  const auto [found, added] = tracked_.try_emplace(move.service());
  Tracked& tracked = found->second;
  if (added || tracked.to_ != move.to()) {
    tracked = Tracked();
    tracked.to_ = move.to();
    tracked.step_ = move.step();
    tracked.step_began_ = now;
    tracked.last_evidence_ = now;
  }
  if (tracked.declared_ms_ != move.declared_ms()) {
    tracked.declared_ms_ = move.declared_ms();
    tracked.began_ = now - std::chrono::milliseconds(move.elapsed_ms());
  }
  if (tracked.step_ != move.step()) {
    StartStep(tracked, move, now);
  }
  return tracked;
}

void MoveController::StartStep(Tracked& tracked,
                               const rpc::Move& move,
                               base::MonoTime now) {
  tracked.step_ = move.step();
  tracked.step_began_ = now;
  tracked.began_ = std::min(tracked.began_,
                            now - std::chrono::milliseconds(move.elapsed_ms()));
  tracked.proposed_.reset();
  tracked.brakes_.clear();
  for (auto& [name, route] : tracked.routes_) {
    route.new_.Clear();
    route.old_.Clear();
    route.fresh_calls_ = 0;
    route.test_.StartStep();
    if (tracked.restart_tests_) {
      route.test_.RestartSuspicious();
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

void MoveController::AddWindow(Tracked& tracked,
                               const rpc::Move& move,
                               const std::vector<rpc::RouteEvidence>& window,
                               base::MonoTime now) {
  std::map<std::string, std::pair<rpc::RouteEvidence, rpc::RouteEvidence>>
      by_route;
  for (const auto& [name, route] : tracked.routes_) {
    by_route[name] = {};
  }
  for (const rpc::RouteEvidence& evidence : window) {
    if (evidence.service() != move.service()) {
      continue;
    }
    tracked.last_evidence_ = now;
    tracked.routes_[evidence.route()].calls_ += evidence.calls();
    if (evidence.version() == move.to()) {
      const bool fresh = evidence.step() == move.step();
      tracked.routes_[evidence.route()].fresh_calls_ +=
          fresh ? evidence.calls() : 0;
      MergeEvidence(evidence, by_route[evidence.route()].first);
    } else if (evidence.version() == move.from()) {
      MergeEvidence(evidence, by_route[evidence.route()].second);
    }
  }
  for (const auto& [name, pair] : by_route) {
    RouteView& route = tracked.routes_[name];
    route.test_.Add(pair.first, pair.second);
    MergeEvidence(pair.first, route.new_);
    MergeEvidence(pair.second, route.old_);
  }
}

std::vector<rpc::MoveStep> MoveController::Tick(
    const config::ConfigState& config,
    const EndpointPresence& presence,
    base::MonoTime now,
    base::WallTime wall) {
  std::vector<rpc::MoveStep> steps;
  if (now < next_decision_) {
    // A step begins when it is committed, not at the next decision.
    TrackAll(config, now);
    return steps;
  }
  next_decision_ = now + kDecisionInterval;
  const std::vector<rpc::RouteEvidence> window = merger_.TakeSums();
  const std::vector<std::pair<std::string, rpc::BrakeNotice>> brakes =
      std::exchange(brakes_, {});
  for (const auto& [name, service] : config.Services()) {
    if (!service->has_move()) {
      tracked_.erase(name);
      continue;
    }
    const rpc::Move& move = service->move();
    Tracked& tracked = Track(move, now);
    tracked.watched_from_ = tracked.watched_from_.value_or(now);
    AddWindow(tracked, move, window, now);
    for (const auto& [proxy, notice] : brakes) {
      if (notice.service() == name && notice.version() == move.to() &&
          notice.step() == move.step()) {
        tracked.brakes_.insert(proxy);
        tracked.last_brake_ = now;
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

MoveView MoveController::ViewOf(const rpc::Move& move,
                                const Tracked& tracked,
                                const EndpointPresence& presence,
                                base::MonoTime now) {
  MoveView view;
  view.move_ = &move;
  view.routes_ = &tracked.routes_;
  const base::Duration whole =
      std::chrono::milliseconds(move.deadline_ms() - move.declared_ms());
  view.left_ = tracked.began_ + whole - now;
  view.in_step_ = now - tracked.step_began_;
  view.new_endpoints_ = presence.HasEndpoints(move.service(), move.to());
  view.old_endpoints_ = presence.HasEndpoints(move.service(), move.from());
  view.brakes_ = static_cast<uint32_t>(tracked.brakes_.size());
  view.since_brake_ = now - tracked.last_brake_;
  view.bad_answers_ = BadAnswers(tracked.routes_);
  view.bad_answers_to_pause_ = tracked.bad_answers_to_pause_;
  view.watched_ = now - tracked.watched_from_.value_or(now);
  view.since_evidence_ = now - tracked.last_evidence_;
  return view;
}

std::optional<rpc::MoveStep> MoveController::Decide(
    const rpc::ServiceState& service,
    Tracked& tracked,
    const EndpointPresence& presence,
    base::MonoTime now,
    base::WallTime wall) const {
  if (tracked.proposed_ && now - *tracked.proposed_ < kProposalTimeout) {
    return std::nullopt;
  }
  const rpc::Move& move = service.move();
  MoveView view = ViewOf(move, tracked, presence, now);
  view.done_is_final_ = service.service().ordered();
  tracked.hold_reason_.clear();
  const std::optional<MoveDecision> decision =
      policy_->Decide(view, tracked.hold_reason_);
  if (!decision) {
    return std::nullopt;
  }
  tracked.proposed_ = now;
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
  step.set_elapsed_ms((now - tracked.began_) / std::chrono::milliseconds(1));
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
    for (const auto& [route, view] : found->second.routes_) {
      status.evidence_.push_back(view.new_);
      status.evidence_.push_back(view.old_);
    }
  }
  return all;
}

}  // namespace buckthorngate::rollout
