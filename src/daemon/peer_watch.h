// Watches the daemons that requests wait for, and gives up on those that
// cannot be reached any more.
//
// A request is never given up because its answer takes long: its endpoint may
// be at work, or the answer on its way over a full link.
#ifndef SRC_DAEMON_PEER_WATCH_H_
#define SRC_DAEMON_PEER_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/cancel.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "request/peer_failure_detector.h"

namespace buckthorngate::daemon {

// Asks whether a daemon can be reached.
class PeerProbe {
 public:
  virtual ~PeerProbe() = default;
  // kReached once the peer has answered; kNotReached after `timeout`.
  virtual http::Task<http::Probed> Probe(const std::string& peer,
                                         base::Duration timeout) = 0;
};

// Probes by a connection of its own.
class ConnectionProbe : public PeerProbe {
 public:
  // The loop must outlive the probe.
  explicit ConnectionProbe(http::EventLoop& loop) : loop_(loop) {}
  http::Task<http::Probed> Probe(const std::string& peer,
                                 base::Duration timeout) override;

 private:
  http::EventLoop& loop_;
};

// Used on the loop's thread only.
class PeerWatch {
 public:
  // All must outlive the watch.
  PeerWatch(const base::Clock& clock, http::EventLoop& loop, PeerProbe& probe);

  // Bytes have come from the peer, of whichever answer.
  void Heard(const std::string& peer);

  // One request that waits for a peer. Outlives the watch safely.
  class PendingRequest {
   public:
    PendingRequest(PeerWatch& watch,
                   std::string peer,
                   http::CancelSignal& caller,
                   bool may_abort,
                   std::function<void()> on_unheard);
    ~PendingRequest();
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

    // The peer has answered or failed: it is no longer waited for.
    void End(bool answered);
    // Raised when the caller leaves, or when the peer is given up.
    http::CancelSignal& Cancel() { return cancel_; }
    bool Aborted() const { return aborted_; }

   private:
    friend class PeerWatch;

    PeerWatch& watch_;
    const std::string peer_;
    const bool may_abort_;
    // Told while the peer answers neither requests nor probes.
    const std::function<void()> on_unheard_;
    const uint64_t id_;
    bool waiting_ = true;
    bool aborted_ = false;
    http::CancelSignal cancel_;
    const http::CancelScope link_;
  };

 private:
  // Runs while any request waits.
  http::Task<void> Run();
  http::Task<void> Probe(std::string peer);
  void TellUnheard(const std::string& peer);
  void GiveUp(const std::string& peer);

  const base::Clock& clock_;
  http::EventLoop& loop_;
  PeerProbe& probe_;
  request::PeerFailureDetector silent_;
  // Invariant: exactly the requests that silent_ knows.
  std::map<uint64_t, PendingRequest*> pending_;
  uint64_t next_id_ = 1;
  bool running_ = false;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_PEER_WATCH_H_
