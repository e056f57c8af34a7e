// Admission of requests to this host's upstreams, and their execution.
#include "daemon/serving/destination.h"

#include <algorithm>
#include <utility>

#include "base/events.h"
#include "base/http_status.h"
#include "daemon/serving/destination_upstream.h"
#include "daemon/serving/hop_codec.h"
#include "request/call_tree.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon::serving {
namespace {

// Keep-alive timeout of upstreams that do not send one.
constexpr base::Duration kUpstreamIdleTimeout = std::chrono::seconds(3);
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(300);

http::ClientOptions UpstreamOptions() {
  http::ClientOptions options;
  options.most_idle_ = kUpstreamIdleTimeout;
  options.connect_timeout_ = kConnectTimeout;
  options.most_fields_ = http::kMostUpstreamFields;
  return options;
}

// Upstreams get the value that the system sets, never one of a sender.
void SetOrErase(http::Headers& headers,
                const std::string& name,
                const std::string& value) {
  if (name.empty()) {
    return;
  }
  if (value.empty()) {
    headers.Erase(name);
  } else {
    headers.Set(name, value);
  }
}

}  // namespace

void LogUpstreamFailed(const std::string& request_id,
                       const std::string& endpoint_id,
                       const http::ExchangeFailure& failure) {
  base::LogEvent(base::EventId::kUpstreamFailed,
                 {{"request", request_id},
                  {"endpoint", endpoint_id},
                  {"code", std::string(Describe(failure.code_).name_)},
                  {"sent", failure.not_sent_ ? "false" : "true"},
                  {"detail", failure.detail_}});
}

Destination::Destination(std::string host,
                         const request::Dialect& dialect,
                         const base::Clock& clock,
                         http::EventLoop& loop,
                         blackboard::Blackboard& board,
                         CrashHandler on_crash)
    : host_(std::move(host)),
      dialect_(dialect),
      clock_(clock),
      loop_(loop),
      board_(board),
      on_crash_(std::move(on_crash)),
      connections_(loop, UpstreamOptions()) {}
Destination::~Destination() = default;

void Destination::SetUpstream(const UpstreamInfo& info) {
  const auto found = upstreams_.find(info.endpoint_id_);
  if (found != upstreams_.end()) {
    if (found->second->IsSameStart(info)) {
      return;
    }
    found->second->Drain(clock_.Read().mono_);
    connections_.Forget(found->second->info_.address_);
  }
  std::shared_ptr<Upstream>& upstream = upstreams_[info.endpoint_id_];
  upstream = std::make_shared<Upstream>(info, overload_policy_);
  BeginCold(*upstream);
}

void Destination::DrainUpstream(const std::string& endpoint_id) {
  const auto found = upstreams_.find(endpoint_id);
  if (found != upstreams_.end()) {
    found->second->Drain(clock_.Read().mono_);
  }
}

void Destination::RemoveUpstream(const std::string& endpoint_id) {
  DrainUpstream(endpoint_id);
  upstreams_.erase(endpoint_id);
}

void Destination::DrainAll() {
  for (const auto& [id, upstream] : upstreams_) {
    upstream->Drain(clock_.Read().mono_);
  }
}

http::Task<HopAnswer> Destination::Run(HopRequest& request) {
  const auto found = upstreams_.find(request.endpoint_id_);
  if (found == upstreams_.end()) {
    co_return FailedHop(ResultCode::kEndpointDraining, /*not_run=*/true);
  }
  const std::shared_ptr<Upstream> upstream = found->second;
  const uint64_t ticket = next_ticket_++;
  const base::MonoTime arrived = clock_.Read().mono_;
  ResultCode admitted = co_await AwaitColdTurn(upstream, ticket, request);
  const ColdTurn turn(upstream, ticket);
  if (admitted == ResultCode::kOk) {
    admitted = co_await Admit(upstream, ticket, request);
  }
  if (admitted != ResultCode::kOk) {
    HopAnswer refused = NotAdmitted(*upstream, ticket, request, admitted);
    refused.cold_room_ = upstream->cold_->Room(clock_.Read().mono_);
    refused.link_use_ = LinkUse();
    board_.DaemonMetrics().CountHeldBack(admitted);
    LogAdmission(*upstream, request, upstream->admission_.Running(), arrived,
                 clock_.Read().mono_, admitted);
    co_return refused;
  }
  const std::shared_ptr<Slot> slot =
      std::make_shared<Slot>(*this, upstream, ticket);
  // The process may have been suspended for long while the request waited in
  // the queue or in the socket's buffer, so check again that it is still worth
  // running.
  const base::MonoTime admitted_at = clock_.Read().mono_;
  const bool abandoned =
      request.cancel_->Raised() ||
      (board_.Stalls().Stalled(admitted_at) && !request.caller_connected_());
  if (admitted_at >= request.deadline_ || abandoned) {
    co_return FailedHop(
        abandoned ? ResultCode::kCallerGone : ResultCode::kDeadlineExceeded,
        /*not_run=*/true);
  }
  board_.Calls().Open(request.request_id_, request.below_retry_);
  const size_t running = upstream->admission_.Running();
  HopAnswer answer = co_await RunAdmitted(upstream, slot, request);
  LogAdmission(*upstream, request, running, arrived, admitted_at, answer.code_);
  answer.calls_ = board_.Calls().Close(request.request_id_) + 1;
  answer.load_ = upstream->Load();
  answer.cold_room_ = upstream->cold_->Room(clock_.Read().mono_);
  answer.link_use_ = LinkUse();
  if (upstream->info_.warm_up_end_) {
    answer.cold_ = clock_.Read().mono_ < *upstream->info_.warm_up_end_;
  }
  co_return answer;
}

