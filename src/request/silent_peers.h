// Finds daemons that have stopped answering, from the requests that wait for
// them.
//
// A request that may be repeated need not wait for its deadline when its
// destination is cut off or has lost power: nothing tells that but silence.
#ifndef SRC_REQUEST_SILENT_PEERS_H_
#define SRC_REQUEST_SILENT_PEERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace buckthorngate::request {

// Requests that take longer are common, but not at all connections to a daemon
// at the same time.
inline constexpr base::Duration kPeerSilence = std::chrono::milliseconds(120);

// Not safe for concurrent use.
class SilentPeers {
 public:
  // A request waits for `peer` from now on.
  void Begin(uint64_t request, const std::string& peer, base::MonoTime now);
  // It waits no longer; `answered` if the peer has said anything.
  void End(uint64_t request,
           const std::string& peer,
           bool answered,
           base::MonoTime now);
  // The peer has shown that it is reachable.
  void Heard(const std::string& peer, base::MonoTime now);

  // Peers that have said nothing for kPeerSilence while a request waited all
  // that time: to be probed.
  std::vector<std::string> ToProbe(base::MonoTime now) const;
  std::vector<uint64_t> WaitingFor(const std::string& peer) const;
  bool Idle() const { return peers_.empty(); }

 private:
  struct Peer {
    // When each waiting request began. Invariant: not empty.
    std::map<uint64_t, base::MonoTime> waiting_;
    base::MonoTime heard_;
  };

  std::map<std::string, Peer> peers_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_SILENT_PEERS_H_
