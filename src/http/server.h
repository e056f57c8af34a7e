// HTTP server on the event loop: connections of callers and of other daemons.
//
// A connection is one coroutine that reads a request, hands it to the handler
// and sends the answer. While a request is handled the connection is watched,
// so that a caller that leaves is noticed at once. Requests that were sent
// ahead on a connection are answered in order; where the limits allow it, safe
// ones are handled in parallel (see http/pipeline.h).
#ifndef SRC_HTTP_SERVER_H_
#define SRC_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/body.h"
#include "http/cancel.h"
#include "http/cut_call.h"
#include "http/event_loop.h"
#include "http/head.h"

namespace buckthorngate::http {

// Requests of one connection that are handled at a time. Each keeps up to one
// piece of an answer (kPieceBytes) until its turn, so a connection keeps 1 MiB
// at most.
inline constexpr size_t kMaxPipelinedCalls = 16;
// The same for all connections of a server, without the first request of each:
// 16 MiB of answers, and about 5 MiB for the coroutines, on a host of 160 MB.
inline constexpr size_t kMaxPipelinedCallsOfServer = 256;

// Bounds on what the other side may send and how long it may take.
struct ServerLimits {
  size_t header_bytes_ = size_t{16} * 1024;
  uint64_t body_bytes_ = uint64_t{1} << 40;
  base::Duration header_timeout_ = std::chrono::seconds(10);
  base::Duration idle_timeout_ = std::chrono::seconds(15);
  // A caller that takes nothing of its answer for this long is given up.
  base::Duration write_timeout_ = std::chrono::seconds(10);
  // Requests of one connection that are handled at a time; at most
  // kMaxPipelinedCalls. 1: a request is read once all before it are answered.
  size_t pipelined_calls_ = 1;
};

// One request on a connection. Used on the loop's thread, while the handler
// runs.
class ServerCall : public BodyReader {
 public:
  virtual const RequestHead& Head() const = 0;
  // Names the request in what is told of it.
  virtual void SetId(std::string_view id) = 0;
  virtual bool HasBody() const = 0;
  // Raised when the other side has closed the connection.
  virtual CancelSignal& Gone() = 0;
  // Asks the socket itself, for when the process was stopped for long.
  virtual bool StillThere() = 0;

  // Each returns false if the answer could not be sent. To HEAD, Answer sends
  // the head only, with the body's length.
  virtual Task<bool> Answer(const AnswerHead& head, std::string_view body) = 0;
  // An answer without a body that tells its length all the same (HEAD).
  virtual Task<bool> AnswerWithoutBody(const AnswerHead& head,
                                       std::optional<uint64_t> length) = 0;
  // A streamed answer: Begin, Write for each piece, Finish. If it is left
  // unfinished, the connection is closed so that it does not look complete.
  virtual Task<bool> Begin(const AnswerHead& head,
                           std::optional<uint64_t> length) = 0;
  virtual Task<bool> Write(std::string_view piece) = 0;
  virtual Task<bool> Finish() = 0;
  // Tells why a streamed answer is left unfinished.
  virtual void NoteBodyFailure(std::string_view why) = 0;
  // Whether the other side's host has all that was written.
  virtual bool AnswerArrived() = 0;
  // Closes the connection; whatever waits on it fails.
  virtual void Abort() = 0;
};

// Takes the place of an answer that was broken off.
struct BrokenOffAnswer {
  AnswerHead head_;
  std::string body_;
};

class Handler {
 public:
  virtual ~Handler() = default;
  virtual Task<void> Handle(ServerCall& call) = 0;
};

// Used on the loop's thread, but for construction and Listen.
class Server {
 public:
  // All must outlive the server.
  Server(EventLoop& loop, Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // kBadSettings if the address cannot be had. Before the loop starts, or on
  // its thread.
  ResultCode Listen(const std::string& address);
  // Takes no more connections and closes idle ones; answers from now on tell
  // the other side to close.
  void Drain();
  // Closes all connections; requests under way are cancelled.
  void Close();
  // Tells OnCut of the requests that are under way: the process is about to
  // end, which cuts them.
  void TellOpen();
  size_t Connections() const { return connections_.size(); }
  // Connections on which a request may be under way; after Drain, these are
  // the ones on which a request has begun to come or is handled.
  size_t ServingConnections() const;
  bool Draining() const { return draining_; }
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& Limits() const { return limits_; }
  size_t OpenCalls() const { return open_calls_; }

  // Told of requests that are malformed or exceed a limit; `id` is empty unless
  // the fault is in the body of a request that has named itself.
  using MalformedTold = std::function<
      void(int status, std::string_view what, std::string_view id)>;
  void OnMalformed(MalformedTold told) { on_malformed_ = std::move(told); }

  // Told of each request that was read whole, or whose answer had begun, and
  // that ends without a whole answer.
  void OnCut(std::function<void(const CutCall& call)> told) {
    on_cut_ = std::move(told);
  }

  // Asked for the answer in the place of one that was broken off before any of
  // it was sent; 502 without a body if unset.
  void OnBrokenOff(std::function<BrokenOffAnswer(const CutCall& call)> asked) {
    on_broken_off_ = std::move(asked);
  }

  // Told of each request that is begun while one before it on its connection
  // is not answered yet.
  void OnPipelined(std::function<void()> told) {
    on_pipelined_ = std::move(told);
  }

  // Told of the id of each such request that is cancelled, since an answer
  // before it closes the connection. It counts as not read, not as cut.
  void OnPipelineCancelled(std::function<void(std::string_view id)> told) {
    on_pipeline_cancelled_ = std::move(told);
  }

 private:
  class Connection;
  friend class Connection;

  Task<void> Accept();

  EventLoop& loop_;
  Handler& handler_;
  Tcp::acceptor acceptor_;
  ServerLimits limits_;
  bool draining_ = false;
  size_t open_calls_ = 0;
  // Those of `open_calls_` that were begun behind another.
  size_t pipelined_calls_ = 0;
  // Of streamed answers that are held, since requests run behind them.
  size_t held_bytes_ = 0;
  std::set<Connection*> connections_;
  MalformedTold on_malformed_;
  std::function<void(const CutCall&)> on_cut_;
  std::function<BrokenOffAnswer(const CutCall&)> on_broken_off_;
  std::function<void()> on_pipelined_;
  std::function<void(std::string_view)> on_pipeline_cancelled_;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_SERVER_H_
