// Peer failure detection: monitors the daemons that requests wait for, and
// aborts requests to those that have become unreachable.
//
// A request is never aborted merely because its answer takes long: its endpoint
// may still be working, or the answer may be in transit over a congested link.
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

// Checks whether a daemon is reachable.
class PeerProbe {
 public:
  virtual ~PeerProbe() = default;
  // kReached once the peer has responded; kNotReached after `timeout`;
  // kNotMade if this process could not open a connection.
  virtual http::Task<http::Probed> Probe(const std::string& peer,
                                         base::Duration timeout) = 0;
};

// Probes by opening a separate TCP connection.
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
  // All references must outlive the watch.
  PeerWatch(const base::Clock& clock, http::EventLoop& loop, PeerProbe& probe);

  // To be called when bytes of any answer have arrived from the peer.
  void RecordActivity(const std::string& peer);

  // One request that waits for a peer. May outlive the watch once it has ended.
  class PendingRequest {
   public:
    PendingRequest(PeerWatch& watch,
                   std::string peer,
                   http::CancelSignal& caller,
                   bool may_abort,
                   std::function<void()> on_unresponsive);
    ~PendingRequest();
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

    // The request no longer waits, since the peer has answered or the exchange
    // has failed.
    void End(bool answered);
    // Raised when the caller leaves or the request is aborted.
    http::CancelSignal& Cancel() { return cancel_; }
    // Whether the request was aborted because the peer is unreachable.
    bool Aborted() const { return aborted_; }

   private:
    friend class PeerWatch;

    PeerWatch& watch_;
    const std::string peer_;
    const bool may_abort_;
    // Called while the peer responds neither to requests nor to probes.
    const std::function<void()> on_unresponsive_;
    const uint64_t id_;
    bool waiting_ = true;
    bool aborted_ = false;
    http::CancelSignal cancel_;
    const http::CancelScope link_;
  };

 private:
  // Checks all peers periodically, while any request waits.
  http::Task<void> RunChecks();
  // Probes a peer; aborts its requests if it is unreachable.
  http::Task<void> Probe(std::string peer);
  void NotifyUnresponsive(const std::string& peer);
  void AbortRequests(const std::string& peer);

  const base::Clock& clock_;
  http::EventLoop& loop_;
  PeerProbe& probe_;
  request::PeerFailureDetector failure_detector_;
  // Invariant: the same requests as in failure_detector_.
  std::map<uint64_t, PendingRequest*> pending_;
  uint64_t next_id_ = 1;
  bool running_ = false;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_PEER_WATCH_H_
