// Classification and summing of call outcomes.
#include "rollout/evidence_collector.h"

#include <utility>

#include "rollout/evidence.h"

namespace buckthorngate::rollout {
namespace {

// Fraction of the caller's timeout after which a caller that disconnects is
// assumed to have timed out. Below 1 because the caller's clock may run a
// little ahead of ours.
constexpr double kTimeoutUsedFraction = 0.9;
// Minimum fraction of the timeout that the attempt itself must have had. An
// attempt with less time does not measure its version.
constexpr double kMinAttemptFraction = 0.5;

}  // namespace

CallEnd ClassifyCancelledCall(base::Duration total_elapsed,
                              base::Duration attempt_elapsed,
                              base::Duration timeout) {
  const double timeout_count = static_cast<double>(timeout.count());
  const bool timeout_used_up = static_cast<double>(total_elapsed.count()) >=
                               kTimeoutUsedFraction * timeout_count;
  const bool attempt_had_time = static_cast<double>(attempt_elapsed.count()) >=
                                kMinAttemptFraction * timeout_count;
  return timeout_used_up && attempt_had_time ? CallEnd::kFailed
                                             : CallEnd::kUnanswered;
}

void EvidenceCollector::AddToSums(Shard& shard,
                                  const PendingCall& call,
                                  base::MonoTime now) {
  CallOutcome outcome;
  outcome.end_ = CallEnd::kUnanswered;
  outcome.ended_ = now;
  outcome = call.outcome_.value_or(outcome);
  if (outcome.end_ == CallEnd::kIgnored) {
    return;
  }
  rpc::RouteEvidence& sum = shard.sums_[EvidenceKey(call.labels_)];
  if (sum.service().empty()) {
    sum = call.labels_;
  }
  const base::Duration latency = outcome.ended_ - call.began_;
  if (outcome.end_ == CallEnd::kUnanswered) {
    if (!outcome.cold_) {
      CountInBucket(latency, *sum.mutable_unanswered_buckets());
    }
    return;
  }
  const bool failed = outcome.end_ == CallEnd::kFailed;
  sum.set_calls(sum.calls() + 1);
  sum.set_failures(sum.failures() + (failed ? 1 : 0));
  sum.set_crashes(sum.crashes() + (outcome.crashed_ ? 1 : 0));
  sum.set_cold_calls(sum.cold_calls() + (outcome.cold_ ? 1 : 0));
  if (!failed && !outcome.cold_) {
    CountInBucket(latency, *sum.mutable_latency_buckets());
  }
}

uint64_t EvidenceCollector::Begin(const CallBegin& call) {
  const uint64_t id = next_id_.fetch_add(1, std::memory_order_relaxed);
  PendingCall pending;
  pending.labels_.set_service(call.service_);
  pending.labels_.set_version(call.version_);
  pending.labels_.set_route(call.route_);
  pending.labels_.set_step(call.step_);
  pending.began_ = call.began_;
  pending.report_at_ = call.report_at_;
  Shard& shard = shards_[id % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  shard.pending_.emplace(id, std::move(pending));
  return id;
}

void EvidenceCollector::End(uint64_t id, const CallOutcome& outcome) {
  Shard& shard = shards_[id % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  const auto found = shard.pending_.find(id);
  if (found == shard.pending_.end()) {
    return;
  }
  found->second.outcome_ = outcome;
  if (!found->second.report_at_ || outcome.crashed_) {
    AddToSums(shard, found->second, outcome.ended_);
    shard.pending_.erase(found);
  }
}

std::vector<rpc::RouteEvidence> EvidenceCollector::TakeSums(
    base::MonoTime now) {
  std::map<std::string, rpc::RouteEvidence> all;
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    std::erase_if(shard.pending_, [&shard, now](const auto& item) {
      const PendingCall& call = item.second;
      const bool due = call.report_at_ && now >= *call.report_at_;
      if (due) {
        AddToSums(shard, call, now);
      }
      return due;
    });
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
