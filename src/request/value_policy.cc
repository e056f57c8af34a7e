// Value per unit of work.
#include "request/value_policy.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace buckthorngate::request {
namespace {

// A new request replaces waiters only if it is worth more by this factor, since
// the time that they have waited would be lost.
constexpr double kPreemptionFactor = 1.25;
// Requests whose density is within this factor of the least are equally cheap;
// among them one of the caller with the most requests is refused.
constexpr double kEqualDensity = 1.05;
// The least work that a density is computed with.
constexpr base::Duration kMinWork = std::chrono::milliseconds(1);
// Callers that are watched for starvation.
constexpr size_t kMaxCallers = 256;
constexpr size_t kMaxForecasts = 128;
// A request that comes back has a deadline that differs by less than this from
// the one before: deadlines travel in whole milliseconds.
constexpr base::Duration kSameDeadline = std::chrono::milliseconds(4);
// Callers come back up to this much earlier than they were told, and a forecast
// is kept for kForecastLifetime after its time.
constexpr base::Duration kEarlyReturn = std::chrono::milliseconds(20);
constexpr base::Duration kForecastLifetime = std::chrono::seconds(1);
// Callers wait at most this share of their remaining time.
constexpr int kMaxWaitShare = 3;
// Range of forecasts. Sooner returns cost the entry more than they gain.
constexpr base::Duration kMinForecast = std::chrono::milliseconds(20);
constexpr base::Duration kMaxForecast = std::chrono::seconds(2);

base::Duration Scale(base::Duration time, double factor) {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

bool ValuePolicy::Item::Precedes(const Item& other) const {
  return std::tie(tier_, class_, due_, ticket_) <
         std::tie(other.tier_, other.class_, other.due_, other.ticket_);
}

bool ValuePolicy::CanFinish(const AdmissionRequest& request,
                            const QueueState& state) const {
  return state.now_ + work_.Of(request.kind_, state.now_).mean_ <=
         request.deadline_;
}

ValuePolicy::Item ValuePolicy::MakeItem(const AdmissionRequest& request,
                                        const QueueState& state) const {
  Item item;
  item.ticket_ = request.ticket_;
  item.work_ = work_.Of(request.kind_, state.now_);
  const bool late = state.now_ + item.work_.mean_ > request.objective_;
  item.due_ = request.nested_ || late ? request.deadline_ : request.objective_;
  const double value =
      PriorityWeight(request.priority_) * (late ? kLateValue : 1.0);
  const base::Duration work = std::max(item.work_.mean_, kMinWork);
  item.density_ = value / std::chrono::duration<double>(work).count();
  item.class_ = DensityClass(item.density_);
  item.caller_requests_ = state.RunningOf(request.caller_);
  if (request.nested_) {
    item.tier_ = Tier::kNested;
  } else if (IsStarved(request, state.now_) ||
             HasForecast(request, state.now_)) {
    item.tier_ = Tier::kProtected;
  }
  return item;
}

std::vector<ValuePolicy::Item> ValuePolicy::MakePlan(
    const QueueState& state) const {
  std::vector<Item> plan;
  plan.reserve(state.waiting_.size() + 1);
  for (const auto& [ticket, waiter] : state.waiting_) {
    plan.push_back(MakeItem(waiter, state));
  }
  std::sort(plan.begin(), plan.end(),
            [](const Item& a, const Item& b) { return a.Precedes(b); });
  return plan;
}

std::vector<base::MonoTime> ValuePolicy::SlotTimes(
    const QueueState& state) const {
  std::vector<base::MonoTime> times;
  for (const auto& [ticket, running] : state.running_) {
    const WorkEstimate work = work_.Of(running.request_.kind_, state.now_);
    // A request that has taken longer than usual is expected to take its
    // deviation more.
    times.push_back(std::max(running.began_ + work.mean_,
                             state.now_ + work.deviation_ / 2));
  }
  const size_t slots = static_cast<size_t>(std::floor(state.limit_));
  std::sort(times.begin(), times.end());
  if (times.size() > slots) {
    // The limit has fallen: the first ones to end free no slot.
    times.erase(times.begin(),
                times.end() - static_cast<std::ptrdiff_t>(slots));
  }
  times.resize(slots, state.now_);
  std::make_heap(times.begin(), times.end(), std::greater<>());
  return times;
}

size_t ValuePolicy::FirstMissed(const std::vector<Item>& plan,
                                std::vector<base::MonoTime> slots,
                                base::MonoTime now) {
  for (size_t i = 0; i < plan.size(); ++i) {
    std::pop_heap(slots.begin(), slots.end(), std::greater<>());
    const base::MonoTime begins = std::max(slots.back(), now);
    const Item& item = plan[i];
    // A request that has to wait needs a margin; one that starts now has none
    // to lose.
    const base::Duration needed = begins > now && item.tier_ != Tier::kNested
                                      ? item.work_.P80()
                                      : item.work_.mean_;
    if (begins + needed > item.due_) {
      return i;
    }
    slots.back() = begins + item.work_.mean_;
    std::push_heap(slots.begin(), slots.end(), std::greater<>());
  }
  return plan.size();
}

size_t ValuePolicy::CheapestOf(const std::vector<Item>& plan, size_t count) {
  // The last one is refused if all others have to be kept.
  size_t cheapest = count - 1;
  const auto is_ordinary = [](const Item& item) {
    return item.tier_ == Tier::kOrdinary;
  };
  for (size_t i = 0; i < count; ++i) {
    if (!is_ordinary(plan[i])) {
      continue;
    }
    const Item& best = plan[cheapest];
    const bool cheaper = plan[i].density_ * kEqualDensity < best.density_;
    const bool equal = plan[i].density_ < best.density_ * kEqualDensity;
    if (!is_ordinary(best) || cheaper ||
        (equal && plan[i].caller_requests_ > best.caller_requests_)) {
      cheapest = i;
    }
  }
  return cheapest;
}

std::vector<uint64_t> ValuePolicy::MakeFeasible(std::vector<Item>& plan,
                                                const QueueState& state) const {
  std::vector<uint64_t> removed;
  const std::vector<base::MonoTime> slots = SlotTimes(state);
  size_t missed = FirstMissed(plan, slots, state.now_);
  while (missed < plan.size()) {
    const size_t cheapest = CheapestOf(plan, missed + 1);
    removed.push_back(plan[cheapest].ticket_);
    plan.erase(plan.begin() + static_cast<std::ptrdiff_t>(cheapest));
    missed = FirstMissed(plan, slots, state.now_);
  }
  return removed;
}

bool ValuePolicy::MayWait(const AdmissionRequest& request,
                          const QueueState& state,
                          std::vector<uint64_t>& preempted) {
  RecordDemand(request, state.now_);
  std::vector<Item> plan = MakePlan(state);
  Item item = MakeItem(request, state);
  if (item.tier_ == Tier::kOrdinary) {
    item.density_ /= kPreemptionFactor;
  }
  const auto place = std::upper_bound(
      plan.begin(), plan.end(), item,
      [](const Item& a, const Item& b) { return a.Precedes(b); });
  plan.insert(place, item);
  std::vector<uint64_t> removed = MakeFeasible(plan, state);
  if (static_cast<double>(plan.size()) > state.QueueBound(request)) {
    const size_t cheapest = CheapestOf(plan, plan.size());
    removed.push_back(plan[cheapest].ticket_);
  }
  if (std::find(removed.begin(), removed.end(), request.ticket_) !=
      removed.end()) {
    return false;
  }
  preempted = std::move(removed);
  return true;
}

std::vector<uint64_t> ValuePolicy::Shed(const QueueState& state) const {
  std::vector<Item> plan = MakePlan(state);
  return MakeFeasible(plan, state);
}

uint64_t ValuePolicy::Next(const QueueState& state) const {
  return MakePlan(state).front().ticket_;
}

bool ValuePolicy::IsStarved(const AdmissionRequest& request,
                            base::MonoTime now) const {
  const auto for_too_long = [now](const auto& unserved, const auto& key) {
    const auto found = unserved.find(key);
    return found != unserved.end() && now - found->second > kStarvationBound;
  };
  return for_too_long(class_unserved_, request.priority_) ||
         for_too_long(caller_unserved_, request.caller_);
}

void ValuePolicy::RecordDemand(const AdmissionRequest& request,
                               base::MonoTime now) {
  class_unserved_.try_emplace(request.priority_, now);
  if (caller_unserved_.size() < kMaxCallers) {
    caller_unserved_.try_emplace(request.caller_, now);
  }
}

void ValuePolicy::RecordAdmitted(const AdmissionRequest& request,
                                 base::MonoTime now) {
  class_unserved_.erase(request.priority_);
  caller_unserved_.erase(request.caller_);
  std::erase_if(forecasts_, [&request](const Forecast& forecast) {
    return forecast.kind_ == request.kind_ &&
           std::chrono::abs(forecast.deadline_ - request.deadline_) <
               kSameDeadline;
  });
  std::erase_if(forecasts_, [now](const Forecast& forecast) {
    return forecast.due_ + kForecastLifetime < now;
  });
}

void ValuePolicy::RecordServed(const std::string& kind,
                               base::Duration service_time,
                               base::MonoTime now) {
  work_.Record(kind, service_time, now);
}

bool ValuePolicy::HasForecast(const AdmissionRequest& request,
                              base::MonoTime now) const {
  return std::any_of(
      forecasts_.begin(), forecasts_.end(),
      [&request, now](const Forecast& forecast) {
        return forecast.kind_ == request.kind_ &&
               std::chrono::abs(forecast.deadline_ - request.deadline_) <
                   kSameDeadline &&
               now + kEarlyReturn >= forecast.due_;
      });
}

base::Duration ValuePolicy::ForecastRoom(const AdmissionRequest& request,
                                         const QueueState& state) {
  const WorkEstimate work = work_.Of(request.kind_, state.now_);
  base::Duration queued{0};
  for (const auto& [ticket, waiter] : state.waiting_) {
    queued += work_.Of(waiter.kind_, state.now_).mean_;
  }
  const base::MonoTime free_at =
      SlotTimes(state).front() + Scale(queued, 1.0 / state.limit_);
  const base::MonoTime due =
      std::clamp(std::max(free_at, promised_until_), state.now_ + kMinForecast,
                 state.now_ + kMaxForecast);
  const base::Duration left = request.deadline_ - state.now_;
  const bool returns = (due - state.now_) * kMaxWaitShare <= left &&
                       due + work.mean_ <= request.deadline_;
  if (returns) {
    promised_until_ = due + Scale(work.mean_, 1.0 / state.limit_);
    forecasts_.push_back({request.kind_, request.deadline_, due});
    if (forecasts_.size() > kMaxForecasts) {
      forecasts_.pop_front();
    }
  }
  return due - state.now_;
}

}  // namespace buckthorngate::request
