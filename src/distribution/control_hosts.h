// The control hosts that a node knows of: sources and their sibling relays.
//
// Each control host runs a source and a relay, and is listed in the sources'
// membership. Relays and proxies start from the seeds of their settings and
// receive newer memberships in heartbeats.
#ifndef SRC_DISTRIBUTION_CONTROL_HOSTS_H_
#define SRC_DISTRIBUTION_CONTROL_HOSTS_H_

#include <string>
#include <vector>

#include "mesh.pb.h"

namespace buckthorngate::distribution {

// Relays that a proxy follows. Bounds its control traffic, whatever the number
// of control hosts.
inline constexpr size_t kFollowedRelays = 4;

// Adds the members to a heartbeat, unless the receiver holds those with this
// digest already.
void AddMembers(const rpc::Membership& members,
                uint64_t index,
                uint64_t held_digest,
                rpc::SourceHeartbeat& heartbeat);

class ControlHosts {
 public:
  // `seeds` are addresses of control hosts. If empty, discovery is off: the
  // settings list sources and relays, and Update changes nothing.
  explicit ControlHosts(const std::vector<std::string>& seeds);

  bool UsesDiscovery() const { return uses_discovery_; }

  // Adopts `members` of log index `index` unless a newer membership is known.
  // Returns true if the membership changed.
  bool Update(const rpc::Membership& members, uint64_t index);

  // Identities of the sources and of the relays on all hosts.
  std::vector<std::string> Sources() const;
  std::vector<std::string> Relays() const;
  // The relays that a proxy follows: all relays of its zone and, up to
  // kFollowedRelays in total, others that rank first for it, of different zones
  // as far as possible.
  std::vector<std::string> RelaysFor(const std::string& proxy,
                                     const std::string& zone) const;
  // Whether the host of node `id` is in `zone`; false if the host is unknown.
  bool InZone(const std::string& id, const std::string& zone) const;

  const rpc::Membership& Members() const { return members_; }
  uint64_t Digest() const;
  // Log index of Members(); 0 while it holds the seeds only.
  uint64_t Index() const { return index_; }

 private:
  const bool uses_discovery_;
  rpc::Membership members_;
  uint64_t index_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CONTROL_HOSTS_H_
