// Offline schedule with full knowledge.
#include "overload_oracle.h"

#include <algorithm>
#include <numeric>

namespace buckthorngate::benchmark {
namespace {

// Resolution of the schedule.
constexpr base::Duration kBucket = std::chrono::milliseconds(5);
constexpr base::Duration kHop = std::chrono::microseconds(600);

// Slot time of one endpoint that is still free, by bucket.
class Timeline {
 public:
  Timeline(uint32_t slots, double speed, base::Duration length)
      : speed_(speed),
        free_us_(static_cast<size_t>(length / kBucket) + 1,
                 static_cast<double>(slots) *
                     static_cast<double>(kBucket.count())) {}

  double Speed() const { return speed_; }

  // Reserves slot time for work within [from, to), as late or as early as
  // possible; false if there is not enough.
  bool Place(base::Duration work,
             base::Duration from,
             base::Duration to,
             bool late) {
    const double bucket_us = static_cast<double>(kBucket.count());
    const size_t first = static_cast<size_t>(from / kBucket);
    const size_t last =
        std::min(static_cast<size_t>(to / kBucket), free_us_.size());
    double left = static_cast<double>(work.count()) / speed_;
    std::vector<std::pair<size_t, double>> taken;
    for (size_t i = first; i < last && left > 0.0; ++i) {
      const size_t bucket = late ? last - 1 - (i - first) : i;
      const double part =
          std::min({left, bucket_us, std::max(free_us_[bucket], 0.0)});
      taken.emplace_back(bucket, part);
      left -= part;
    }
    if (left > 0.0) {
      return false;
    }
    for (const auto& [bucket, part] : taken) {
      free_us_[bucket] -= part;
    }
    return true;
  }

 private:
  double speed_;
  std::vector<double> free_us_;
};

double ScheduleValue(const ModelOptions& options,
                     const std::vector<ModelArrival>& arrivals,
                     bool late) {
  const ModelService& service = options.services_.front();
  const base::Duration length = options.length_ + std::chrono::seconds(10);
  std::vector<Timeline> timelines;
  for (const ModelService::Endpoint& endpoint : service.endpoints_) {
    timelines.emplace_back(service.slots_, endpoint.speed_, length);
  }
  std::sort(timelines.begin(), timelines.end(),
            [](const Timeline& a, const Timeline& b) {
              return a.Speed() > b.Speed();
            });
  const auto density = [&options](const ModelArrival& arrival) {
    return request::PriorityWeight(options.kinds_[arrival.kind_].priority_) /
           static_cast<double>(arrival.work_.count());
  };
  std::vector<ModelArrival> sorted = arrivals;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [&density](const ModelArrival& a, const ModelArrival& b) {
                     return density(a) > density(b);
                   });
  double value = 0.0;
  const auto place_all = [&](bool in_time, double share) {
    std::vector<ModelArrival> left;
    for (const ModelArrival& arrival : sorted) {
      const ModelKind& kind = options.kinds_[arrival.kind_];
      const base::Duration limit = in_time ? kind.objective_ : kind.deadline_;
      const bool placed = std::any_of(
          timelines.begin(), timelines.end(), [&](Timeline& timeline) {
            return timeline.Place(arrival.work_, arrival.time_ + kHop,
                                  arrival.time_ + limit - kHop, late);
          });
      if (!placed) {
        left.push_back(arrival);
      } else if (arrival.time_ >= options.warm_up_) {
        value += share * request::PriorityWeight(kind.priority_);
      }
    }
    sorted = std::move(left);
  };
  place_all(/*in_time=*/true, 1.0);
  place_all(/*in_time=*/false, request::kLateValue);
  return value;
}

}  // namespace

double OracleValue(const ModelOptions& options,
                   const std::vector<ModelArrival>& arrivals) {
  return std::max(ScheduleValue(options, arrivals, /*late=*/false),
                  ScheduleValue(options, arrivals, /*late=*/true));
}

}  // namespace buckthorngate::benchmark
