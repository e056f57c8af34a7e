// Overload policies for comparison.
#include "overload_policies.h"

#include <algorithm>

namespace buckthorngate::benchmark {
namespace {

using request::AdmissionRequest;
using request::QueueState;

// As in the paper: requests that wait longer than this show overload.
constexpr base::Duration kMaxWait = std::chrono::milliseconds(20);
constexpr base::Duration kPriceWindow = std::chrono::milliseconds(250);
constexpr double kPriceRise = 1.15;
constexpr double kPriceFall = 0.95;
constexpr double kMinPrice = 0.05;
constexpr base::Duration kMinWork = std::chrono::milliseconds(1);

}  // namespace

bool EarliestFirstPolicy::CanFinish(const AdmissionRequest& request,
                                    const QueueState& state) const {
  return state.now_ + work_.Of(request.kind_, state.now_).mean_ <=
         request.deadline_;
}

bool EarliestFirstPolicy::MayWait(const AdmissionRequest& request,
                                  const QueueState& state,
                                  std::vector<uint64_t>&) {
  return static_cast<double>(state.waiting_.size()) < state.QueueBound(request);
}

std::vector<uint64_t> EarliestFirstPolicy::Shed(const QueueState& state) const {
  std::vector<uint64_t> shed;
  for (const auto& [ticket, waiter] : state.waiting_) {
    if (!CanFinish(waiter, state)) {
      shed.push_back(ticket);
    }
  }
  return shed;
}

uint64_t EarliestFirstPolicy::Next(const QueueState& state) const {
  const auto best =
      std::min_element(state.waiting_.begin(), state.waiting_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.objective_ < b.second.objective_;
                       });
  return best->first;
}

void EarliestFirstPolicy::RecordServed(const std::string& kind,
                                       base::Duration service_time,
                                       base::MonoTime now) {
  work_.Record(kind, service_time, now);
}

bool PricePolicy::MayWait(const AdmissionRequest& request,
                          const QueueState& state,
                          std::vector<uint64_t>& preempted) {
  UpdatePrice(state.now_);
  const base::Duration work =
      std::max(work_.Of(request.kind_, state.now_).mean_, kMinWork);
  const double density = request::PriorityWeight(request.priority_) /
                         std::chrono::duration<double>(work).count();
  if (!request.nested_ && density < price_) {
    return false;
  }
  if (!EarliestFirstPolicy::MayWait(request, state, preempted)) {
    return false;
  }
  arrived_[request.ticket_] = state.now_;
  return true;
}

void PricePolicy::RecordAdmitted(const AdmissionRequest& request,
                                 base::MonoTime now) {
  const auto found = arrived_.find(request.ticket_);
  if (found != arrived_.end()) {
    longest_wait_ = std::max(longest_wait_, now - found->second);
    arrived_.erase(found);
  }
  UpdatePrice(now);
}

void PricePolicy::UpdatePrice(base::MonoTime now) {
  if (now - window_began_ < kPriceWindow) {
    return;
  }
  window_began_ = now;
  price_ = longest_wait_ > kMaxWait ? std::max(price_ * kPriceRise, kMinPrice)
                                    : price_ * kPriceFall;
  longest_wait_ = base::Duration(0);
  std::erase_if(arrived_, [now](const auto& entry) {
    return now - entry.second > std::chrono::seconds(10);
  });
}

}  // namespace buckthorngate::benchmark
