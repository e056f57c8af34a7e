// Counting of calls.
#include "rollout/evidence_collector.h"

#include <utility>

#include "rollout/evidence.h"

namespace buckthorngate::rollout {
namespace {

// Part of its time that a caller has waited when it is taken to have left for
// want of an answer. Its own clock may run a little ahead of ours.
constexpr double kUsedUpPart = 0.9;
// A call that had less of the time than this is no measure of its version.
constexpr double kOwnPart = 0.5;

}  // namespace

CallEnd ClassifyCancelledCall(base::Duration used,
                              base::Duration own,
                              base::Duration whole) {
  const double time = static_cast<double>(whole.count());
  const bool used_up = static_cast<double>(used.count()) >= kUsedUpPart * time;
  const bool had_time = static_cast<double>(own.count()) >= kOwnPart * time;
  return used_up && had_time ? CallEnd::kFailed : CallEnd::kUnanswered;
}

void EvidenceCollector::Report(Shard& shard,
                               const Open& call,
                               base::MonoTime now) {
  CallOutcome outcome;
  outcome.end_ = CallEnd::kUnanswered;
  outcome.ended_ = now;
  outcome = call.outcome_.value_or(outcome);
  if (outcome.end_ == CallEnd::kIgnored) {
    return;
  }
  rpc::RouteEvidence& sum = shard.sums_[EvidenceKey(call.names_)];
  if (sum.service().empty()) {
    sum = call.names_;
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
  Open open;
  open.names_.set_service(call.service_);
  open.names_.set_version(call.version_);
  open.names_.set_route(call.route_);
  open.names_.set_step(call.step_);
  open.began_ = call.began_;
  open.report_at_ = call.report_at_;
  Shard& shard = shards_[id % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  shard.open_.emplace(id, std::move(open));
  return id;
}

void EvidenceCollector::End(uint64_t id, const CallOutcome& outcome) {
  Shard& shard = shards_[id % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  const auto found = shard.open_.find(id);
  if (found == shard.open_.end()) {
    return;
  }
  found->second.outcome_ = outcome;
  if (!found->second.report_at_ || outcome.crashed_) {
    Report(shard, found->second, outcome.ended_);
    shard.open_.erase(found);
  }
}

std::vector<rpc::RouteEvidence> EvidenceCollector::TakeSums(
    base::MonoTime now) {
  std::map<std::string, rpc::RouteEvidence> all;
  for (Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    std::erase_if(shard.open_, [&shard, now](const auto& item) {
      const Open& call = item.second;
      const bool due = call.report_at_ && now >= *call.report_at_;
      if (due) {
        Report(shard, call, now);
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
