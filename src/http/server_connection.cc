// One connection of the HTTP server.
#include "http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <exception>
#include <system_error>
#include <utility>

#include "base/exception_text.h"
#include "base/http_status.h"

namespace buckthorngate::http {
namespace {

constexpr size_t kReadBytes = 4096;
// Room for a head in the buffer, beyond the limit that is enforced.
constexpr size_t kBufferSlack = size_t{128} * 1024;
constexpr base::Duration kLingerTime = std::chrono::seconds(1);

int StatusOfError(const ErrorCode& error) {
  // Nothing but a head, a chunk's extensions or a trailer fills the buffer.
  if (error == bhttp::error::header_limit ||
      error == bhttp::error::buffer_overflow) {
    return base::kStatusHeadersTooLarge;
  }
  if (error == bhttp::error::body_limit) {
    return base::kStatusTooLarge;
  }
  return base::kStatusBadRequest;
}

}  // namespace

Server::Connection::Connection(Server& server, Tcp::socket socket)
    : server_(&server),
      stream_(std::move(socket)),
      buffer_(server.limits_.header_bytes_ + kBufferSlack) {
  server_->connections_.insert(this);
}

Server::Connection::~Connection() {
  if (server_ != nullptr) {
    server_->connections_.erase(this);
  }
}

void Server::Connection::CloseIfIdle() {
  // Cancelled, not closed: bytes that the wait has read by now still come, and
  // their request is answered.
  if (awaiting_) {
    stream_.cancel();
  }
}

void Server::Connection::Cancel() {
  const std::shared_ptr<Connection> self = shared_from_this();
  if (handling_) {
    // Told now: the request may not get to its end any more.
    TellOpen();
    const std::shared_ptr<CancelSignal> gone = gone_;
    gone->Raise();
    CancelBehind();
  }
  Abort();
}

void Server::Connection::TellOpen() {
  if (handling_) {
    NoteCut(CutCause::kServerClosed, "");
    ReportCut();
    ReportCutBehind(CutCause::kServerClosed, "");
  }
}

void Server::Connection::Abort() {
  keep_ = false;
  ErrorCode ignored;
  stream_.socket().close(ignored);
}

Task<void> Server::Connection::Serve(std::shared_ptr<Connection> connection) {
  co_await connection->Run();
}

Task<void> Server::Connection::Run() {
  while (keep_) {
    if (HasCallsBehind()) {
      co_await AnswerBehind();
      continue;
    }
    const bool came = co_await AwaitRequest();
    if (!came) {
      break;
    }
    const bool read = co_await ReadHead();
    if (!read) {
      break;
    }
    co_await HandleOne();
  }
  serving_ = false;
  CancelBehind();
  if (stream_.socket().is_open()) {
    co_await Linger();
  }
  Abort();
}

Task<bool> Server::Connection::AwaitRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  if (server_ == nullptr || server_->draining_) {
    Abort();
    co_return false;
  }
  stream_.expires_after(server_->limits_.idle_timeout_);
  awaiting_ = true;
  ErrorCode error;
  const size_t bytes = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  awaiting_ = false;
  if (error == asio::error::operation_aborted) {
    Abort();
  }
  if (error) {
    co_return false;
  }
  buffer_.commit(bytes);
  co_return true;
}

void Server::Connection::PrepareParser(std::optional<Parser>& parser) const {
  const ServerLimits& limits = server_->limits_;
  parser.emplace(FieldLimits{kUnlimitedFields, limits.header_bytes_});
  parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes_));
  parser->body_limit(limits.body_bytes_);
}

Task<bool> Server::Connection::ReadHead() {
  PrepareParser(parser_);
  stream_.expires_after(server_->limits_.header_timeout_);
  ErrorCode error;
  co_await bhttp::async_read_header(
      stream_, buffer_, *parser_,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error && HasUnknownTransferCoding(parser_->get())) {
    // The parser takes it for a request without a body, and the body's bytes
    // for requests.
    error = bhttp::error::bad_transfer_encoding;
  }
  if (error) {
    if (IsMalformed(error)) {
      co_await AnswerMalformed(error);
    } else {
      Abort();
    }
    co_return false;
  }
  const Parser::value_type& message = parser_->get();
  head_ = HeadOf(message);
  awaits_continue_ = message[bhttp::field::expect] == "100-continue";
  co_return true;
}

Task<void> Server::Connection::AnswerMalformed(const ErrorCode& error) {
  const int status = StatusOfError(error);
  if (server_->on_malformed_) {
    server_->on_malformed_(status, error.message(),
                           handling_ ? cut_.id_ : std::string_view());
  }
  keep_ = false;
  AnswerHead head;
  head.status_ = status;
  head.headers_.Add("Content-Type", "text/plain");
  const std::string body = error.message() + "\n";
  co_await Answer(head, body);
}

