// What is known of the old version on one route: the yardstick of a move.
//
// Two memories of different length are kept. The long one is precise; the
// short one follows trouble that hits both versions at once. The short one is
// used only while it clearly shows such trouble.
#ifndef SRC_ROLLOUT_OLD_VERSION_H_
#define SRC_ROLLOUT_OLD_VERSION_H_

#include <array>
#include <cstdint>

#include "mesh.pb.h"
#include "rollout/evidence.h"

namespace buckthorngate::rollout {

using LatencyShape = std::array<double, kLatencyBuckets>;

class OldVersion {
 public:
  void Add(const rpc::RouteEvidence& window);

  // Upper estimate of the failure rate now.
  double FailureRate() const;
  // Distribution of latencies now, smoothed and shifted up by `buckets`; sums
  // to 1 and is positive everywhere. Valid if HasLatencies.
  LatencyShape Latencies(size_t buckets) const;
  bool HasLatencies() const;

  // From this bucket on an answer is several times slower than usual now;
  // kLatencyBuckets if latencies are not known.
  size_t SlowBucket() const;
  // Upper estimate now of the fraction of calls that fail or are slow.
  double BadRate() const;

  // Whether there were calls within the last few windows.
  bool Current() const { return windows_without_ <= kMaxWindowsWithout; }
  uint64_t Calls() const { return calls_; }
  uint64_t Crashes() const { return crashes_; }

 private:
  static constexpr int kMaxWindowsWithout = 6;

  struct Memory {
    void Age(double keep);
    void Add(const rpc::RouteEvidence& window);
    size_t MedianBucket() const;
    // Upper estimate of the fraction that fails or is slow.
    double BadRate(size_t slow_bucket) const;

    double calls_ = 0.0;
    double failures_ = 0.0;
    double latency_total_ = 0.0;
    LatencyShape latencies_ = {};
    LatencyShape unanswered_ = {};
  };

  // Whether the latencies of late are clearly slower than those of before.
  bool Slowed() const;
  const Memory& LatencyMemory() const { return Slowed() ? short_ : long_; }

  Memory long_;
  Memory short_;
  uint64_t calls_ = 0;
  uint64_t crashes_ = 0;
  int windows_without_ = kMaxWindowsWithout + 1;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_OLD_VERSION_H_
