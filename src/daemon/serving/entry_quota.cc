// The entry side: quotas of client accounts.
#include <algorithm>

#include "daemon/serving/entry_call.h"
#include "daemon/serving/quota_gate.h"
#include "request/retry_after.h"

namespace buckthorngate::daemon::serving {
namespace {

constexpr base::Duration kMaxQuotaWait = std::chrono::milliseconds(100);
// A request waits for a token for at most this part of its latency objective.
constexpr int kQuotaWaitDivisor = 4;
constexpr base::Duration kMinQuotaJitter = std::chrono::milliseconds(50);

}  // namespace

http::Task<ResultCode> Entry::Call::AcquireQuota() {
  if (quota_account_.empty() || entry_.quota_ == nullptr) {
    co_return ResultCode::kOk;
  }
  const base::Duration left = objective_ - entry_.clock_.Read().mono_;
  const base::Duration max_wait =
      std::clamp(left / kQuotaWaitDivisor, base::Duration(0), kMaxQuotaWait);
  const request::QuotaDecision decision =
      co_await entry_.quota_->Acquire(quota_account_, max_wait);
  quota_token_expires_ = decision.token_expires_;
  quota_retry_after_ = decision.retry_after_;
  co_return decision.code_;
}

void Entry::Call::GiveBackQuota() {
  if (quota_token_expires_) {
    entry_.quota_->GiveBack(quota_account_, *quota_token_expires_);
    quota_token_expires_.reset();
  }
}

base::Duration Entry::Call::RefusalDelay(ResultCode code) {
  const bool by_quota = code == ResultCode::kQuotaExceeded ||
                        code == ResultCode::kQuotaUnavailable;
  if (!by_quota) {
    return RetryAfter(code);
  }
  // The callers of an account are refused together.
  return quota_retry_after_ +
         entry_.random_.Jitter(std::max(quota_retry_after_, kMinQuotaJitter));
}

}  // namespace buckthorngate::daemon::serving
