// The control hosts as a follower knows them: sources and their relays.
//
// Each control host runs a source and a relay. The sources' membership lists
// them; followers learn it from what they follow, and start from seeds.
#ifndef SRC_DISTRIBUTION_CONTROL_HOSTS_H_
#define SRC_DISTRIBUTION_CONTROL_HOSTS_H_

#include <string>
#include <vector>

#include "mesh.pb.h"

namespace buckthorngate::distribution {

class ControlHosts {
 public:
  // `seeds` are addresses of control hosts; empty: the hosts are listed in
  // the settings and never change here.
  explicit ControlHosts(const std::vector<std::string>& seeds);

  bool Managed() const { return managed_; }

  // Adopts a membership unless a newer one is known; true if it changed.
  bool Update(const rpc::Membership& members, uint64_t index);

  // Identities of all hosts' nodes.
  std::vector<std::string> Sources() const;
  std::vector<std::string> Relays() const;
  // Whether the node's host lies in the zone; false if that is unknown.
  bool InZone(const std::string& id, const std::string& zone) const;

  const rpc::Membership& Members() const { return members_; }
  uint64_t Index() const { return index_; }

 private:
  const bool managed_;
  rpc::Membership members_;
  uint64_t index_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CONTROL_HOSTS_H_
