// Metrics of a daemon in the Prometheus text exposition format.
#ifndef SRC_BLACKBOARD_METRICS_H_
#define SRC_BLACKBOARD_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "base/histogram.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"

namespace buckthorngate::blackboard {

// Where a request entered this daemon: from a caller (entry side), or from
// another daemon for an upstream of this host (destination side).
enum class CallSide : uint8_t { kEntry, kDestination };
inline constexpr size_t kCallSides = 2;
std::string_view NameOf(CallSide side);

// Safe for concurrent use.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void CountResult(ResultCode code);
  void CountRetry() { retries_.fetch_add(1, std::memory_order_relaxed); }
  // Records the time from the start of a caller's request to the response of
  // an upstream.
  void RecordCallLatency(base::Duration latency);
  // Records the time from the start of any request until its response was sent
  // or abandoned.
  void RecordRequestDuration(CallSide side, base::Duration duration);
  // Counts a request that ended without a complete response.
  void CountAbortedRequest(CallSide side, std::string_view cause);
  // Counts a request that was begun behind an unanswered one on its
  // connection.
  void CountPipelinedRequest() {
    pipelined_.fetch_add(1, std::memory_order_relaxed);
  }
  // Counts one of them that was cancelled, because a response before it closed
  // the connection.
  void CountPipelineCancelled() {
    pipeline_cancelled_.fetch_add(1, std::memory_order_relaxed);
  }
  // Counts a report of an upstream that was ignored.
  void CountIgnoredReport(ResultCode code);
  void SetControlBytes(uint64_t in, uint64_t out);
  void SetRevision(uint64_t revision) { revision_ = revision; }
  // Handlers of the request path that an exception has left, since the start.
  void SetFailedHandlers(uint64_t count) { failed_handlers_ = count; }
  // Whether the zone of this host is evacuated.
  void SetZoneEvacuated(bool evacuated) { zone_evacuated_ = evacuated; }
  // Number of endpoints of this host that are cold and limited.
  void SetColdEndpoints(uint64_t count) { cold_endpoints_ = count; }
  // Counts a request that this host's destination refused for this reason.
  void CountHeldBack(ResultCode code);

  // Prometheus text exposition format.
  std::string Render() const;

 private:
  struct MaxLatencies;

  double MaxCallSeconds() const;
  std::string RenderAbortedRequests() const;

  using CodeCounts = std::array<std::atomic<uint64_t>, kResultCodeCount>;

  CodeCounts results_ = {};
  CodeCounts ignored_reports_ = {};
  std::atomic<uint64_t> retries_{0};
  std::atomic<uint64_t> pipelined_{0};
  std::atomic<uint64_t> pipeline_cancelled_{0};
  std::atomic<uint64_t> failed_handlers_{0};
  std::atomic<uint64_t> control_bytes_in_{0};
  std::atomic<uint64_t> control_bytes_out_{0};
  std::atomic<uint64_t> revision_{0};
  std::atomic<bool> zone_evacuated_{false};
  CodeCounts held_back_ = {};
  std::atomic<uint64_t> cold_endpoints_{0};
  base::TimeHistogram calls_;
  std::array<base::TimeHistogram, kCallSides> requests_;
  mutable std::mutex aborted_mutex_;
  // Aborted requests by side and cause; bounded, as the causes are a fixed set.
  std::map<std::pair<CallSide, std::string>, uint64_t> aborted_;
  // Maximum latencies, sharded by thread so that the shards' locks are rarely
  // contended.
  std::unique_ptr<MaxLatencies> max_latencies_;
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_METRICS_H_
