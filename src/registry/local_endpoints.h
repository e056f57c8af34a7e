// Endpoints of one host, kept by the host's daemon from the announcements of
// its upstreams.
#ifndef SRC_REGISTRY_LOCAL_ENDPOINTS_H_
#define SRC_REGISTRY_LOCAL_ENDPOINTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"
#include "registry/departures.h"

namespace buckthorngate::registry {

// An upstream that has not announced itself for longer than this is marked as
// GONE.
inline constexpr base::Duration kAnnounceLease = std::chrono::seconds(3);

// Whether an announcement or a deregistration may change the host's entries.
// The other values are for reports of another writer than the upstream that
// runs, or of one that is over.
enum class AnnouncementCheck : uint8_t {
  kAccepted,
  kStale,           // It arrived after a newer one.
  kForeignService,  // The settings name another service.
  kForeignAddress,  // The settings name another address.
  kAddressHeld,     // Another start of the upstream holds the address.
};

// Announcement that an upstream sends to the daemon of its host.
struct Announcement {
  std::string service_;
  std::string version_;
  std::string address_;  // IP:port of the upstream on this host.
  uint32_t slots_ = 0;
  // Unique for each start of the upstream. A new value ends a drain.
  std::string instance_;
  // Start time as reported by the upstream, in Unix time; 0 if not reported.
  // Announcements with an earlier start time at the same address are stale and
  // ignored.
  int64_t started_ms_ = 0;
  // Increases with each announcement after one start; 0 if not reported.
  uint64_t sequence_ = 0;
  // Remaining warm-up time, if the upstream reports it.
  std::optional<base::Duration> warm_up_left_;
  // The upstream reports that it drains. That holds until it starts again.
  bool draining_ = false;
};

// The start of an upstream that is stored for an address.
struct Holder {
  std::string instance_;
  int64_t started_ms_ = 0;
  uint64_t sequence_ = 0;
  base::Duration age_{};  // Time since its last accepted announcement.
};

// Identity of the daemon that writes the entries.
struct HostIdentity {
  std::string host_;
  std::string zone_;
  std::string peer_address_;
  std::string control_address_;
  uint64_t incarnation_ = 0;  // Increases with each start of the daemon.
  // The service that runs on the host, from its settings. Only announcements
  // of this service are accepted; empty: those of any service.
  std::string service_ = {};
  // The same for the address of the host's upstream.
  std::string upstream_address_ = {};
};

// Single writer of the host's endpoint entries (see endpoint_registry.h).
//
// Anybody on the host can send an announcement. The settings decide which
// service and address the host has. A start of an upstream (its instance and
// start time) that is ready holds its address: announcements of other starts
// are refused until it has not been heard for half a lease, or is known to have
// ended. So an upstream that goes on announcing itself keeps its entry, or gets
// it back.
class LocalEndpoints {
 public:
  explicit LocalEndpoints(HostIdentity identity,
                          base::Duration lease = kAnnounceLease);

  // Compares the announcement with the settings and with the start that holds
  // the address.
  AnnouncementCheck Check(const Announcement& announcement,
                          base::MonoTime now) const;
  // The same for a deregistration; `started_ms` as in LeaveInstance.
  AnnouncementCheck CheckLeave(const std::string& instance,
                               int64_t started_ms,
                               base::MonoTime now) const;

  // Adds an upstream or renews its lease. Returns true if its entry changed.
  // Changes nothing for an announcement that Check does not accept.
  bool Announce(const Announcement& announcement, base::MonoTime now);
  // The upstream's own reports. Each records a departure: announcements of that
  // start cannot bring the upstream back. Leave deregisters it; its later
  // announcements are ignored. Both return true if its entry changed.
  bool Drain(const std::string& address);
  bool Leave(const std::string& address);
  // Deregisters an instance that this daemon may not know. `started_ms` is the
  // start that leaves, 0 if not reported; a later start of the instance stays.
  // Returns true if the known upstream of the instance has left, also if its
  // entry had expired before.
  bool LeaveInstance(const std::string& instance, int64_t started_ms);
  // Returns true if the upstream's entry changed.
  bool MarkCrashed(const std::string& address);
  // Another upstream than this start of `instance` responds at its address: the
  // start no longer holds it. Returns true if the upstream's entry changed.
  bool MarkReplaced(const std::string& address,
                    const std::string& instance,
                    int64_t started_ms);

