// The destination side of the request path: admits requests from daemons to
// this host's upstreams and runs them.
//
// All requests to an upstream go through the daemon on its host. That daemon's
// count of used slots is therefore exact, and when it says that a request did
// not run, the request did not run.
#ifndef SRC_DAEMON_SERVING_DESTINATION_H_
#define SRC_DAEMON_SERVING_DESTINATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "blackboard/blackboard.h"
#include "daemon/serving/hop.h"
#include "http/event_loop.h"
#include "mesh.pb.h"
#include "request/admission.h"
#include "request/answered_requests.h"
#include "request/cold_limiter.h"
#include "request/dialect.h"
#include "request/link_schedule.h"
#include "request/transit_delay.h"

namespace buckthorngate::daemon::serving {

// Called when an upstream was found to have crashed while requests were sent to
// it.
using CrashHandler = std::function<void(const std::string& address,
                                        const rpc::CrashReport& report)>;

// Called when an upstream has answered requests that the quarantine lists.
using AnsweredHandler = std::function<void(const rpc::AnsweredReport& report)>;

struct UpstreamInfo;
// Called when an upstream says that it is another one than `announced`.
using ReplacedHandler = std::function<void(const UpstreamInfo& announced)>;

// An upstream of this host, as announced by itself.
struct UpstreamInfo {
  std::string endpoint_id_;
  std::string address_;
  std::string service_;
  std::string instance_;
  int64_t started_ms_ = 0;  // Start of the instance; 0 if not reported.
  uint32_t slots_ = 0;
  // Whether the upstream announced its number of slots; else it is a guess, and
  // the concurrency limit adapts to the observed service times.
  bool slots_announced_ = true;
  // End of the upstream's warm-up, if announced.
  std::optional<base::MonoTime> warm_up_end_;
};

// Used on the loop's thread only.
class Destination : public Hop, public http::Handler {
 public:
  // All references must outlive the destination.
  Destination(std::string host,
              const request::Dialect& dialect,
              const base::Clock& clock,
              http::EventLoop& loop,
              blackboard::Blackboard& board,
              CrashHandler on_crash);
  ~Destination() override;

  // Sets the handler for answered requests; to be called before the loop
  // starts.
  void OnAnswered(AnsweredHandler handler) {
    on_answered_ = std::move(handler);
  }
  // Sets the handler for upstreams that respond at the address of another one;
  // to be called before the loop starts.
  void OnReplaced(ReplacedHandler handler) {
    on_replaced_ = std::move(handler);
  }
  // Selects the overload policy of upstreams that are added later.
  void SetOverloadPolicy(request::OverloadPolicyKind policy) {
    overload_policy_ = policy;
  }
  // Large bodies for this host are admitted one after the other: its incoming
  // link carries this many bytes a second. To be called before the loop starts.
  void SetSlowLink(double bytes_per_second) {
    link_ = std::make_unique<request::LinkSchedule>(bytes_per_second);
  }
  // Reports the listed requests that were answered here lately. To be called
  // when the quarantine has changed.
  void ReportListedAnswered();

  // Adds an upstream. It replaces one with the same endpoint id, unless it is
  // the same start of the same upstream.
  void SetUpstream(const UpstreamInfo& info);
  void DrainUpstream(const std::string& endpoint_id);
  void RemoveUpstream(const std::string& endpoint_id);
  void DrainAll();
  // Refuses new and queued requests while the zone of this host is evacuated;
  // those that run go on.
  // After the end, the upstreams count as cold.
  void SetEvacuated(bool evacuated);
  // Sets the limits of cold upstreams, by service.
  void SetColdLimits(std::map<std::string, request::ColdLimits> limits);
  // Until SetConfigured is called, all requests are refused as not run. For a
  // daemon that must not serve before it knows the limits of its upstreams; to
  // be called before the loop starts.
  void AwaitConfiguration() { configured_ = false; }
  void SetConfigured() { configured_ = true; }
  // An upstream has reported until when it is cold; nothing: its report does
  // not say.
  void NoteColdReport(const std::string& endpoint_id,
                      std::optional<base::MonoTime> cold_until);

  // Runs a request from this daemon's own entry side.
  http::Task<HopAnswer> Run(HopRequest& request) override;
  // Serves a request from another daemon.
  http::Task<void> Handle(http::ServerCall& call) override;

  int64_t InFlight() const { return in_flight_; }

 private:
  struct Upstream;
  struct Waiter;
  class Slot;
  class SlotHoldingBody;
  class ColdTurn;
  class ArrivingBody;

