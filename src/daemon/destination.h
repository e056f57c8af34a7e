// The destination side: admits requests of daemons to this host's upstreams,
// and runs them.
//
// Only this daemon talks to its upstreams, so its count of their slots is
// exact and its "not run" is true.
#ifndef SRC_DAEMON_DESTINATION_H_
#define SRC_DAEMON_DESTINATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "blackboard/blackboard.h"
#include "daemon/hop.h"
#include "http/event_loop.h"
#include "mesh.pb.h"
#include "request/admission.h"
#include "request/dialect.h"

namespace buckthorngate::daemon {

// Told when an upstream died under its requests.
using CrashHandler = std::function<void(const std::string& address,
                                        const rpc::CrashReport& report)>;

// An upstream of this host, as it announced itself.
struct UpstreamInfo {
  std::string endpoint_id_;
  std::string address_;
  std::string service_;
  std::string instance_;
  uint32_t slots_ = 0;
  // Whether the upstream told its slots; else they are a guess.
  bool slots_told_ = true;
  // Until then it warms up, if it told.
  std::optional<base::MonoTime> warm_at_;
};

// Used on the loop's thread only.
class Destination : public Hop, public http::Handler {
 public:
  // All references must outlive it.
  Destination(std::string host,
              const request::Dialect& dialect,
              const base::Clock& clock,
              http::EventLoop& loop,
              blackboard::Blackboard& board,
              CrashHandler on_crash);
  ~Destination() override;

  void SetUpstream(const UpstreamInfo& info);
  void DrainUpstream(const std::string& endpoint_id);
  void RemoveUpstream(const std::string& endpoint_id);
  void DrainAll();

  // Runs a request of this daemon's own entry.
  http::Task<HopAnswer> Run(HopRequest& request) override;
  // Serves a request of another daemon.
  http::Task<void> Handle(http::ServerCall& call) override;

  int64_t InFlight() const { return in_flight_; }

 private:
  struct Upstream;
  struct Waiter;
  class Slot;
  class SlottedBody;

  // Waits for a slot. kOk, kEndpointDraining, kEndpointOverloaded or
  // kCallerGone; all but kOk mean that the request did not run.
  http::Task<ResultCode> Admit(std::shared_ptr<Upstream> upstream,
                               uint64_t ticket,
                               HopRequest& request);
  http::Task<HopAnswer> RunAdmitted(std::shared_ptr<Upstream> upstream,
                                    std::shared_ptr<Slot> slot,
                                    HopRequest& request);
  // One line for what became of a request at its endpoint, with what decided.
  void LogAdmission(const Upstream& upstream,
                    const HopRequest& request,
                    size_t running,
                    base::MonoTime came,
                    base::MonoTime began,
                    ResultCode code) const;
  http::RequestHead UpstreamHead(const Upstream& upstream,
                                 const HopRequest& request) const;
  // kOk, or why the upstream's answer says that the request did not run.
  ResultCode NotExecuted(const http::AnswerHead& head) const;
  // After a broken exchange: reports a crash if the upstream has died, and
  // returns whether it has. `fingerprint` is that of the request that may have
  // killed it, or empty.
  http::Task<bool> NoteBroken(std::shared_ptr<Upstream> upstream,
                              std::string fingerprint);

  const std::string host_;
  const request::Dialect& dialect_;
  const base::Clock& clock_;
  http::EventLoop& loop_;
  blackboard::Blackboard& board_;
  const CrashHandler on_crash_;
  http::ConnectionPool connections_;
  std::map<std::string, std::shared_ptr<Upstream>> upstreams_;
  uint64_t next_ticket_ = 1;
  uint64_t next_crash_ = 1;
  int64_t in_flight_ = 0;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_DESTINATION_H_
