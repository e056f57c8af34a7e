// HTTP server for requests whose handlers block: one event loop owns the
// connections, a small thread pool runs the handlers.
//
// A request is dispatched to a thread only after it was read completely, and
// the event loop sends the answer. A slow client can therefore occupy a
// connection for a bounded time, but never a thread.
#ifndef SRC_DAEMON_CONTROL_BLOCKING_SERVER_H_
#define SRC_DAEMON_CONTROL_BLOCKING_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/head.h"
#include "http/server.h"

namespace buckthorngate::daemon::control {

// A request that was read completely.
struct BufferedRequest {
  http::RequestHead head_;
  std::string body_;
};

// An answer that is held in memory until it is sent.
struct BufferedResponse {
  http::AnswerHead head_;
  std::string body_;
};

class BlockingHandler {
 public:
  virtual ~BlockingHandler() = default;
  // Runs on a pool thread and may block. Must be safe for concurrent use.
  virtual BufferedResponse Handle(const BufferedRequest& call) = 0;
};

struct BlockingLimits {
  // Name of the server in the log.
  std::string name_;
  size_t threads_ = 1;
  http::ServerLimits server_;
  // Time from the end of a request's head to the end of its body; a request
  // that takes longer is answered with 408.
  base::Duration body_timeout_ = std::chrono::seconds(30);
  // Limit on the total size of all buffered request and answer bodies, not
  // counting the first 64 KiB of each. A request whose body exceeds it is
  // answered with 503 and not handled. If only the answer exceeds it, the
  // request is answered with 503 after it was handled, so only requests
  // without side effects should have long answers.
  size_t max_buffered_bytes_ = size_t{64} * 1024 * 1024;
};

class BlockingServer {
 public:
  // `handler` must outlive the server.
  BlockingServer(BlockingHandler& handler, const BlockingLimits& limits);
  ~BlockingServer();

  // Binds `address` and starts serving; kBadSettings if the bind fails.
  ResultCode Start(const std::string& address);
  // Refuses new requests and returns once the requests that were already
  // dispatched to threads are handled.
  void Stop();
  // Bytes that currently count against `max_buffered_bytes_`. To be called only
  // while the server runs.
  size_t BufferedBytes();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_BLOCKING_SERVER_H_
