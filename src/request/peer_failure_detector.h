// Failure detector for the daemons (peers) that requests wait for.
//
// A repeatable request need not wait for its deadline when its destination is
// partitioned or has lost power. A missing answer alone does not prove that:
// requests take time to run, and packets are delayed on a saturated link.
// Therefore a peer that sends nothing for a while is probed. It is considered
// unreachable only if a probe is not answered within a timeout that covers all
// queues on the path, and nothing else has arrived from it meanwhile.
#ifndef SRC_REQUEST_PEER_FAILURE_DETECTOR_H_
#define SRC_REQUEST_PEER_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace buckthorngate::request {

// A peer is probed after sending nothing for this long. Single requests often
// take longer, but rarely all requests to one daemon at the same time.
inline constexpr base::Duration kSilenceBeforeProbe =
    std::chrono::milliseconds(120);
// Interval of repeated probes, since a packet of a probe may be lost.
inline constexpr base::Duration kProbeInterval = std::chrono::milliseconds(250);
// If all slots of a host answer at the same time, they saturate its link for
// most of a second, and a lost packet of a probe is retransmitted after one
// second.
inline constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(1600);
// The endpoints of an unresponsive peer are ejected for this long; renewed with
// each further probe.
inline constexpr base::Duration kUnresponsiveEjectionTime =
    std::chrono::milliseconds(600);

// Not safe for concurrent use.
class PeerFailureDetector {
 public:
  // Registers a request that waits for an answer of `peer` from now on.
  void Begin(uint64_t request, const std::string& peer, base::MonoTime now);
  // Removes a request. `answered`: the peer has sent any data, which counts as
  // activity of the peer.
  void End(uint64_t request,
           const std::string& peer,
           bool answered,
           base::MonoTime now);
  // Records that the peer is reachable: it has sent data or answered a probe.
  void RecordActivity(const std::string& peer, base::MonoTime now);

  // Records that the last probe of the peer could not be sent, so that it does
  // not count as unanswered. The next one is due after kProbeInterval, as after
  // a probe that was sent.
  void MarkProbeNotSent(const std::string& peer);

  // Restarts the timeouts of all peers after this process was stalled: data
  // that peers sent during the stall may not have been read yet.
  void RestartTimeouts(base::MonoTime now);

  // Returns the peers to be probed now, and records the probes. These are the
  // peers that have sent nothing for kSilenceBeforeProbe while a request waited
  // all that time, and that were not probed within kProbeInterval.
  std::vector<std::string> TakePeersToProbe(base::MonoTime now);
  // Whether the peer has left a probe unanswered for kProbeInterval, so that it
  // was probed again. It may still be reachable, but other peers should be
  // preferred.
  bool IsUnresponsive(const std::string& peer) const;
  // To be called when a probe that began at `since` has failed after
  // kProbeTimeout: whether nothing has arrived from the peer since then either,
  // while a request waited for it all that time.
  bool IsUnreachable(const std::string& peer, base::MonoTime since) const;
  // The requests that have waited for the peer since `since` or longer.
  std::vector<uint64_t> PendingRequests(const std::string& peer,
                                        base::MonoTime since) const;
  // Whether no request waits for any peer.
  bool Idle() const { return peers_.empty(); }

 private:
  struct Peer {
    // Requests that wait, with the times when they began. Invariant: not empty.
    std::map<uint64_t, base::MonoTime> pending_;
    base::MonoTime last_activity_;
    base::MonoTime last_probe_;
    // Whether a probe was actually sent at last_probe_.
    bool probe_sent_ = false;
    bool unresponsive_ = false;
  };

  std::map<std::string, Peer> peers_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_PEER_FAILURE_DETECTOR_H_
