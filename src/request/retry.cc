// Retry policy and retry budget.
#include "request/retry.h"

#include <algorithm>
#include <string>

#include "base/http_status.h"

namespace buckthorngate::request {
namespace {

// With less time left until the deadline a request is not retried.
constexpr base::Duration kMinTimeForRetry = std::chrono::milliseconds(2);
constexpr int64_t kMilli = 1000;

// Layout of a bucket: its number and its sum in one word.
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

bool Failed(const AttemptOutcome& outcome, bool include_server_errors) {
  return (include_server_errors &&
          outcome.status_ == base::kStatusServerError) ||
         outcome.code_ != ResultCode::kOk ||
         outcome.status_ == base::kStatusBadGateway ||
         outcome.status_ == base::kStatusUnavailable ||
         outcome.status_ == base::kStatusGatewayTimeout;
}

}  // namespace

void RetryBudget::BucketSums::Add(uint64_t bucket, int64_t milli) {
  std::atomic<uint64_t>& place = buckets_[bucket % buckets_.size()];
  const uint64_t number = bucket & kNumberMask;
  uint64_t held = place.load(std::memory_order_relaxed);
  uint64_t next = 0;
  do {
    const int64_t sum = NumberOf(held) == number ? SumOf(held) : 0;
    next = Pack(number, std::max<int64_t>(sum + milli, 0));
  } while (!place.compare_exchange_weak(held, next, std::memory_order_relaxed));
}

int64_t RetryBudget::BucketSums::Sum(uint64_t bucket, uint64_t count) const {
  int64_t sum = 0;
  for (const std::atomic<uint64_t>& place : buckets_) {
    const uint64_t held = place.load(std::memory_order_relaxed);
    const uint64_t age = (bucket - NumberOf(held)) & kNumberMask;
    sum += age < count ? SumOf(held) : 0;
  }
  return sum;
}

void RetryBudget::RecordFirstTry(base::MonoTime now, uint32_t percent) {
  constexpr int64_t kMilliPerPercent = kMilli / 100;
  earned_.Add(now.time_since_epoch() / kBucketTime, kMilliPerPercent * percent);
}

void RetryBudget::Charge(base::MonoTime now, double calls) {
  spent_.Add(now.time_since_epoch() / kBucketTime, ToMilli(calls));
}

bool RetryBudget::TrySpend(base::MonoTime now, double calls, size_t daemons) {
  const uint64_t bucket = now.time_since_epoch() / kBucketTime;
  const int64_t cost = ToMilli(calls);
  const double slack =
      kRetrySlack / static_cast<double>(std::max<size_t>(daemons, 1));
  const bool recently_started = now - started_ < kWindow;
  const int64_t earned =
      recently_started ? 0 : earned_.Sum(bucket, kWindowBuckets);
  const int64_t allowed = earned + ToMilli(slack + rounding_ * calls);
  // Charges first and checks then, so that two threads cannot spend the same
  // budget. The current bucket is still incomplete, so a whole window takes one
  // bucket more.
  spent_.Add(bucket, cost);
  if (spent_.Sum(bucket, kWindowBuckets + 1) <= allowed) {
    return true;
  }
  spent_.Add(bucket, -cost);
  return false;
}

bool IsRetryable(const AttemptOutcome& outcome, const RetryContext& context) {
  // Nobody waits for the answer.
  if (outcome.code_ == ResultCode::kCallerGone) {
    return false;
  }
  const int refused = context.attempts_ - context.reached_;
  const bool overloaded = outcome.code_ == ResultCode::kEndpointOverloaded &&
                          !context.saves_parent_ &&
                          refused >= kMaxOverloadedAttempts;
  if (overloaded || !Failed(outcome, context.retry_server_errors_) ||
      context.reached_ >= context.max_reached_ ||
      refused >= kMaxRefusedAttempts || context.time_left_ < kMinTimeForRetry ||
      !context.body_replayable_) {
    return false;
  }
  if (outcome.not_run_) {
    // Nothing ran, so sending the request again does not multiply work; the
    // budget still counts the retry.
    return true;
  }
  return context.repeatable_ && !context.below_retry_ && !context.suspect_;
}

bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace buckthorngate::request
