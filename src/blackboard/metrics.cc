// Metrics of a daemon.
#include "blackboard/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <functional>
#include <mutex>
#include <thread>

namespace buckthorngate::blackboard {
namespace {

namespace acc = boost::accumulators;
using MaxAccumulator = acc::accumulator_set<double, acc::stats<acc::tag::max>>;

constexpr size_t kShards = 8;

void AppendSample(std::string& out, const std::string& name, double value) {
  out += name + " " + std::to_string(value) + "\n";
}

// The counts that are not 0, by result code.
void AppendCounts(
    std::string& out,
    const std::string& name,
    const std::array<std::atomic<uint64_t>, kResultCodeCount>& counts) {
  out += "# TYPE " + name + " counter\n";
  for (int i = 0; i < kResultCodeCount; ++i) {
    const uint64_t count = counts[static_cast<size_t>(i)];
    if (count == 0) {
      continue;
    }
    const ResultCodeInfo& info = Describe(static_cast<ResultCode>(i));
    AppendSample(out, name + "{code=\"" + std::string(info.name_) + "\"}",
                 static_cast<double>(count));
  }
}

}  // namespace

std::string_view NameOf(CallSide side) {
  return side == CallSide::kEntry ? "entry" : "destination";
}

struct Metrics::MaxLatencies {
  struct Shard {
    std::mutex mutex_;
    MaxAccumulator seconds_;
    bool has_samples_ = false;
  };
  std::array<Shard, kShards> shards_;
};

Metrics::Metrics() : max_latencies_(std::make_unique<MaxLatencies>()) {}
Metrics::~Metrics() = default;

void Metrics::CountResult(ResultCode code) {
  results_.at(static_cast<size_t>(code))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::CountIgnoredReport(ResultCode code) {
  ignored_reports_.at(static_cast<size_t>(code))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::RecordCallLatency(base::Duration latency) {
  const size_t index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  MaxLatencies::Shard& shard = max_latencies_->shards_[index];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  shard.seconds_(std::chrono::duration<double>(latency).count());
  shard.has_samples_ = true;
  calls_.Record(latency);
}

void Metrics::RecordRequestDuration(CallSide side, base::Duration duration) {
  requests_.at(static_cast<size_t>(side)).Record(duration);
}

void Metrics::CountAbortedRequest(CallSide side, std::string_view cause) {
  const std::lock_guard<std::mutex> lock(aborted_mutex_);
  ++aborted_[{side, std::string(cause)}];
}

void Metrics::SetControlBytes(uint64_t in, uint64_t out) {
  control_bytes_in_ = in;
  control_bytes_out_ = out;
}

void Metrics::CountHeldBack(ResultCode code) {
  held_back_.at(static_cast<size_t>(code))
      .fetch_add(1, std::memory_order_relaxed);
}

double Metrics::MaxCallSeconds() const {
  double max_seconds = 0.0;
  for (MaxLatencies::Shard& shard : max_latencies_->shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    if (shard.has_samples_) {
      max_seconds = std::max(max_seconds, acc::max(shard.seconds_));
    }
  }
  return max_seconds;
}

std::string Metrics::RenderAbortedRequests() const {
  std::string out = "# TYPE buckthorngate_cut_requests_total counter\n";
  const std::lock_guard<std::mutex> lock(aborted_mutex_);
  for (const auto& [key, count] : aborted_) {
    const auto& [side, cause] = key;
    AppendSample(out,
                 "buckthorngate_cut_requests_total{side=\"" +
                     std::string(NameOf(side)) + "\",cause=\"" + cause + "\"}",
                 static_cast<double>(count));
  }
  return out;
}

std::string Metrics::Render() const {
  std::string out;
  AppendCounts(out, "buckthorngate_requests_total", results_);
  AppendCounts(out, "buckthorngate_ignored_reports_total", ignored_reports_);
  out += "# TYPE buckthorngate_call_seconds histogram\n" +
         calls_.Render("buckthorngate_call_seconds", "");
  AppendSample(out, "buckthorngate_call_seconds_max", MaxCallSeconds());
  out += "# TYPE buckthorngate_request_seconds histogram\n";
  for (const CallSide side : {CallSide::kEntry, CallSide::kDestination}) {
    out += requests_.at(static_cast<size_t>(side))
               .Render("buckthorngate_request_seconds",
                       "side=\"" + std::string(NameOf(side)) + "\"");
  }
  out += RenderAbortedRequests();
  AppendSample(out, "buckthorngate_retries_total",
               static_cast<double>(retries_.load()));
  AppendSample(out, "buckthorngate_pipelined_requests_total",
               static_cast<double>(pipelined_.load()));
  AppendSample(out, "buckthorngate_pipeline_cancelled_total",
               static_cast<double>(pipeline_cancelled_.load()));
  AppendSample(out, "buckthorngate_failed_handlers_total",
               static_cast<double>(failed_handlers_.load()));
  AppendSample(out, "buckthorngate_control_bytes_total{direction=\"in\"}",
               static_cast<double>(control_bytes_in_.load()));
  AppendSample(out, "buckthorngate_control_bytes_total{direction=\"out\"}",
               static_cast<double>(control_bytes_out_.load()));
  AppendSample(out, "buckthorngate_revision",
               static_cast<double>(revision_.load()));
  AppendCounts(out, "buckthorngate_held_back_total", held_back_);
  AppendSample(out, "buckthorngate_cold_endpoints",
               static_cast<double>(cold_endpoints_.load()));
  AppendSample(out, "buckthorngate_zone_evacuated",
               zone_evacuated_.load() ? 1.0 : 0.0);
  return out;
}

}  // namespace buckthorngate::blackboard
