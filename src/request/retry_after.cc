// Return times by the reason of a refusal.
#include "request/retry_after.h"

namespace buckthorngate::request {
namespace {

// When to come back after a refusal; the same time again is added at random,
// so that callers do not return together.
constexpr base::Duration kReturnWhenFull = std::chrono::milliseconds(100);
constexpr base::Duration kReturnWhenUnreachable =
    std::chrono::milliseconds(150);
constexpr base::Duration kReturnWhenStarting = std::chrono::milliseconds(250);

}  // namespace

base::Duration RetryAfterDelay(ResultCode code, base::Random& random) {
  base::Duration least{0};
  switch (code) {
    case ResultCode::kEndpointOverloaded:
    case ResultCode::kUpstreamShed:
    case ResultCode::kOverloaded:
      least = kReturnWhenFull;
      break;
    case ResultCode::kBelowFloor:
    case ResultCode::kNoEndpoint:
      least = kReturnWhenStarting;
      break;
    case ResultCode::kNoRoute:
    case ResultCode::kKeyMissing:
    case ResultCode::kKeyReused:
      return least;
    default:
      least = kReturnWhenUnreachable;
      break;
  }
  return least + random.Jitter(least);
}

}  // namespace buckthorngate::request
