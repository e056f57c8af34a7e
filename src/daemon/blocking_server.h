// HTTP server for calls whose handlers wait: one loop holds the connections,
// a few threads run the handlers.
//
// A thread takes a call once it was read whole, and its answer is sent by the
// loop. A caller that is slow to send or to read holds a connection for a
// bounded time, but never a thread.
#ifndef SRC_DAEMON_BLOCKING_SERVER_H_
#define SRC_DAEMON_BLOCKING_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/head.h"
#include "http/server.h"

namespace buckthorngate::daemon {

struct BufferedRequest {
  http::RequestHead head_;
  std::string body_;
};

struct BufferedResponse {
  http::AnswerHead head_;
  std::string body_;
};

class BlockingHandler {
 public:
  virtual ~BlockingHandler() = default;
  // Safe for concurrent use.
  virtual BufferedResponse Handle(const BufferedRequest& call) = 0;
};

struct BlockingLimits {
  // Names the server in the log.
  std::string name_;
  size_t threads_ = 1;
  http::ServerLimits server_;
  // From a call's head to the end of its body; 408 beyond.
  base::Duration body_timeout_ = std::chrono::seconds(30);
  // Of all bodies of calls and answers together, without the first 64 KiB of
  // each. What does not fit is answered with 503: a call that was not handled,
  // or one whose answer is so long, and which should thus change nothing.
  size_t max_buffered_bytes_ = size_t{64} * 1024 * 1024;
};

class BlockingServer {
 public:
  // `handler` must outlive the server.
  BlockingServer(BlockingHandler& handler, const BlockingLimits& limits);
  ~BlockingServer();

  // kBadSettings if the address cannot be had.
  ResultCode Start(const std::string& address);
  // Ends after the calls that threads have taken.
  void Stop();
  // What counts against the limit now. While the server runs.
  size_t HeldBytes();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_BLOCKING_SERVER_H_