bool Destination::UsesAccounts() const {
  const std::shared_ptr<const request::MeshView> view = board_.View().Read();
  return board_.Authority().IsEnforced() || view->accounts_->InUse();
}

http::RequestHead Destination::UpstreamHead(const Upstream& upstream,
                                            const HopRequest& request) const {
  http::RequestHead head = request.head_;
  // The upstream gets the remaining time, and passes it and the retry mark on
  // with its own calls.
  const base::Duration left = request.deadline_ - clock_.Read().mono_;
  head.headers_.Set(dialect_.deadline_,
                    std::to_string(left / std::chrono::milliseconds(1)));
  if (request.below_retry_ && dialect_.reports_call_count_) {
    head.headers_.Set(request::kBelowRetryHeader, "1");
  }
  SetOrErase(head.headers_, dialect_.caller_service_, request.caller_service_);
  // In a mesh that uses no accounts the header has no meaning and passes
  // unchanged.
  if (!request.account_.empty() || UsesAccounts()) {
    SetOrErase(head.headers_, dialect_.account_name_, request.account_);
  }
  if (!dialect_.expected_instance_.empty()) {
    head.headers_.Set(dialect_.expected_instance_, upstream.info_.instance_);
  }
  return head;
}

ResultCode Destination::NotExecutedCode(const http::AnswerHead& head) const {
  if (dialect_.not_executed_.empty()) {
    return ResultCode::kOk;
  }
  if (head.status_ == request::kMisdirectedStatus) {
    return ResultCode::kUpstreamReplaced;
  }
  return head.headers_.Has(dialect_.not_executed_) ? ResultCode::kUpstreamShed
                                                   : ResultCode::kOk;
}

http::Task<HopAnswer> Destination::RunAdmitted(
    std::shared_ptr<Upstream> upstream,
    std::shared_ptr<Slot> slot,
    HopRequest& request) {
  tl::expected<http::ClientConnectionPtr, ResultCode> connection =
      co_await connections_.Take(upstream->info_.address_, request.deadline_,
                                 *request.cancel_, request.request_id_);
  if (!connection) {
    // A request that was not sent cannot have crashed the upstream.
    HopAnswer failed = FailedHop(connection.error(), /*not_run=*/true);
    if (connection.error() == ResultCode::kConnectFailed) {
      upstream->cold_->NoteCrash();
      const std::string no_suspect;
      failed.crashed_ = co_await ReportIfCrashed(upstream, no_suspect);
    }
    co_return failed;
  }
  if (upstream->MayHaveEnded(clock_.Read().mono_)) {
    co_return FailedHop(ResultCode::kEndpointDraining, /*not_run=*/true);
  }
  if (evacuated_) {
    co_return FailedHop(ResultCode::kZoneEvacuated, /*not_run=*/true);
  }
  if (!upstream->cold_->Send(slot->Ticket(), clock_.Read().mono_)) {
    co_return FailedHop(ResultCode::kEndpointCold, /*not_run=*/true);
  }
  const std::shared_ptr<http::Exchange> exchange =
      std::make_shared<http::Exchange>(connections_, *connection,
                                       *request.cancel_);
  const http::RequestHead head = UpstreamHead(*upstream, request);
  const bool echoes_id = dialect_.upstreams_echo_id_;
  const std::string id = request.request_id_;
  const auto matches_request = [echoes_id, id](const http::AnswerHead& answer) {
    const std::string_view echoed_id =
        answer.headers_.Find(request::kRequestIdHeader);
    return echoed_id == id || (echoed_id.empty() && !echoes_id);
  };
  tl::expected<http::AnswerHead, http::ExchangeFailure> response;
  if (request.rest_ == nullptr) {
    response = co_await exchange->Run(head, request.body_, request.deadline_,
                                      matches_request);
  } else {
    response = co_await exchange->RunStreamed(loop_, head, request.body_,
                                              *request.rest_, request.deadline_,
                                              matches_request);
  }
  if (!response) {
    HopAnswer failed =
        FailedHop(response.error().code_, response.error().not_sent_);
    failed.reached_ = !failed.not_run_;
    failed.upload_ = exchange;
    LogUpstreamFailed(request.request_id_, request.endpoint_id_,
                      response.error());
    if (failed.code_ == ResultCode::kUpstreamFailed) {
      const std::string suspect =
          failed.not_run_ ? std::string() : request.fingerprint_;
      failed.crashed_ = co_await ReportIfCrashed(upstream, suspect);
    }
    co_return failed;
  }
  const bool without_body = request.head_.method_ == "HEAD";
  const ResultCode not_executed = NotExecutedCode(*response);
  if (not_executed != ResultCode::kOk) {
    exchange->NoteRefused(request.request_id_);
  }
  const bool replaced = not_executed == ResultCode::kUpstreamReplaced &&
                        head.headers_.Has(dialect_.expected_instance_) &&
                        response->headers_.Has(dialect_.not_executed_);
  if (replaced) {
    RecordReplaced(*upstream);
  }
  HopAnswer answer =
      co_await CollectAnswer(exchange, std::move(*response), without_body);
  LogIfTruncated(request, answer);
  if (answer.code_ != ResultCode::kOk) {
    LogUpstreamFailed(request.request_id_, request.endpoint_id_,
                      exchange->FailureInfo());
  }
  if (not_executed != ResultCode::kOk) {
    answer.code_ = not_executed;
    answer.not_run_ = true;
  } else if (answer.code_ == ResultCode::kUpstreamFailed) {
    answer.crashed_ = co_await ReportIfCrashed(upstream, request.fingerprint_);
  }
  if (answer.rest_ != nullptr) {
    answer.rest_ =
        std::make_shared<SlotHoldingBody>(*this, exchange, slot, request);
  } else {
    if (answer.code_ == ResultCode::kOk) {
      RecordAnswered(request.fingerprint_);
    }
    // Failures don't count as samples of the service time, since they may be
    // much faster than real work.
    slot->Release(answer.code_ != ResultCode::kOk ||
                  answer.head_.status_ >= base::kStatusServerError);
  }
  co_return answer;
}

