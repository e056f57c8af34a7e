// Retry-After delay for callers whose requests were refused.
#ifndef SRC_REQUEST_RETRY_AFTER_H_
#define SRC_REQUEST_RETRY_AFTER_H_

#include <cstdint>

#include "base/random.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"

namespace buckthorngate::request {

// Time after which the caller should send a request again that was refused with
// this code. Randomized, so that callers do not retry at the same time. Zero if
// sending it again is of no use.
base::Duration RetryAfterDelay(ResultCode code, base::Random& random);

// The same for a request that may find room after `room`. The random addition
// is smaller for urgent requests, so that these tend to come first.
base::Duration RetryAfterForecast(base::Duration room,
                                  uint32_t priority,
                                  base::Random& random);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_RETRY_AFTER_H_
