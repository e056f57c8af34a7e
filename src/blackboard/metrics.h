// Figures for operators.
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

// Whose request it is: a caller's, or another daemon's.
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
  // A request of a caller that an upstream has answered, until its answer.
  void RecordCallLatency(base::Duration latency);
  // Any request, until its answer was sent or given up.
  void RecordRequestDuration(CallSide side, base::Duration took);
  // A request that ended without a whole answer.
  void CountAbortedRequest(CallSide side, std::string_view cause);
  void SetControlBytes(uint64_t in, uint64_t out);
  void SetRevision(uint64_t revision) { revision_ = revision; }

  // Prometheus text exposition format.
  std::string Render() const;

 private:
  struct Latencies;

  double LongestCall() const;
  std::string RenderCuts() const;

  std::array<std::atomic<uint64_t>, kResultCodeCount> results_ = {};
  std::atomic<uint64_t> retries_{0};
  std::atomic<uint64_t> control_bytes_in_{0};
  std::atomic<uint64_t> control_bytes_out_{0};
  std::atomic<uint64_t> revision_{0};
  base::TimeHistogram calls_;
  std::array<base::TimeHistogram, kCallSides> requests_;
  mutable std::mutex cuts_mutex_;
  // By side and cause: the causes are a fixed set.
  std::map<std::pair<CallSide, std::string>, uint64_t> cuts_;
  // The longest call. Sharded by thread: each has a lock that is seldom
  // contended.
  std::unique_ptr<Latencies> latencies_;
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_METRICS_H_
