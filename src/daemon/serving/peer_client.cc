// HTTP client for hops to other daemons.
#include "daemon/serving/peer_client.h"

#include <utility>

#include "base/events.h"
#include "daemon/serving/destination_upstream.h"
#include "daemon/serving/hop_codec.h"
#include "request/hop_headers.h"
#include "request/transit_delay.h"

namespace buckthorngate::daemon::serving {
namespace {

// Shorter than the idle timeout of a daemon's server, so that the client closes
// idle connections first.
constexpr base::Duration kPeerIdleTimeout = std::chrono::seconds(8);
// Covers many round trips between availability zones. After it the request is
// sent to another endpoint.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(100);
// Time beyond the deadline for the destination's own deadline-exceeded answer
// to arrive.
constexpr base::Duration kDeadlineGrace = std::chrono::milliseconds(20);

}  // namespace

PeerClient::PeerClient(const base::Clock& clock,
                       http::EventLoop& loop,
                       bool tells_sent_time)
    : clock_(clock),
      loop_(loop),
      tells_sent_time_(tells_sent_time),
      connections_(loop, {kPeerIdleTimeout, kConnectTimeout}),
      probe_(loop),
      watch_(clock, loop, probe_) {}

http::Task<HopAnswer> PeerClient::AskForBody(HopRequest& request) {
  HopRequest question;
  question.head_.method_ = "POST";
  question.head_.target_ = "/";
  question.peer_address_ = request.peer_address_;
  question.endpoint_id_ = request.endpoint_id_;
  question.request_id_ = request.request_id_;
  question.attempt_id_ = request.attempt_id_;
  question.caller_host_ = request.caller_host_;
  question.account_ = request.account_;
  question.route_ = request.route_;
  question.nested_ = request.nested_;
  question.priority_ = request.priority_;
  question.deadline_ = request.deadline_;
  question.objective_ = request.objective_;
  question.asked_bytes_ = request.asked_bytes_;
  question.cancel_ = request.cancel_;
  question.on_peer_unresponsive_ = request.on_peer_unresponsive_;
  question.on_peer_unreachable_ = request.on_peer_unreachable_;
  HopAnswer answer = co_await Exchange(question);
  if (answer.code_ == ResultCode::kMalformed) {
    // A daemon that knows no such question.
    answer.code_ = ResultCode::kOk;
  }
  request.grant_ = answer.grant_;
  answer.not_run_ = answer.code_ != ResultCode::kOk;
  answer.reached_ = false;
  answer.upload_ = nullptr;
  co_return answer;
}

http::Task<HopAnswer> PeerClient::Run(HopRequest& request) {
  if (request.asked_bytes_ > 0) {
    HopAnswer asked = co_await AskForBody(request);
    if (asked.code_ != ResultCode::kOk) {
      co_return asked;
    }
    request.asked_bytes_ = 0;
  }
  co_return co_await Exchange(request);
}

http::Task<HopAnswer> PeerClient::Exchange(HopRequest& request) {
  tl::expected<http::ClientConnectionPtr, ResultCode> connection =
      co_await connections_.Take(request.peer_address_, request.deadline_,
                                 *request.cancel_);
  if (!connection) {
    co_return FailedHop(connection.error(), /*not_run=*/true);
  }
  PeerWatch::PendingRequest pending(
      watch_, request.peer_address_,
      {request.on_peer_unresponsive_, request.on_peer_unreachable_});
  const std::shared_ptr<http::Exchange> exchange =
      std::make_shared<http::Exchange>(connections_, *connection,
                                       *request.cancel_);
  exchange->OnPiece(
      [this, peer = request.peer_address_] { watch_.RecordActivity(peer); });
  http::RequestHead head = EncodeHopRequest(request, clock_.Read().mono_);
  if (tells_sent_time_) {
    head.headers_.Add(request::kSentHeader,
                      std::to_string(request::TimeSinceBoot().count()));
  }
  const std::string attempt = request.attempt_id_;
  const auto matches_request = [attempt](const http::AnswerHead& answer) {
    return answer.headers_.Find(request::kAttemptHeader) == attempt;
  };
  const base::MonoTime until = request.deadline_ + kDeadlineGrace;
  tl::expected<http::AnswerHead, http::ExchangeFailure> response;
  if (request.rest_ == nullptr) {
    response =
        co_await exchange->Run(head, request.body_, until, matches_request);
  } else {
    response = co_await exchange->RunStreamed(
        loop_, head, request.body_, *request.rest_, until, matches_request);
  }
  pending.End(/*answered=*/response.has_value());
  if (!response) {
    HopAnswer failed =
        FailedHop(response.error().code_, response.error().not_sent_);
    failed.upload_ = exchange;
    // It is unknown whether the destination has sent the request to the
    // upstream.
    failed.reached_ = !failed.not_run_;
    if (failed.code_ == ResultCode::kAnswerMalformed) {
      LogUpstreamFailed(request.request_id_, request.endpoint_id_,
                        response.error());
    }
    if (failed.code_ == ResultCode::kAnswerCrossed) {
      base::LogEvent(base::EventId::kAnswerCrossed,
                     {{"request", request.request_id_},
                      {"endpoint", request.endpoint_id_}});
    }
    co_return failed;
  }
  const bool without_body = request.head_.method_ == "HEAD";
  HopAnswer answer =
      co_await CollectAnswer(exchange, std::move(*response), without_body);
  LogIfTruncated(request, answer);
  if (answer.code_ == ResultCode::kOk) {
    DecodeHopAnswer(answer);
  }
  co_return answer;
}

}  // namespace buckthorngate::daemon::serving
