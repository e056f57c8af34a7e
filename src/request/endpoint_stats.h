// What a daemon has itself seen of an endpoint: atomics that outlive views.
#ifndef SRC_REQUEST_ENDPOINT_STATS_H_
#define SRC_REQUEST_ENDPOINT_STATS_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace buckthorngate::request {

inline constexpr uint32_t kLeastUrgent = std::numeric_limits<uint32_t>::max();

// Order of urgency, 0 first: nested calls, whose parents hold slots until they
// are answered, then by the routes' priorities.
constexpr uint32_t RankOf(bool nested, uint32_t priority) {
  return nested ? 0 : std::min(priority, kLeastUrgent - 1) + 1;
}

// A new endpoint gets a share of work that grows over this time.
inline constexpr base::Duration kWarmUp = std::chrono::seconds(10);

// Safe for concurrent use.
class EndpointStats {
 public:
  explicit EndpointStats(base::MonoTime created) : created_(created) {}

  void Begin() { in_flight_.fetch_add(1, std::memory_order_relaxed); }
  // Ends a call. A failure says nothing of the latency unless it took longer
  // than answers do.
  void End(base::Duration latency, bool failed, base::MonoTime now);
  // The endpoint could not be reached or refused: it is left out for a time
  // that doubles with each failure in a row.
  void Eject(base::MonoTime now);

  // The endpoint's daemon has not been heard: others go first until then.
  void EjectUntil(base::MonoTime until) {
    ejected_until_us_.store(
        std::max(ejected_until_us_.load(std::memory_order_relaxed),
                 until.time_since_epoch().count()),
        std::memory_order_relaxed);
  }

  // The endpoint's own daemon told how many requests run or wait there.
  void SetReportedLoad(uint32_t load, base::MonoTime now) {
    reported_.store(static_cast<int32_t>(load), std::memory_order_relaxed);
    reported_us_.store(now.time_since_epoch().count(),
                       std::memory_order_relaxed);
  }
  // The endpoint has turned away a request of this rank: for a moment it gets
  // none that is not more urgent.
  void MarkFull(base::MonoTime until, uint32_t rank, base::MonoTime now) {
    const bool lasts = Full(now, kLeastUrgent);
    const uint32_t held = full_rank_.load(std::memory_order_relaxed);
    full_rank_.store(lasts ? std::min(held, rank) : rank,
                     std::memory_order_relaxed);
    full_until_us_.store(until.time_since_epoch().count(),
                         std::memory_order_relaxed);
  }
  bool Full(base::MonoTime now, uint32_t rank) const {
    return now.time_since_epoch().count() <
               full_until_us_.load(std::memory_order_relaxed) &&
           rank >= full_rank_.load(std::memory_order_relaxed);
  }
  // Requests at the endpoint: those of this daemon, or what was told lately.
  int32_t Load(base::MonoTime now) const;

  int32_t InFlight() const {
    return in_flight_.load(std::memory_order_relaxed);
  }
  // Moving average of the latency; rises faster than it falls.
  base::Duration Latency() const {
    return base::Duration(latency_us_.load(std::memory_order_relaxed));
  }
  // How long ago the latency was last learned.
  base::Duration LatencyAge(base::MonoTime now) const {
    return now.time_since_epoch() -
           base::Duration(updated_us_.load(std::memory_order_relaxed));
  }
  bool Ejected(base::MonoTime now) const {
    return now.time_since_epoch().count() <
           ejected_until_us_.load(std::memory_order_relaxed);
  }
  base::MonoTime Created() const { return created_; }
  // The endpoint's daemon told whether it is still warming up.
  void SetReportedCold(bool cold) {
    cold_.store(cold ? Cold::kYes : Cold::kNo, std::memory_order_relaxed);
  }
  // Whether it warms up, as far as is known.
  bool IsWarmingUp(base::MonoTime now) const {
    const Cold told = cold_.load(std::memory_order_relaxed);
    return told == Cold::kNotTold ? now - created_ < kWarmUp
                                  : told == Cold::kYes;
  }

 private:
  enum class Cold : uint8_t { kNotTold, kYes, kNo };

  const base::MonoTime created_;
  std::atomic<Cold> cold_{Cold::kNotTold};
  std::atomic<int32_t> in_flight_{0};
  std::atomic<int32_t> reported_{0};
  std::atomic<int64_t> reported_us_{0};
  std::atomic<int64_t> full_until_us_{0};
  std::atomic<uint32_t> full_rank_{0};
  std::atomic<int64_t> latency_us_{0};
  std::atomic<int64_t> updated_us_{0};
  std::atomic<int64_t> ejected_until_us_{0};
  std::atomic<uint32_t> failures_in_row_{0};
};

using EndpointStatsPtr = std::shared_ptr<EndpointStats>;

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ENDPOINT_STATS_H_
