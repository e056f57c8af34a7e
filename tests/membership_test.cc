// Membership without configured member lists: bootstrap from seeds, joining,
// and repair after failures.
#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_host.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "fake_mesh.h"
#include "membership/node_id.h"
#include "membership/planner.h"
#include "storage/memory_journal.h"

namespace buckthorngate::tests {
namespace {

using membership::ChangeKind;
using membership::MemberStatus;

// Longer than kVoterTimeout and kLearnerTimeout.
constexpr base::Duration kUnresponsive = std::chrono::seconds(60);

MemberStatus Status(const std::string& host_id,
                    bool learner,
                    base::Duration since_contact,
                    bool caught_up = true) {
  MemberStatus status;
  status.member_.set_id(membership::NodeId("source", host_id));
  status.member_.set_address(membership::AddressOfNode(status.member_.id()));
  status.member_.set_learner(learner);
  status.since_contact_ = since_contact;
  status.caught_up_ = caught_up;
  return status;
}

base::MonoTime At(int seconds) {
  return base::MonoTime(std::chrono::hours(1) + std::chrono::seconds(seconds));
}

BOOST_AUTO_TEST_CASE(NodeIdsContainTheirAddress) {
  const std::string fresh = membership::FreshHostId("10.0.0.1:7600", 255);
  BOOST_TEST(fresh == "10.0.0.1:7600#ff");
  const std::string id = membership::NodeId("source", fresh);
  BOOST_TEST(membership::AddressOfNode(id) == "10.0.0.1:7600");
  BOOST_TEST(membership::NodeIdOnSameHost(id, "relay") ==
             "relay@10.0.0.1:7600#ff");
  BOOST_TEST(membership::AddressOfNode("host-1").empty());
}

BOOST_AUTO_TEST_CASE(UnresponsiveVoterIsReplacedBeforeItIsRemoved) {
  membership::MembershipPlanner planner;
  std::vector<MemberStatus> members = {
      Status("10.0.0.1:1", false, base::Duration(0)),
      Status("10.0.0.2:1", false, base::Duration(0)),
      Status("10.0.0.3:1", false, kUnresponsive),
      Status("10.0.0.4:1#a", true, base::Duration(0))};
  auto change = planner.Plan(members, At(0));
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == ChangeKind::kPromote));
  BOOST_TEST(change->member_.address() == "10.0.0.4:1");
  members[3].member_.set_learner(false);
  change = planner.Plan(members, At(1));
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == ChangeKind::kRemove));
  BOOST_TEST(change->member_.address() == "10.0.0.3:1");
  members.erase(members.begin() + 2);
  BOOST_TEST(!planner.Plan(members, At(2)).has_value());
}

// Guards against two failed voters of four: if a voter without its disk were
// removed only after its replacement on the same host was promoted, losing that
// disk again would leave two voters that cannot recover.
BOOST_AUTO_TEST_CASE(VoterWithLostDiskIsRemovedOnceASuccessorIsReady) {
  membership::MembershipPlanner planner;
  std::vector<MemberStatus> members = {
      Status("10.0.0.1:1", false, base::Duration(0)),
      Status("10.0.0.2:1", false, base::Duration(0)),
      Status("10.0.0.3:1", false, std::chrono::milliseconds(300)),
      Status("10.0.0.3:1#b", true, base::Duration(0), /*caught_up=*/false)};
  // No change before the replacement has caught up.
  BOOST_TEST(!planner.Plan(members, At(0)).has_value());
  members[3].caught_up_ = true;
  auto change = planner.Plan(members, At(0));
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == ChangeKind::kRemove));
  BOOST_TEST(change->member_.id() == members[2].member_.id());
  members.erase(members.begin() + 2);
  change = planner.Plan(members, At(0));
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == ChangeKind::kPromote));
  BOOST_TEST(change->member_.id() == members[2].member_.id());
}

BOOST_AUTO_TEST_CASE(LaggingLearnerIsNotPromoted) {
  membership::MembershipPlanner planner;
  const std::vector<MemberStatus> members = {
      Status("10.0.0.1:1", false, base::Duration(0)),
      Status("10.0.0.2:1", false, kUnresponsive),
      Status("10.0.0.3:1", false, base::Duration(0)),
      Status("10.0.0.4:1#a", true, base::Duration(0), /*caught_up=*/false)};
  BOOST_TEST(!planner.Plan(members, At(0)).has_value());
}

// Control hosts that are configured with three seed addresses only.
class SeededHosts {
 public:
  explicit SeededHosts(uint64_t seed) : net_(seed), next_seed_(seed * 100) {}

