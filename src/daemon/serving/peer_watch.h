// Peer failure detection: monitors the daemons that requests wait for, and
// notifies the requests whose daemon has become unresponsive or unreachable.
//
// The watch aborts no request: a daemon that answers no probe may be behind a
// congested link, with the endpoint at work or the answer already in transit.
#ifndef SRC_DAEMON_SERVING_PEER_WATCH_H_
#define SRC_DAEMON_SERVING_PEER_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "request/peer_failure_detector.h"

namespace buckthorngate::daemon::serving {

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

  // Called on the loop's thread while the request waits.
  struct Listener {
    // The peer has answered neither requests nor probes for a short time.
    std::function<void()> on_unresponsive_ = [] {};
    // A probe has timed out, and nothing has arrived from the peer since it was
    // sent. Called once.
    std::function<void()> on_unreachable_ = [] {};
  };

  // One request that waits for a peer. May outlive the watch once it has ended.
  class PendingRequest {
   public:
    PendingRequest(PeerWatch& watch, std::string peer, Listener listener);
    ~PendingRequest();
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

    // The request no longer waits, since the peer has answered or the exchange
    // has failed.
    void End(bool answered);

   private:
    friend class PeerWatch;

    PeerWatch& watch_;
    const std::string peer_;
    const Listener listener_;
    const uint64_t id_;
    bool waiting_ = true;
    // on_unreachable_ was called.
    bool told_unreachable_ = false;
  };

 private:
  // Checks all peers periodically, while any request waits.
  http::Task<void> RunChecks();
  // Probes a peer; notifies its requests if it is unreachable.
  http::Task<void> Probe(std::string peer);
  void NotifyUnresponsive(const std::string& peer);
  void NotifyUnreachable(const std::string& peer);

  const base::Clock& clock_;
  http::EventLoop& loop_;
  PeerProbe& probe_;
  request::PeerFailureDetector failure_detector_;
  // Invariant: the same requests as in failure_detector_.
  std::map<uint64_t, PendingRequest*> pending_;
  uint64_t next_id_ = 1;
  bool running_ = false;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_PEER_WATCH_H_
