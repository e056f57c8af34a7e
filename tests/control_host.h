// Sources on control hosts that discover each other by three seeds, for tests
// on a FakeMesh.
#ifndef TESTS_CONTROL_HOST_H_
#define TESTS_CONTROL_HOST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/node.h"
#include "distribution/source_node.h"

namespace buckthorngate::tests {

// Hosts 1 to kSeedHosts are the seeds and the initial voters.
inline constexpr int kSeedHosts = 3;

// Control address of the host with this number.
std::string ControlAddress(int host);
std::vector<std::string> SeedAddresses();

// Options of a source that joins by the seeds. With `voter` it is one of the
// initial voters and its options list them as members.
distribution::SourceOptions ControlOptions(const std::string& id,
                                           const std::string& address,
                                           bool voter,
                                           uint64_t seed);

// Stands for a source under the identity derived from its host's address, which
// is all that nodes know of a seed. As in the daemon, Raft messages to it are
// dropped: they are meant for the identity that had the address before.
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
