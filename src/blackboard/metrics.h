// Figures for operators, accumulated by Boost.Accumulators.
#ifndef SRC_BLACKBOARD_METRICS_H_
#define SRC_BLACKBOARD_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"

namespace buckthorngate::blackboard {

// Safe for concurrent use.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void CountResult(ResultCode code);
  void CountRetry() { retries_.fetch_add(1, std::memory_order_relaxed); }
  void NoteCall(base::Duration latency);
  void SetControlBytes(uint64_t in, uint64_t out);
  void SetRevision(uint64_t revision) { revision_ = revision; }

  // Prometheus text exposition format.
  std::string Render() const;

 private:
  struct Latencies;

  std::array<std::atomic<uint64_t>, kResultCodeCount> results_ = {};
  std::atomic<uint64_t> retries_{0};
  std::atomic<uint64_t> control_bytes_in_{0};
  std::atomic<uint64_t> control_bytes_out_{0};
  std::atomic<uint64_t> revision_{0};
  // Sharded by thread: each has a lock that is seldom contended.
  std::unique_ptr<Latencies> latencies_;
};

}  // namespace buckthorngate::blackboard

#endif  // SRC_BLACKBOARD_METRICS_H_
