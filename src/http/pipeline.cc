// Requests behind the one that a connection answers.
#include "http/pipeline.h"

#include <utility>

namespace buckthorngate::http {

RequestHead HeadOf(const bhttp::request<bhttp::buffer_body>& message) {
  RequestHead head;
  head.method_.assign(message.method_string().data(),
                      message.method_string().size());
  head.target_.assign(message.target().data(), message.target().size());
  CopyHeaders(message, head.headers_);
  return head;
}

PipelinedCall::PipelinedCall(EventLoop& loop,
                             ServerCall& connection,
                             size_t& waiting_bytes,
                             RequestHead head,
                             bool keep_alive)
    : connection_(connection),
      waiting_bytes_(waiting_bytes),
      head_(std::move(head)),
      keep_alive_(keep_alive),
      read_at_(base::MonoNow()),
      gone_(std::make_shared<CancelSignal>()),
      turn_changed_(loop),
      ended_(loop) {}

CutCall PipelinedCall::TakeTurn() {
  turn_ = Turn::kOwn;
  ReleaseHeldBytes();
  turn_changed_.Notify();
  return cut_;
}

void PipelinedCall::Cancel() {
  if (turn_ == Turn::kWaiting) {
    turn_ = Turn::kCancelled;
    ReleaseHeldBytes();
    turn_changed_.Notify();
  }
  // Held, since an interrupt may end the request.
  const std::shared_ptr<CancelSignal> gone = gone_;
  gone->Raise();
}

void PipelinedCall::End(std::string failure) {
  failure_ = std::move(failure);
  ended_.Notify();
}

Task<void> PipelinedCall::AwaitEnd() {
  co_await ended_.Wait(base::MonoTime::max());
}

Task<bool> PipelinedCall::AwaitTurn(size_t bytes) {
  if (turn_ == Turn::kWaiting) {
    held_bytes_ = bytes;
    waiting_bytes_ += bytes;
    co_await turn_changed_.Wait(base::MonoTime::max());
  }
  co_return turn_ == Turn::kOwn;
}

void PipelinedCall::ReleaseHeldBytes() {
  waiting_bytes_ -= std::exchange(held_bytes_, 0);
}

void PipelinedCall::SetId(std::string_view id) {
  if (turn_ == Turn::kOwn) {
    connection_.SetId(id);
  }
  cut_.id_ = id;
}

Task<BodyState> PipelinedCall::Read(std::string&, size_t) {
  co_return BodyState::kEnd;
}

Task<bool> PipelinedCall::Answer(const AnswerHead& head,
                                 std::string_view body) {
  const bool turn = co_await AwaitTurn(body.size());
  if (!turn) {
    co_return false;
  }
  co_return co_await connection_.Answer(head, body);
}

Task<bool> PipelinedCall::AnswerWithoutBody(const AnswerHead& head,
                                            std::optional<uint64_t> length) {
  const bool turn = co_await AwaitTurn(/*bytes=*/0);
  if (!turn) {
    co_return false;
  }
  co_return co_await connection_.AnswerWithoutBody(head, length);
}

Task<bool> PipelinedCall::Begin(const AnswerHead& head,
                                std::optional<uint64_t> length) {
  // The handler holds a piece of the body, and reads no more of it until the
  // turn has come.
  const bool turn = co_await AwaitTurn(kPieceBytes);
  if (!turn) {
    co_return false;
  }
  co_return co_await connection_.Begin(head, length);
}

Task<bool> PipelinedCall::Write(std::string_view piece) {
  co_return co_await connection_.Write(piece);
}

Task<bool> PipelinedCall::Finish() {
  co_return co_await connection_.Finish();
}

void PipelinedCall::NoteBodyFailure(std::string_view why) {
  if (turn_ == Turn::kOwn) {
    connection_.NoteBodyFailure(why);
  }
}

bool PipelinedCall::AnswerArrived() {
  return turn_ != Turn::kOwn || connection_.AnswerArrived();
}

void PipelinedCall::Abort() {
  if (turn_ == Turn::kOwn) {
    connection_.Abort();
  } else {
    turn_ = Turn::kCancelled;
    ReleaseHeldBytes();
    turn_changed_.Notify();
  }
}

}  // namespace buckthorngate::http