void Destination::SubtractTransitDelay(const http::Headers& headers,
                                       HopRequest& request) {
  const std::optional<base::Duration> sent =
      request::ParseSentTime(headers.Find(request::kSentHeader));
  if (!sent) {
    return;
  }
  const base::Duration delay = transit_delay_.Record(
      request.caller_host_, *sent, request::TimeSinceBoot());
  request.deadline_ -= delay;
  request.objective_ -= delay;
}

http::Task<void> Destination::Handle(http::ServerCall& call) {
  const base::MonoTime arrived = clock_.Read().mono_;
  tl::expected<HopRequest, ResultCode> decoded =
      DecodeHopRequest(call.Head(), clock_.Read().mono_);
  if (!decoded) {
    const Refusal refusal{decoded.error(), /*not_run=*/true, ""};
    const http::AnswerHead head = RefusalHead(refusal, dialect_);
    const std::string body = RefusalBody(refusal.code_);
    co_await call.Answer(head, body);
    co_return;
  }
  HopRequest& request = *decoded;
  SubtractTransitDelay(call.Head().headers_, request);
  call.SetId(request.request_id_);
  request.cancel_ = &call.Gone();
  request.caller_connected_ = [&call] { return call.StillThere(); };
  if (request.asked_bytes_ > 0) {
    HopAnswer granted = co_await GrantBody(request);
    EncodeHopAnswer(request, granted);
    co_await SendAnswer(call, granted);
    co_return;
  }
  const std::unique_ptr<ArrivingBody> arriving = BeginBody(call, request);
  http::BodyReader& body =
      arriving == nullptr ? static_cast<http::BodyReader&>(call) : *arriving;
  if (call.HasBody()) {
    http::BodyState state = http::BodyState::kMore;
    // A body that arrives slowly must not outlast the request. Run refuses the
    // request then.
    while (state == http::BodyState::kMore &&
           request.body_.size() < kMaxBufferedBodyBytes &&
           clock_.Read().mono_ < request.deadline_) {
      state = co_await body.Read(request.body_, kMaxBufferedBodyBytes);
    }
    if (state == http::BodyState::kFailed) {
      co_return;
    }
    request.rest_ = state == http::BodyState::kMore ? &body : nullptr;
  }
  HopAnswer answer = co_await Run(request);
  EncodeHopAnswer(request, answer);
  co_await SendAnswer(call, answer);
  co_await FinishUpload(call, answer);
  board_.DaemonMetrics().RecordRequestDuration(
      blackboard::CallSide::kDestination, clock_.Read().mono_ - arrived);
}

}  // namespace buckthorngate::daemon::serving
