// Endpoint statistics.
#include "request/endpoint_stats.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

// Time constant by which the average latency falls.
constexpr double kDecaySeconds = 5.0;
// Least weight of a lower latency, so that the average falls at a busy endpoint
// too, whose samples follow each other closely.
constexpr double kMinFallWeight = 0.1;
// Weight of a higher latency: a few slow answers in a row raise the average
// noticeably, one in a hundred does not.
constexpr double kRiseWeight = 0.25;
// Weight of a new sample in the average slowness. The time of one answer varies
// by about a third, and an episode of slow answers lasts for tens of them.
constexpr double kSlownessWeight = 0.1;
constexpr double kMaxSlowness = 10.0;
constexpr int64_t kFirstEjectionUs = 200'000;
constexpr int64_t kMaxEjectionUs = 5'000'000;
// Bounds the shift; kMaxEjectionUs is reached before.
constexpr uint32_t kMaxDoublings = 5;
// A reported load is ignored after this time.
constexpr int64_t kReportLifetimeUs = 500'000;

}  // namespace

void EndpointStats::End(base::Duration latency,
                        bool failed,
                        base::MonoTime now) {
  in_flight_.fetch_sub(1, std::memory_order_relaxed);
  if (failed && latency <= Latency()) {
    return;
  }
  if (!failed) {
    consecutive_failures_.store(0, std::memory_order_relaxed);
  }
  const int64_t now_us = now.time_since_epoch().count();
  const int64_t last_us =
      latency_updated_us_.exchange(now_us, std::memory_order_relaxed);
  const int64_t old_us = latency_us_.load(std::memory_order_relaxed);
  const int64_t seen_us = latency.count();
  if (old_us == 0) {
    latency_us_.store(seen_us, std::memory_order_relaxed);
    return;
  }
  const double elapsed =
      static_cast<double>(std::max<int64_t>(now_us - last_us, 0)) / 1e6;
  const double fall_weight =
      std::max(kMinFallWeight, 1.0 - std::exp(-elapsed / kDecaySeconds));
  const double weight = seen_us > old_us ? kRiseWeight : fall_weight;
  const double blended = static_cast<double>(old_us) +
                         weight * static_cast<double>(seen_us - old_us);
  latency_us_.store(static_cast<int64_t>(blended), std::memory_order_relaxed);
}

void EndpointStats::RecordSlowness(double ratio) {
  const double sample = std::clamp(ratio, 1.0 / kMaxSlowness, kMaxSlowness);
  const double held = slowness_.load(std::memory_order_relaxed);
  const double next =
      held == 0.0 ? sample : held + kSlownessWeight * (sample - held);
  slowness_.store(next, std::memory_order_relaxed);
}

int32_t EndpointStats::Load(base::MonoTime now) const {
  const int64_t age = now.time_since_epoch().count() -
                      reported_us_.load(std::memory_order_relaxed);
  const int32_t reported = age < kReportLifetimeUs
                               ? reported_load_.load(std::memory_order_relaxed)
                               : 0;
  return std::max(InFlight(), reported);
}

void EndpointStats::Eject(base::MonoTime now) {
  const uint32_t failures =
      consecutive_failures_.fetch_add(1, std::memory_order_relaxed);
  const int64_t length = std::min(
      kFirstEjectionUs << std::min(failures, kMaxDoublings), kMaxEjectionUs);
  ejected_until_us_.store(now.time_since_epoch().count() + length,
                          std::memory_order_relaxed);
}

}  // namespace buckthorngate::request
