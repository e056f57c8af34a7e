// Metrics of a daemon.
#include "blackboard/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <functional>
#include <mutex>
#include <thread>

namespace buckthorngate::blackboard {
namespace {

namespace acc = boost::accumulators;
using P99 = acc::accumulator_set<double,
                                 acc::stats<acc::tag::count,
                                            acc::tag::sum,
                                            acc::tag::max,
                                            acc::tag::p_square_quantile>>;

constexpr size_t kShards = 8;
constexpr double kReportedQuantile = 0.99;

void Line(std::string& out, const std::string& name, double value) {
  out += name + " " + std::to_string(value) + "\n";
}

}  // namespace

struct Metrics::Latencies {
  struct Shard {
    std::mutex mutex_;
    P99 seconds_{acc::quantile_probability = kReportedQuantile};
  };
  std::array<Shard, kShards> shards_;
};

Metrics::Metrics() : latencies_(std::make_unique<Latencies>()) {}
Metrics::~Metrics() = default;

void Metrics::CountResult(ResultCode code) {
  results_.at(static_cast<size_t>(code))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::NoteCall(base::Duration latency) {
  const size_t index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  Latencies::Shard& shard = latencies_->shards_[index];
  const std::lock_guard<std::mutex> lock(shard.mutex_);
  shard.seconds_(std::chrono::duration<double>(latency).count());
}

void Metrics::SetControlBytes(uint64_t in, uint64_t out) {
  control_bytes_in_ = in;
  control_bytes_out_ = out;
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
  double count = 0.0;
  double sum = 0.0;
  double most = 0.0;
  double p99 = 0.0;
  for (Latencies::Shard& shard : latencies_->shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const double calls = static_cast<double>(acc::count(shard.seconds_));
    if (calls == 0.0) {
      continue;
    }
    count += calls;
    sum += acc::sum(shard.seconds_);
    most = std::max(most, acc::max(shard.seconds_));
    // The largest of the shards' quantiles bounds the whole's from above.
    p99 = std::max(p99, acc::p_square_quantile(shard.seconds_));
  }
  out += "# TYPE buckthorngate_call_seconds summary\n";
  Line(out, "buckthorngate_call_seconds{quantile=\"0.99\"}", p99);
  Line(out, "buckthorngate_call_seconds_sum", sum);
  Line(out, "buckthorngate_call_seconds_count", count);
  Line(out, "buckthorngate_call_seconds_max", most);
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
