// Statistics of one endpoint, as observed by this daemon: load, latency,
// ejection and warm-up. Atomics, shared by successive views of the mesh.
#ifndef SRC_REQUEST_ENDPOINT_STATS_H_
#define SRC_REQUEST_ENDPOINT_STATS_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"

namespace buckthorngate::request {

// Rank that is less urgent than that of any request.
inline constexpr uint32_t kLeastUrgent = std::numeric_limits<uint32_t>::max();

// Urgency rank of a request; 0 is the most urgent. Nested calls come first,
// because their parent requests hold slots until they are answered; the others
// follow by the priority of their route.
constexpr uint32_t RankOf(bool nested, uint32_t priority) {
  return nested ? 0 : std::min(priority, kLeastUrgent - 1) + 1;
}

// A larger room of a cold endpoint is no limit.
inline constexpr uint32_t kMaxColdRoom = 1'000'000;

// Slow start: the share of work that a new endpoint gets grows over this time.
inline constexpr base::Duration kWarmUp = std::chrono::seconds(10);

// Safe for concurrent use.
class EndpointStats {
 public:
  explicit EndpointStats(base::MonoTime created) : created_(created) {}

  // Counts a call that begins.
  void Begin() {
    in_flight_.fetch_add(1, std::memory_order_relaxed);
    cold_room_.fetch_sub(1, std::memory_order_relaxed);
  }
  // Counts a call that has ended and updates the average latency. The time of a
  // failed call is ignored unless it exceeds the average, since a fast failure
  // does not show how long answers take.
  void End(base::Duration latency, bool failed, base::MonoTime now);
  // Adds how much longer an answer took than is usual for requests of its kind,
  // as a ratio. A mean of latencies shows the mix of kinds rather than the
  // speed of the endpoint.
  void RecordSlowness(double ratio);
  // Moving average of these ratios; zero if none is known.
  double Slowness() const { return slowness_.load(std::memory_order_relaxed); }
  // Ejects an endpoint that could not be reached, is draining or has been
  // replaced by another upstream, for a time that doubles with each consecutive
  // failure. After a refusal for lack of a free slot see MarkFull instead.
  void Eject(base::MonoTime now);

  // Ejects an endpoint whose daemon is unresponsive, so that others are
  // preferred until then. Does not count as a failure.
  void EjectUntil(base::MonoTime until) {
    ejected_until_us_.store(
        std::max(ejected_until_us_.load(std::memory_order_relaxed),
                 until.time_since_epoch().count()),
        std::memory_order_relaxed);
  }

  // Stores the load reported by the endpoint's own daemon: the number of
  // requests that run or wait there.
  void SetReportedLoad(uint32_t load, base::MonoTime now) {
    reported_load_.store(static_cast<int32_t>(load), std::memory_order_relaxed);
    reported_us_.store(now.time_since_epoch().count(),
                       std::memory_order_relaxed);
  }
  // Records that the endpoint has refused a request of this rank: until then it
  // gets only more urgent requests.
  void MarkFull(base::MonoTime until, uint32_t rank, base::MonoTime now) {
    const bool still_full = Full(now, kLeastUrgent);
    const uint32_t held = full_rank_.load(std::memory_order_relaxed);
    full_rank_.store(still_full ? std::min(held, rank) : rank,
                     std::memory_order_relaxed);
    full_until_us_.store(until.time_since_epoch().count(),
                         std::memory_order_relaxed);
  }
  // Whether the endpoint gets no requests of this rank at present.
  bool Full(base::MonoTime now, uint32_t rank) const {
    return now.time_since_epoch().count() <
               full_until_us_.load(std::memory_order_relaxed) &&
           rank >= full_rank_.load(std::memory_order_relaxed);
  }
  // Number of requests at the endpoint: those of this daemon, or the reported
  // load if that is recent and higher.
  int32_t Load(base::MonoTime now) const;

