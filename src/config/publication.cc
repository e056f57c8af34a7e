// Rules for versions and moves under a publication. docs/design/moves.md has
// the table of declarations against states.
#include "config/publication.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "config/check.h"
#include "config/versions.h"

namespace buckthorngate::config {
namespace {

bool SameDeclaration(const rpc::Service& a, const rpc::Service& b) {
  if (a.has_move() != b.has_move() || a.version() != b.version()) {
    return false;
  }
  return google::protobuf::util::MessageDifferencer::Equals(a.move(), b.move());
}

rpc::Move NewMove(const rpc::Service& service,
                  const std::string& from,
                  uint64_t step,
                  base::WallTime now) {
  rpc::Move move;
  move.set_service(service.name());
  move.set_from(from);
  move.set_to(service.move().to());
  move.set_deadline_ms(service.move().deadline_ms());
  move.set_unproven_share_permille(service.move().unproven_share_permille());
  move.set_policy(service.move().policy());
  move.set_phase(rpc::MOVE_PHASE_WAITING);
  // Steps never restart, so that a step of the earlier move cannot apply.
  move.set_step(step);
  move.set_changed_ms(base::ToUnixMs(now));
  move.set_declared_ms(base::ToUnixMs(now));
  move.set_reason("declared");
  return move;
}

void Withdraw(rpc::Move& move, base::WallTime now) {
  move.set_phase(rpc::MOVE_PHASE_WITHDRAWN);
  move.set_share_permille(0);
  move.set_step(move.step() + 1);
  move.set_reason("withdrawn by publication");
  move.set_changed_ms(base::ToUnixMs(now));
}

class ServiceChange {
 public:
  ServiceChange(const rpc::ServiceState* old,
                const rpc::Service& declared,
                base::WallTime now)
      : old_(old), declared_(declared), now_(now) {}

  tl::expected<rpc::ServiceState, Refusal> Build() {
    rpc::ServiceState next;
    *next.mutable_service() = declared_;
    if (old_ == nullptr) {
      return Start(std::move(next), declared_.version(), 0);
    }
    if (SameDeclaration(old_->service(), declared_)) {
      return Keep(std::move(next));
    }
    const std::string in_force = VersionInForce(*old_);
    if (declared_.version() != in_force) {
      return Refuse(
          ResultCode::kVersionNotInForce,
          declared_.version() + " declared, " + in_force + " in force");
    }
    return Change(std::move(next), in_force);
  }

 private:
  tl::expected<rpc::ServiceState, Refusal> Refuse(ResultCode code,
                                                  const std::string& detail) {
    return tl::unexpected(Refusal{code, declared_.name() + ": " + detail});
  }

  // The declaration of the move is as before: its progress stays.
  tl::expected<rpc::ServiceState, Refusal> Keep(rpc::ServiceState next) {
    if (!old_->has_move()) {
      return next;
    }
    *next.mutable_move() = old_->move();
    return CloseWatchIfGone(std::move(next));
  }

  // A new declaration while `in_force` serves.
  tl::expected<rpc::ServiceState, Refusal> Change(rpc::ServiceState next,
                                                  const std::string& in_force) {
    const rpc::Move& move = old_->move();
    const bool moving = old_->has_move() && InProgress(move);
    if (!declared_.has_move()) {
      if (old_->has_move()) {
        *next.mutable_move() = move;
      }
      if (moving) {
        Withdraw(*next.mutable_move(), now_);
      }
      return CloseWatchIfGone(std::move(next));
    }
    if (moving && declared_.move().to() == move.to()) {
      return Redeclare(std::move(next));
    }
    return Start(std::move(next), in_force, move.step() + 1);
  }

  // Same target, other deadline, share or policy: progress stays.
  tl::expected<rpc::ServiceState, Refusal> Redeclare(rpc::ServiceState next) {
    if (Late()) {
      return Refuse(ResultCode::kDeadlinePassed, declared_.move().to());
    }
    rpc::Move& move = *next.mutable_move();
    move = old_->move();
    move.set_deadline_ms(declared_.move().deadline_ms());
    move.set_unproven_share_permille(
        declared_.move().unproven_share_permille());
    move.set_policy(declared_.move().policy());
    move.set_step(move.step() + 1);
    return next;
  }

  tl::expected<rpc::ServiceState, Refusal> Start(rpc::ServiceState next,
                                                 const std::string& from,
                                                 uint64_t step) {
    if (!declared_.has_move()) {
      return next;
    }
    if (Late()) {
      return Refuse(ResultCode::kDeadlinePassed, declared_.move().to());
    }
    *next.mutable_move() = NewMove(declared_, from, step, now_);
    return next;
  }

  // Going back ends as a choice once the old version is no longer declared.
  rpc::ServiceState CloseWatchIfGone(rpc::ServiceState next) {
    rpc::Move& move = *next.mutable_move();
    if (move.to().empty()) {
      next.clear_move();
      return next;
    }
    if (!HasVersion(declared_, move.from())) {
      move.set_watch_open(false);
    }
    return next;
  }

  bool Late() const {
    return base::FromUnixMs(declared_.move().deadline_ms()) <= now_;
  }

  const rpc::ServiceState* const old_;
  const rpc::Service& declared_;
  const base::WallTime now_;
};

}  // namespace

bool InProgress(const rpc::Move& move) {
  return move.phase() == rpc::MOVE_PHASE_WAITING ||
         move.phase() == rpc::MOVE_PHASE_CANARY ||
         move.phase() == rpc::MOVE_PHASE_RAMPING;
}

std::string VersionInForce(const rpc::ServiceState& state) {
  if (state.has_move() && state.move().phase() == rpc::MOVE_PHASE_DONE) {
    return state.move().to();
  }
  return state.has_move() ? state.move().from() : state.service().version();
}

tl::expected<void, Refusal> ApplyPublication(
    const rpc::Publication& publication,
    base::WallTime proposed,
    ConfigState& state) {
  const std::vector<rpc::Service> services(publication.services().begin(),
                                           publication.services().end());
  const Problems problems = CheckServices(services);
  if (!problems.empty()) {
    return tl::unexpected(
        Refusal{problems.front().code_, Format(problems.front())});
  }
  ConfigState next = state;
  std::set<std::string> kept;
  for (const rpc::Service& service : services) {
    kept.insert(service.name());
    const ServicePtr old = state.Find(service.name());
    tl::expected<rpc::ServiceState, Refusal> change =
        ServiceChange(old.get(), service, proposed).Build();
    if (!change) {
      return tl::unexpected(change.error());
    }
    if (old == nullptr ||
        !google::protobuf::util::MessageDifferencer::Equals(*old, *change)) {
      next.Put(std::move(*change));
    }
  }
  for (const auto& [name, service] : state.Services()) {
    if (kept.count(name) == 0 && !service->service().ordered()) {
      next.Remove(name);
    }
  }
  std::set<std::string> lifted = state.LiftedFingerprints();
  lifted.insert(publication.lift_fingerprints().begin(),
                publication.lift_fingerprints().end());
  next.SetLifted(std::move(lifted));
  state = std::move(next);
  return {};
}

}  // namespace buckthorngate::config
