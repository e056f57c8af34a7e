// Logging of cut calls: requests that ended without a complete answer.
#ifndef SRC_DAEMON_SERVING_CUT_LOG_H_
#define SRC_DAEMON_SERVING_CUT_LOG_H_

#include <string>

#include "http/cut_call.h"

namespace buckthorngate::daemon::serving {

// `side` is the name of the server that received the request.
void LogCutCall(const std::string& side, const http::CutCall& call);

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_CUT_LOG_H_
