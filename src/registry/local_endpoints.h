// The upstreams of one host, as they announce themselves to its daemon.
#ifndef SRC_REGISTRY_LOCAL_ENDPOINTS_H_
#define SRC_REGISTRY_LOCAL_ENDPOINTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::registry {

// An upstream that stays silent for this long is no longer announced.
inline constexpr base::Duration kAnnounceLease = std::chrono::seconds(3);

// Whether an announcement says something new.
enum class Freshness : uint8_t { kFresh, kStale };

// What an upstream says of itself.
struct Announcement {
  std::string service_;
  std::string version_;
  std::string address_;  // IP:port of the upstream on this host.
  uint32_t slots_ = 0;
  // Differs at each start of the upstream; a new one ends a drain.
  std::string instance_;
  // Time of the upstream's start, as it tells it; 0: not told. Announcements
  // of an earlier start at the same address are late and ignored.
  int64_t started_ms_ = 0;
  // Grows with each announcement of one start; 0: not told.
  uint64_t sequence_ = 0;
  // How much longer it warms up after its start, if it tells that.
  std::optional<base::Duration> warm_up_left_;
};

// Identity of the daemon that the entries belong to.
struct HostIdentity {
  std::string host_;
  std::string zone_;
  std::string peer_address_;
  std::string control_address_;
  uint64_t incarnation_ = 0;  // Larger at each start of the daemon.
};

// The single writer of the host's endpoint entries.
class LocalEndpoints {
 public:
  explicit LocalEndpoints(HostIdentity identity,
                          base::Duration lease = kAnnounceLease);

  // Whether the announcement is newer than what is held of its address.
  Freshness CheckFreshness(const Announcement& announcement) const;

  // Adds or renews an upstream; true if its entry changed.
  bool Announce(const Announcement& announcement, base::MonoTime now);
  // Each returns true if the entry changed.
  bool Drain(const std::string& address);
  bool Leave(const std::string& address);
  bool MarkCrashed(const std::string& address);

  // All of them, when the daemon stops.
  void DrainAll();
  void LeaveAll();

  // Announces each entry anew, with a higher sequence.
  void Reannounce();
  // Announces each entry anew under an incarnation above `incarnation`, which
  // an earlier start of this daemon has used with a clock that was ahead.
  void RaiseIncarnationAbove(uint64_t incarnation);
  // Removes upstreams whose announcements stopped; true if any.
  bool Expire(base::MonoTime now);

  std::vector<rpc::Endpoint> Entries() const;
  // Digest over the entries that are not gone.
  uint64_t Digest() const;
  uint64_t Version() const { return version_; }
  std::string EndpointId(const std::string& address) const;
  // The address at which the instance announced itself, or empty.
  std::string AddressOf(const std::string& instance) const;

 private:
  struct Local {
    rpc::Endpoint endpoint_;
    base::MonoTime renewed_;
    std::string instance_;
    int64_t started_ms_ = 0;
    uint64_t sequence_ = 0;
    // This instance has left for good; only another one may come.
    bool left_ = false;
  };

  bool SetState(const std::string& address, rpc::EndpointState state);

  HostIdentity identity_;
  const base::Duration lease_;
  std::map<std::string, Local> upstreams_;
  // Invariant: larger than the sequence of each entry.
  uint64_t next_sequence_ = 1;
  uint64_t version_ = 0;
};

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_LOCAL_ENDPOINTS_H_
