// One exchange on a dialled connection.
#include "http/client.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/http_status.h"
#include "http/client_connection.h"
#include "http/status_line.h"

namespace buckthorngate::http {
namespace {

constexpr unsigned kHttp11 = 11;
// Answers to earlier requests that may come first, and their bodies together.
constexpr int kMostSkipped = 4;
constexpr size_t kMostSkippedBytes = size_t{4} * 1024 * 1024;
// Interim answers (1xx) that may come first.
constexpr int kMostInterim = 32;
// Idle connections keep a buffer of this size for their next answer.
constexpr size_t kIdleBufferBytes = size_t{8} * 1024;
// Left out of the idle time that the other side announces.
constexpr base::Duration kIdleMargin = std::chrono::milliseconds(1500);

std::string_view View(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// "timeout=10, max=5": whole seconds.
base::Duration IdleTimeOf(std::string_view keep_alive) {
  constexpr std::string_view kKey = "timeout=";
  const size_t at = keep_alive.find(kKey);
  if (at == std::string_view::npos) {
    return base::Duration::max();
  }
  const std::string_view rest = keep_alive.substr(at + kKey.size());
  const std::optional<uint64_t> seconds =
      ParseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
  const base::Duration idle = std::chrono::seconds(seconds.value_or(0));
  return std::max(idle - kIdleMargin, base::Duration(0));
}

}  // namespace

// Sends a streamed body while the answer is awaited. Shared with the
// coroutine that sends, which may outlast the exchange by a turn of the loop.
struct Exchange::Sender {
  explicit Sender(EventLoop& loop) : ended_(loop) {}

