// The body of an answer on a dialled connection.
#include <algorithm>

#include "http/client.h"
#include "http/client_connection.h"

namespace buckthorngate::http {
namespace {

// Read ahead of a long answer at once.
constexpr size_t kStreamBufferBytes = size_t{32} * 1024;
// A long answer that takes longer for kPieceBytes after its deadline is given
// up. Only the time that is spent waiting for it counts.
constexpr base::Duration kPieceTimeout = std::chrono::seconds(10);

}  // namespace

Task<BodyState> Exchange::Read(std::string& piece, size_t most) {
  const BodyState state = co_await ReadPiece(piece, most);
  if (state == BodyState::kEnd) {
    Finish();
  }
  co_return state;
}

void Exchange::StreamAnswer() {
  streaming_ = true;
  patience_ = kPieceTimeout;
  // Otherwise the buffer stays as small as heads need it, and each read too.
  connection_->buffer_.reserve(kStreamBufferBytes);
}

base::MonoTime Exchange::PieceDeadline(base::MonoTime now) const {
  if (!streaming_) {
    return deadline_;
  }
  return std::min(std::max(deadline_, now + patience_),
                  deadline_ + pool_.Options().most_overtime_);
}

void Exchange::NotePace(size_t bytes, base::Duration waited) {
  patience_ -= std::min(waited, patience_);
  piece_came_ += bytes;
  if (piece_came_ >= kPieceBytes) {
    piece_came_ = 0;
    patience_ = kPieceTimeout;
  }
}

BodyState Exchange::Cut(const std::string& detail, bool malformed) {
  failure_ = FailureOf(detail, malformed, /*not_sent=*/false);
  failure_text_ = std::string(Describe(failure_.code_).name_) + ": " + detail;
  connection_->Close();
  return BodyState::kFailed;
}

BodyState Exchange::CutLate() {
  return Cut(streaming_ ? "too slow or too long" : "deadline passed",
             /*malformed=*/false);
}

ErrorCode Exchange::ParseReadAhead() {
  ClientConnection::Parser& parser = *connection_->parser_;
  ErrorCode error;
  while (!error && !parser.is_done() && parser.get().body().size > 0 &&
         connection_->buffer_.size() > 0) {
    const size_t used = parser.put(connection_->buffer_.data(), error);
    connection_->buffer_.consume(used);
  }
  return error == bhttp::error::need_more ? ErrorCode() : error;
}

Task<BodyState> Exchange::ReadPiece(std::string& piece, size_t most) {
  ClientConnection::Parser& parser = *connection_->parser_;
  if (!failure_text_.empty()) {
    co_return BodyState::kFailed;
  }
  if (parser.is_done()) {
    co_return BodyState::kEnd;
  }
  const size_t held = piece.size();
  const size_t room = std::min(most - std::min(most, held), kPieceBytes);
  piece.resize(held + room);
  bhttp::buffer_body::value_type& body = parser.get().body();
  body.data = piece.data() + held;
  body.size = room;
  const base::MonoTime began = base::MonoNow();
  const base::MonoTime until = PieceDeadline(began);
  if (began >= until) {
    // The stream's own timer does not end a read that finds bytes at once.
    piece.resize(held);
    co_return CutLate();
  }
  connection_->stream_.expires_at(until);
  ErrorCode error;
  co_await bhttp::async_read_some(
      connection_->stream_, connection_->buffer_, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    error = ParseReadAhead();
  }
  piece.resize(piece.size() - body.size);
  NotePace(piece.size() - held, base::MonoNow() - began);
  if (piece.size() > held) {
    on_piece_();
  }
  // An end without a length: the connection's orderly end completes it.
  if (error == asio::error::eof && parser.need_eof()) {
    ErrorCode ended;
    parser.put_eof(ended);
    error = ended;
  }
  if (!error && parser.is_done() && parser.need_eof()) {
    // A write that failed before this read may be noted in the next turn only.
    co_await asio::post(asio::use_awaitable);
    if (!connection_->EndedInOrder()) {
      co_return Cut("ended with an upload that failed: " +
                        connection_->write_failure_.message(),
                    /*malformed=*/false);
    }
  }
  if (error == beast::error::timeout) {
    co_return CutLate();
  }
  if (error && error != bhttp::error::need_buffer) {
    co_return Cut(error.message(), IsMalformed(error));
  }
  co_return parser.is_done() ? BodyState::kEnd : BodyState::kMore;
}

}  // namespace buckthorngate::http
