// Tracks the control hosts by seeds and by the sources' membership.
#include "distribution/control_hosts.h"

#include <algorithm>
#include <set>

#include "base/hash.h"
#include "membership/node_id.h"

namespace buckthorngate::distribution {

void AddMembers(const rpc::Membership& members,
                uint64_t index,
                uint64_t held_digest,
                rpc::SourceHeartbeat& heartbeat) {
  heartbeat.set_members_index(index);
  if (held_digest != base::DigestOf(members)) {
    *heartbeat.mutable_members() = members;
  }
}

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
  if (base::DigestOf(members) == Digest()) {
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

std::vector<std::string> ControlHosts::RelaysFor(
    const std::string& proxy,
    const std::string& zone) const {
  std::vector<rpc::Member> ranked(members_.members().begin(),
                                  members_.members().end());
  const auto score = [&proxy](const rpc::Member& member) {
    return base::RendezvousScore(
        proxy,
        membership::NodeIdOnSameHost(member.id(), membership::kRelayRole));
  };
  std::sort(ranked.begin(), ranked.end(),
            [&score](const rpc::Member& a, const rpc::Member& b) {
              return score(a) > score(b);
            });
  // The own zone first, then one of each other zone.
  std::set<std::string> zones;
  std::stable_partition(
      ranked.begin(), ranked.end(), [&](const rpc::Member& member) {
        return member.zone() == zone || zones.insert(member.zone()).second;
      });
  const auto others = std::stable_partition(
      ranked.begin(), ranked.end(),
      [&zone](const rpc::Member& member) { return member.zone() == zone; });
  const size_t in_zone = static_cast<size_t>(others - ranked.begin());
  ranked.resize(std::min(ranked.size(), std::max(in_zone, kFollowedRelays)));
  std::vector<std::string> relays;
  relays.reserve(ranked.size());
  for (const rpc::Member& member : ranked) {
    relays.push_back(
        membership::NodeIdOnSameHost(member.id(), membership::kRelayRole));
  }
  return relays;
}

uint64_t ControlHosts::Digest() const {
  return base::DigestOf(members_);
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
