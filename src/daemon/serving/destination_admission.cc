// The destination side: admission of requests to this host's upstreams.
#include <algorithm>

#include "base/events.h"
#include "daemon/serving/destination_upstream.h"

namespace buckthorngate::daemon::serving {
namespace {

using request::AdmissionQueue;
using request::AdmissionVerdict;

// Queued requests are checked for expiry at least this often.
constexpr base::Duration kQueueCheckInterval = std::chrono::milliseconds(50);

}  // namespace

http::Task<ResultCode> Destination::Admit(std::shared_ptr<Upstream> upstream,
                                          uint64_t ticket,
                                          HopRequest& request) {
  AdmissionQueue& admission = upstream->admission_;
  if (admission.Draining()) {
    co_return ResultCode::kEndpointDraining;
  }
  if (evacuated_) {
    co_return ResultCode::kZoneEvacuated;
  }
  const AdmissionVerdict verdict =
      admission.Enter(ToAdmission(ticket, request), clock_.Read().mono_);
  if (verdict != AdmissionVerdict::kQueued) {
    co_return verdict == AdmissionVerdict::kAdmitted
        ? ResultCode::kOk
        : ResultCode::kEndpointOverloaded;
  }
  Waiter waiter(loop_);
  upstream->waiters_[ticket] = &waiter;
  // If this request preempted a queued one, wake the victim immediately.
  upstream->NotifyDequeued(clock_.Read().mono_);
  const http::CancelScope interrupt(*request.cancel_,
                                    [&waiter] { waiter.dequeued_.Notify(); });
  while (!waiter.decided_ && !request.cancel_->Raised()) {
    const bool woken = co_await waiter.dequeued_.Wait(clock_.Read().mono_ +
                                                      kQueueCheckInterval);
    if (!woken) {
      upstream->NotifyDequeued(clock_.Read().mono_);
    }
  }
  upstream->waiters_.erase(ticket);
  if (!waiter.decided_) {
    admission.Cancel(ticket);
    co_return ResultCode::kCallerGone;
  }
  if (!waiter.admitted_ && evacuated_) {
    co_return ResultCode::kZoneEvacuated;
  }
  if (!waiter.admitted_ && admission.Draining()) {
    co_return ResultCode::kEndpointDraining;
  }
  co_return waiter.admitted_ ? ResultCode::kOk
                             : ResultCode::kEndpointOverloaded;
}

void Destination::LogAdmission(const Upstream& upstream,
                               const HopRequest& request,
                               size_t running,
                               base::MonoTime arrived,
                               base::MonoTime began,
                               ResultCode code) const {
  const base::MonoTime now = clock_.Read().mono_;
  base::LogEvent(
      base::EventId::kRequestAdmitted,
      {{"request", request.request_id_},
       {"endpoint", request.endpoint_id_},
       {"from", request.caller_host_},
       {"origin", request.caller_service_},
       {"code", std::string(Describe(code).name_)},
       {"priority", std::to_string(request.priority_)},
       {"running", std::to_string(running)},
       {"waiting", std::to_string(upstream.admission_.Waiting())},
       {"usual_us",
        std::to_string(upstream.admission_.UsualServiceTime().count())},
       {"body_bytes", std::to_string(request.body_.size())},
       {"waited_us", std::to_string((began - arrived).count())},
       {"ran_us", std::to_string((now - began).count())},
       {"left_ms", std::to_string((request.deadline_ - now) /
                                  std::chrono::milliseconds(1))}});
}

request::AdmissionRequest Destination::ToAdmission(uint64_t ticket,
                                                   const HopRequest& request) {
  const bool by_account = !request.account_.empty();
  return {ticket,
          by_account ? request.account_ : request.caller_host_,
          request.priority_,
          request.nested_,
          request.objective_,
          request.deadline_,
          request.route_,
          by_account};
}

HopAnswer Destination::NotAdmitted(Upstream& upstream,
                                   uint64_t ticket,
                                   const HopRequest& request,
                                   ResultCode code) const {
  HopAnswer refused = FailedHop(code, /*not_run=*/true);
  refused.load_ = upstream.Load();
  if (code != ResultCode::kEndpointOverloaded) {
    return refused;
  }
  refused.room_ = upstream.admission_.ForecastRoom(ToAdmission(ticket, request),
                                                   clock_.Read().mono_);
  if (refused.room_.count() > 0) {
    base::LogEvent(base::EventId::kOverloadShed,
                   {{"request", request.request_id_},
                    {"endpoint", request.endpoint_id_},
                    {"route", request.route_},
                    {"nested", request.nested_ ? "true" : "false"},
                    {"priority", std::to_string(request.priority_)},
                    {"room_us", std::to_string(refused.room_.count())}});
  }
  return refused;
}

}  // namespace buckthorngate::daemon::serving
