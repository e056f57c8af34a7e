// Retry-After delay by the result code of a refusal.
#include "request/retry_after.h"

#include <algorithm>

namespace buckthorngate::request {
namespace {

// Minimum delays. Up to the same time again is added at random, so that callers
// do not retry at the same time.
constexpr base::Duration kOverloadDelay = std::chrono::milliseconds(100);
constexpr base::Duration kUnreachableDelay = std::chrono::milliseconds(150);
constexpr base::Duration kStartingDelay = std::chrono::milliseconds(250);
// Random addition to a forecast, as a share of it for each step of priority.
constexpr int kForecastJitterDivisor = 8;
constexpr uint32_t kMaxJitterSteps = 4;

}  // namespace

base::Duration RetryAfterDelay(ResultCode code, base::Random& random) {
  base::Duration min_delay{0};
  switch (code) {
    case ResultCode::kEndpointOverloaded:
    case ResultCode::kUpstreamShed:
    case ResultCode::kOverloaded:
      min_delay = kOverloadDelay;
      break;
    case ResultCode::kBelowFloor:
    case ResultCode::kNoEndpoint:
      min_delay = kStartingDelay;
      break;
    case ResultCode::kNoRoute:
    case ResultCode::kKeyMissing:
    case ResultCode::kKeyReused:
    case ResultCode::kAccountKeyMissing:
    case ResultCode::kAccountKeyUnknown:
      return min_delay;
    default:
      min_delay = kUnreachableDelay;
      break;
  }
  return min_delay + random.Jitter(min_delay);
}

base::Duration RetryAfterForecast(base::Duration room,
                                  uint32_t priority,
                                  base::Random& random) {
  const int steps = static_cast<int>(std::min(priority + 1, kMaxJitterSteps));
  return room + random.Jitter(room * steps / kForecastJitterDivisor);
}

}  // namespace buckthorngate::request
