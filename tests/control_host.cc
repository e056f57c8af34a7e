// Options and alias nodes of sources that discover each other by seeds.
#include "control_host.h"

#include "membership/node_id.h"

namespace buckthorngate::tests {

std::string ControlAddress(int host) {
  return "10.0.0." + std::to_string(host) + ":7600";
}

std::vector<std::string> SeedAddresses() {
  std::vector<std::string> seeds;
  for (int host = 1; host <= kSeedHosts; ++host) {
    seeds.push_back(ControlAddress(host));
  }
  return seeds;
}

distribution::SourceOptions ControlOptions(const std::string& id,
                                           const std::string& address,
                                           bool voter,
                                           uint64_t seed) {
  distribution::SourceOptions options;
  options.id_ = id;
  options.seeds_ = SeedAddresses();
  options.address_ = address;
  options.seed_ = seed;
  for (const std::string& first : options.seeds_) {
    if (voter) {
      rpc::Member& member = *options.members_.add_members();
      member.set_id(membership::NodeId(membership::kSourceRole, first));
      member.set_address(first);
    }
  }
  return options;
}

void AliasNode::OnMessage(const rpc::Envelope& envelope, const base::Now& now) {
  if (!envelope.has_raft()) {
    node_.OnMessage(envelope, now);
  }
}

}  // namespace buckthorngate::tests
