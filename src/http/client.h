// HTTP client on the event loop: kept connections and one exchange on each.
//
// A connection with an unfinished, failed or odd exchange is closed and never
// used again. Bytes behind a complete answer belong to no request: the
// connection that brought them is closed.
#ifndef SRC_HTTP_CLIENT_H_
#define SRC_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/body.h"
#include "http/cancel.h"
#include "http/event_loop.h"
#include "http/head.h"

namespace buckthorngate::http {

class ClientConnection;
using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

// Fields of an upstream's answer.
inline constexpr size_t kMostUpstreamFields = 1000;

struct ClientOptions {
  // Connections that were idle for longer are not used again: the other side
  // may be about to close them.
  base::Duration most_idle_ = std::chrono::seconds(3);
  base::Duration connect_timeout_ = std::chrono::milliseconds(300);
  size_t most_idle_connections_ = 64;  // For each address.
  // A connection ends once the other side has taken nothing of a request for
  // this long. As long as servers wait for callers.
  base::Duration most_untaken_ = std::chrono::seconds(12);
  // A long answer's body may outlast its request's deadline by this much, while
  // it comes fast enough.
  base::Duration most_overtime_ = std::chrono::minutes(2);
  // An answer's head and trailer together may have this many fields. Between
  // daemons there are a few more than upstreams may send.
  size_t most_fields_ = kMostUpstreamFields + 24;
};

// Idle connections by address. Used on the loop's thread only.
class ConnectionPool {
 public:
  ConnectionPool(EventLoop& loop, ClientOptions options);
  ~ConnectionPool();

  // An idle connection, or a new one; none on which a request with this id was
  // refused before. Errors: kConnectFailed, kOverloaded if
  // this process has no means for a connection, which says nothing of the
  // address, kCallerGone if cancelled. The request has not been sent to anybody
  // then.
  Task<tl::expected<ClientConnectionPtr, ResultCode>> Take(
      const std::string& address,
      base::MonoTime deadline,
      CancelSignal& cancel,
      std::string_view id = {});
  // `idle` is how long the other side keeps the connection, if it said so.
  void Return(ClientConnectionPtr connection, base::Duration idle);
  // Closes the idle connections to an address.
  void Forget(const std::string& address);
  const ClientOptions& Options() const { return options_; }

 private:
  ClientConnectionPtr TakeIdle(const std::string& address, std::string_view id);
  void DropOld(std::vector<ClientConnectionPtr>& idle) const;
  // Looks after the idle connections from time to time while there are any.
  void ArmSweep();
  void Sweep();

  EventLoop& loop_;
  const ClientOptions options_;
  std::map<std::string, std::vector<ClientConnectionPtr>> idle_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
};

// What a probe has found.
enum class Probed {
  kReached,
  kNotReached,
  // This process had no means for a connection; nothing is known.
  kNotMade,
};

// Whether a TCP connection to the address can be established in time.
Task<Probed> AcceptsConnections(EventLoop& loop,
                                const std::string& address,
                                base::Duration timeout);

// Whether a server that has broken a connection off is still there. One that is
// about to end may take a connection yet, and closes it when it does: so the
// connection must last for `lasts`, or else a second one be established.
Task<Probed> StillListens(EventLoop& loop,
                          const std::string& address,
                          base::Duration timeout,
                          base::Duration lasts);

// How an exchange failed, and whether the request may have been received.
struct ExchangeFailure {
  ResultCode code_ = ResultCode::kUpstreamFailed;
  bool not_sent_ = false;
  // What the library said, for the log.
  std::string detail_;
};

// One request and its answer on one connection.
class Exchange : public BodyReader {
 public:
  // All references must outlive the exchange.
  Exchange(ConnectionPool& pool,
           ClientConnectionPtr connection,
           CancelSignal& cancel);
  // Closes the connection unless the exchange has ended whole.
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Sends the request with a whole body, then reads the answer's head. Answers
  // that `belongs` rejects are answers to earlier requests and are skipped.
  // Errors: kConnectFailed (not sent), kUpstreamFailed, kAnswerMalformed,
  // kAnswerCrossed, kDeadlineExceeded, kCallerGone.
  Task<tl::expected<AnswerHead, ExchangeFailure>> Run(
      const RequestHead& request,
      std::string_view body,
      base::MonoTime deadline,
      std::function<bool(const AnswerHead&)> belongs);
  // As Run, with `first` as the beginning of a body whose rest is read from
  // `rest` while it is sent.
  Task<tl::expected<AnswerHead, ExchangeFailure>> RunStreamed(
      EventLoop& loop,
      const RequestHead& request,
      std::string_view first,
      BodyReader& rest,
      base::MonoTime deadline,
      std::function<bool(const AnswerHead&)> belongs);

  // The answer is a refusal of the request with this id. The other side may
  // write it once more, so no other request with the id uses this connection.
  void NoteRefused(const std::string& id);

  // The answer's body, after its head. Hands the connection back at the end.
  Task<BodyState> Read(std::string& piece, size_t most) override;
  std::optional<uint64_t> Length() const override;
  std::string_view Failure() const override { return failure_text_; }
  // The answer is long: from now on it may outlast the deadline, as long as it
  // makes progress, up to the pool's most_overtime_.
  void StreamAnswer();
  // Why Read returned kFailed.
  const ExchangeFailure& FailureInfo() const { return failure_; }
  // Called for each piece of the answer's body that comes.
  void OnPiece(std::function<void()> came) { on_piece_ = std::move(came); }

  // Waits until a streamed request's body is no longer read; false if that
  // takes longer than `most`. At once true for whole bodies.
  Task<bool> AwaitSender(base::Duration most);

 private:
  struct Sender;

  Task<tl::expected<AnswerHead, ExchangeFailure>> ReadHead(
      const std::function<bool(const AnswerHead&)>& belongs);
  // Reads until the status line is known to be valid or not (bad_status). The
  // parser looks at whole heads only, which may never end, and takes any three
  // digits for a status.
  Task<ErrorCode> ReadAnswerStart();
  Task<bool> SkipBody();
  Task<BodyState> ReadPiece(std::string& piece, size_t most);
  // When the next piece of the body must have come.
  base::MonoTime PieceDeadline(base::MonoTime now) const;
  void NotePace(size_t bytes, base::Duration waited);
  // Closes the connection for this reason.
  BodyState Cut(const std::string& detail, bool malformed);
  // The same, once PieceDeadline has passed.
  BodyState CutLate();
  // Takes what has been read ahead, as far as the body's buffer has room.
  ErrorCode ParseReadAhead();
  ExchangeFailure FailureOf(const std::string& detail,
                            bool malformed,
                            bool not_sent) const;
  void Finish();

  ConnectionPool& pool_;
  ClientConnectionPtr connection_;
  CancelSignal& cancel_;
  std::unique_ptr<CancelScope> interrupt_;
  std::shared_ptr<Sender> sender_;
  std::string method_;
  base::MonoTime deadline_;
  bool streaming_ = false;
  // While streaming: what is left of the time for the piece under way, and
  // what has come of it.
  base::Duration patience_{0};
  size_t piece_came_ = 0;
  size_t skipped_bytes_ = 0;
  // Why the answer's body was cut, as data and for the log.
  ExchangeFailure failure_;
  std::string failure_text_;
  std::function<void()> on_piece_ = [] {};
  bool finished_ = false;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_CLIENT_H_
