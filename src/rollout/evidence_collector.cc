// Counting of calls.
#include "rollout/evidence_collector.h"

#include <functional>
#include <thread>
#include <utility>

#include "rollout/evidence.h"

namespace buckthorngate::rollout {

void EvidenceCollector::Record(const CallRecord& call) {
  const size_t shard_index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  Shard& shard = shards_[shard_index];
  const std::string key =
      call.service_ + "\n" + call.version_ + "\n" + call.route_;
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  rpc::RouteEvidence& sum = shard.sums_[key];
  if (sum.service().empty()) {
    sum.set_service(call.service_);
    sum.set_version(call.version_);
    sum.set_route(call.route_);
  }
  sum.set_calls(sum.calls() + 1);
  sum.set_failures(sum.failures() + (call.failed_ ? 1 : 0));
  sum.set_crashes(sum.crashes() + (call.crashed_ ? 1 : 0));
  if (call.cold_) {
    sum.set_cold_calls(sum.cold_calls() + 1);
    return;
  }
  if (call.failed_) {
    return;
  }
  const int bucket = static_cast<int>(LatencyBucket(call.latency_));
  while (sum.latency_buckets_size() <= bucket) {
    sum.add_latency_buckets(0);
  }
  sum.set_latency_buckets(bucket, sum.latency_buckets(bucket) + 1);
}

std::vector<rpc::RouteEvidence> EvidenceCollector::Take() {
  std::map<std::string, rpc::RouteEvidence> all;
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    for (const auto& [key, sum] : shard.sums_) {
      MergeEvidence(sum, all[key]);
    }
    shard.sums_.clear();
  }
  std::vector<rpc::RouteEvidence> taken;
  taken.reserve(all.size());
  for (auto& [key, sum] : all) {
    taken.push_back(std::move(sum));
  }
  return taken;
}

}  // namespace buckthorngate::rollout