void Server::Connection::BeginRequest() {
  handling_ = true;
  answered_ = false;
  cut_ = CutCall();
  cut_known_ = false;
  cut_reported_ = false;
  read_at_.reset();
  body_error_.reset();
  body_failure_.clear();
  streaming_ = false;
}

Task<void> Server::Connection::HandleOne() {
  BeginRequest();
  ++server_->open_calls_;
  gone_ = std::make_shared<CancelSignal>();
  stream_.expires_never();
  keep_ = keep_ && parser_->keep_alive();
  pipelining_ =
      server_->limits_.pipelined_calls_ > 1 && MayBePipelined(*parser_);
  pipeline_.reset();
  if (parser_->is_done()) {
    NoteReadWhole();
  }
  if (buffer_.size() > 0) {
    ReadOn();
  }
  std::exception_ptr failure;
  try {
    co_await server_->handler_.Handle(*this);
  } catch (...) {
    failure = std::current_exception();
  }
  if (failure == nullptr) {
    co_await AnswerMalformedBody();
    co_await AnswerBrokenOff();
  }
  if (server_ != nullptr) {
    --server_->open_calls_;
  }
  EndRequest(failure == nullptr ? "" : base::TextOf(failure));
  if (failure != nullptr) {
    std::rethrow_exception(failure);
  }
  if (keep_ && !parser_->is_done()) {
    co_await DiscardRest();
    keep_ = keep_ && server_ != nullptr && !server_->draining_;
  }
}

void Server::Connection::EndRequest(const std::string& failure) {
  handling_ = false;
  if (held_) {
    TakeHeld();
  }
  if (server_ == nullptr) {
    keep_ = false;
    CancelBehind();
    return;
  }
  if (!failure.empty()) {
    NoteCut(CutCause::kHandlerFailed, failure);
  }
  ReportCut();
  if (!failure.empty() || !answered_) {
    serving_ = false;
    Abort();
    CancelBehind();
    return;
  }
  keep_ = keep_ && (!server_->draining_ || HasCallsBehind());
}

Task<void> Server::Connection::Linger() {
  ErrorCode error;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
  stream_.expires_after(kLingerTime);
  // The stream's own timer does not end a read that finds bytes at once.
  const base::MonoTime until = base::MonoNow() + kLingerTime;
  while (!error && base::MonoNow() < until) {
    buffer_.clear();
    co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
  }
}

void Server::Connection::NoteReadWhole() {
  read_at_ = base::MonoNow();
  ArmWatch();
}

void Server::Connection::NoteCut(CutCause cause, std::string detail) {
  if (answered_ || cut_known_) {
    return;
  }
  cut_known_ = true;
  cut_.cause_ = cause;
  cut_.detail_ = std::move(detail);
}

void Server::Connection::ReportCut() {
  const bool cut = !answered_ || cut_known_;
  const bool began = read_at_ || cut_.stage_ != AnswerStage::kWaiting;
  if (!cut || !began || cut_reported_ || server_ == nullptr) {
    return;
  }
  cut_reported_ = true;
  cut_.answered_after_ = answered_;
  if (read_at_) {
    cut_.since_read_ = base::MonoNow() - *read_at_;
  }
  if (server_->on_cut_) {
    server_->on_cut_(cut_);
  }
}

void Server::Connection::ArmWatch() {
  if (watching_) {
    return;
  }
  watching_ = true;
  stream_.socket().async_wait(
      Tcp::socket::wait_read,
      [self = shared_from_this()](const ErrorCode&) { self->OnWatch(); });
}

void Server::Connection::OnWatch() {
  watching_ = false;
  if (!handling_) {
    return;
  }
  // A socket that this side closed says nothing of the caller.
  const bool open = stream_.socket().is_open();
  const std::string how = HowItLeft();
  if (!how.empty()) {
    keep_ = false;
    if (open) {
      NoteCut(CutCause::kCallerLeft, how);
      ReportCutBehind(CutCause::kCallerLeft, how);
    }
    // Held, since an interrupt may end the request.
    const std::shared_ptr<CancelSignal> gone = gone_;
    gone->Raise();
    CancelBehind();
  } else {
    ReadOn();
  }
}

bool Server::Connection::StillThere() {
  return HowItLeft().empty();
}

std::string Server::Connection::HowItLeft() {
  if (!stream_.socket().is_open()) {
    return "closed here";
  }
  char byte = 0;
  const ssize_t got =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
    return "";
  }
  return got == 0 ? "closed" : std::generic_category().message(errno);
}

}  // namespace buckthorngate::http
