// The destination's use of ColdLimiter: a request to a cold upstream waits here
// for its turn before it enters the admission queue.
#include <algorithm>
#include <utility>

#include "base/events.h"
#include "daemon/serving/destination_upstream.h"

namespace buckthorngate::daemon::serving {
namespace {

// Requests that wait are checked at least this often for a drain, and for
// tokens that others have given back.
constexpr base::Duration kColdCheckInterval = std::chrono::milliseconds(50);

}  // namespace

void Destination::SetColdLimits(
    std::map<std::string, request::ColdLimits> limits) {
  cold_limits_ = std::move(limits);
  for (const auto& [id, upstream] : upstreams_) {
    ConfigureCold(*upstream);
  }
}

void Destination::ConfigureCold(Upstream& upstream) {
  const auto found = cold_limits_.find(upstream.info_.service_);
  const request::ColdLimits limits =
      found == cold_limits_.end() ? request::ColdLimits() : found->second;
  upstream.cold_->Configure(limits, clock_.Read().mono_);
  NoteTemperature(upstream);
}

void Destination::BeginCold(Upstream& upstream) {
  std::shared_ptr<request::ColdLimiter>& held =
      cold_limiters_[upstream.info_.endpoint_id_];
  if (held == nullptr) {
    held = std::make_shared<request::ColdLimiter>(started_);
  }
  upstream.cold_ = held;
  upstream.cold_->NoteStart(clock_.Read().mono_);
  ConfigureCold(upstream);
}

void Destination::NoteColdReport(const std::string& endpoint_id,
                                 std::optional<base::MonoTime> cold_until) {
  const auto found = upstreams_.find(endpoint_id);
  if (found == upstreams_.end()) {
    return;
  }
  const base::MonoTime now = clock_.Read().mono_;
  Upstream& upstream = *found->second;
  if (cold_until) {
    upstream.cold_->NoteReport(std::max(*cold_until - now, base::Duration(0)),
                               now);
  } else {
    upstream.cold_->NoteReportWithoutTemperature(now);
  }
  NoteTemperature(upstream);
}

void Destination::NoteTemperature(Upstream& upstream) {
  const base::MonoTime now = clock_.Read().mono_;
  const bool cold = upstream.cold_->IsCold(now);
  if (std::exchange(upstream.known_cold_, cold) == cold) {
    return;
  }
  base::LogEvent(
      cold ? base::EventId::kEndpointCold : base::EventId::kEndpointWarm,
      {{"endpoint", upstream.info_.endpoint_id_},
       {"service", upstream.info_.service_},
       {"room", std::to_string(upstream.cold_->Room(now).value_or(0))}});
  const int64_t count =
      std::count_if(upstreams_.begin(), upstreams_.end(),
                    [](const auto& held) { return held.second->known_cold_; });
  board_.DaemonMetrics().SetColdEndpoints(static_cast<uint64_t>(count));
}

http::Task<ResultCode> Destination::AwaitColdTurn(
    std::shared_ptr<Upstream> upstream,
    uint64_t ticket,
    HopRequest& request) {
  if (!configured_) {
    // Its daemon has just started: other endpoints can serve the request.
    co_return ResultCode::kEndpointDraining;
  }
  request::ColdLimiter& cold = *upstream->cold_;
  if (!cold.Limited()) {
    co_return ResultCode::kOk;
  }
  NoteTemperature(*upstream);
  // A nested call holds a slot of its caller, so only its deadline counts.
  const base::MonoTime needed_by =
      request.nested_ ? request.deadline_ : request.objective_;
  const request::ColdRequest entry{
      ticket, request::RankOf(request.nested_, request.priority_),
      needed_by - upstream->admission_.UsualServiceTime()};
  const request::ColdVerdict verdict = cold.Enter(entry, clock_.Read().mono_);
  if (verdict != request::ColdVerdict::kQueued) {
    co_return verdict == request::ColdVerdict::kAdmitted
        ? ResultCode::kOk
        : ResultCode::kEndpointCold;
  }
  Waiter waiter(loop_);
  upstream->cold_waiters_[ticket] = &waiter;
  const http::CancelScope interrupt(*request.cancel_,
                                    [&waiter] { waiter.dequeued_.Notify(); });
  while (!waiter.decided_ && !request.cancel_->Raised() && !evacuated_ &&
         !upstream->admission_.Draining()) {
    const base::MonoTime now = clock_.Read().mono_;
    const base::MonoTime check =
        std::min(cold.NextTurn(now).value_or(now + kColdCheckInterval),
                 now + kColdCheckInterval);
    const bool woken = co_await waiter.dequeued_.Wait(check);
    if (!woken) {
      upstream->NotifyColdTurns(clock_.Read().mono_);
    }
  }
  upstream->cold_waiters_.erase(ticket);
  if (waiter.decided_) {
    co_return waiter.admitted_ ? ResultCode::kOk : ResultCode::kEndpointCold;
  }
  cold.Release(ticket);
  if (evacuated_) {
    co_return ResultCode::kZoneEvacuated;
  }
  co_return upstream->admission_.Draining() ? ResultCode::kEndpointDraining
                                            : ResultCode::kCallerGone;
}

}  // namespace buckthorngate::daemon::serving
