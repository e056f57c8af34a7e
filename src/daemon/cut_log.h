// Log lines of requests that ended without a whole answer.
#ifndef SRC_DAEMON_CUT_LOG_H_
#define SRC_DAEMON_CUT_LOG_H_

#include <string_view>

#include "http/cut_call.h"

namespace buckthorngate::daemon {

// `side` is "entry" for calls of callers and "destination" for calls of other
// daemons.
void LogCutCall(std::string_view side, const http::CutCall& call);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_CUT_LOG_H_
