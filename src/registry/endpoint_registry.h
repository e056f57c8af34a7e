// Replicated registry of announced endpoints and their leases.
//
// Each entry has a single writer, the daemon of the endpoint's host. Replicas
// converge by keeping the entry with the larger (incarnation, sequence) pair.
// With equal pairs the state GONE (expired or removed) wins, so that an expired
// entry becomes live again only with a new sequence number from its writer.
// GONE entries are kept for a while as tombstones, so that a delayed message
// cannot make an endpoint live again.
#ifndef SRC_REGISTRY_ENDPOINT_REGISTRY_H_
#define SRC_REGISTRY_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::registry {

// An endpoint expires if its host sends no heartbeat for longer than this.
inline constexpr base::Duration kEndpointLease = std::chrono::seconds(3);
// How long GONE entries are kept as tombstones.
inline constexpr base::Duration kTombstoneAge = std::chrono::minutes(10);

class EndpointRegistry {
 public:
  // Merges one entry. Returns true if it replaced the stored one or is new.
  bool Merge(const rpc::Endpoint& endpoint, base::MonoTime now);

  // Renews the leases of the endpoints of `host`. Returns false if the stored
  // entries do not match the host's own `digest`; the host must then announce
  // its endpoints again.
  bool Heartbeat(const std::string& host,
                 const rpc::EndpointHeartbeat& heartbeat,
                 base::MonoTime now);
  // Renews the leases of the endpoints of `host` up to the time of a heartbeat
  // that another relay received.
  void Renew(const std::string& host,
             uint64_t incarnation,
             base::MonoTime heard);

  // Marks the endpoints of `zone` whose lease has expired as GONE and returns
  // them.
  std::vector<rpc::Endpoint> ExpireLeases(const std::string& zone,
                                          base::MonoTime now);
  // Removes tombstones that are older than kTombstoneAge.
  void DropTombstones(base::MonoTime now);

  // Follows the full list of a relay: merges the listed entries and forgets
  // those that it lacks, except the entries of `own_host`. Missing entries
  // leave no tombstone, because the relay may not have learned of them yet.
  // Returns true if anything changed.
  bool Follow(const google::protobuf::RepeatedPtrField<rpc::Endpoint>& all,
              const std::string& own_host,
              base::MonoTime now);

  // Returns all entries of `zone`, GONE ones included, for a replica that may
  // differ. It replies with the entries of NewerThan.
  rpc::RegistryUpdate Comparison(const std::string& zone) const;
  // Returns the entries of `zone`, GONE ones included, that replace those of
  // `other`, a list of all entries of the zone that another replica holds, or
  // that it lacks. GONE entries are returned only if `other` lists them.
  std::vector<rpc::Endpoint> NewerThan(
      const google::protobuf::RepeatedPtrField<rpc::Endpoint>& other,
      const std::string& zone) const;

  // Returns the entry with this id, also if it is GONE; null if there is none.
  const rpc::Endpoint* Find(const std::string& id) const;

  // The same as a copy, which later changes leave as it is.
  std::optional<rpc::Endpoint> Copy(const std::string& id) const;

  // Returns the entries of `zone` that are not GONE; an empty `zone` selects
  // all zones.
  std::vector<rpc::Endpoint> Live(const std::string& zone = "") const;

  // Returns whether any endpoint of the version is ready. Uses an index that is
  // rebuilt only after the registry has changed.
  bool HasReady(const std::string& service, const std::string& version) const;

  // Returns the entries of one service that are not GONE.
  std::vector<rpc::Endpoint> LiveOfService(const std::string& service) const;

  // Returns the services whose entries changed since the last call.
  std::set<std::string> TakeChangedServices();

  // Returns the digest of all entries of `zone` (all zones if empty) that are
  // not GONE. It does not depend on their order and is updated incrementally
  // with each change.
  uint64_t Digest(const std::string& zone = "") const;

  // Increases with each change of the registry.
  uint64_t Version() const { return version_; }

 private:
  struct Entry {
    rpc::Endpoint endpoint_;
    // Last renewal of the lease; for a tombstone, the time when it became one.
    base::MonoTime renewed_;
  };

  void MarkGone(Entry& entry, base::MonoTime now);
  // Calls `visit` for each entry of the host that is not GONE and not of an
  // incarnation before `incarnation`.
  void ForEachLive(const std::string& host,
                   uint64_t incarnation,
                   const std::function<void(Entry&)>& visit);
  // Adds an entry to the digests and the per-service index, or removes it from
  // them. Both record the service as changed. GONE entries are not indexed.
  void AddToIndex(const rpc::Endpoint& endpoint);
  void RemoveFromIndex(const rpc::Endpoint& endpoint);

  std::map<std::string, Entry> entries_;
  uint64_t version_ = 0;
  // Invariant: sums of EntryDigest over the live entries, per zone and in
  // total.
  std::map<std::string, uint64_t> zone_digests_;
  uint64_t digest_ = 0;
  // Invariant: ids of the live entries of each service.
  std::map<std::string, std::set<std::string>> by_service_;
  std::set<std::string> changed_services_;
  base::MonoTime next_tombstone_sweep_;
  // Pairs of service and version with a ready endpoint, as of registry version
  // ready_version_.
  mutable std::set<std::pair<std::string, std::string>> ready_;
  mutable uint64_t ready_version_ = 0;
};

// Returns the contribution of one entry to EndpointRegistry::Digest.
uint64_t EntryDigest(const rpc::Endpoint& endpoint);

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_ENDPOINT_REGISTRY_H_
