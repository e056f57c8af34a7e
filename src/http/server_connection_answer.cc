// One connection of the HTTP server: its answers.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <sstream>

#include "http/server_connection.h"

namespace buckthorngate::http {
namespace {

constexpr unsigned kHttp11 = 11;

template <class Message>
size_t HeadBytes(const Message& message) {
  std::ostringstream text;
  text << message.base();
  return text.str().size();
}

}  // namespace

base::Duration Server::Connection::WriteTimeout() const {
  return server_ == nullptr ? base::Duration(0)
                            : server_->limits_.write_timeout_;
}

void Server::Connection::NoteSent(size_t sent, size_t head) {
  if (sent < head || sent == 0) {
    return;
  }
  cut_.body_sent_ += sent - head;
  cut_.stage_ =
      cut_.body_sent_ > 0 ? AnswerStage::kBody : AnswerStage::kHeadSent;
}

void Server::Connection::NoteWriteError(const ErrorCode& error) {
  const bool timed_out = error == beast::error::timeout;
  NoteCut(timed_out ? CutCause::kWriteTimedOut : CutCause::kWriteFailed,
          error.message());
}

void Server::Connection::NoteBodyFailure(std::string_view why) {
  NoteCut(CutCause::kBodyBrokeOff, std::string(why));
}

bool Server::Connection::AnswerArrived() {
  int unacknowledged = 0;
  const bool known =
      stream_.socket().is_open() &&
      ioctl(stream_.socket().native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  return !known || unacknowledged == 0;
}

bool Server::Connection::MayKeep() const {
  // A caller that was not asked for its body may send it all the same.
  const bool body_unasked = awaits_continue_ && !parser_->is_done();
  // A drain lets the requests that were begun be answered, and the last answer
  // closes the connection.
  const bool ending =
      server_ == nullptr || (server_->draining_ && !HasCallsBehind());
  return keep_ && !body_unasked && !ending;
}

template <class Message>
void Server::Connection::FillHead(const AnswerHead& head, Message& message) {
  message.version(kHttp11);
  message.result(static_cast<unsigned>(head.status_));
  CopyHeaders(head.headers_, message);
  keep_ = MayKeep();
  message.keep_alive(keep_);
  if (!keep_) {
    CancelBehind();
  }
}

Task<bool> Server::Connection::Answer(const AnswerHead& head,
                                      std::string_view body) {
  // The body of an answer to HEAD would stand where the next answer is due.
  if (handling_ && head_.method_ == "HEAD") {
    const bool length = !NeverHasBody(head.status_);
    co_return co_await AnswerWithoutBody(
        head, length ? std::optional<uint64_t>(body.size()) : std::nullopt);
  }
  co_return co_await AnswerWhole(head, body);
}

Task<bool> Server::Connection::AnswerWhole(const AnswerHead& head,
                                           std::string_view body) {
  bhttp::response<bhttp::span_body<const char>> message;
  FillHead(head, message);
  message.body() = {body.data(), body.size()};
  cut_.status_ = head.status_;
  if (!NeverHasBody(head.status_)) {
    message.content_length(body.size());
    cut_.body_length_ = body.size();
  }
  stream_.expires_after(WriteTimeout());
  ErrorCode error;
  const size_t sent = co_await bhttp::async_write(
      stream_, message, asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  if (error) {
    NoteSent(sent, HeadBytes(message));
    NoteWriteError(error);
  }
  co_return answered_;
}

Task<bool> Server::Connection::AnswerWithoutBody(
    const AnswerHead& head,
    std::optional<uint64_t> length) {
  bhttp::response<bhttp::empty_body> message;
  FillHead(head, message);
  cut_.status_ = head.status_;
  if (length) {
    message.content_length(*length);
  }
  stream_.expires_after(WriteTimeout());
  ErrorCode error;
  co_await bhttp::async_write(stream_, message,
                              asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  if (error) {
    NoteWriteError(error);
  }
  co_return answered_;
}

Task<bool> Server::Connection::Begin(const AnswerHead& head,
                                     std::optional<uint64_t> length) {
  if (HasCallsBehind() && MayHold(length.value_or(0))) {
    Hold(head, length);
    co_return true;
  }
  co_return co_await BeginStream(head, length);
}

Task<bool> Server::Connection::BeginStream(const AnswerHead& head,
                                           std::optional<uint64_t> length) {
  streaming_ = true;
  answer_.emplace();
  FillHead(head, *answer_);
  if (length) {
    answer_->content_length(*length);
  } else {
    answer_->chunked(true);
  }
  answer_->body().data = nullptr;
  answer_->body().more = true;
  serializer_.emplace(*answer_);
  stream_.expires_after(WriteTimeout());
  ErrorCode error;
  co_await bhttp::async_write_header(
      stream_, *serializer_, asio::redirect_error(asio::use_awaitable, error));
  cut_.status_ = head.status_;
  cut_.body_length_ = length;
  if (error) {
    NoteWriteError(error);
    co_return false;
  }
  cut_.stage_ = AnswerStage::kHeadSent;
  co_return true;
}

Task<bool> Server::Connection::Write(std::string_view piece) {
  if (held_ && MayHold(piece.size())) {
    HoldMore(piece);
    co_return true;
  }
  if (held_) {
    const bool sent = co_await SendHeld(TakeHeld());
    if (!sent) {
      co_return false;
    }
  }
  co_return co_await WritePiece(piece);
}

Task<bool> Server::Connection::WritePiece(std::string_view piece) {
  if (piece.empty()) {
    co_return true;
  }
  bhttp::buffer_body::value_type& body = answer_->body();
  body.data = const_cast<char*>(piece.data());
  body.size = piece.size();
  body.more = true;
  stream_.expires_after(WriteTimeout());
  ErrorCode error;
  const size_t sent = co_await bhttp::async_write(
      stream_, *serializer_, asio::redirect_error(asio::use_awaitable, error));
  // The frames of chunks count for nothing.
  NoteSent(std::min(sent, piece.size()), /*head=*/0);
  if (error && error != bhttp::error::need_buffer) {
    NoteWriteError(error);
    co_return false;
  }
  co_return true;
}

Task<bool> Server::Connection::Finish() {
  if (held_) {
    const bool sent = co_await SendHeld(TakeHeld());
    if (!sent) {
      co_return false;
    }
  }
  bhttp::buffer_body::value_type& body = answer_->body();
  body.data = nullptr;
  body.size = 0;
  body.more = false;
  stream_.expires_after(WriteTimeout());
  ErrorCode error;
  co_await bhttp::async_write(stream_, *serializer_,
                              asio::redirect_error(asio::use_awaitable, error));
  answered_ = !error;
  streaming_ = false;
  if (error) {
    NoteWriteError(error);
  }
  serializer_.reset();
  answer_.reset();
  co_return answered_;
}

}  // namespace buckthorngate::http
