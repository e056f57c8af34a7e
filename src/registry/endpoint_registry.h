// Endpoints that announced themselves, with their leases.
//
// Each endpoint entry has one writer, the daemon of its host. Copies merge by
// the larger pair (incarnation, sequence); with equal pairs GONE wins, so that
// an expired entry comes back only with a new sequence from its writer. Gone
// entries stay for a while, so that an old message cannot revive them.
#ifndef SRC_REGISTRY_ENDPOINT_REGISTRY_H_
#define SRC_REGISTRY_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::registry {

// Lease of an endpoint without a heartbeat from its host.
inline constexpr base::Duration kEndpointLease = std::chrono::seconds(3);
// How long gone entries are remembered.
inline constexpr base::Duration kTombstoneAge = std::chrono::minutes(10);

class EndpointRegistry {
 public:
  // Merges one entry; true if it changed what is held.
  bool Merge(const rpc::Endpoint& endpoint, base::MonoTime now);

  // Renews the leases of the host's endpoints; false if what is held does not
  // match the host's own digest, so that it must announce again.
  bool Heartbeat(const std::string& host, uint64_t digest, base::MonoTime now);

  // Marks endpoints of `zone` whose lease has expired as gone; returns them.
  std::vector<rpc::Endpoint> ExpireLeases(const std::string& zone,
                                          base::MonoTime now);
  void DropTombstones(base::MonoTime now);

  // Replaces the entries of `zone` by a full list from its relay: merges what
  // is listed and marks what is missing as gone. True if anything changed.
  bool ReplaceZone(const std::string& zone,
                   const google::protobuf::RepeatedPtrField<rpc::Endpoint>& all,
                   base::MonoTime now);

  const rpc::Endpoint* Find(const std::string& id) const;

  // Entries that are not gone. An empty `zone` selects all zones.
  std::vector<rpc::Endpoint> Live(const std::string& zone = "") const;

  // Whether any endpoint of the version is ready. Cheap: an index is kept
  // until the next change.
  bool HasReady(const std::string& service, const std::string& version) const;

  // Entries of one service that are not gone.
  std::vector<rpc::Endpoint> LiveOfService(const std::string& service) const;

  // Services whose entries changed since the last call.
  std::set<std::string> TakeChangedServices();

  // Digest of the entries that are not gone; order does not matter. Kept up
  // with each change.
  uint64_t Digest(const std::string& zone = "") const;

  // Grows with each change.
  uint64_t Version() const { return version_; }

 private:
  struct Entry {
    rpc::Endpoint endpoint_;
    base::MonoTime renewed_;
  };

  void MarkGone(Entry& entry, base::MonoTime now);
  // Adds an entry's part to the digests and the index, or takes it out.
  void Count(const rpc::Endpoint& endpoint);
  void Discount(const rpc::Endpoint& endpoint);

  std::map<std::string, Entry> entries_;
  uint64_t version_ = 0;
  // Invariant: sums of EntryDigest over the live entries, by zone and of all.
  std::map<std::string, uint64_t> zone_digests_;
  uint64_t digest_ = 0;
  // Invariant: the identities of the live entries of each service.
  std::map<std::string, std::set<std::string>> by_service_;
  std::set<std::string> changed_services_;
  base::MonoTime next_drop_;
  // Services with their ready versions, as of version ready_version_.
  mutable std::set<std::pair<std::string, std::string>> ready_;
  mutable uint64_t ready_version_ = 0;
};

// Digest of one entry as it counts in EndpointRegistry::Digest.
uint64_t EntryDigest(const rpc::Endpoint& endpoint);

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_ENDPOINT_REGISTRY_H_
