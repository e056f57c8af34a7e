// Baseline of a move: failure rate and latencies of the old version on one
// route, with which the new version is compared.
//
// Two exponentially decayed histories of different length are kept. The
// long-term one is precise; the short-term one follows a degradation that
// affects both versions at once. The short-term one is used only while it
// clearly shows such a degradation.
#ifndef SRC_ROLLOUT_OLD_VERSION_H_
#define SRC_ROLLOUT_OLD_VERSION_H_

#include <array>
#include <cstdint>

#include "mesh.pb.h"
#include "rollout/evidence.h"

namespace buckthorngate::rollout {

using LatencyDistribution = std::array<double, kLatencyBuckets>;

class OldVersionBaseline {
 public:
  // Adds the old version's calls of one window; it may be empty.
  void Add(const rpc::RouteEvidence& window);

  // Upper estimate of the current failure rate.
  double FailureRate() const;
  // Returns the current latency distribution, smoothed and shifted up by
  // `buckets`. It sums to 1 and is positive everywhere. Valid if HasLatencies.
  LatencyDistribution ShiftedLatencies(size_t buckets) const;
  bool HasLatencies() const;

  // Returns the lowest bucket whose answers are several times slower than the
  // current median; kLatencyBuckets if there are too few latencies.
  size_t SlowBucket() const;
  // Upper estimate of the current fraction of calls that fail or are slow.
  double BadRate() const;

  // Returns whether there were calls within the last few windows.
  bool HasRecentCalls() const {
    return windows_without_calls_ <= kMaxWindowsWithoutCalls;
  }
  uint64_t Calls() const { return calls_; }
  uint64_t Crashes() const { return crashes_; }

 private:
  static constexpr int kMaxWindowsWithoutCalls = 6;

  // Counts in which older windows weigh less.
  struct DecayedCounts {
    void Decay(double factor);
    void Add(const rpc::RouteEvidence& window);
    size_t MedianBucket() const;
    // Upper estimate of the fraction of calls that fail or are slow.
    double BadRate(size_t slow_bucket) const;

    double calls_ = 0.0;
    double failures_ = 0.0;
    double latency_total_ = 0.0;
    LatencyDistribution latencies_ = {};
    LatencyDistribution unanswered_ = {};
  };

  // Returns whether recent latencies are clearly higher than the long-term
  // ones.
  bool IsSlowedDown() const;
  const DecayedCounts& LatencyCounts() const {
    return IsSlowedDown() ? short_term_ : long_term_;
  }

  DecayedCounts long_term_;
  DecayedCounts short_term_;
  uint64_t calls_ = 0;
  uint64_t crashes_ = 0;
  int windows_without_calls_ = kMaxWindowsWithoutCalls + 1;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_OLD_VERSION_H_
