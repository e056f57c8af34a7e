// Precedence classes.
#include "request/precedence_policy.h"

#include <algorithm>
#include <tuple>

namespace buckthorngate::request {
namespace {

// Weight of a new sample in the moving averages of service times.
constexpr double kAverageWeight = 0.1;
// Ratio of the 80th percentile of service times to their average: about four
// of five requests take at most this multiple of the usual time.
constexpr double kP80Factor = 1.3;
// A waiter of the same precedence class is preempted only by a request whose
// objective is sooner by more than this.
constexpr base::Duration kPreemptionMargin = std::chrono::milliseconds(100);
// Kinds with averages of their own; the others use the average of all requests.
constexpr size_t kMaxKinds = 64;

base::Duration Scale(base::Duration time, double factor) {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

// Adds a sample to an exponential moving average.
void UpdateAverage(base::Duration& average, base::Duration sample) {
  average = average.count() == 0
                ? sample
                : average + Scale(sample - average, kAverageWeight);
}

}  // namespace

base::Duration PrecedencePolicy::UsualTimeOf(const std::string& kind) const {
  const auto found = usual_time_by_kind_.find(kind);
  return found == usual_time_by_kind_.end() ? usual_time_ : found->second;
}

base::Duration PrecedencePolicy::P80TimeOf(const std::string& kind) const {
  return Scale(UsualTimeOf(kind), kP80Factor);
}

bool PrecedencePolicy::CanFinish(const AdmissionRequest& request,
                                 const QueueState& state) const {
  return state.now_ + UsualTimeOf(request.kind_) <= request.deadline_;
}

bool PrecedencePolicy::IsLate(const AdmissionRequest& request,
                              base::MonoTime now) const {
  return now + UsualTimeOf(request.kind_) > request.objective_;
}

PrecedencePolicy::Precedence PrecedencePolicy::PrecedenceOf(
    const AdmissionRequest& request,
    base::MonoTime now) const {
  return {request.Rank(), IsLate(request, now)};
}

bool PrecedencePolicy::Precedes(const AdmissionRequest& a,
                                const AdmissionRequest& b,
                                const QueueState& state) const {
  const auto key = [this, &state](const AdmissionRequest& request) {
    return std::make_tuple(PrecedenceOf(request, state.now_),
                           state.RunningOf(request.caller_),
                           request.objective_);
  };
  return key(a) < key(b);
}

base::Duration PrecedencePolicy::ExpectedWait(const AdmissionRequest& request,
                                              const QueueState& state) const {
  if (request.by_account_) {
    return ExpectedAccountWait(request, state);
  }
  const Precedence precedence = PrecedenceOf(request, state.now_);
  // Work ahead of the request, spread over the slots: the waiters that precede
  // it, and one usual service time for the next slot to become free.
  base::Duration work = usual_time_;
  for (const auto& [ticket, waiter] : state.waiting_) {
    if (PrecedenceOf(waiter, state.now_) <= precedence) {
      work += UsualTimeOf(waiter.kind_);
    }
  }
  return Scale(work, 1.0 / state.limit_);
}

bool PrecedencePolicy::WouldFinishLate(const AdmissionRequest& request,
                                       const QueueState& state) const {
  const base::MonoTime begins = state.now_ + ExpectedWait(request, state);
  if (begins + UsualTimeOf(request.kind_) > request.deadline_) {
    return true;
  }
  // Only the deadline counts for a nested call, since refusing it wastes the
  // slot of the request that waits for it, and for a request that misses its
  // objective in any case.
  if (request.nested_ || IsLate(request, state.now_)) {
    return false;
  }
  return begins + P80TimeOf(request.kind_) > request.objective_;
}

std::optional<uint64_t> PrecedencePolicy::PreemptibleWaiter(
    const AdmissionRequest& request,
    const QueueState& state) const {
  const auto last =
      std::max_element(state.waiting_.begin(), state.waiting_.end(),
                       [this, &state](const auto& a, const auto& b) {
                         return Precedes(a.second, b.second, state);
                       });
  if (last == state.waiting_.end()) {
    return std::nullopt;
  }
  const AdmissionRequest& waiter = last->second;
  const Precedence precedence = PrecedenceOf(request, state.now_);
  const Precedence last_precedence = PrecedenceOf(waiter, state.now_);
  const bool sooner =
      precedence == last_precedence &&
      waiter.objective_ > request.objective_ + kPreemptionMargin;
  if (precedence >= last_precedence && !sooner) {
    return std::nullopt;
  }
  return last->first;
}

bool PrecedencePolicy::MayWait(const AdmissionRequest& request,
                               const QueueState& state,
                               std::vector<uint64_t>& preempted) {
  if (WouldFinishLate(request, state) ||
      ShouldShedLate(MostUrgentOnTimeRank(state), request, state.now_)) {
    return false;
  }
  if (static_cast<double>(state.waiting_.size()) < state.QueueBound(request)) {
    return true;
  }
  std::optional<uint64_t> victim = PreemptibleWaiter(request, state);
  if (!victim) {
    victim = WaiterOfLargestAccount(request, state);
  }
  if (!victim) {
    return false;
  }
  preempted.push_back(*victim);
  return true;
}

std::optional<uint32_t> PrecedencePolicy::MostUrgentOnTimeRank(
    const QueueState& state) const {
  std::optional<uint32_t> most_urgent;
  for (const auto& [ticket, waiter] : state.waiting_) {
    if (!IsLate(waiter, state.now_)) {
      most_urgent =
          std::min(most_urgent.value_or(waiter.Rank()), waiter.Rank());
    }
  }
  return most_urgent;
}

bool PrecedencePolicy::ShouldShedLate(std::optional<uint32_t> on_time_rank,
                                      const AdmissionRequest& request,
                                      base::MonoTime now) const {
  return !request.nested_ && on_time_rank && *on_time_rank <= request.Rank() &&
         IsLate(request, now);
}

std::vector<uint64_t> PrecedencePolicy::Shed(const QueueState& state) const {
  const std::optional<uint32_t> on_time_rank = MostUrgentOnTimeRank(state);
  std::vector<uint64_t> shed;
  for (const auto& [ticket, waiter] : state.waiting_) {
    if (!CanFinish(waiter, state) ||
        ShouldShedLate(on_time_rank, waiter, state.now_)) {
      shed.push_back(ticket);
    }
  }
  return shed;
}

uint64_t PrecedencePolicy::Next(const QueueState& state) const {
  const auto best =
      std::min_element(state.waiting_.begin(), state.waiting_.end(),
                       [this, &state](const auto& a, const auto& b) {
                         return Precedes(a.second, b.second, state);
                       });
  return best->first;
}

void PrecedencePolicy::RecordAdmitted(const AdmissionRequest&, base::MonoTime) {
}

void PrecedencePolicy::RecordServed(const std::string& kind,
                                    base::Duration service_time,
                                    base::MonoTime) {
  UpdateAverage(usual_time_, service_time);
  if (usual_time_by_kind_.size() < kMaxKinds ||
      usual_time_by_kind_.contains(kind)) {
    UpdateAverage(usual_time_by_kind_[kind], service_time);
  }
}

base::Duration PrecedencePolicy::ForecastRoom(const AdmissionRequest&,
                                              const QueueState&) {
  return base::Duration(0);
}

}  // namespace buckthorngate::request
