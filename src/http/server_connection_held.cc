// One connection of the HTTP server: streamed answers with requests behind
// them.
//
// A streamed answer that is broken off ends its connection, since its caller
// could not tell it from a whole one otherwise. Requests behind it that run by
// then would get no answer. So none begins behind a streamed answer that is
// being written; and if some have begun before it, the answer is held until it
// is whole, as far as there is room, and another one takes its place if it is
// broken off.
#include <algorithm>
#include <utility>

#include "base/http_status.h"
#include "http/server_connection.h"

namespace buckthorngate::http {
namespace {

// Of one answer, and of all answers of a server.
constexpr size_t kMaxHeldBytes = size_t{1024} * 1024;
constexpr size_t kMaxHeldBytesOfServer = size_t{8} * 1024 * 1024;

}  // namespace

bool Server::Connection::MayHold(size_t bytes) const {
  const size_t held = held_ ? held_->body_.size() : 0;
  return server_ != nullptr && bytes <= kMaxHeldBytes - held &&
         bytes <= kMaxHeldBytesOfServer -
                      std::min(server_->held_bytes_, kMaxHeldBytesOfServer);
}

void Server::Connection::Hold(const AnswerHead& head,
                              std::optional<uint64_t> length) {
  held_.emplace();
  held_->head_ = head;
  held_->length_ = length;
}

void Server::Connection::HoldMore(std::string_view piece) {
  held_->body_ += piece;
  server_->held_bytes_ += piece.size();
}

Server::Connection::HeldAnswer Server::Connection::TakeHeld() {
  HeldAnswer held = std::move(*held_);
  held_.reset();
  if (server_ != nullptr) {
    server_->held_bytes_ -= held.body_.size();
  }
  return held;
}

Task<bool> Server::Connection::SendHeld(HeldAnswer held) {
  bool sent = co_await BeginStream(held.head_, held.length_);
  for (size_t at = 0; sent && at < held.body_.size(); at += kPieceBytes) {
    sent = co_await WritePiece(
        std::string_view(held.body_).substr(at, kPieceBytes));
  }
  co_return sent;
}

Task<void> Server::Connection::AnswerBrokenOff() {
  if (!held_) {
    co_return;
  }
  TakeHeld();
  if (gone_->Raised() || server_ == nullptr) {
    co_return;
  }
  BrokenOffAnswer answer;
  if (server_->on_broken_off_) {
    answer = server_->on_broken_off_(cut_);
  } else {
    answer.head_.status_ = base::kStatusBadGateway;
  }
  co_await Answer(answer.head_, answer.body_);
}

}  // namespace buckthorngate::http
