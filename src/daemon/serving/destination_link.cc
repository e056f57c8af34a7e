// The destination side: bodies on the incoming link of this host.
#include "base/events.h"
#include "base/http_status.h"
#include "daemon/serving/destination_upstream.h"

namespace buckthorngate::daemon::serving {
namespace {

using request::LinkVerdict;

// Waiting bodies are checked for expiry at least this often.
constexpr base::Duration kLinkCheckInterval = std::chrono::milliseconds(50);

}  // namespace

std::optional<double> Destination::LinkUse() const {
  if (link_ == nullptr) {
    return std::nullopt;
  }
  return link_->Use(clock_.Read().mono_);
}

void Destination::NotifyLinkWaiters() {
  for (const request::LinkSchedule::Decision& decision :
       link_->TakeDecisions(clock_.Read().mono_)) {
    const auto found = link_waiters_.find(decision.ticket_);
    if (found != link_waiters_.end()) {
      found->second->decided_ = true;
      found->second->admitted_ = decision.granted_;
      found->second->dequeued_.Notify();
    }
  }
}

http::Task<ResultCode> Destination::AwaitLink(uint64_t ticket,
                                              HopRequest& request) {
  const LinkVerdict verdict = link_->Enter(
      {ticket, request.asked_bytes_, request.objective_, request.deadline_},
      clock_.Read().mono_);
  if (verdict != LinkVerdict::kQueued) {
    co_return verdict == LinkVerdict::kGranted
        ? ResultCode::kOk
        : ResultCode::kEndpointOverloaded;
  }
  Waiter waiter(loop_);
  link_waiters_[ticket] = &waiter;
  const http::CancelScope interrupt(*request.cancel_,
                                    [&waiter] { waiter.dequeued_.Notify(); });
  while (!waiter.decided_ && !request.cancel_->Raised()) {
    const bool woken = co_await waiter.dequeued_.Wait(clock_.Read().mono_ +
                                                      kLinkCheckInterval);
    if (!woken) {
      NotifyLinkWaiters();
    }
  }
  link_waiters_.erase(ticket);
  if (!waiter.decided_) {
    (void)link_->Cancel(ticket);
    co_return ResultCode::kCallerGone;
  }
  co_return waiter.admitted_ ? ResultCode::kOk
                             : ResultCode::kEndpointOverloaded;
}

http::Task<HopAnswer> Destination::GrantBody(HopRequest& request) {
  const auto found = upstreams_.find(request.endpoint_id_);
  if (found == upstreams_.end() || found->second->admission_.Draining()) {
    co_return FailedHop(ResultCode::kEndpointDraining, /*not_run=*/true);
  }
  if (evacuated_) {
    co_return FailedHop(ResultCode::kZoneEvacuated, /*not_run=*/true);
  }
  const std::shared_ptr<Upstream> upstream = found->second;
  const uint64_t ticket = next_ticket_++;
  const base::MonoTime asked = clock_.Read().mono_;
  const bool no_slot = upstream->admission_.WouldRefuse(
      ToAdmission(ticket, request), clock_.Read().mono_);
  ResultCode code = ResultCode::kOk;
  if (no_slot) {
    code = ResultCode::kEndpointOverloaded;
  } else if (link_ != nullptr) {
    code = co_await AwaitLink(ticket, request);
  }
  LogGrant(request, asked, no_slot, code);
  if (code != ResultCode::kOk) {
    HopAnswer refused = NotAdmitted(*upstream, ticket, request, code);
    refused.link_use_ = LinkUse();
    if (code == ResultCode::kEndpointOverloaded && !no_slot) {
      refused.room_ = link_->TimeDue();
    }
    board_.DaemonMetrics().CountHeldBack(code);
    co_return refused;
  }
  HopAnswer granted;
  granted.head_.status_ = base::kStatusOk;
  granted.grant_ = std::to_string(ticket);
  granted.load_ = upstream->Load();
  granted.link_use_ = LinkUse();
  co_return granted;
}

void Destination::LogGrant(const HopRequest& request,
                           base::MonoTime asked,
                           bool no_slot,
                           ResultCode code) const {
  const base::Duration waited = clock_.Read().mono_ - asked;
  const base::Duration due =
      link_ == nullptr ? base::Duration(0) : link_->TimeDue();
  const double use = LinkUse().value_or(0.0);
  base::LogEvent(
      base::EventId::kBodyAsked,
      {{"request", request.request_id_},
       {"endpoint", request.endpoint_id_},
       {"from", request.caller_host_},
       {"bytes", std::to_string(request.asked_bytes_)},
       {"code", std::string(Describe(code).name_)},
       {"no_slot", no_slot ? "true" : "false"},
       {"waited_us", std::to_string(waited.count())},
       {"link_due_us", std::to_string(due.count())},
       {"link_use_permille", std::to_string(static_cast<int>(use * 1000.0))}});
}

std::unique_ptr<Destination::ArrivingBody> Destination::BeginBody(
    http::ServerCall& call,
    const HopRequest& request) {
  if (link_ == nullptr || !call.HasBody()) {
    return nullptr;
  }
  const std::optional<uint64_t> granted = http::ParseNumber(request.grant_);
  const uint64_t ticket = granted.value_or(next_ticket_++);
  const uint64_t bytes = call.Length().value_or(0);
  if (!granted && bytes >= request::kMinAskedBytes) {
    link_->AddUnasked(ticket, bytes, clock_.Read().mono_);
  }
  return std::make_unique<ArrivingBody>(*this, call, ticket);
}

}  // namespace buckthorngate::daemon::serving
