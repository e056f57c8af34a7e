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
using Most = acc::accumulator_set<double, acc::stats<acc::tag::max>>;

constexpr size_t kShards = 8;

void Line(std::string& out, const std::string& name, double value) {
  out += name + " " + std::to_string(value) + "\n";
}

}  // namespace

std::string_view NameOf(CallSide side) {
  return side == CallSide::kEntry ? "entry" : "destination";
}

struct Metrics::Latencies {
  struct Shard {
    std::mutex mutex_;
    Most seconds_;
    bool any_ = false;
  };
  std::array<Shard, kShards> shards_;
};

Metrics::Metrics() : latencies_(std::make_unique<Latencies>()) {}
Metrics::~Metrics() = default;

void Metrics::CountResult(ResultCode code) {
  results_.at(static_cast<size_t>(code))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::RecordCallLatency(base::Duration latency) {
  const size_t index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  Latencies::Shard& shard = latencies_->shards_[index];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  shard.seconds_(std::chrono::duration<double>(latency).count());
  shard.any_ = true;
  calls_.Record(latency);
}

void Metrics::RecordRequestDuration(CallSide side, base::Duration took) {
  requests_.at(static_cast<size_t>(side)).Record(took);
}

void Metrics::CountAbortedRequest(CallSide side, std::string_view cause) {
  const std::lock_guard<std::mutex> lock(cuts_mutex_);
  ++cuts_[{side, std::string(cause)}];
}

void Metrics::SetControlBytes(uint64_t in, uint64_t out) {
  control_bytes_in_ = in;
  control_bytes_out_ = out;
}

double Metrics::LongestCall() const {
  double most = 0.0;
  for (Latencies::Shard& shard : latencies_->shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    if (shard.any_) {
      most = std::max(most, acc::max(shard.seconds_));
    }
  }
  return most;
}

std::string Metrics::RenderCuts() const {
  std::string out = "# TYPE buckthorngate_cut_requests_total counter\n";
  const std::lock_guard<std::mutex> lock(cuts_mutex_);
  for (const auto& [key, count] : cuts_) {
    const auto& [side, cause] = key;
    Line(out,
         "buckthorngate_cut_requests_total{side=\"" +
             std::string(NameOf(side)) + "\",cause=\"" + cause + "\"}",
         static_cast<double>(count));
  }
  return out;
}

std::string Metrics::Render() const {
  std::string out = "# TYPE buckthorngate_requests_total counter\n";
  for (int i = 0; i < kResultCodeCount; ++i) {
    const uint64_t count = results_[static_cast<size_t>(i)];
    if (count == 0) {
      continue;
    }
    const ResultCodeInfo& info = Describe(static_cast<ResultCode>(i));
    Line(out,
         "buckthorngate_requests_total{code=\"" + std::string(info.name_) +
             "\"}",
         static_cast<double>(count));
  }
  out += "# TYPE buckthorngate_call_seconds histogram\n" +
         calls_.Render("buckthorngate_call_seconds", "");
  Line(out, "buckthorngate_call_seconds_max", LongestCall());
  out += "# TYPE buckthorngate_request_seconds histogram\n";
  for (const CallSide side : {CallSide::kEntry, CallSide::kDestination}) {
    out += requests_.at(static_cast<size_t>(side))
               .Render("buckthorngate_request_seconds",
                       "side=\"" + std::string(NameOf(side)) + "\"");
  }
  out += RenderCuts();
  Line(out, "buckthorngate_retries_total",
       static_cast<double>(retries_.load()));
  Line(out, "buckthorngate_control_bytes_total{direction=\"in\"}",
       static_cast<double>(control_bytes_in_.load()));
  Line(out, "buckthorngate_control_bytes_total{direction=\"out\"}",
       static_cast<double>(control_bytes_out_.load()));
  Line(out, "buckthorngate_revision", static_cast<double>(revision_.load()));
  return out;
}

}  // namespace buckthorngate::blackboard
