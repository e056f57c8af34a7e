// Retry decisions.
#include "request/retry.h"

#include <algorithm>
#include <string>

#include "base/http_status.h"

namespace buckthorngate::request {
namespace {

constexpr base::Duration kLeastTimeForRetry = std::chrono::milliseconds(2);

bool Failed(const AttemptOutcome& outcome, bool errors_too) {
  return (errors_too && outcome.status_ == base::kStatusServerError) ||
         outcome.code_ != ResultCode::kOk ||
         outcome.status_ == base::kStatusBadGateway ||
         outcome.status_ == base::kStatusUnavailable ||
         outcome.status_ == base::kStatusGatewayTimeout;
}

}  // namespace

void RetryBudget::NoteFirstTry(uint32_t percent) {
  const int64_t earned = kMilli * percent / 100;
  const int64_t most = kMaxBudgetTokens * kMilli;
  int64_t held = tokens_.load(std::memory_order_relaxed);
  while (held < most &&
         !tokens_.compare_exchange_weak(held, std::min(most, held + earned),
                                        std::memory_order_relaxed)) {
  }
}

bool RetryBudget::Spend(double calls) {
  const int64_t cost =
      static_cast<int64_t>(calls * static_cast<double>(kMilli));
  int64_t held = tokens_.load(std::memory_order_relaxed);
  while (held >= cost) {
    if (tokens_.compare_exchange_weak(held, held - cost,
                                      std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

bool WorthRetry(const AttemptOutcome& outcome, const RetryContext& context) {
  const int turned_away = context.attempts_ - context.reached_;
  const bool no_room = outcome.code_ == ResultCode::kEndpointOverloaded &&
                       turned_away >= kMaxOverloaded;
  if (no_room || !Failed(outcome, context.retries_errors_) ||
      context.reached_ >= context.most_reached_ ||
      turned_away >= kMaxTurnedAway || context.left_ < kLeastTimeForRetry ||
      !context.body_replayable_) {
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
