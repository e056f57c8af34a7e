// Hops to other daemons.
#include "daemon/peer_client.h"

#include <utility>

#include "base/events.h"
#include "daemon/hop_codec.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon {
namespace {

// Shorter than a daemon's server keeps idle connections.
constexpr base::Duration kPeerIdle = std::chrono::seconds(8);
// Many round trips between zones; the request goes elsewhere then.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(100);
// Time for the destination's own word that the deadline has passed.
constexpr base::Duration kDeadlineGrace = std::chrono::milliseconds(20);

}  // namespace

PeerClient::PeerClient(const base::Clock& clock, http::EventLoop& loop)
    : clock_(clock),
      loop_(loop),
      connections_(loop, {kPeerIdle, kConnectTimeout}),
      probe_(loop),
      watch_(clock, loop, probe_) {}

http::Task<HopAnswer> PeerClient::Run(HopRequest& request) {
  tl::expected<http::ClientConnectionPtr, ResultCode> connection =
      co_await connections_.Take(request.peer_address_, request.deadline_,
                                 *request.cancel_);
  if (!connection) {
    co_return FailedHop(connection.error(), /*not_run=*/true);
  }
  const std::shared_ptr<PeerWatch::PendingRequest> pending =
      std::make_shared<PeerWatch::PendingRequest>(
          watch_, request.peer_address_, *request.cancel_, request.repeatable_,
          request.on_unheard_);
  request.kept_ = pending;
  const std::shared_ptr<http::Exchange> exchange =
      std::make_shared<http::Exchange>(connections_, *connection,
                                       pending->Cancel());
  exchange->OnPiece(
      [this, peer = request.peer_address_] { watch_.Heard(peer); });
  const http::RequestHead head = EncodeHopRequest(request, clock_.Read().mono_);
  const std::string attempt = request.attempt_id_;
  const auto belongs = [attempt](const http::AnswerHead& answer) {
    return answer.headers_.Find(request::kAttemptHeader) == attempt;
  };
  const base::MonoTime until = request.deadline_ + kDeadlineGrace;
  tl::expected<http::AnswerHead, http::ExchangeFailure> began;
  if (request.rest_ == nullptr) {
    began = co_await exchange->Run(head, request.body_, until, belongs);
  } else {
    began = co_await exchange->RunStreamed(loop_, head, request.body_,
                                           *request.rest_, until, belongs);
  }
  pending->End(/*answered=*/began.has_value());
  if (!began) {
    HopAnswer failed = FailedHop(began.error().code_, began.error().not_sent_);
    if (pending->Aborted()) {
      failed.code_ = ResultCode::kConnectFailed;
    }
    failed.upload_ = exchange;
    // What a destination makes of the request is unknown.
    failed.reached_ = !failed.not_run_;
    if (failed.code_ == ResultCode::kAnswerCrossed) {
      base::LogEvent(base::EventId::kAnswerCrossed,
                     {{"request", request.request_id_},
                      {"endpoint", request.endpoint_id_}});
    }
    co_return failed;
  }
  const bool without_body = request.head_.method_ == "HEAD";
  HopAnswer answer =
      co_await CollectAnswer(exchange, std::move(*began), without_body);
  LogIfCut(request, answer);
  if (answer.code_ == ResultCode::kOk) {
    DecodeHopAnswer(answer);
  }
  co_return answer;
}

}  // namespace buckthorngate::daemon
