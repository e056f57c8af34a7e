// Tracks the control hosts by seeds and by the sources' membership.
#include "distribution/control_hosts.h"

#include <algorithm>

#include "base/hash.h"
#include "membership/node_id.h"

namespace buckthorngate::distribution {

ControlHosts::ControlHosts(const std::vector<std::string>& seeds)
    : uses_discovery_(!seeds.empty()) {
  for (const std::string& address : seeds) {
    rpc::Member& member = *members_.add_members();
    member.set_id(membership::NodeId(membership::kSourceRole, address));
    member.set_address(address);
  }
}

bool ControlHosts::Update(const rpc::Membership& members, uint64_t index) {
  if (!uses_discovery_ || members.members_size() == 0 || index < index_) {
    return false;
  }
  index_ = index;
  if (base::DigestOf(members) == base::DigestOf(members_)) {
    return false;
  }
  members_ = members;
  return true;
}

std::vector<std::string> ControlHosts::Sources() const {
  std::vector<std::string> ids;
  for (const rpc::Member& member : members_.members()) {
    ids.push_back(member.id());
  }
  return ids;
}

std::vector<std::string> ControlHosts::Relays() const {
  std::vector<std::string> ids;
  for (const rpc::Member& member : members_.members()) {
    ids.push_back(
        membership::NodeIdOnSameHost(member.id(), membership::kRelayRole));
  }
  return ids;
}

bool ControlHosts::InZone(const std::string& id,
                          const std::string& zone) const {
  const std::string source =
      membership::NodeIdOnSameHost(id, membership::kSourceRole);
  return std::any_of(members_.members().begin(), members_.members().end(),
                     [&](const rpc::Member& member) {
                       return member.id() == source && member.zone() == zone;
                     });
}

}  // namespace buckthorngate::distribution