  // Adds a departure that an earlier start of this daemon was told of. Returns
  // true if the entry of an upstream changed.
  bool Learn(const rpc::Departure& departure);
  // Departures that were recorded here since the last call, without an end.
  std::vector<rpc::Departure> TakeDepartures();

  // Apply to all upstreams when the daemon shuts down, which is no departure of
  // theirs. No upstream is announced as ready after DrainAll, and none at all
  // after LeaveAll.
  void DrainAll();
  void LeaveAll();

  // Publishes every entry again with a higher sequence number.
  void Reannounce();
  // Publishes every entry again under an incarnation above `incarnation`.
  // Needed when an earlier run of this daemon used that larger incarnation
  // because its clock was ahead.
  void RaiseIncarnationAbove(uint64_t incarnation);
  // Marks upstreams whose announcement lease has expired as GONE. Returns true
  // if any entry changed.
  bool Expire(base::MonoTime now);

  std::vector<rpc::Endpoint> Entries() const;
  // Incarnation of the entries.
  uint64_t Incarnation() const { return identity_.incarnation_; }
  // Digest of the entries that are not GONE, as in EndpointRegistry::Digest.
  uint64_t Digest() const;
  // Increases with each change.
  uint64_t Version() const { return version_; }
  std::string EndpointId(const std::string& address) const;
  // Whether the entry of the address may get new requests.
  bool Ready(const std::string& address) const;
  // Whether the entry of the address is draining.
  bool Draining(const std::string& address) const;
  // Returns the instance that announced the address, or an empty string.
  std::string InstanceAt(const std::string& address) const;
  // Returns the start that is stored for the address; empty if there is none.
  Holder HolderOf(const std::string& address, base::MonoTime now) const;
  // Returns the address that the instance announced, or an empty string.
  std::string AddressOf(const std::string& instance) const;

 private:
  struct Upstream {
    rpc::Endpoint endpoint_;
    base::MonoTime first_;    // Time of this start's first announcement.
    base::MonoTime renewed_;  // Time of the last accepted announcement.
    // Time of the last announcement of this start, also if it was late.
    base::MonoTime heard_;
    std::string instance_;
    int64_t started_ms_ = 0;
    uint64_t sequence_ = 0;
    bool draining_ = false;  // As reported by this start of the upstream.
    bool replaced_ = false;  // Set by MarkReplaced.

    bool IsStart(const std::string& instance, int64_t started_ms) const;
    bool IsReady() const;
  };

  // Whether half a lease has passed since.
  bool IsSilentSince(base::MonoTime last, base::MonoTime now) const;
  // Compares an announcement with the start that is stored for its address.
  AnnouncementCheck CheckAgainst(const Upstream& stored,
                                 const Announcement& announcement,
                                 base::MonoTime now) const;
  static AnnouncementCheck CheckSameStart(const Upstream& stored,
                                          const Announcement& announcement,
                                          bool same_version);
  static AnnouncementCheck CheckOtherStart(const Upstream& stored,
                                           const Announcement& announcement);
  // Records a late announcement of the start that holds its address.
  void NoteLate(const Announcement& announcement, base::MonoTime now);
  bool HasState(const std::string& address, rpc::EndpointState state) const;
  // Returns true if the entry's state changed.
  bool SetState(const std::string& address,
                rpc::EndpointState state,
                rpc::EndpointCause cause);
  // Whether this start of the instance, or a later one, has announced itself
  // here for half a lease: earlier ones are over then. False starts of other
  // writers hardly ever do.
  bool IsEstablished(const std::string& instance, int64_t started_ms) const;
  // `known`: earlier starts are over. Else the departure says nothing of them.
  void RecordDeparture(const std::string& instance,
                       int64_t started_ms,
                       bool left,
                       bool known);

  HostIdentity identity_;
  const base::Duration lease_;
  std::map<std::string, Upstream> upstreams_;  // By address.
  Departures departures_;
  std::vector<rpc::Departure> new_departures_;
  bool draining_all_ = false;  // DrainAll was called.
  bool closed_ = false;        // LeaveAll was called.
  // Invariant: larger than the sequence number of every entry.
  uint64_t next_sequence_ = 1;
  uint64_t version_ = 0;
};

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_LOCAL_ENDPOINTS_H_
