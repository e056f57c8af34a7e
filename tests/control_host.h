// Control hosts that know three seeds and nothing else, for tests on a
// FakeMesh.
#ifndef TESTS_CONTROL_HOST_H_
#define TESTS_CONTROL_HOST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/node.h"
#include "distribution/source_node.h"

namespace buckthorngate::tests {

// Seeds are the hosts 1 to this, and the first voters.
inline constexpr int kSeedHosts = 3;

std::string ControlAddress(int host);
std::vector<std::string> SeedAddresses();

// `voter` if the host is one of the first voters, whom it then knows.
distribution::SourceOptions ControlOptions(const std::string& id,
                                           const std::string& address,
                                           bool voter,
                                           uint64_t seed);

// Who knows a host as a seed knows its address only. As in the daemon, messages
// of the consensus mean the identity that had the address before.
class AliasNode : public base::Node {
 public:
  explicit AliasNode(base::Node& node) : node_(node) {}
  void OnMessage(const rpc::Envelope& envelope, const base::Now& now) override;
  void OnTimer(const base::Now&) override {}
  std::vector<rpc::Envelope> Flush(const base::Now&) override { return {}; }

 private:
  base::Node& node_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_CONTROL_HOST_H_
