// The entry side: takes requests of callers, routes them, and sends them to
// the daemon of the picked endpoint, again if that is allowed.
#ifndef SRC_DAEMON_ENTRY_H_
#define SRC_DAEMON_ENTRY_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "blackboard/blackboard.h"
#include "daemon/claim_client.h"
#include "daemon/exchange.h"
#include "daemon/exchange_watchdog.h"
#include "daemon/worker_pool.h"

namespace httplib {
struct Request;
struct Response;
class ContentReader;
}  // namespace httplib

namespace buckthorngate::daemon {

// Told when this daemon's own evidence stops a move's target.
using BrakeHandler = std::function<void(const rpc::BrakeNotice& notice)>;

// Safe for concurrent use.
class Entry {
 public:
  Entry(std::string host,
        uint64_t incarnation,
        const base::Clock& clock,
        WorkerPool& workers,
        ExchangeWatchdog& watchdog,
        blackboard::Blackboard& board,
        ClaimClient& claims,
        BrakeHandler on_brake);

  // Serves a caller's request; `reader` is null without a body.
  void Handle(const httplib::Request& request,
              const httplib::ContentReader* reader,
              httplib::Response& response);

 private:
  // One request on its way; entry.cc.
  class Call;
  friend class Call;

  const std::string host_;
  const uint64_t incarnation_;
  const base::Clock& clock_;
  WorkerPool& workers_;
  ExchangeWatchdog& watchdog_;
  blackboard::Blackboard& board_;
  ClaimClient& claims_;
  const BrakeHandler on_brake_;
  ConnectionPool connections_;
  std::atomic<uint64_t> next_request_{1};
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_ENTRY_H_
