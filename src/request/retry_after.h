// When a caller that was refused should come back.
#ifndef SRC_REQUEST_RETRY_AFTER_H_
#define SRC_REQUEST_RETRY_AFTER_H_

#include "base/random.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"

namespace buckthorngate::request {

// Spread at random, so that callers do not return together; zero if coming
// back is of no use.
base::Duration RetryAfterDelay(ResultCode code, base::Random& random);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_RETRY_AFTER_H_
