// Logs the work that is in flight while a daemon shuts down.
#include <string>

#include "base/events.h"
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {

ProxyRole::Impl::OpenWork ProxyRole::Impl::CountOpenWork() {
  OpenWork open;
  loop_.RunAndWait([this, &open] {
    open.slots_ = destination_.InFlight();
    open.caller_calls_ = callers_.OpenCalls();
    open.peer_calls_ = peers_.OpenCalls();
  });
  return open;
}

void ProxyRole::Impl::LogStopStep(
    std::string_view step,
    std::chrono::steady_clock::time_point started) {
  const OpenWork open = CountOpenWork();
  const std::chrono::milliseconds since =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - started);
  base::LogEvent(base::EventId::kStopStep,
                 {{"step", std::string(step)},
                  {"slots", std::to_string(open.slots_)},
                  {"caller_calls", std::to_string(open.caller_calls_)},
                  {"peer_calls", std::to_string(open.peer_calls_)},
                  {"ms", std::to_string(since.count())}});
}

void ProxyRole::Impl::LogOpenCallsAtExit() {
  const OpenWork open = CountOpenWork();
  if (open.slots_ == 0 && open.caller_calls_ == 0 && open.peer_calls_ == 0) {
    return;
  }
  base::LogEvent(base::EventId::kStopOpen,
                 {{"slots", std::to_string(open.slots_)},
                  {"caller_calls", std::to_string(open.caller_calls_)},
                  {"peer_calls", std::to_string(open.peer_calls_)}});
  loop_.RunAndWait([this] {
    callers_.TellOpen();
    peers_.TellOpen();
  });
}

}  // namespace buckthorngate::daemon::serving