  // Starts a host. With `first` it may become an initial voter; otherwise a
  // host without a disk joins under a new id.
  void Start(int host, bool first) {
    const std::string address = ControlAddress(host);
    const bool voter = first && host <= kSeedHosts;
    if (ids_.count(host) == 0) {
      ids_[host] = membership::NodeId(
          "source",
          voter ? address : membership::FreshHostId(address, ++next_seed_));
      journals_[host] = std::make_unique<storage::MemoryJournal>();
      voters_[host] = voter;
    }
    nodes_[host] = std::move(*distribution::SourceNode::Create(
        ControlOptions(ids_[host], address, voters_[host], ++next_seed_),
        *journals_[host], net_.Now()));
    net_.Add(ids_[host], nodes_[host].get());
    // Peers that know only the host's address use its id without the suffix.
    const std::string alias = membership::NodeId("source", address);
    if (alias != ids_[host]) {
      aliases_[host] = std::make_unique<AliasNode>(*nodes_[host]);
      net_.Add(alias, aliases_[host].get());
    }
  }

  void Stop(int host) {
    net_.Remove(ids_[host]);
    net_.Remove(membership::NodeId("source", ControlAddress(host)));
    journals_[host]->Crash();
    nodes_.erase(host);
  }

  void LoseDisk(int host) {
    Stop(host);
    ids_.erase(host);
    journals_.erase(host);
  }

  distribution::SourceNode* Leader() {
    for (const auto& [host, node] : nodes_) {
      if (node->Raft().CanServe()) {
        return node.get();
      }
    }
    return nullptr;
  }

  bool Await(const std::function<bool()>& condition) {
    for (int i = 0; i < 200 && !condition(); ++i) {
      net_.Run(std::chrono::milliseconds(50));
    }
    return condition();
  }

  // Returns the numbers of voters and learners in the leader's membership.
  std::pair<int, int> Counts() {
    distribution::SourceNode* const leader = Leader();
    std::pair<int, int> counts;
    if (leader != nullptr) {
      for (const rpc::Member& member :
           leader->Raft().CurrentMembership().members()) {
        ++(member.learner() ? counts.second : counts.first);
      }
    }
    return counts;
  }

  // Returns whether the membership has these numbers of voters and learners and
  // all members are running.
  bool Repaired(int voters, int learners) {
    distribution::SourceNode* const leader = Leader();
    if (leader == nullptr || Counts() != std::pair(voters, learners)) {
      return false;
    }
    const auto& members = leader->Raft().CurrentMembership().members();
    return std::all_of(
        members.begin(), members.end(), [this](const rpc::Member& member) {
          return std::any_of(nodes_.begin(), nodes_.end(),
                             [&member](const auto& node) {
                               return node.second->Raft().Id() == member.id();
                             });
        });
  }

  bool IsMember(const std::string& address) {
    distribution::SourceNode* const leader = Leader();
    if (leader == nullptr) {
      return false;
    }
    const auto& members = leader->Raft().CurrentMembership().members();
    return std::any_of(members.begin(), members.end(),
                       [&address](const rpc::Member& member) {
                         return member.address() == address;
                       });
  }

  // Publishes like an operator: repeats the request to the current leader until
  // it succeeds.
  bool Publish(uint64_t base, uint64_t number) {
    rpc::RoutingCommand command;
    command.set_base_number(base);
    command.set_digest(number);
    command.mutable_routing()->mutable_header()->set_number(number);
    command.mutable_routing()->set_document(std::to_string(number));
    return Await([&] {
      distribution::SourceNode* const leader = Leader();
      if (leader == nullptr) {
        return false;
      }
      const uint64_t ticket = leader->PublishRouting(command, net_.Now());
      net_.Run(std::chrono::milliseconds(200));
      for (const auto& result : leader->TakePublishResults()) {
        if (result.ticket_ == ticket && result.reply_.result_code() == 0) {
          return true;
        }
      }
      return false;
    });
  }

  FakeMesh& Net() { return net_; }
  std::map<int, std::unique_ptr<distribution::SourceNode>>& Nodes() {
    return nodes_;
  }

 private:
  FakeMesh net_;
  uint64_t next_seed_;
  std::map<int, std::string> ids_;
  std::map<int, bool> voters_;
  std::map<int, std::unique_ptr<storage::MemoryJournal>> journals_;
  std::map<int, std::unique_ptr<distribution::SourceNode>> nodes_;
  std::map<int, std::unique_ptr<AliasNode>> aliases_;
};

