// The daemon's blackboard: what controllers write and the path of a request
// reads.
//
// Each part has one writer. Readers on the path of a request use the published
// view and atomics only.
#ifndef SRC_BLACKBOARD_BLACKBOARD_H_
#define SRC_BLACKBOARD_BLACKBOARD_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "blackboard/metrics.h"
#include "blackboard/rcu_cell.h"
#include "blackboard/stall_detector.h"
#include "request/call_tree.h"
#include "request/mesh_view.h"
#include "request/retry.h"
#include "rollout/brake.h"
#include "rollout/evidence_collector.h"
#include "rollout/exposure_cap.h"

namespace buckthorngate::blackboard {

// Requests to one service that came in at this daemon, and how often they were
// sent again. Safe for concurrent use.
struct RetryCounts {
  // Neither below a retry nor sent again.
  std::atomic<uint64_t> first_tries_{0};
  // Calls of a request that is itself a retry.
  std::atomic<uint64_t> below_retry_{0};
  // Sent again although an upstream may have run them.
  std::atomic<uint64_t> after_run_{0};
  // Sent again after an upstream had refused to run them.
  std::atomic<uint64_t> after_refusal_{0};
  // Sent again before any upstream had been asked.
  std::atomic<uint64_t> unsent_{0};
  // Not sent again, as the budget was spent.
  std::atomic<uint64_t> denied_{0};
};

// State of one service that outlives views; safe for concurrent use.
struct ServiceRuntimeState {
  ServiceRuntimeState(double retry_rounding, base::MonoTime started)
      : retry_budget_(retry_rounding, started) {}

  request::RetryBudget retry_budget_;
  RetryCounts retry_counts_;
  rollout::Brake brake_;
  rollout::ExposureCap exposure_;
  // Moving average of the latency of calls to the version that a move leaves;
  // 0: none yet.
  std::atomic<int64_t> old_version_latency_us_{0};
  // Calls in flight from this daemon, of a route with a limit.
  std::atomic<int32_t> in_flight_{0};
  // When an endpoint last turned a request away, on the steady clock.
  std::atomic<int64_t> last_overload_us_{0};
  // Usual size of the call tree below a call, in thousandths.
  std::atomic<uint32_t> tree_size_milli_{1000};
};

class Blackboard {
 public:
  // Of a daemon that started then; the seed differs between daemons.
  Blackboard(uint64_t seed, base::MonoTime started);

  // Written by the control loop, read by each request.
  RcuCell<request::MeshView>& View() { return view_; }

  // Created at first use; stays valid.
  ServiceRuntimeState& Service(const std::string& name);
  // The retry counts of all services, in Prometheus text exposition format.
  std::string RenderRetries();
  // What the versions of the last move of each service got, in the same format.
  std::string RenderMoves();

  rollout::EvidenceCollector& Evidence() { return evidence_; }
  request::CallTree& Calls() { return calls_; }
  Metrics& DaemonMetrics() { return metrics_; }

  StallDetector& Stalls() { return stalls_; }

  // Set once at shutdown.
  std::atomic<bool>& Draining() { return draining_; }
  // The daemon takes no more requests that may still be at work then.
  void SetShutdownTime(base::MonoTime end) { end_ = end; }
  bool ShutsDownBefore(base::MonoTime deadline) const {
    return end_.load(std::memory_order_relaxed) < deadline;
  }
  std::atomic<int64_t>& InFlight() { return in_flight_; }

 private:
  using ServiceMap =
      std::unordered_map<std::string, std::shared_ptr<ServiceRuntimeState>>;

  RcuCell<request::MeshView> view_;
  const uint64_t seed_;
  const base::MonoTime started_;
  // Copied and published anew for each new service, which is rare.
  RcuCell<ServiceMap> services_;
  std::mutex services_writer_;
  rollout::EvidenceCollector evidence_;
  request::CallTree calls_;
  Metrics metrics_;
  StallDetector stalls_;
  std::atomic<bool> draining_{false};
  std::atomic<base::MonoTime> end_{base::MonoTime::max()};
  std::atomic<int64_t> in_flight_{0};
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_BLACKBOARD_H_
