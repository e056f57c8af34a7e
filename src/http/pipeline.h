// Requests that a caller sends on a connection before an earlier one is
// answered.
//
// The connection handles the first request itself. Each safe request behind it
// becomes a PipelinedCall, which its handler runs in parallel, and whose answer
// waits for its turn. On its turn the connection takes over the call's state,
// and the call forwards to the connection. All of it runs on the loop's thread.
#ifndef SRC_HTTP_PIPELINE_H_
#define SRC_HTTP_PIPELINE_H_

#include <cstddef>
#include <deque>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/beast.h"
#include "http/bounded_parser.h"
#include "http/cut_call.h"
#include "http/event_loop.h"
#include "http/server.h"

namespace buckthorngate::http {

// Bytes of whole answers of one connection that may wait for their turn before
// no further request is begun. Those that run by then may add a piece each.
inline constexpr size_t kMaxWaitingAnswerBytes = size_t{256} * 1024;
// Bytes that are read ahead behind the requests that have begun.
inline constexpr size_t kMaxUnreadBytes = size_t{16} * 1024;

RequestHead HeadOf(const bhttp::request<bhttp::buffer_body>& message);

class PipelinedCall : public ServerCall {
 public:
  // The connection must outlive the call. `waiting_bytes` counts the bytes of
  // the connection's answers that wait for their turn.
  PipelinedCall(EventLoop& loop,
                ServerCall& connection,
                size_t& waiting_bytes,
                RequestHead head,
                bool keep_alive);

  // For the connection.
  // Moves what is known of the request to the connection, whose answer is
  // next.
  CutCall TakeTurn();
  // Ends the wait for the turn without one, and cancels what runs.
  void Cancel();
  // The handler has ended.
  void End(std::string failure);
  Task<void> AwaitEnd();
  bool KeepAlive() const { return keep_alive_; }
  base::MonoTime ReadAt() const { return read_at_; }
  // Why the handler failed; empty if it did not.
  const std::string& HandlerFailure() const { return failure_; }
  const CutCall& Cut() const { return cut_; }
  std::shared_ptr<CancelSignal> SharedGone() const { return gone_; }
  // True for one call, so that a cut is reported once.
  bool FirstReport() { return !std::exchange(reported_, true); }

  const RequestHead& Head() const override { return head_; }
  void SetId(std::string_view id) override;
  bool HasBody() const override { return false; }
  CancelSignal& Gone() override { return *gone_; }
  bool StillThere() override { return connection_.StillThere(); }
  std::optional<uint64_t> Length() const override { return std::nullopt; }
  Task<BodyState> Read(std::string& piece, size_t most) override;
  Task<bool> Answer(const AnswerHead& head, std::string_view body) override;
  Task<bool> AnswerWithoutBody(const AnswerHead& head,
                               std::optional<uint64_t> length) override;
  Task<bool> Begin(const AnswerHead& head,
                   std::optional<uint64_t> length) override;
  Task<bool> Write(std::string_view piece) override;
  Task<bool> Finish() override;
  void NoteBodyFailure(std::string_view why) override;
  bool AnswerArrived() override;
  void Abort() override;

 private:
  enum class Turn : uint8_t { kWaiting, kOwn, kCancelled };

  // Whether the call's turn has come; false if it never will. `bytes` of the
  // answer are held meanwhile.
  Task<bool> AwaitTurn(size_t bytes);

  void ReleaseHeldBytes();

  ServerCall& connection_;
  size_t& waiting_bytes_;
  const RequestHead head_;
  const bool keep_alive_;
  const base::MonoTime read_at_;
  const std::shared_ptr<CancelSignal> gone_;
  Turn turn_ = Turn::kWaiting;
  Notifier turn_changed_;
  Notifier ended_;
  std::string failure_;
  // Valid until the turn has come.
  CutCall cut_;
  // Counted in `waiting_bytes_`.
  size_t held_bytes_ = 0;
  bool reported_ = false;
};

// The calls of one connection behind the one that is answered now.
struct Pipeline {
  using Parser = BoundedParser<bhttp::request_parser<bhttp::buffer_body>>;

  std::deque<std::shared_ptr<PipelinedCall>> calls_;
  size_t waiting_bytes_ = 0;
  // Of the head that is read next; it consumes nothing of a part of a head.
  std::optional<Parser> parser_;
  // The next request can begin only once all before it are answered: it is not
  // safe, has a body or is malformed, or an earlier one closes the connection.
  bool stopped_ = false;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_PIPELINE_H_
