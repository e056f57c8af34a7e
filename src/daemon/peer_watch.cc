// Watch of daemons that requests wait for.
#include "daemon/peer_watch.h"

#include <utility>

#include "base/events.h"
#include "http/client.h"

namespace buckthorngate::daemon {
namespace {

// Often enough for a silence of kSilenceBeforeProbe, seldom enough to cost
// nothing.
constexpr base::Duration kTick = std::chrono::milliseconds(50);
// A tick that comes later than this says that the process was stopped or had no
// processor time.
constexpr base::Duration kLateTick = std::chrono::milliseconds(200);

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
                                          http::CancelSignal& caller,
                                          bool may_abort,
                                          std::function<void()> on_unheard)
    : watch_(watch),
      peer_(std::move(peer)),
      may_abort_(may_abort),
      on_unheard_(std::move(on_unheard)),
      id_(watch.next_id_++),
      link_(caller, [this] { cancel_.Raise(); }) {
  watch_.silent_.Begin(id_, peer_, watch_.clock_.Read().mono_);
  watch_.pending_[id_] = this;
  if (!std::exchange(watch_.running_, true)) {
    watch_.loop_.Spawn(watch_.Run());
  }
}

PeerWatch::PendingRequest::~PendingRequest() {
  End(/*answered=*/false);
}

void PeerWatch::PendingRequest::End(bool answered) {
  if (std::exchange(waiting_, false)) {
    watch_.pending_.erase(id_);
    watch_.silent_.End(id_, peer_, answered, watch_.clock_.Read().mono_);
  }
}

void PeerWatch::Heard(const std::string& peer) {
  silent_.RecordActivity(peer, clock_.Read().mono_);
}

http::Task<void> PeerWatch::Run() {
  base::MonoTime last = clock_.Read().mono_;
  while (!silent_.Idle()) {
    co_await http::Sleep(loop_.Context(), kTick);
    const base::MonoTime now = clock_.Read().mono_;
    if (now - last > kLateTick) {
      silent_.RestartTimeouts(now);
    }
    last = now;
    for (const std::string& peer : silent_.TakePeersToProbe(now)) {
      TellUnheard(peer);
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
    Heard(peer);
  } else if (found == http::Probed::kNotMade) {
    silent_.MarkProbeNotSent(peer);
  } else if (silent_.IsUnreachable(peer, began)) {
    GiveUp(peer);
  }
}

void PeerWatch::TellUnheard(const std::string& peer) {
  if (!silent_.IsUnresponsive(peer)) {
    return;
  }
  for (const uint64_t id : silent_.PendingRequests(peer)) {
    pending_.at(id)->on_unheard_();
  }
}

void PeerWatch::GiveUp(const std::string& peer) {
  size_t given_up = 0;
  for (const uint64_t id : silent_.PendingRequests(peer)) {
    PendingRequest& pending = *pending_.at(id);
    if (pending.may_abort_) {
      ++given_up;
      pending.aborted_ = true;
      pending.cancel_.Raise();
    }
  }
  base::LogEvent(base::EventId::kPeerUnreachable,
                 {{"peer", peer}, {"given_up", std::to_string(given_up)}});
}

}  // namespace buckthorngate::daemon
