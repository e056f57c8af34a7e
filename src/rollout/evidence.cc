// Latency histograms and the merging of evidence reports.
#include "rollout/evidence.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthorngate::rollout {
namespace {

std::array<base::Duration, kLatencyBuckets> MakeBounds() {
  std::array<base::Duration, kLatencyBuckets> bounds;
  double bound = static_cast<double>(kFirstBucketBound.count());
  for (base::Duration& bucket_bound : bounds) {
    bucket_bound = base::Duration(static_cast<int64_t>(bound));
    bound *= kBucketRatio;
  }
  return bounds;
}

const std::array<base::Duration, kLatencyBuckets>& Bounds() {
  static const std::array<base::Duration, kLatencyBuckets> bounds =
      MakeBounds();
  return bounds;
}

uint64_t LatencyCount(const rpc::RouteEvidence& evidence) {
  uint64_t count = 0;
  for (const uint32_t bucket : evidence.latency_buckets()) {
    count += bucket;
  }
  return count;
}

using Buckets = google::protobuf::RepeatedField<uint32_t>;

void AddBuckets(const Buckets& more, Buckets& sum) {
  const int buckets = std::min(more.size(), static_cast<int>(kLatencyBuckets));
  while (sum.size() < buckets) {
    sum.Add(0);
  }
  for (int i = 0; i < buckets; ++i) {
    sum.Set(i, sum.Get(i) + more.Get(i));
  }
}

}  // namespace

size_t LatencyBucket(base::Duration latency) {
  const auto& bounds = Bounds();
  const auto found = std::lower_bound(bounds.begin(), bounds.end(), latency);
  const size_t bucket = static_cast<size_t>(found - bounds.begin());
  return std::min(bucket, kLatencyBuckets - 1);
}

base::Duration BucketBound(size_t bucket) {
  return Bounds().at(bucket);
}

void CountInBucket(base::Duration latency, Buckets& buckets) {
  const int bucket = static_cast<int>(LatencyBucket(latency));
  while (buckets.size() <= bucket) {
    buckets.Add(0);
  }
  buckets.Set(bucket, buckets.Get(bucket) + 1);
}

std::string EvidenceKey(const rpc::RouteEvidence& evidence) {
  return evidence.service() + "\n" + evidence.version() + "\n" +
         evidence.route() + "\n" + std::to_string(evidence.step());
}

void MergeEvidence(const rpc::RouteEvidence& more, rpc::RouteEvidence& sum) {
  sum.set_service(more.service());
  sum.set_version(more.version());
  sum.set_route(more.route());
  sum.set_calls(sum.calls() + more.calls());
  sum.set_failures(sum.failures() + more.failures());
  sum.set_crashes(sum.crashes() + more.crashes());
  sum.set_in_flight(sum.in_flight() + more.in_flight());
  sum.set_loaded_calls(sum.loaded_calls() + more.loaded_calls());
  sum.set_loaded_failures(sum.loaded_failures() + more.loaded_failures());
  sum.set_cold_calls(sum.cold_calls() + more.cold_calls());
  sum.set_step(more.step());
  AddBuckets(more.latency_buckets(), *sum.mutable_latency_buckets());
  AddBuckets(more.unanswered_buckets(), *sum.mutable_unanswered_buckets());
}

double FractionAbove(const rpc::RouteEvidence& evidence, size_t bucket) {
  const uint64_t total = LatencyCount(evidence);
  if (total == 0) {
    return 0.0;
  }
  uint64_t above = 0;
  for (int i = static_cast<int>(bucket) + 1;
       i < evidence.latency_buckets_size(); ++i) {
    above += evidence.latency_buckets(i);
  }
  return static_cast<double>(above) / static_cast<double>(total);
}

size_t QuantileBucket(const rpc::RouteEvidence& evidence, double quantile) {
  const double rank = quantile * static_cast<double>(LatencyCount(evidence));
  uint64_t count = 0;
  for (int i = 0; i < evidence.latency_buckets_size(); ++i) {
    count += evidence.latency_buckets(i);
    if (static_cast<double>(count) >= rank) {
      return static_cast<size_t>(i);
    }
  }
  return kLatencyBuckets - 1;
}

void EvidenceMerger::Add(const rpc::Evidence& report) {
  LastReport& last = last_reports_[report.origin()];
  const std::pair<uint64_t, uint64_t> received(last.incarnation_,
                                               last.sequence_);
  const std::pair<uint64_t, uint64_t> offered(report.incarnation(),
                                              report.sequence());
  if (offered <= received) {
    return;
  }
  last.incarnation_ = report.incarnation();
  last.sequence_ = report.sequence();
  for (const rpc::RouteEvidence& route : report.routes()) {
    MergeEvidence(route, sums_[EvidenceKey(route)]);
  }
}

std::vector<rpc::RouteEvidence> EvidenceMerger::TakeSums() {
  std::vector<rpc::RouteEvidence> taken;
  taken.reserve(sums_.size());
  for (auto& [key, sum] : sums_) {
    taken.push_back(std::move(sum));
  }
  sums_.clear();
  return taken;
}

}  // namespace buckthorngate::rollout
