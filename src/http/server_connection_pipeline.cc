// One connection of the HTTP server: requests behind the one that is answered.
#include <sys/socket.h>

#include <exception>
#include <utility>

#include "base/exception_text.h"
#include "base/http_status.h"
#include "http/server_connection.h"

namespace buckthorngate::http {
namespace {

constexpr size_t kReadAheadBytes = 4096;

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD";
}

}  // namespace

bool Server::Connection::MayBePipelined(const Parser& parser) {
  const boost::optional<std::uint64_t> length = parser.content_length();
  const beast::string_view method = parser.get().method_string();
  return parser.is_done() && !parser.chunked() &&
         !HasUnknownTransferCoding(parser.get()) && (!length || *length == 0) &&
         parser.get().count(bhttp::field::expect) == 0 &&
         IsSafeMethod({method.data(), method.size()});
}

bool Server::Connection::HasCallsBehind() const {
  return pipeline_ != nullptr && !pipeline_->calls_.empty();
}

bool Server::Connection::MayBeginBehind() const {
  return keep_ && server_ != nullptr && !server_->draining_ && !streaming_ &&
         !pipeline_->stopped_ &&
         pipeline_->calls_.size() + 1 < server_->limits_.pipelined_calls_ &&
         pipeline_->waiting_bytes_ < kMaxWaitingAnswerBytes &&
         server_->pipelined_calls_ < kMaxPipelinedCallsOfServer;
}

void Server::Connection::ReadOn() {
  if (!pipelining_ || server_ == nullptr) {
    return;
  }
  if (pipeline_ == nullptr) {
    pipeline_ = std::make_unique<Pipeline>();
  }
  BeginBehind();
  if (buffer_.size() < kMaxUnreadBytes) {
    FillBuffer();
    BeginBehind();
  }
  // Without room the socket is read on when the next answer is sent.
  if (buffer_.size() < kMaxUnreadBytes) {
    ArmWatch();
  }
}

void Server::Connection::FillBuffer() {
  const beast::flat_buffer::mutable_buffers_type room =
      buffer_.prepare(kReadAheadBytes);
  const ssize_t got = recv(stream_.socket().native_handle(), room.data(),
                           room.size(), MSG_DONTWAIT);
  // The watch tells of an end or an error.
  buffer_.commit(got > 0 ? static_cast<size_t>(got) : 0);
}

void Server::Connection::BeginBehind() {
  while (buffer_.size() > 0 && MayBeginBehind()) {
    std::optional<Parser>& parser = pipeline_->parser_;
    if (!parser) {
      PrepareParser(parser);
    }
    ErrorCode error;
    const size_t used = parser->put(buffer_.data(), error);
    if (error == bhttp::error::need_more) {
      return;
    }
    if (error || !MayBePipelined(*parser)) {
      // Its bytes stay, and are parsed again in its turn.
      pipeline_->stopped_ = true;
      parser.reset();
      return;
    }
    buffer_.consume(used);
    BeginCall(*parser);
    parser.reset();
  }
}

void Server::Connection::BeginCall(const Parser& parser) {
  const std::shared_ptr<PipelinedCall> call = std::make_shared<PipelinedCall>(
      server_->loop_, *this, pipeline_->waiting_bytes_, HeadOf(parser.get()),
      parser.keep_alive());
  pipeline_->calls_.push_back(call);
  pipeline_->stopped_ = !call->KeepAlive();
  ++server_->open_calls_;
  ++server_->pipelined_calls_;
  if (server_->on_pipelined_) {
    server_->on_pipelined_();
  }
  server_->loop_.Spawn(RunBehind(shared_from_this(), call));
}

Task<void> Server::Connection::RunBehind(std::shared_ptr<Connection> connection,
                                         std::shared_ptr<PipelinedCall> call) {
  std::exception_ptr failure;
  try {
    // Cancelled before it was begun, or the server is gone.
    if (connection->server_ != nullptr && !call->Gone().Raised()) {
      co_await connection->server_->handler_.Handle(*call);
    }
  } catch (...) {
    failure = std::current_exception();
  }
  if (connection->server_ != nullptr) {
    --connection->server_->open_calls_;
    --connection->server_->pipelined_calls_;
  }
  call->End(failure == nullptr ? "" : base::TextOf(failure));
  if (failure != nullptr) {
    std::rethrow_exception(failure);
  }
}

Task<void> Server::Connection::AnswerBehind() {
  const std::shared_ptr<PipelinedCall> call = pipeline_->calls_.front();
  pipeline_->calls_.pop_front();
  BeginRequest();
  head_.method_ = call->Head().method_;
  gone_ = call->SharedGone();
  read_at_ = call->ReadAt();
  keep_ = keep_ && call->KeepAlive();
  cut_ = call->TakeTurn();
  ReadOn();
  co_await call->AwaitEnd();
  if (call->HandlerFailure().empty()) {
    co_await AnswerBrokenOff();
  }
  EndRequest(call->HandlerFailure());
}

void Server::Connection::CancelBehind() {
  if (!HasCallsBehind()) {
    return;
  }
  const std::deque<std::shared_ptr<PipelinedCall>> calls =
      std::exchange(pipeline_->calls_, {});
  pipeline_->stopped_ = true;
  for (const std::shared_ptr<PipelinedCall>& call : calls) {
    if (call->FirstReport() && server_ != nullptr &&
        server_->on_pipeline_cancelled_) {
      server_->on_pipeline_cancelled_(call->Cut().id_);
    }
    call->Cancel();
  }
}

void Server::Connection::ReportCutBehind(CutCause cause,
                                         const std::string& detail) {
  if (!HasCallsBehind()) {
    return;
  }
  for (const std::shared_ptr<PipelinedCall>& call : pipeline_->calls_) {
    if (!call->FirstReport() || server_ == nullptr || !server_->on_cut_) {
      continue;
    }
    CutCall cut = call->Cut();
    cut.cause_ = cause;
    cut.detail_ = detail;
    cut.since_read_ = base::MonoNow() - call->ReadAt();
    server_->on_cut_(cut);
  }
}

}  // namespace buckthorngate::http