  // Waits for a slot of the upstream. Returns kOk, or kEndpointDraining,
  // kZoneEvacuated, kEndpointOverloaded or kCallerGone, which mean that the
  // request did not run.
  http::Task<ResultCode> Admit(std::shared_ptr<Upstream> upstream,
                               uint64_t ticket,
                               HopRequest& request);
  // destination_admission.cc: the request as its upstream's queue sees it.
  static request::AdmissionRequest ToAdmission(uint64_t ticket,
                                               const HopRequest& request);
  // The answer to a request that was not admitted, with the load of the
  // upstream and a forecast of when there is room.
  HopAnswer NotAdmitted(Upstream& upstream,
                        uint64_t ticket,
                        const HopRequest& request,
                        ResultCode code) const;
  // destination_link.cc: bodies on this host's incoming link.
  // Answers whether a body may be sent: kOk with a grant, or why not.
  http::Task<HopAnswer> GrantBody(HopRequest& request);
  // Waits until the link has room for the body. Returns kOk,
  // kEndpointOverloaded or kCallerGone.
  http::Task<ResultCode> AwaitLink(uint64_t ticket, HopRequest& request);
  void LogGrant(const HopRequest& request,
                base::MonoTime asked,
                bool no_slot,
                ResultCode code) const;
  // Wakes the senders whose bodies were granted or refused.
  void NotifyLinkWaiters();
  // The body of a request, counted on the link; null if it has none or the link
  // is not slow.
  std::unique_ptr<ArrivingBody> BeginBody(http::ServerCall& call,
                                          const HopRequest& request);
  std::optional<double> LinkUse() const;
  // destination_cold.cc
  // Waits until the upstream may get the request, if it is cold. Returns kOk,
  // or kEndpointCold, kEndpointDraining, kZoneEvacuated or kCallerGone, which
  // mean that the request did not run. With kOk, ColdTurn ends the reservation.
  http::Task<ResultCode> AwaitColdTurn(std::shared_ptr<Upstream> upstream,
                                       uint64_t ticket,
                                       HopRequest& request);
  // Gives a new upstream the limiter of its endpoint.
  void BeginCold(Upstream& upstream);
  void ConfigureCold(Upstream& upstream);
  // Logs and counts a change between cold and warm.
  void NoteTemperature(Upstream& upstream);
  http::Task<HopAnswer> RunAdmitted(std::shared_ptr<Upstream> upstream,
                                    std::shared_ptr<Slot> slot,
                                    HopRequest& request);
  // Logs the outcome of a request at its endpoint together with the inputs of
  // the admission decision.
  void LogAdmission(const Upstream& upstream,
                    const HopRequest& request,
                    size_t running,
                    base::MonoTime arrived,
                    base::MonoTime began,
                    ResultCode code) const;
  // Whether the mesh has client accounts, or has had some.
  bool UsesAccounts() const;
  // Head of the request as sent to the upstream.
  http::RequestHead UpstreamHead(const Upstream& upstream,
                                 const HopRequest& request) const;
  // kOk, or the failure code if the upstream's answer states that it did not
  // execute the request.
  ResultCode NotExecutedCode(const http::AnswerHead& head) const;
  // The upstream has said that it is another one than was announced.
  void RecordReplaced(Upstream& upstream);
  // An upstream has answered the request completely.
  void RecordAnswered(const std::string& fingerprint);
  // After a failed exchange: probes the upstream, reports a crash if it no
  // longer listens, and returns whether it crashed. `fingerprint` identifies
  // the request suspected of causing the crash; empty if there is none. One
  // that was answered lately is not suspected.
  http::Task<bool> ReportIfCrashed(std::shared_ptr<Upstream> upstream,
                                   std::string fingerprint);

  // Subtracts from a request's times how long it was delayed on its way here,
  // if its headers tell when it was sent.
  void SubtractTransitDelay(const http::Headers& headers, HopRequest& request);

  const std::string host_;
  const request::Dialect& dialect_;
  const base::Clock& clock_;
  http::EventLoop& loop_;
  blackboard::Blackboard& board_;
  const CrashHandler on_crash_;
  AnsweredHandler on_answered_ = [](const rpc::AnsweredReport&) {};
  ReplacedHandler on_replaced_ = [](const UpstreamInfo&) {};
  request::AnsweredRequests answered_;
  request::OverloadPolicyKind overload_policy_ =
      request::OverloadPolicyKind::kPrecedence;
  http::ConnectionPool connections_;
  std::map<std::string, std::shared_ptr<Upstream>> upstreams_;
  uint64_t next_ticket_ = 1;
  uint64_t next_crash_ = 1;
  int64_t in_flight_ = 0;
  bool evacuated_ = false;
  bool configured_ = true;
  const base::MonoTime started_ = clock_.Read().mono_;
  std::map<std::string, request::ColdLimits> cold_limits_;  // By service.
  // By endpoint id. Kept when an upstream leaves, since it may come back within
  // the same second.
  std::map<std::string, std::shared_ptr<request::ColdLimiter>> cold_limiters_;
  request::TransitDelay transit_delay_;
  std::unique_ptr<request::LinkSchedule> link_;  // Null: not limited.
  std::map<uint64_t, Waiter*> link_waiters_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_DESTINATION_H_
