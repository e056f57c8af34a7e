// Retry decisions.
#include "request/retry.h"

#include <algorithm>
#include <string>

#include "base/http_status.h"

namespace buckthorngate::request {
namespace {

constexpr base::Duration kLeastTimeForRetry = std::chrono::milliseconds(2);
constexpr int64_t kMilli = 1000;

// A slot's number and sum in one word.
constexpr int kNumberBits = 24;
constexpr uint64_t kNumberMask = (uint64_t{1} << kNumberBits) - 1;

uint64_t Pack(uint64_t number, int64_t sum) {
  return (static_cast<uint64_t>(sum) << kNumberBits) | number;
}
uint64_t NumberOf(uint64_t packed) {
  return packed & kNumberMask;
}
int64_t SumOf(uint64_t packed) {
  return static_cast<int64_t>(packed >> kNumberBits);
}

int64_t ToMilli(double calls) {
  return static_cast<int64_t>(calls * static_cast<double>(kMilli));
}

bool Failed(const AttemptOutcome& outcome, bool errors_too) {
  return (errors_too && outcome.status_ == base::kStatusServerError) ||
         outcome.code_ != ResultCode::kOk ||
         outcome.status_ == base::kStatusBadGateway ||
         outcome.status_ == base::kStatusUnavailable ||
         outcome.status_ == base::kStatusGatewayTimeout;
}

}  // namespace

void RetryBudget::Slots::Add(uint64_t slot, int64_t milli) {
  std::atomic<uint64_t>& place = slots_[slot % slots_.size()];
  const uint64_t number = slot & kNumberMask;
  uint64_t held = place.load(std::memory_order_relaxed);
  uint64_t next = 0;
  do {
    const int64_t sum = NumberOf(held) == number ? SumOf(held) : 0;
    next = Pack(number, std::max<int64_t>(sum + milli, 0));
  } while (!place.compare_exchange_weak(held, next, std::memory_order_relaxed));
}

int64_t RetryBudget::Slots::Sum(uint64_t slot, uint64_t count) const {
  int64_t sum = 0;
  for (const std::atomic<uint64_t>& place : slots_) {
    const uint64_t held = place.load(std::memory_order_relaxed);
    const uint64_t age = (slot - NumberOf(held)) & kNumberMask;
    sum += age < count ? SumOf(held) : 0;
  }
  return sum;
}

void RetryBudget::RecordFirstTry(base::MonoTime now, uint32_t percent) {
  constexpr int64_t kMilliPerPercent = kMilli / 100;
  earned_.Add(now.time_since_epoch() / kSlotTime, kMilliPerPercent * percent);
}

void RetryBudget::Charge(base::MonoTime now, double calls) {
  spent_.Add(now.time_since_epoch() / kSlotTime, ToMilli(calls));
}

bool RetryBudget::TrySpend(base::MonoTime now, double calls, size_t daemons) {
  const uint64_t slot = now.time_since_epoch() / kSlotTime;
  const int64_t cost = ToMilli(calls);
  const double slack =
      kRetrySlack / static_cast<double>(std::max<size_t>(daemons, 1));
  const bool new_here = now - started_ < kWindow;
  const int64_t earned = new_here ? 0 : earned_.Sum(slot, kWindowSlots);
  const int64_t allowed = earned + ToMilli(slack + rounding_ * calls);
  // Spent first and judged then, so that two threads don't spend the same. The
  // slot under way is not yet whole: one more makes a window.
  spent_.Add(slot, cost);
  if (spent_.Sum(slot, kWindowSlots + 1) <= allowed) {
    return true;
  }
  spent_.Add(slot, -cost);
  return false;
}

bool IsRetryable(const AttemptOutcome& outcome, const RetryContext& context) {
  const int turned_away = context.attempts_ - context.reached_;
  const bool no_room = outcome.code_ == ResultCode::kEndpointOverloaded &&
                       turned_away >= kMaxOverloaded;
  if (no_room || !Failed(outcome, context.retry_server_errors_) ||
      context.reached_ >= context.max_reached_ ||
      turned_away >= kMaxTurnedAway ||
      context.time_left_ < kLeastTimeForRetry || !context.body_replayable_) {
    return false;
  }
  if (outcome.not_run_) {
    // Nothing ran, so nothing is multiplied; the budget still counts it.
    return true;
  }
  return context.repeatable_ && !context.below_retry_ && !context.suspect_;
}

bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace buckthorngate::request
