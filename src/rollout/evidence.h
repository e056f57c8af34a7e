// Evidence of a move: call counts and latency histograms per service, version
// and route.
//
// Latencies are counted in buckets whose bounds grow geometrically, so that the
// histograms of many daemons are merged by addition and have a bounded size.
#ifndef SRC_ROLLOUT_EVIDENCE_H_
#define SRC_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::rollout {

inline constexpr size_t kLatencyBuckets = 72;
inline constexpr double kBucketRatio = 1.15;
// Upper bound of the first bucket.
inline constexpr base::Duration kFirstBucketBound =
    std::chrono::microseconds(250);

// Returns the index of the bucket that counts `latency`. Larger latencies than
// the last bound fall into the last bucket, kLatencyBuckets - 1.
size_t LatencyBucket(base::Duration latency);
// Returns the upper bound of a bucket.
base::Duration BucketBound(size_t bucket);

// Adds one call to a histogram and extends it as needed.
void CountInBucket(base::Duration latency,
                   google::protobuf::RepeatedField<uint32_t>& buckets);

// Returns the aggregation key of `evidence`: service, version, route and step.
std::string EvidenceKey(const rpc::RouteEvidence& evidence);

// Adds the counts of `more` to `sum`.
void MergeEvidence(const rpc::RouteEvidence& more, rpc::RouteEvidence& sum);

// Returns the fraction of the calls with latencies in buckets above `bucket`.
double FractionAbove(const rpc::RouteEvidence& evidence, size_t bucket);
// Returns the lowest bucket with at least the fraction `quantile` of the calls
// at or below it.
size_t QuantileBucket(const rpc::RouteEvidence& evidence, double quantile);

// Aggregates reports per service, version, route and step until TakeSums. A
// report that is a duplicate of, or older than, one received from the same
// origin is ignored.
class EvidenceMerger {
 public:
  void Add(const rpc::Evidence& report);
  // Returns and clears all sums since the last call.
  std::vector<rpc::RouteEvidence> TakeSums();

 private:
  // Position of the latest report that was received from one origin.
  struct LastReport {
    uint64_t incarnation_ = 0;
    uint64_t sequence_ = 0;
  };
  std::map<std::string, LastReport> last_reports_;  // By origin.
  std::map<std::string, rpc::RouteEvidence> sums_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EVIDENCE_H_
