// State shared between a daemon's control loop and its request path.
//
// Each part has a single writer. The request path reads it without locks,
// through the published view and atomics.
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
#include "request/authority_lease.h"
#include "request/call_tree.h"
#include "request/mesh_view.h"
#include "request/retry.h"
#include "rollout/brake.h"
#include "rollout/evidence_collector.h"
#include "rollout/exposure_cap.h"

namespace buckthorngate::blackboard {

// Counts the attempts and retries of requests to one service that callers sent
// through this daemon. Safe for concurrent use.
struct RetryCounts {
  // First attempts of requests that are not part of a retried call tree.
  std::atomic<uint64_t> first_tries_{0};
  // First attempts of calls made by a request that is itself a retry.
  std::atomic<uint64_t> below_retry_{0};
  // Retries although an upstream may have executed the request.
  std::atomic<uint64_t> after_run_{0};
  // Retries after an upstream refused to execute the request.
  std::atomic<uint64_t> after_refusal_{0};
  // Retries of requests that had not been sent to any upstream.
  std::atomic<uint64_t> unsent_{0};
  // Retries denied because the retry budget was spent.
  std::atomic<uint64_t> denied_{0};
};

// Runtime state of one service, kept across configuration changes. Safe for
// concurrent use.
struct ServiceRuntimeState {
  ServiceRuntimeState(double retry_rounding, base::MonoTime started)
      : retry_budget_(retry_rounding, started) {}

  request::RetryBudget retry_budget_;
  RetryCounts retry_counts_;
  rollout::Brake brake_;
  rollout::ExposureCap exposure_;
  // Exponential moving average of the latency of calls to the old version
  // during a move; 0 if there is none yet.
  std::atomic<int64_t> old_version_latency_us_{0};
  // Calls in flight from this daemon on a route with a concurrency limit.
  std::atomic<int32_t> in_flight_{0};
  // Steady-clock time of the last rejection by an overloaded endpoint.
  std::atomic<int64_t> last_overload_us_{0};
  // Moving average of the number of calls that one call causes, itself
  // included, in thousandths of a call.
  std::atomic<uint32_t> tree_size_milli_{1000};
};

class Blackboard {
 public:
  // `seed` differs between daemons; `started` is the daemon's start time.
  Blackboard(uint64_t seed, base::MonoTime started);

  // Current configuration view; published by the control loop, read by each
  // request.
  RcuCell<request::MeshView>& View() { return view_; }

  // Returns the state of the service, creating it at first use. The reference
  // stays valid.
  ServiceRuntimeState& Service(const std::string& name);
  // The retry counts of all services, in Prometheus text exposition format.
  std::string RenderRetries();
  // The number of calls during the last move of each service, in total and to
  // the new version, in the same format.
  std::string RenderMoves();

  rollout::EvidenceCollector& Evidence() { return evidence_; }
  request::CallTree& Calls() { return calls_; }
  Metrics& DaemonMetrics() { return metrics_; }

  // The lease on the authority to accept keys of client accounts.
  request::PublishedAuthority& Authority() { return authority_; }

  // How long the daemon has known of a newer configuration than the one in use;
  // 0 while it knows of none.
  base::Duration BehindFor() const { return behind_for_; }
  void SetBehindFor(base::Duration time) { behind_for_ = time; }
  // That time as a metric in the Prometheus text exposition format.
  std::string RenderBehind() const;

  StallDetector& Stalls() { return stalls_; }

  // Set once, when the daemon starts to shut down.
  std::atomic<bool>& Draining() { return draining_; }
  // Sets when the daemon will shut down. New requests with a later deadline are
  // refused, as they may still be running then.
  void SetShutdownTime(base::MonoTime time) { shutdown_time_ = time; }
  bool ShutsDownBefore(base::MonoTime deadline) const {
    return shutdown_time_.load(std::memory_order_relaxed) < deadline;
  }

 private:
  using ServiceMap =
      std::unordered_map<std::string, std::shared_ptr<ServiceRuntimeState>>;

  RcuCell<request::MeshView> view_;
  const uint64_t seed_;
  const base::MonoTime started_;
  // Copy-on-write: replaced by a copy for each new service, which is rare.
  RcuCell<ServiceMap> services_;
  std::mutex services_writer_;
  rollout::EvidenceCollector evidence_;
  request::CallTree calls_;
  Metrics metrics_;
  request::PublishedAuthority authority_;
  StallDetector stalls_;
  std::atomic<base::Duration> behind_for_{base::Duration(0)};
  std::atomic<bool> draining_{false};
  std::atomic<base::MonoTime> shutdown_time_{base::MonoTime::max()};
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_BLACKBOARD_H_
