// Failure detection of the daemons that requests wait for.
#include "daemon/serving/peer_watch.h"

#include <utility>

#include "base/events.h"
#include "http/client.h"

namespace buckthorngate::daemon::serving {
namespace {

// Short compared to kSilenceBeforeProbe, long enough for the checks to be
// cheap.
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(50);
// If a check comes later than this after the one before, this process was
// suspended or starved of CPU time, and the peers may have responded meanwhile.
constexpr base::Duration kMaxCheckGap = std::chrono::milliseconds(200);
// A request is notified that its peer is unreachable only once it has waited
// for this long itself. The next probe ends soon after.
constexpr base::Duration kMinWaitForUnreachable = request::kProbeInterval;

}  // namespace

http::Task<http::Probed> ConnectionProbe::Probe(const std::string& peer,
                                                base::Duration timeout) {
  return http::AcceptsConnections(loop_, peer, timeout);
}

PeerWatch::PeerWatch(const base::Clock& clock,
                     http::EventLoop& loop,
                     PeerProbe& probe)
    : clock_(clock), loop_(loop), probe_(probe) {}

PeerWatch::PendingRequest::PendingRequest(PeerWatch& watch,
                                          std::string peer,
                                          Listener listener)
    : watch_(watch),
      peer_(std::move(peer)),
      listener_(std::move(listener)),
      id_(watch.next_id_++) {
  watch_.failure_detector_.Begin(id_, peer_, watch_.clock_.Read().mono_);
  watch_.pending_[id_] = this;
  if (!std::exchange(watch_.running_, true)) {
    watch_.loop_.Spawn(watch_.RunChecks());
  }
}

PeerWatch::PendingRequest::~PendingRequest() {
  End(/*answered=*/false);
}

void PeerWatch::PendingRequest::End(bool answered) {
  if (std::exchange(waiting_, false)) {
    watch_.pending_.erase(id_);
    watch_.failure_detector_.End(id_, peer_, answered,
                                 watch_.clock_.Read().mono_);
  }
}

void PeerWatch::RecordActivity(const std::string& peer) {
  failure_detector_.RecordActivity(peer, clock_.Read().mono_);
}

http::Task<void> PeerWatch::RunChecks() {
  base::MonoTime last = clock_.Read().mono_;
  while (!failure_detector_.Idle()) {
    co_await http::Sleep(loop_.Context(), kCheckInterval);
    const base::MonoTime now = clock_.Read().mono_;
    if (now - last > kMaxCheckGap) {
      failure_detector_.RestartTimeouts(now);
    }
    last = now;
    for (const std::string& peer : failure_detector_.TakePeersToProbe(now)) {
      NotifyUnresponsive(peer);
      loop_.Spawn(Probe(peer));
    }
  }
  running_ = false;
}

http::Task<void> PeerWatch::Probe(std::string peer) {
  const base::MonoTime began = clock_.Read().mono_;
  const http::Probed found =
      co_await probe_.Probe(peer, request::kProbeTimeout);
  if (found == http::Probed::kReached) {
    RecordActivity(peer);
  } else if (found == http::Probed::kNotMade) {
    failure_detector_.MarkProbeNotSent(peer);
  } else if (failure_detector_.IsUnreachable(peer, began)) {
    NotifyUnreachable(peer);
  }
}

void PeerWatch::NotifyUnresponsive(const std::string& peer) {
  if (!failure_detector_.IsUnresponsive(peer)) {
    return;
  }
  for (const uint64_t id :
       failure_detector_.PendingRequests(peer, base::MonoTime::max())) {
    pending_.at(id)->listener_.on_unresponsive_();
  }
}

void PeerWatch::NotifyUnreachable(const std::string& peer) {
  size_t notified = 0;
  for (const uint64_t id : failure_detector_.PendingRequests(
           peer, clock_.Read().mono_ - kMinWaitForUnreachable)) {
    PendingRequest& pending = *pending_.at(id);
    if (!std::exchange(pending.told_unreachable_, true)) {
      ++notified;
      pending.listener_.on_unreachable_();
    }
  }
  if (notified > 0) {
    base::LogEvent(base::EventId::kPeerUnreachable,
                   {{"peer", peer}, {"waiting", std::to_string(notified)}});
  }
}

}  // namespace buckthorngate::daemon::serving
