// Log lines of requests that ended without a complete answer.
#include "daemon/serving/cut_log.h"

#include <string>

#include "base/events.h"

namespace buckthorngate::daemon::serving {

void LogCutCall(const std::string& side, const http::CutCall& call) {
  // Callers may disconnect at any rate, and hedged requests do so routinely.
  // They are logged as a separate event so that they don't use up the rate
  // limit of the event that reports the daemon's own faults.
  const base::EventId event = call.cause_ == http::CutCause::kCallerLeft
                                  ? base::EventId::kCallerLeft
                                  : base::EventId::kCallCut;
  base::LogEvent(event,
                 {{"request", call.id_},
                  {"side", side},
                  {"cause", std::string(NameOf(call.cause_))},
                  {"detail", call.detail_},
                  {"stage", std::string(NameOf(call.stage_))},
                  {"status", std::to_string(call.status_)},
                  {"sent", std::to_string(call.body_sent_)},
                  {"of", call.body_length_ ? std::to_string(*call.body_length_)
                                           : "unknown"},
                  {"answered_after", call.answered_after_ ? "true" : "false"},
                  {"us", std::to_string(call.since_read_.count())}});
}

}  // namespace buckthorngate::daemon::serving
