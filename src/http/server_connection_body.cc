// One connection of the HTTP server: bodies of requests.
#include <algorithm>
#include <utility>

#include "http/server_connection.h"

namespace buckthorngate::http {
namespace {

// A body that nobody has read is read and dropped up to this size, so that
// the connection can be kept; beyond it the connection is closed.
constexpr size_t kDiscardBytes = size_t{256} * 1024;
constexpr base::Duration kDiscardTime = std::chrono::milliseconds(500);

}  // namespace

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
  if (std::exchange(awaits_continue_, false)) {
    co_await SendContinue();
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
    if (IsMalformed(error)) {
      body_error_ = error;
      body_failure_ = error.message();
    }
    co_return BodyState::kFailed;
  }
  if (!parser_->is_done()) {
    co_return BodyState::kMore;
  }
  NoteReadWhole();
  co_return BodyState::kEnd;
}

Task<void> Server::Connection::SendContinue() {
  static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
  ErrorCode error;
  co_await asio::async_write(stream_,
                             asio::buffer(kContinue, sizeof(kContinue) - 1),
                             asio::redirect_error(asio::use_awaitable, error));
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

Task<void> Server::Connection::AnswerMalformedBody() {
  const bool untouched =
      !answered_ && cut_.stage_ == AnswerStage::kWaiting && !cut_known_;
  if (body_error_ && untouched && server_ != nullptr) {
    co_await AnswerMalformed(*body_error_);
  }
}

}  // namespace buckthorngate::http
