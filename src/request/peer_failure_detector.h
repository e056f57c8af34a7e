// Finds daemons that have stopped answering, from the requests that wait for
// them.
//
// A request that may be repeated need not wait for its deadline when its
// destination is cut off or has lost power. Silence alone does not tell that:
// work takes time, and packets wait on a link that is full. So a silent peer is
// probed, and it is unreachable only if no probe is answered within a time that
// covers every queue on the way.
#ifndef SRC_REQUEST_PEER_FAILURE_DETECTOR_H_
#define SRC_REQUEST_PEER_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace buckthorngate::request {

// Requests that take longer are common, but not at all connections to a daemon
// at the same time.
inline constexpr base::Duration kSilenceBeforeProbe =
    std::chrono::milliseconds(120);
// A silent peer is probed this often, since a packet of a probe may be lost.
inline constexpr base::Duration kProbeInterval = std::chrono::milliseconds(250);
// All slots of a host that answer at once fill its link for most of a second,
// and a lost packet of a probe is sent again after one.
inline constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(1600);
// An unheard peer's endpoints are left out for this long; renewed with each
// probe.
inline constexpr base::Duration kUnresponsiveEjectionTime =
    std::chrono::milliseconds(600);

// Not safe for concurrent use.
class PeerFailureDetector {
 public:
  // A request waits for `peer` from now on.
  void Begin(uint64_t request, const std::string& peer, base::MonoTime now);
  // It waits no longer; `answered` if the peer has said anything.
  void End(uint64_t request,
           const std::string& peer,
           bool answered,
           base::MonoTime now);
  // The peer has shown that it is reachable.
  void RecordActivity(const std::string& peer, base::MonoTime now);

  // The probe that was taken last could not be made. The next one comes as
  // late as after a probe that was.
  void MarkProbeNotSent(const std::string& peer);

  // Takes no notice of the time before `now`, in which this process did not
  // look: what peers said meanwhile may not have been read yet.
  void RestartTimeouts(base::MonoTime now);

  // Peers that have said nothing for kSilenceBeforeProbe while a request waited
  // all that time, and were not probed within kProbeInterval: to be probed now.
  std::vector<std::string> TakePeersToProbe(base::MonoTime now);
  // Whether the peer was probed again because it had not answered within
  // kProbeInterval. It may be there, but others are the better choice.
  bool IsUnresponsive(const std::string& peer) const;
  // Whether the peer has said nothing since `since`, when a probe began that
  // has failed after kProbeTimeout.
  bool IsUnreachable(const std::string& peer, base::MonoTime since) const;
  std::vector<uint64_t> PendingRequests(const std::string& peer) const;
  bool Idle() const { return peers_.empty(); }

 private:
  struct Peer {
    // When each waiting request began. Invariant: not empty.
    std::map<uint64_t, base::MonoTime> waiting_;
    base::MonoTime heard_;
    base::MonoTime probed_;
    // Whether a probe was made at probed_.
    bool probe_made_ = false;
    bool unheard_ = false;
  };

  std::map<std::string, Peer> peers_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_PEER_FAILURE_DETECTOR_H_