  Notifier ended_;
  bool done_ = false;
  bool whole_ = false;
};

Exchange::Exchange(ConnectionPool& pool,
                   ClientConnectionPtr connection,
                   CancelSignal& cancel)
    : pool_(pool), connection_(std::move(connection)), cancel_(cancel) {
  interrupt_ = std::make_unique<CancelScope>(
      cancel, [held = connection_] { held->Close(); });
}

Exchange::~Exchange() {
  if (!finished_) {
    connection_->Close();
  }
}

ExchangeFailure Exchange::FailureOf(const std::string& detail,
                                    bool malformed,
                                    bool not_sent) const {
  if (cancel_.Raised()) {
    return {ResultCode::kCallerGone, not_sent, detail};
  }
  if (base::MonoNow() >= deadline_) {
    return {ResultCode::kDeadlineExceeded, not_sent, detail};
  }
  if (malformed) {
    return {ResultCode::kAnswerMalformed, false, detail};
  }
  return {not_sent ? ResultCode::kConnectFailed : ResultCode::kUpstreamFailed,
          not_sent, detail};
}

Task<tl::expected<AnswerHead, ExchangeFailure>> Exchange::Run(
    const RequestHead& request,
    std::string_view body,
    base::MonoTime deadline,
    std::function<bool(const AnswerHead&)> belongs) {
  method_ = request.method_;
  deadline_ = deadline;
  bhttp::request<bhttp::span_body<const char>> message;
  message.version(kHttp11);
  message.method_string(request.method_);
  message.target(request.target_);
  CopyHeaders(request.headers_, message);
  message.body() = {body.data(), body.size()};
  const bool has_length = !body.empty() || request.method_ == "POST" ||
                          request.method_ == "PUT" ||
                          request.method_ == "PATCH";
  if (has_length) {
    message.content_length(body.size());
  }
  connection_->stream_.expires_at(deadline);
  ErrorCode error;
  const size_t sent = co_await bhttp::async_write(
      connection_->stream_, message,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::unexpected(
        FailureOf(error.message(), /*malformed=*/false, sent == 0));
  }
  co_return co_await ReadHead(belongs);
}

Task<tl::expected<AnswerHead, ExchangeFailure>> Exchange::RunStreamed(
    EventLoop& loop,
    const RequestHead& request,
    std::string_view first,
    BodyReader& rest,
    base::MonoTime deadline,
    std::function<bool(const AnswerHead&)> belongs) {
  method_ = request.method_;
  deadline_ = deadline;
  sender_ = std::make_shared<Sender>(loop);
  bhttp::request<bhttp::buffer_body> message;
  message.version(kHttp11);
  message.method_string(request.method_);
  message.target(request.target_);
  CopyHeaders(request.headers_, message);
  const std::optional<uint64_t> length = rest.Length();
  if (length) {
    message.content_length(*length);
  } else {
    message.chunked(true);
  }
  const auto send =
      [](std::shared_ptr<Sender> sender, ClientConnectionPtr connection,
         bhttp::request<bhttp::buffer_body> head, std::string piece,
         BodyReader& reader, base::MonoTime until) -> Task<void> {
    bhttp::request_serializer<bhttp::buffer_body> serializer(head);
    BodyState state = BodyState::kMore;
    ErrorCode error;
    bool last = false;
    while (!last) {
      last = state != BodyState::kMore;
      head.body().data = piece.empty() ? nullptr : piece.data();
      head.body().size = piece.size();
      head.body().more = !last;
      // Once the connection is broken, the rest is read and dropped, so that
      // the caller can go on to its answer.
      if (!error && state != BodyState::kFailed) {
        connection->stream_.expires_at(until);
        co_await bhttp::async_write(
            connection->stream_, serializer,
            asio::redirect_error(asio::use_awaitable, error));
      }
      if (error == bhttp::error::need_buffer) {
        error = {};
      }
      if (error) {
        connection->NoteWriteFailure(error);
      }
      piece.clear();
      if (!last) {
        state = co_await reader.Read(piece, kPieceBytes);
      }
    }
    sender->whole_ = state == BodyState::kEnd && !error;
    sender->done_ = true;
    if (state == BodyState::kFailed) {
      // The caller's body is cut; the other side must not take it for whole.
      connection->Close();
    }
    sender->ended_.Notify();
  };
  loop.Spawn(send(sender_, connection_, std::move(message), std::string(first),
                  rest, deadline));
  co_return co_await ReadHead(belongs);
}

Task<bool> Exchange::AwaitSender(base::Duration most) {
  const base::MonoTime until = most == base::Duration::max()
                                   ? base::MonoTime::max()
                                   : base::MonoNow() + most;
  while (sender_ != nullptr && !sender_->done_) {
    const bool notified = co_await sender_->ended_.Wait(until);
    if (!notified) {
      co_return false;
    }
  }
  co_return true;
}

Task<bool> Exchange::SkipBody() {
  std::string dropped;
  BodyState state = BodyState::kMore;
  while (state == BodyState::kMore && skipped_bytes_ < kMostSkippedBytes) {
    dropped.clear();
    state = co_await ReadPiece(dropped, kPieceBytes);
    skipped_bytes_ += dropped.size();
  }
  co_return state == BodyState::kEnd && connection_->Open();
}

Task<ErrorCode> Exchange::ReadAnswerStart() {
  constexpr size_t kMostAtOnce = size_t{64} * 1024;
  beast::flat_buffer& buffer = connection_->buffer_;
  while (CanStartAnAnswer(View(buffer)) &&
         buffer.size() < kStatusLineStart.size()) {
    ErrorCode error;
    const size_t got = co_await connection_->stream_.async_read_some(
        buffer.prepare(beast::read_size(buffer, kMostAtOnce)),
        asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(got);
    if (error == asio::error::eof) {
      co_return buffer.size() == 0 ? bhttp::error::end_of_stream
                                   : bhttp::error::partial_message;
    }
    if (error) {
      co_return error;
    }
  }
  co_return CanStartAnAnswer(View(buffer)) ? ErrorCode()
                                           : bhttp::error::bad_status;
}

Task<tl::expected<AnswerHead, ExchangeFailure>> Exchange::ReadHead(
    const std::function<bool(const AnswerHead&)>& belongs) {
  int interim = 0;
  int skipped = 0;
  while (skipped < kMostSkipped && interim < kMostInterim) {
    // A field that arrives in 4 bytes takes more than 200 in the daemon.
    connection_->parser_.emplace(
        FieldLimits{pool_.Options().most_fields_, kAnswerHeaderBytes});
    ClientConnection::Parser& parser = *connection_->parser_;
    parser.header_limit(kAnswerHeaderBytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (method_ == "HEAD") {
      parser.skip(true);
    }
    connection_->stream_.expires_at(deadline_);
    ErrorCode error = co_await ReadAnswerStart();
    if (error == bhttp::error::bad_status) {
      const std::string line = QuoteStatusLine(View(connection_->buffer_));
      connection_->Close();
      co_return tl::unexpected(FailureOf("invalid status line " + line,
                                         /*malformed=*/true,
                                         /*not_sent=*/false));
    }
    if (!error) {
      co_await bhttp::async_read_header(
          connection_->stream_, connection_->buffer_, parser,
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
      co_return tl::unexpected(
          FailureOf(error.message(), IsMalformed(error), /*not_sent=*/false));
    }
    AnswerHead head;
    head.status_ = static_cast<int>(parser.get().result_int());
    if (head.status_ < base::kStatusFirstFinal) {
      ++interim;
      continue;
    }
    CopyHeaders(parser.get(), head.headers_);
    if (belongs(head)) {
      co_return head;
    }
    ++skipped;
    const bool skipped_whole = co_await SkipBody();
    if (!skipped_whole) {
      co_return tl::unexpected(
          ExchangeFailure{ResultCode::kAnswerCrossed, false,
                          "cut or too long answer to an earlier request"});
    }
  }
  if (interim >= kMostInterim) {
    co_return tl::unexpected(FailureOf("too many interim answers",
                                       /*malformed=*/true, /*not_sent=*/false));
  }
  co_return tl::unexpected(
      ExchangeFailure{ResultCode::kAnswerCrossed, false,
                      "too many answers to earlier requests"});
}

void Exchange::NoteRefused(const std::string& id) {
  connection_->refused_.push_back(id);
}

std::optional<uint64_t> Exchange::Length() const {
  const boost::optional<std::uint64_t> length =
      connection_->parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

void Exchange::Finish() {
  if (finished_) {
    return;
  }
  finished_ = true;
  ClientConnection::Parser& parser = *connection_->parser_;
  const bool sent = sender_ == nullptr || sender_->whole_;
  const bool reusable =
      sent && parser.keep_alive() && !parser.need_eof() &&
      connection_->Open() &&
      connection_->refused_.size() < ClientConnection::kMostRefused;
  const base::Duration idle = IdleTimeOf(
      std::string_view(parser.get()[bhttp::field::keep_alive].data(),
                       parser.get()[bhttp::field::keep_alive].size()));
  interrupt_.reset();
  if (!reusable || connection_->buffer_.size() != 0) {
    connection_->Close();
    return;
  }
  connection_->stream_.expires_never();
  // Nothing of a large answer stays with the idle connection.
  parser.get().clear();
  if (streaming_ || connection_->buffer_.capacity() > kIdleBufferBytes) {
    connection_->buffer_.shrink_to_fit();
  }
  pool_.Return(connection_, idle);
}

}  // namespace buckthorngate::http
