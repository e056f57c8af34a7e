// The destination side: admits requests of other daemons to this host's
// upstreams, and runs them.
#ifndef SRC_DAEMON_DESTINATION_H_
#define SRC_DAEMON_DESTINATION_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/time.h"
#include "blackboard/blackboard.h"
#include "daemon/exchange.h"
#include "daemon/exchange_watchdog.h"
#include "daemon/http_answer.h"
#include "daemon/request_body.h"
#include "daemon/worker_pool.h"
#include "mesh.pb.h"
#include "request/admission.h"

namespace httplib {
struct Request;
struct Response;
class ContentReader;
}  // namespace httplib

namespace buckthorngate::daemon {

// Told when an upstream died under its requests.
using CrashHandler = std::function<void(const std::string& address,
                                        const rpc::CrashReport& report)>;

// Safe for concurrent use.
class Destination {
 public:
  Destination(std::string host,
              const base::Clock& clock,
              WorkerPool& workers,
              ExchangeWatchdog& watchdog,
              blackboard::Blackboard& board,
              CrashHandler on_crash);

  // Upstreams of this host, as they announce themselves.
  void SetUpstream(const std::string& endpoint_id,
                   const std::string& address,
                   const std::string& service,
                   uint32_t slots);
  void DrainUpstream(const std::string& endpoint_id);
  void RemoveUpstream(const std::string& endpoint_id);
  void DrainAll();

  // Serves a request of another daemon; `reader` is null without a body.
  void Handle(const httplib::Request& request,
              const httplib::ContentReader* reader,
              httplib::Response& response);

  int64_t InFlight() const { return in_flight_; }

 private:
  struct Upstream;
  class Slot;

  std::shared_ptr<Upstream> Find(const std::string& endpoint_id);
  // Waits for a slot. kOk, kEndpointDraining, kEndpointOverloaded or
  // kCallerGone; all but kOk mean that the request did not run.
  ResultCode Admit(Upstream& upstream,
                   uint64_t ticket,
                   const httplib::Request& request,
                   base::MonoTime deadline);
  // Runs the exchange with the upstream until its head or an end; `code` says
  // why it ended early.
  std::shared_ptr<Exchange> RunExchange(
      const std::shared_ptr<Upstream>& upstream,
      const httplib::Request& request,
      RequestBody& body,
      base::MonoTime deadline,
      ResultCode& code);
  ResultCode AwaitHead(Exchange& exchange,
                       const httplib::Request& request,
                       base::MonoTime deadline);
  void RunAdmitted(const std::shared_ptr<Upstream>& upstream,
                   const std::shared_ptr<Slot>& slot,
                   const httplib::Request& request,
                   RequestBody& body,
                   base::MonoTime deadline,
                   httplib::Response& response);
  // After a broken exchange: reports a crash if the upstream has died, and
  // returns whether it has. `fingerprint` is that of the request that may have
  // killed it, or empty.
  bool NoteBroken(const std::shared_ptr<Upstream>& upstream,
                  const std::string& fingerprint);
  ExchangeRequest MakeUpstreamRequest(const httplib::Request& request,
                                      RequestBody& body,
                                      base::Duration left);

  const std::string host_;
  const base::Clock& clock_;
  WorkerPool& workers_;
  ExchangeWatchdog& watchdog_;
  blackboard::Blackboard& board_;
  const CrashHandler on_crash_;
  ConnectionPool connections_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Upstream>> upstreams_;
  std::atomic<uint64_t> next_ticket_{1};
  std::atomic<uint64_t> next_crash_{1};
  std::atomic<int64_t> in_flight_{0};
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_DESTINATION_H_