  // Stores how many requests the cold endpoint may take within a second, as
  // reported by its daemon; nothing: it is not limited.
  void SetColdRoom(std::optional<uint32_t> room, base::MonoTime now) {
    cold_room_.store(static_cast<int64_t>(room.value_or(0)),
                     std::memory_order_relaxed);
    cold_room_until_us_.store(
        room ? (now + kColdRoomLifetime).time_since_epoch().count() : 0,
        std::memory_order_relaxed);
  }
  // Whether the endpoint is not known to have no room while it is cold.
  bool HasColdRoom(base::MonoTime now) const {
    return now.time_since_epoch().count() >=
               cold_room_until_us_.load(std::memory_order_relaxed) ||
           cold_room_.load(std::memory_order_relaxed) > 0;
  }

  // Stores the share of its host's incoming link that bodies use, as reported
  // by its daemon.
  void SetLinkUse(double use, base::MonoTime now) {
    link_use_.store(use, std::memory_order_relaxed);
    link_use_us_.store(now.time_since_epoch().count(),
                       std::memory_order_relaxed);
  }
  // The reported share; zero if it is not known or old.
  double LinkUse(base::MonoTime now) const {
    const base::Duration age =
        now.time_since_epoch() -
        base::Duration(link_use_us_.load(std::memory_order_relaxed));
    return age < kLinkUseLifetime ? link_use_.load(std::memory_order_relaxed)
                                  : 0.0;
  }

  int32_t InFlight() const {
    return in_flight_.load(std::memory_order_relaxed);
  }
  // Moving average of the latency; rises faster than it falls.
  base::Duration Latency() const {
    return base::Duration(latency_us_.load(std::memory_order_relaxed));
  }
  // Time since the last update of the latency.
  base::Duration LatencyAge(base::MonoTime now) const {
    return now.time_since_epoch() -
           base::Duration(latency_updated_us_.load(std::memory_order_relaxed));
  }
  bool Ejected(base::MonoTime now) const {
    return now.time_since_epoch().count() <
           ejected_until_us_.load(std::memory_order_relaxed);
  }
  base::MonoTime Created() const { return created_; }
  // Stores whether the endpoint still warms up, as reported by its daemon.
  void SetReportedCold(bool cold) {
    cold_.store(cold ? Cold::kYes : Cold::kNo, std::memory_order_relaxed);
  }
  // Whether the endpoint warms up. Without a report, an endpoint is taken to
  // warm up for kWarmUp after this daemon has first seen it.
  bool IsWarmingUp(base::MonoTime now) const {
    const Cold reported = cold_.load(std::memory_order_relaxed);
    return reported == Cold::kUnknown ? now - created_ < kWarmUp
                                      : reported == Cold::kYes;
  }

 private:
  enum class Cold : uint8_t { kUnknown, kYes, kNo };
  // The room is that within a second.
  static constexpr base::Duration kColdRoomLifetime = std::chrono::seconds(1);
  // An entry hears of a link about as often as it sends bodies there; the use
  // is an average over seconds.
  static constexpr base::Duration kLinkUseLifetime = std::chrono::seconds(5);

  const base::MonoTime created_;
  std::atomic<Cold> cold_{Cold::kUnknown};
  std::atomic<int32_t> in_flight_{0};
  std::atomic<int32_t> reported_load_{0};
  std::atomic<int64_t> reported_us_{0};
  std::atomic<int64_t> full_until_us_{0};
  // Room of the cold endpoint less the calls since the report. Meaningless once
  // the time has passed.
  std::atomic<int64_t> cold_room_{0};
  std::atomic<int64_t> cold_room_until_us_{0};
  std::atomic<uint32_t> full_rank_{0};
  std::atomic<int64_t> latency_us_{0};
  std::atomic<double> slowness_{0.0};
  std::atomic<double> link_use_{0.0};
  std::atomic<int64_t> link_use_us_{0};
  std::atomic<int64_t> latency_updated_us_{0};
  std::atomic<int64_t> ejected_until_us_{0};
  std::atomic<uint32_t> consecutive_failures_{0};
};

using EndpointStatsPtr = std::shared_ptr<EndpointStats>;

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ENDPOINT_STATS_H_
