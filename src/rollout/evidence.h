// Evidence of a move: mergeable counts per service, version and route.
//
// Latencies are counted in buckets whose bounds grow geometrically, so that
// sketches of many daemons merge by adding and cost a fixed number of bytes.
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
inline constexpr base::Duration kFirstBucket = std::chrono::microseconds(250);

// Index of the bucket that counts `latency`, below kLatencyBuckets.
size_t LatencyBucket(base::Duration latency);
// Upper bound of a bucket.
base::Duration BucketBound(size_t bucket);

// Adds one call to a row of buckets.
void CountInBucket(base::Duration latency,
                   google::protobuf::RepeatedField<uint32_t>& buckets);

// Key of the sums that evidence is added to.
std::string EvidenceKey(const rpc::RouteEvidence& evidence);

// Adds the counts of `more` to `sum`.
void MergeEvidence(const rpc::RouteEvidence& more, rpc::RouteEvidence& sum);

// Fraction of the calls in buckets above `bucket`.
double FractionAbove(const rpc::RouteEvidence& evidence, size_t bucket);
// Lowest bucket with at least this fraction of the calls at or below it.
size_t QuantileBucket(const rpc::RouteEvidence& evidence, double quantile);

// Sums reports per service, version, route and step until they are taken. A
// report that was seen already, or is older than one seen, is ignored.
class EvidenceMerger {
 public:
  void Add(const rpc::Evidence& report);
  // All sums since the last call.
  std::vector<rpc::RouteEvidence> TakeSums();

 private:
  struct Origin {
    uint64_t incarnation_ = 0;
    uint64_t sequence_ = 0;
  };
  std::map<std::string, Origin> origins_;
  std::map<std::string, rpc::RouteEvidence> sums_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EVIDENCE_H_
