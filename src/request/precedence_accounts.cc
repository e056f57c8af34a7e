// Precedence classes: fairness between client accounts.
#include <algorithm>

#include "request/precedence_policy.h"

namespace buckthorngate::request {

std::map<std::string, uint32_t> PrecedencePolicy::WaitingByCaller(
    const AdmissionRequest& request,
    const QueueState& state) const {
  const Precedence precedence = PrecedenceOf(request, state.now_);
  std::map<std::string, uint32_t> counts;
  for (const auto& [ticket, waiter] : state.waiting_) {
    if (PrecedenceOf(waiter, state.now_) <= precedence) {
      ++counts[waiter.caller_];
    }
  }
  return counts;
}

base::Duration PrecedencePolicy::ExpectedAccountWait(
    const AdmissionRequest& request,
    const QueueState& state) const {
  const std::map<std::string, uint32_t> waiting =
      WaitingByCaller(request, state);
  const Precedence precedence = PrecedenceOf(request, state.now_);
  const auto own = waiting.find(request.caller_);
  // Position of the request among those of its account.
  const uint32_t position = state.RunningOf(request.caller_) +
                            (own == waiting.end() ? 0 : own->second) + 1;
  std::map<std::string, uint32_t> left;
  for (const auto& [caller, count] : waiting) {
    const uint32_t running = state.RunningOf(caller);
    left[caller] =
        caller == request.caller_
            ? count
            : std::min(count, position - std::min(position, running));
  }
  base::Duration work = usual_time_;
  for (const auto& [ticket, waiter] : state.waiting_) {
    if (PrecedenceOf(waiter, state.now_) > precedence ||
        left[waiter.caller_] == 0) {
      continue;
    }
    --left[waiter.caller_];
    work += UsualTimeOf(waiter.kind_);
  }
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(work.count()) / state.limit_));
}

std::optional<uint64_t> PrecedencePolicy::WaiterOfLargestAccount(
    const AdmissionRequest& request,
    const QueueState& state) const {
  if (!request.by_account_) {
    return std::nullopt;
  }
  std::map<std::string, uint32_t> counts;
  for (const auto& [ticket, waiter] : state.waiting_) {
    ++counts[waiter.caller_];
  }
  const auto count_of = [&state, &counts](const std::string& caller) {
    const auto found = counts.find(caller);
    return state.RunningOf(caller) +
           (found == counts.end() ? 0 : found->second);
  };
  const Precedence precedence = PrecedenceOf(request, state.now_);
  auto victim = state.waiting_.end();
  for (auto waiter = state.waiting_.begin(); waiter != state.waiting_.end();
       ++waiter) {
    const AdmissionRequest& other = waiter->second;
    if (!other.by_account_ || PrecedenceOf(other, state.now_) < precedence) {
      continue;
    }
    const bool later =
        victim == state.waiting_.end() ||
        count_of(other.caller_) > count_of(victim->second.caller_) ||
        (other.caller_ == victim->second.caller_ &&
         Precedes(victim->second, other, state));
    if (later) {
      victim = waiter;
    }
  }
  if (victim == state.waiting_.end() ||
      count_of(victim->second.caller_) < count_of(request.caller_) + 2) {
    return std::nullopt;
  }
  return victim->first;
}

}  // namespace buckthorngate::request
