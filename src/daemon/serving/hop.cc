// Functions shared by local and remote hops.
#include "daemon/serving/hop.h"

#include <utility>

#include "base/events.h"

namespace buckthorngate::daemon::serving {
namespace {

// Interval of the checks whether a caller still sends its body after its answer
// was written.
constexpr base::Duration kUploadPollInterval = std::chrono::milliseconds(500);
// A caller may read its answer only after it has sent its whole body. Closing a
// connection with unread bytes resets it, which discards what the caller has
// not received, so it gets as long as the write timeout allows for an answer.
constexpr base::Duration kAnswerDeliveryTimeout =
    http::ServerLimits().write_timeout_;

}  // namespace

HopAnswer FailedHop(ResultCode code, bool not_run) {
  HopAnswer answer;
  answer.code_ = code;
  answer.not_run_ = not_run;
  return answer;
}

http::Task<HopAnswer> CollectAnswer(std::shared_ptr<http::Exchange> exchange,
                                    http::AnswerHead head,
                                    bool without_body) {
  HopAnswer answer;
  answer.reached_ = true;
  answer.head_ = std::move(head);
  if (without_body) {
    answer.announced_length_ = exchange->Length();
  }
  const http::BodyState state =
      co_await http::ReadUpTo(*exchange, answer.body_, kMaxBufferedBodyBytes);
  if (state == http::BodyState::kFailed) {
    answer.code_ = exchange->FailureInfo().code_;
  } else if (state == http::BodyState::kMore) {
    exchange->StreamAnswer();
    answer.rest_ = exchange;
  }
  answer.upload_ = std::move(exchange);
  co_return answer;
}

void LogIfTruncated(const HopRequest& request, const HopAnswer& answer) {
  if (answer.code_ == ResultCode::kOk) {
    return;
  }
  const std::optional<uint64_t> length = answer.upload_->Length();
  base::LogEvent(base::EventId::kAnswerCut,
                 {{"request", request.request_id_},
                  {"attempt", request.attempt_id_},
                  {"endpoint", request.endpoint_id_},
                  {"status", std::to_string(answer.head_.status_)},
                  {"got", std::to_string(answer.body_.size())},
                  {"of", length ? std::to_string(*length) : "unknown"},
                  {"detail", std::string(answer.upload_->Failure())}});
}

http::Task<bool> SendAnswer(http::ServerCall& call, HopAnswer& answer) {
  const bool without_body =
      call.Head().method_ == "HEAD" || http::NeverHasBody(answer.head_.status_);
  if (without_body) {
    co_return co_await call.AnswerWithoutBody(answer.head_,
                                              answer.announced_length_);
  }
  if (answer.rest_ == nullptr) {
    co_return co_await call.Answer(answer.head_, answer.body_);
  }
  bool sent = co_await call.Begin(answer.head_, answer.rest_->Length());
  http::BodyState state = http::BodyState::kMore;
  while (sent && state != http::BodyState::kFailed) {
    sent = co_await call.Write(answer.body_);
    answer.body_.clear();
    if (state == http::BodyState::kEnd) {
      break;
    }
    if (sent) {
      state = co_await answer.rest_->Read(answer.body_, http::kPieceBytes);
    }
  }
  if (state == http::BodyState::kFailed) {
    const std::string reason(answer.rest_->Failure());
    call.NoteBodyFailure(reason);
  }
  if (!sent || state != http::BodyState::kEnd) {
    // Leaving the answer unfinished closes the connection, so that the caller
    // detects the truncation.
    co_return false;
  }
  co_return co_await call.Finish();
}

http::Task<void> FinishUpload(http::ServerCall& call, HopAnswer& answer) {
  if (answer.upload_ == nullptr) {
    co_return;
  }
  const base::MonoTime until = base::MonoNow() + kAnswerDeliveryTimeout;
  bool ended = co_await answer.upload_->AwaitSender(kUploadPollInterval);
  while (!ended && !call.AnswerArrived() && base::MonoNow() < until) {
    ended = co_await answer.upload_->AwaitSender(kUploadPollInterval);
  }
  if (!ended) {
    call.Abort();
    co_await answer.upload_->AwaitSender(base::Duration::max());
  }
}

}  // namespace buckthorngate::daemon::serving
