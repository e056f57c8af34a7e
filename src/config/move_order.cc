// Ordered moves.
#include "config/move_order.h"

#include <string>
#include <utility>

#include "base/time.h"
#include "config/service_file.h"
#include "config/versions.h"

namespace buckthorngate::config {
namespace {

// By the steady clock of the leader that took the order: the time of day may
// have jumped since the move began.
bool IsResend(const rpc::MoveOrder& order, const rpc::Move& move) {
  return move.to() == order.to() &&
         (InProgress(move) || std::chrono::milliseconds(order.since_step_ms()) <
                                  kOrderResendWindow);
}

rpc::Move MakeMove(const rpc::MoveOrder& order,
                   const std::string& from,
                   uint64_t step) {
  rpc::Move move;
  move.set_service(order.service());
  move.set_from(from);
  move.set_to(order.to());
  move.set_deadline_ms(order.ordered_ms() + order.duration_ms());
  move.set_unproven_share_permille(kDefaultUnprovenPermille);
  move.set_policy(rpc::MOVE_POLICY_FAST);
  move.set_phase(rpc::MOVE_PHASE_WAITING);
  move.set_step(step);
  move.set_changed_ms(order.ordered_ms());
  move.set_declared_ms(order.ordered_ms());
  move.set_reason("ordered by " + order.author());
  return move;
}

rpc::Service MakeService(const rpc::MoveOrder& order, const std::string& from) {
  rpc::Service service;
  service.set_name(order.service());
  service.add_versions(from);
  service.add_versions(order.to());
  service.set_version(from);
  service.set_retry_percent(kDefaultRetryPercent);
  service.set_ordered(true);
  return service;
}

}  // namespace

tl::expected<void, Refusal> ApplyMoveOrder(const rpc::MoveOrder& order,
                                           ConfigState& state) {
  const auto refuse = [&order](ResultCode code, const std::string& detail) {
    return tl::unexpected(Refusal{code, order.service() + ": " + detail});
  };
  const ServicePtr old = state.Find(order.service());
  uint64_t step = 0;
  std::string from = order.from();
  if (old != nullptr) {
    from = VersionInForce(*old);
    if (old->has_move()) {
      step = old->move().step() + 1;
      if (IsResend(order, old->move())) {
        return {};
      }
      if (InProgress(old->move())) {
        return refuse(ResultCode::kMoveInProgress, "to " + old->move().to());
      }
    }
    if (!old->service().ordered() && !HasVersion(old->service(), order.to())) {
      return refuse(ResultCode::kUnknownVersion, order.to());
    }
  }
  if (from.empty()) {
    return refuse(ResultCode::kNoEndpoint, "no version to move from");
  }
  if (from == order.to()) {
    return refuse(ResultCode::kConflictingOptions, from + " is in force");
  }
  rpc::ServiceState next;
  const bool declared = old != nullptr && !old->service().ordered();
  *next.mutable_service() =
      declared ? old->service() : MakeService(order, from);
  *next.mutable_move() = MakeMove(order, from, step);
  state.Put(std::move(next));
  return {};
}

}  // namespace buckthorngate::config
