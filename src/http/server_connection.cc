// One connection of the HTTP server.
#include "http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace buckthorngate::http {
namespace {

constexpr unsigned kHttp11 = 11;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr size_t kReadBytes = 4096;
// Room for a head in the buffer, beyond the limit that is enforced.
constexpr size_t kBufferSlack = size_t{128} * 1024;
// A body that nobody has read is read and dropped up to this size, so that
// the connection can be kept; beyond it the connection is closed.
constexpr size_t kDiscardBytes = size_t{256} * 1024;
constexpr base::Duration kDiscardTime = std::chrono::milliseconds(500);
constexpr base::Duration kLingerTime = std::chrono::seconds(1);
// A caller that takes nothing of its answer for this long is given up.
constexpr base::Duration kWriteTimeout = std::chrono::seconds(10);

int StatusOfError(const ErrorCode& error) {
  if (error == bhttp::error::header_limit) {
    return kHeadersTooLarge;
  }
  if (error == bhttp::error::body_limit) {
    return kTooLarge;
  }
  return kBadRequest;
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
  if (!handling_ && buffer_.size() == 0) {
    Abort();
  }
}

void Server::Connection::Cancel() {
  const std::shared_ptr<Connection> self = shared_from_this();
  if (handling_) {
    const std::shared_ptr<CancelSignal> gone = gone_;
    gone->Raise();
  }
  Abort();
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
  if (stream_.socket().is_open()) {
    co_await Linger();
  }
  Abort();
}

Task<bool> Server::Connection::AwaitRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  if (server_ == nullptr) {
    co_return false;
  }
  stream_.expires_after(server_->limits_.idle_timeout_);
  ErrorCode error;
  const size_t bytes = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  buffer_.commit(bytes);
  co_return true;
}

Task<bool> Server::Connection::ReadHead() {
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(server_->limits_.header_bytes_));
  parser_->body_limit(server_->limits_.body_bytes_);
  stream_.expires_after(server_->limits_.header_timeout_);
  ErrorCode error;
  co_await bhttp::async_read_header(
      stream_, buffer_, *parser_,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    if (IsMalformed(error)) {
      co_await AnswerMalformed(error);
    } else {
      Abort();
    }
    co_return false;
  }
  const Parser::value_type& message = parser_->get();
  head_ = RequestHead();
  head_.method_.assign(message.method_string().data(),
                       message.method_string().size());
  head_.target_.assign(message.target().data(), message.target().size());
  CopyHeaders(message, head_.headers_);
  if (message[bhttp::field::expect] == "100-continue") {
    co_await SendContinue();
  }
  co_return true;
}

Task<void> Server::Connection::SendContinue() {
  static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
  ErrorCode error;
  co_await asio::async_write(stream_,
                             asio::buffer(kContinue, sizeof(kContinue) - 1),
                             asio::redirect_error(asio::use_awaitable, error));
}

Task<void> Server::Connection::AnswerMalformed(const ErrorCode& error) {
  const int status = StatusOfError(error);
  if (server_->on_malformed_) {
    server_->on_malformed_(status, error.message());
  }
  keep_ = false;
  AnswerHead head;
  head.status_ = status;
  head.headers_.Add("Content-Type", "text/plain");
  const std::string body = error.message() + "\n";
  co_await Answer(head, body);
}

Task<void> Server::Connection::HandleOne() {
  handling_ = true;
  answered_ = false;
  ++server_->open_calls_;
  gone_ = std::make_shared<CancelSignal>();
  stream_.expires_never();
  if (parser_->is_done()) {
    ArmWatch();
  }
  keep_ = keep_ && parser_->keep_alive();
  co_await server_->handler_.Handle(*this);
  handling_ = false;
  if (server_ == nullptr) {
    keep_ = false;
    co_return;
  }
  --server_->open_calls_;
  if (!answered_) {
    Abort();
    co_return;
  }
  if (keep_ && !parser_->is_done()) {
    co_await DiscardRest();
  }
  keep_ = keep_ && parser_->is_done() && !server_->draining_;
}

Task<void> Server::Connection::DiscardRest() {
  read_until_ = base::MonoNow() + kDiscardTime;
  std::string dropped;
  size_t bytes = 0;
  BodyState state = BodyState::kMore;
  while (state == BodyState::kMore && bytes < kDiscardBytes &&
         base::MonoNow() < read_until_) {
    dropped.clear();
    state = co_await Read(dropped, kPieceBytes);
    bytes += dropped.size();
  }
  read_until_ = base::MonoTime::max();
  keep_ = state == BodyState::kEnd;
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
  if (handling_ && !StillThere()) {
    keep_ = false;
    // Held, since an interrupt may end the request.
    const std::shared_ptr<CancelSignal> gone = gone_;
    gone->Raise();
  }
}

