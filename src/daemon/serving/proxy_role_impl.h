// Implementation class of the proxy role; private to its source files.
#ifndef SRC_DAEMON_SERVING_PROXY_ROLE_IMPL_H_
#define SRC_DAEMON_SERVING_PROXY_ROLE_IMPL_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "blackboard/blackboard.h"
#include "config/evacuation.h"
#include "daemon/control/admin_server.h"
#include "daemon/control/node_loop.h"
#include "daemon/serving/claim_client.h"
#include "daemon/serving/destination.h"
#include "daemon/serving/entry.h"
#include "daemon/serving/peer_client.h"
#include "daemon/serving/proxy_role.h"
#include "daemon/serving/quota_gate.h"
#include "distribution/proxy_node.h"
#include "http/server.h"
#include "storage/journal.h"

namespace buckthorngate::daemon::serving {

class ProxyRole::Impl {
 public:
  Impl(const startup::Settings& settings,
       const request::Dialect& dialect,
       uint64_t incarnation,
       const base::Clock& clock,
       rpc::MeshTransport& transport,
       std::unique_ptr<storage::Journal> journal,
       std::unique_ptr<distribution::ProxyNode> node);
  ~Impl() { Stop(); }

  ResultCode Start();
  void Drain();
  void Stop();
  rpc::QueryReply Query(const rpc::QueryRequest& request);
  ResultCode Announce(const registry::Announcement& announcement);
  ResultCode DrainUpstream(const std::string& address);
  ResultCode RemoveUpstream(const std::string& address);
  ResultCode RemoveInstance(const std::string& instance, int64_t started_ms);
  bool Ready();

 private:
  // Runs on the node loop: delivers claim outcomes, sends evidence and
  // publishes a changed view.
  void AfterFlush(const base::Now& now);
  // Publishes the node's state as the view that requests read.
  void PublishView(const base::Now& now);
  // proxy_evacuation.cc: applies the evacuations of the node's configuration.
  void ApplyEvacuations();
  // proxy_cold.cc: passes changed limits of cold upstreams to the destination.
  void ApplyColdLimits();
  // proxy_upstreams.cc: reports of this host's upstreams.
  ResultCode ApplyAnnouncement(const registry::Announcement& announcement);
  // Called on the event loop.
  void OnCrash(const std::string& address, const rpc::CrashReport& report);
  void OnReplaced(const UpstreamInfo& announced);
  // Counts and logs a report that changes nothing, and returns why. `holder` is
  // the start of the upstream that it was compared with.
  ResultCode IgnoreReport(std::string_view call,
                          const registry::Announcement& report,
                          const registry::Holder& holder,
                          registry::AnnouncementCheck check);
  // Lets an upstream leave. `leave` runs on the node loop and returns the id of
  // the endpoint that has left, or an empty string.
  void Remove(const std::function<std::string(registry::LocalEndpoints&,
                                              const base::Now&)>& leave);
  // Runs on the node loop: drains upstreams that were announced before their
  // departure became known.
  void DrainDepartedUpstreams();
  // Polls on the node loop until the condition holds or `until` has come;
  // returns whether it holds.
  bool AwaitOnNode(const std::function<bool(const base::Now&)>& condition,
                   std::chrono::steady_clock::time_point until);
  // Waits until relays have stored the instance's departure, whose report came
  // at `arrived`, and logs whether they have. Otherwise it must not be
  // acknowledged: kTimedOut.
  ResultCode AwaitDepartureStored(
      const std::string& instance,
      std::chrono::steady_clock::time_point arrived);
  void CloseConnections();
  // Polls on the event loop until `busy` returns 0 or the deadline is reached.
  void AwaitIdle(const std::function<int64_t()>& busy,
                 std::chrono::steady_clock::time_point deadline);
  // proxy_stop_log.cc: logging of work that is in flight during a shutdown.
  struct OpenWork {
    int64_t slots_ = 0;  // In use, of this host's upstreams.
    size_t caller_calls_ = 0;
    size_t peer_calls_ = 0;  // From other daemons.
  };
  OpenWork CountOpenWork();
  void LogStopStep(std::string_view step,
                   std::chrono::steady_clock::time_point started);
  // Logs each request that the exit of the process will cut.
  void LogOpenCallsAtExit();
  void RecordCutCall(blackboard::CallSide side, const http::CutCall& call);
  control::AdminHandlers MakeAdminHandlers();

  const startup::Settings& settings_;
  const request::Dialect dialect_;
  const base::Clock& clock_;
  rpc::MeshTransport& transport_;
  const std::unique_ptr<storage::Journal> journal_;
  const std::unique_ptr<distribution::ProxyNode> node_;
  control::NodeLoop node_loop_;
  blackboard::Blackboard board_;
  http::EventLoop loop_;
  ClaimClient claims_;
  QuotaGate quota_;
  Destination destination_;
  PeerClient peer_client_;
  Entry entry_;
  http::Server callers_;
  http::Server peers_;
  control::AdminServer admin_;
  request::MeshViewBuilder views_;
  config::EvacuationWatch evacuation_watch_;
  // Zones that are known to be evacuated, to log each change once.
  std::set<std::string> evacuated_zones_;
  std::map<std::string, request::ColdLimits> cold_limits_;
  uint64_t published_view_version_ = 0;
  bool published_may_serve_ = false;
  uint64_t addresses_version_ = 0;
  base::MonoTime next_evidence_time_;
  const base::MonoTime created_ = clock_.Read().mono_;
  std::atomic<bool> upstreams_draining_{false};
  // Held while a report changes the node's and then the destination's state, so
  // that both see the reports of different threads in the same order.
  std::mutex upstreams_mutex_;
  bool started_ = false;
  bool stopped_ = false;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_PROXY_ROLE_IMPL_H_