BOOST_AUTO_TEST_CASE(SeedsBecomeTheInitialVotersInAnyStartOrder) {
  std::vector<int> order = {1, 2, 3, 4};
  uint64_t seed = 1;
  do {
    SeededHosts hosts(seed++);
    for (const int host : order) {
      hosts.Start(host, /*first=*/true);
      hosts.Net().Run(std::chrono::milliseconds(100));
    }
    BOOST_TEST(hosts.Await([&] { return hosts.Counts() == std::pair(3, 1); }),
               "seed " << seed - 1);
    BOOST_TEST(hosts.Publish(0, 1));
  } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(HostWithLostDiskRejoinsUnderANewId) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SeededHosts hosts(seed);
    for (int host = 1; host <= 4; ++host) {
      hosts.Start(host, true);
    }
    BOOST_REQUIRE(
        hosts.Await([&] { return hosts.Counts() == std::pair(3, 1); }));
    BOOST_REQUIRE(hosts.Publish(0, 1));
    const int lost = static_cast<int>(seed % 3) + 1;
    hosts.LoseDisk(lost);
    hosts.Net().Run(std::chrono::milliseconds(500));
    hosts.Start(lost, /*first=*/false);
    BOOST_REQUIRE_MESSAGE(
        hosts.Await([&hosts] { return hosts.Repaired(3, 1); }),
        "seed " << seed);
    // A second disk is lost right after the repair.
    const int second = lost % 3 + 1;
    hosts.LoseDisk(second);
    hosts.Start(second, /*first=*/false);
    BOOST_TEST(hosts.Await([&hosts] { return hosts.Repaired(3, 1); }),
               "seed " << seed);
    BOOST_REQUIRE(hosts.Publish(1, 2));
    BOOST_TEST(hosts.Leader()->State().RoutingDocument() == "2");
  }
}

BOOST_AUTO_TEST_CASE(HostAtAnotherAddressReplacesALostOne) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SeededHosts hosts(seed);
    for (int host = 1; host <= 3; ++host) {
      hosts.Start(host, true);
    }
    BOOST_REQUIRE(hosts.Await([&] { return hosts.Leader() != nullptr; }));
    BOOST_REQUIRE(hosts.Publish(0, 1));
    hosts.LoseDisk(static_cast<int>(seed % 3) + 1);
    hosts.Start(9, /*first=*/false);
    const auto replaced = [&hosts] {
      return hosts.Counts() == std::pair(3, 0) &&
             hosts.IsMember(ControlAddress(9));
    };
    BOOST_TEST(hosts.Await(replaced),
               "seed " << seed << ": " << hosts.Counts().first << " voters, "
                       << hosts.Counts().second << " learners");
    BOOST_TEST(hosts.Publish(1, 2), "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(PowerLossOfAllHostsLosesNothingAcknowledged) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SeededHosts hosts(seed);
    for (int host = 1; host <= 4; ++host) {
      hosts.Start(host, true);
    }
    BOOST_REQUIRE(hosts.Await([&] { return hosts.Leader() != nullptr; }));
    BOOST_REQUIRE(hosts.Publish(0, 1));
    BOOST_REQUIRE(hosts.Publish(1, 2));
    for (int host = 1; host <= 4; ++host) {
      hosts.Stop(host);
    }
    for (int host = 4; host >= 1; --host) {
      hosts.Start(host, false);
    }
    BOOST_REQUIRE(hosts.Await([&] { return hosts.Leader() != nullptr; }));
    BOOST_TEST(hosts.Leader()->State().RoutingDocument() == "2",
               "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(RemovedVoterJoinsAgainAfterItsReturn) {
  SeededHosts hosts(7);
  for (int host = 1; host <= 4; ++host) {
    hosts.Start(host, true);
  }
  BOOST_REQUIRE(hosts.Await([&] { return hosts.Counts() == std::pair(3, 1); }));
  // Down for longer than kVoterTimeout, so that the learner replaces it.
  hosts.Stop(2);
  BOOST_REQUIRE(hosts.Await([&] { return hosts.Counts() == std::pair(3, 0); }));
  hosts.Start(2, /*first=*/false);
  BOOST_TEST(hosts.Await([&] { return hosts.Counts() == std::pair(3, 1); }));
}

// A read is confirmed only if a majority was in contact after the read began.
BOOST_AUTO_TEST_CASE(IsolatedLeaderCannotConfirmReads) {
  SeededHosts hosts(3);
  for (int host = 1; host <= 3; ++host) {
    hosts.Start(host, true);
  }
  BOOST_REQUIRE(hosts.Await([&] { return hosts.Leader() != nullptr; }));
  distribution::SourceNode* const leader = hosts.Leader();
  hosts.Net().Isolate(leader->Raft().Id());
  hosts.Net().Isolate(membership::NodeId(
      "source", membership::AddressOfNode(leader->Raft().Id())));
  const uint64_t ticket = leader->ConfirmRead(hosts.Net().Now());
  hosts.Net().Run(std::chrono::seconds(3));
  bool refused = false;
  for (const auto& result : leader->TakePublishResults()) {
    refused |= result.ticket_ == ticket && result.reply_.result_code() != 0;
  }
  BOOST_TEST(refused);
}

}  // namespace
}  // namespace buckthorngate::tests
