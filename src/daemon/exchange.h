// One HTTP exchange as a client: a request to a daemon or an upstream.
//
// The exchange runs on a worker thread, so that the handler's thread can wait
// with a deadline, watch its caller, stream the body on and cancel.
#ifndef SRC_DAEMON_EXCHANGE_H_
#define SRC_DAEMON_EXCHANGE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "daemon/body_pipe.h"
#include "daemon/worker_pool.h"

namespace httplib {
class ClientImpl;
}

namespace buckthorngate::daemon {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Reads a streamed request body: calls the receiver with each piece, until the
// end (true) or a failure (false).
using BodyReader =
    std::function<bool(const std::function<bool(const char*, size_t)>&)>;

struct ExchangeRequest {
  std::string method_;
  std::string target_;
  HeaderList headers_;
  std::string body_;
  // Instead of body_, if set; runs on the worker thread.
  BodyReader reader_;
  // Length of a streamed body; unknown if chunked_.
  uint64_t reader_length_ = 0;
  bool chunked_ = false;
};

struct ExchangeHead {
  int status_ = 0;
  HeaderList headers_;

  // First value of the header, or empty. Names compare without case.
  std::string Header(const std::string& name) const;
  // Nothing if there is no valid Content-Length.
  std::optional<uint64_t> ContentLength() const;
};

// Connections that are idle between exchanges. Safe for concurrent use.
class ConnectionPool {
 public:
  // Connections that were idle for longer are not used again: the other side
  // may be about to close them.
  explicit ConnectionPool(base::Duration most_idle);
  ~ConnectionPool();

  std::unique_ptr<httplib::ClientImpl> Take(const std::string& address);
  void Return(const std::string& address,
              std::unique_ptr<httplib::ClientImpl> client);

 private:
  struct Idle;

  const base::Duration most_idle_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Idle>> idle_;
};

// Wakes a handler that waits for any of several exchanges.
class ExchangeSignal {
 public:
  void Notify();
  // Returns after a Notify since the last Wait, or the timeout.
  void Wait(base::Duration timeout);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool set_ = false;
};

// Largest body of an answer that the handler's own thread may read.
inline constexpr size_t kInlineBytes = 64 * 1024;

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  enum class Stage : uint8_t { kWaiting, kHead, kFailed };

  // An exchange that has not begun yet.
  static std::shared_ptr<Exchange> Prepare(
      ConnectionPool& connections,
      const std::string& address,
      ExchangeRequest request,
      base::Duration timeout,
      std::shared_ptr<ExchangeSignal> signal);
  // Runs it on a worker. A pool without a free thread gives kFailed with
  // kOverloaded.
  void Start(WorkerPool& workers);
  // Runs it on this thread, for answers of up to kInlineBytes. A larger one
  // ends the exchange, which is then of no use: see TooLarge.
  void RunHere();
  bool TooLarge();
  ~Exchange();

  Stage CurrentStage();
  // After kHead.
  const ExchangeHead& Head() const { return head_; }
  BodyPipe& Body() { return body_; }
  // After kFailed.
  ResultCode Code();
  // Whether the request certainly did not reach the other side.
  bool NotSent();

  ExchangeSignal& Signal() { return *signal_; }

  // Waits until the worker no longer uses the request's reader.
  void WaitFinished();

  // Ends the exchange; its connection is closed and never used again.
  void Abort();

 private:
  Exchange(ConnectionPool& connections,
           std::string address,
           ExchangeRequest request,
           base::Duration timeout,
           std::shared_ptr<ExchangeSignal> signal);

  void Run();
  void MarkFinished();
  // Whether so many more bytes may be received.
  bool Admit(uint64_t bytes);
  void SetHead(ExchangeHead head);
  void Fail(ResultCode code, bool not_sent);

  ConnectionPool& connections_;
  const std::string address_;
  ExchangeRequest request_;
  const base::Duration timeout_;
  const std::shared_ptr<ExchangeSignal> signal_;
  std::mutex mutex_;
  Stage stage_ = Stage::kWaiting;
  ExchangeHead head_;
  ResultCode code_ = ResultCode::kOk;
  bool not_sent_ = false;
  bool aborted_ = false;
  bool finished_ = false;
  bool inline_ = false;
  bool too_large_ = false;
  size_t received_ = 0;
  std::condition_variable finished_changed_;
  // Set while the worker uses it, for Abort.
  httplib::ClientImpl* client_ = nullptr;
  BodyPipe body_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_EXCHANGE_H_
