// The proxy role: its orderly shutdown.
#include <chrono>
#include <functional>
#include <thread>

#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {
namespace {

// Times of a shutdown, from its start unless said otherwise. Callers have
// switched to another daemon within this time.
constexpr std::chrono::milliseconds kCallersSwitchTime{2200};
// The readiness check fails from the start on; upstreams are announced as
// draining only after this delay.
constexpr std::chrono::milliseconds kUpstreamDrainDelay{1200};
// The announcement reaches other daemons well within this time.
constexpr std::chrono::milliseconds kDrainPropagationTime{400};
// Reserved at the end of the drain time for the last requests of callers, after
// the upstreams' last ones have ended.
constexpr std::chrono::milliseconds kLastRequestsTime{1000};
// Time to pass on an answer that arrives at its request's deadline.
constexpr std::chrono::milliseconds kLastAnswersTime{200};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
constexpr std::chrono::milliseconds kCloseTimeout{500};
constexpr std::chrono::milliseconds kClosePollInterval{5};

}  // namespace

void ProxyRole::Impl::AwaitIdle(
    const std::function<int64_t()>& busy,
    std::chrono::steady_clock::time_point deadline) {
  loop_.AwaitZero(busy, std::chrono::time_point_cast<base::Duration>(deadline),
                  kDrainPollInterval);
}

void ProxyRole::Impl::Drain() {
  const std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
  const std::chrono::steady_clock::time_point deadline =
      started + settings_.drain_time_;
  // First let the callers switch to another daemon; the upstreams keep serving
  // meanwhile.
  board_.Draining() = true;
  LogStopStep("callers-told", started);
  std::this_thread::sleep_for(kUpstreamDrainDelay);
  upstreams_draining_ = true;
  node_loop_.RunAndWait(
      [this](const base::Now&) { node_->Local().DrainAll(); });
  LogStopStep("peers-told", started);
  std::this_thread::sleep_for(kDrainPropagationTime);
  loop_.RunAndWait([this] { destination_.DrainAll(); });
  LogStopStep("upstreams-refused", started);
  std::this_thread::sleep_until(started + kCallersSwitchTime);
  board_.SetShutdownTime(
      std::chrono::time_point_cast<base::Duration>(deadline) -
      kLastAnswersTime);
  // Requests that run at the upstreams may make nested calls through this
  // daemon, so it accepts calls until those requests have ended.
  AwaitIdle([this] { return destination_.InFlight(); },
            deadline - kLastRequestsTime);
  LogStopStep("slots-awaited", started);
  loop_.RunAndWait([this] { callers_.Drain(); });
  LogStopStep("callers-refused", started);
  AwaitIdle(
      [this] { return static_cast<int64_t>(callers_.ServingConnections()); },
      deadline);
  // Sending an answer to another daemon may take longer than its slot is in
  // use. The port for other daemons stays open until the end: a daemon that
  // refuses connections would be considered terminated.
  AwaitIdle([this] { return static_cast<int64_t>(peers_.OpenCalls()); },
            deadline);
  LogStopStep("calls-awaited", started);
  node_loop_.RunAndWait(
      [this](const base::Now&) { node_->Local().LeaveAll(); });
  LogStopStep("end", started);
  LogOpenCallsAtExit();
}

void ProxyRole::Impl::Stop() {
  if (stopped_ || !started_) {
    return;
  }
  stopped_ = true;
  admin_.Stop();
  CloseConnections();
  loop_.Stop();
  node_loop_.Stop();
}

void ProxyRole::Impl::CloseConnections() {
  // All coroutines must end before the objects that they refer to are
  // destroyed.
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + kCloseTimeout;
  size_t open = 1;
  while (open > 0 && std::chrono::steady_clock::now() < deadline) {
    loop_.RunAndWait([this, &open] {
      callers_.Close();
      peers_.Close();
      open = callers_.Connections() + peers_.Connections() +
             entry_.ParallelAttempts();
    });
    std::this_thread::sleep_for(kClosePollInterval);
  }
}

}  // namespace buckthorngate::daemon::serving