bool Server::Connection::StillThere() {
  if (!stream_.socket().is_open()) {
    return false;
  }
  char byte = 0;
  const ssize_t got =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

bool Server::Connection::HasBody() const {
  const boost::optional<std::uint64_t> length = parser_->content_length();
  return parser_->chunked() || (length && *length > 0);
}

std::optional<uint64_t> Server::Connection::Length() const {
  const boost::optional<std::uint64_t> length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

Task<BodyState> Server::Connection::Read(std::string& piece, size_t most) {
  if (parser_->is_done()) {
    co_return BodyState::kEnd;
  }
  const size_t held = piece.size();
  const size_t room = std::min(most - std::min(most, held), kPieceBytes);
  piece.resize(held + room);
  bhttp::buffer_body::value_type& body = parser_->get().body();
  body.data = piece.data() + held;
  body.size = room;
  const base::Duration idle =
      server_ == nullptr ? base::Duration(0) : server_->limits_.idle_timeout_;
  stream_.expires_at(std::min(base::MonoNow() + idle, read_until_));
  ErrorCode error;
  co_await bhttp::async_read_some(
      stream_, buffer_, *parser_,
      asio::redirect_error(asio::use_awaitable, error));
  piece.resize(piece.size() - body.size);
  if (error && error != bhttp::error::need_buffer) {
    keep_ = false;
    co_return BodyState::kFailed;
  }
  if (!parser_->is_done()) {
    co_return BodyState::kMore;
  }
  ArmWatch();
  co_return BodyState::kEnd;
}

bool Server::Connection::MayKeep() const {
  return keep_ && server_ != nullptr && !server_->draining_;
}

void Server::Connection::FillHead(const AnswerHead& head,
                                  bhttp::fields& fields) const {
  CopyHeaders(head.headers_, fields);
}

Task<bool> Server::Connection::Answer(const AnswerHead& head,
                                      std::string_view body) {
  bhttp::response<bhttp::span_body<const char>> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(head.status_));
  FillHead(head, message);
  keep_ = MayKeep();
  message.keep_alive(keep_);
  message.body() = {body.data(), body.size()};
  if (!NeverHasBody(head.status_)) {
    message.content_length(body.size());
  }
  stream_.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await bhttp::async_write(stream_, message,
                              asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  co_return answered_;
}

Task<bool> Server::Connection::AnswerWithoutBody(
    const AnswerHead& head,
    std::optional<uint64_t> length) {
  bhttp::response<bhttp::empty_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(head.status_));
  FillHead(head, message);
  keep_ = MayKeep();
  message.keep_alive(keep_);
  if (length) {
    message.content_length(*length);
  }
  stream_.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await bhttp::async_write(stream_, message,
                              asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  co_return answered_;
}

Task<bool> Server::Connection::Begin(const AnswerHead& head,
                                     std::optional<uint64_t> length) {
  answer_.emplace();
  answer_->version(kHttp11);
  answer_->result(static_cast<unsigned>(head.status_));
  FillHead(head, *answer_);
  keep_ = MayKeep();
  answer_->keep_alive(keep_);
  if (length) {
    answer_->content_length(*length);
  } else {
    answer_->chunked(true);
  }
  answer_->body().data = nullptr;
  answer_->body().more = true;
  serializer_.emplace(*answer_);
  stream_.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await bhttp::async_write_header(
      stream_, *serializer_, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Task<bool> Server::Connection::Write(std::string_view piece) {
  if (piece.empty()) {
    co_return true;
  }
  bhttp::buffer_body::value_type& body = answer_->body();
  body.data = const_cast<char*>(piece.data());
  body.size = piece.size();
  body.more = true;
  stream_.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await bhttp::async_write(stream_, *serializer_,
                              asio::redirect_error(asio::use_awaitable, error));
  co_return !error || error == bhttp::error::need_buffer;
}

Task<bool> Server::Connection::Finish() {
  bhttp::buffer_body::value_type& body = answer_->body();
  body.data = nullptr;
  body.size = 0;
  body.more = false;
  stream_.expires_after(kWriteTimeout);
  ErrorCode error;
  co_await bhttp::async_write(stream_, *serializer_,
                              asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  serializer_.reset();
  answer_.reset();
  co_return answered_;
}

}  // namespace buckthorngate::http
