// Loss of a voter's disk while other hosts depend on that voter.
//
// BUCKTHORNGATE_SEEDS sets the number of seeds; a failure prints its seed.
#define BOOST_TEST_MODULE lost_voter
#include <boost/test/unit_test.hpp>

#include "control_host.h"
#include "power_cluster.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::seconds;

// Guards against a quorum that is lost for good. That happens if all hosts stop
// while only the leader holds the entry that promotes a learner to replace a
// lost voter.
BOOST_AUTO_TEST_CASE(ALearnerThatHasNotReceivedItsPromotionStillVotes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    PowerCluster cluster(seed);
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Start(host, true);
    }
    BOOST_REQUIRE(cluster.Run(seconds(10), [&] { return cluster.Repaired(); }));
    cluster.Wipe(cluster.Leader() % kSeedHosts + 1);
    BOOST_REQUIRE(cluster.Run(seconds(10), [&] {
      return cluster.VoterAndLearnerCounts() == std::pair(4, 0);
    }));
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Stop(host, /*power_loss=*/true);
    }
    cluster.Run(seconds(1));
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Start(host, false);
    }
    (void)cluster.TakeReadSucceeded();
    BOOST_TEST(
        cluster.Run(kRecovery, [&] { return cluster.TakeReadSucceeded(); }),
        "seed " << seed << cluster.DescribeHosts());
  }
}

// Guards against initial voters that wait forever for one that lost its disk
// before all of them had been in contact.
BOOST_AUTO_TEST_CASE(AnInitialVoterLostBeforeAllWereInContactIsReplaced) {
  const uint64_t seeds = FromEnvironment("BUCKTHORNGATE_SEEDS", kDefaultSeeds);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    PowerCluster cluster(seed);
    base::Random& random = cluster.Rng();
    const int lost = cluster.AnyHost();
    const uint64_t before = random.Below(cluster.Hosts()) + 1;
    const uint64_t lose_power = random.Below(2);
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Start(host, true);
      cluster.Run(Between(random, 0, 75));
      if (static_cast<uint64_t>(host) == before && cluster.Running(lost)) {
        cluster.Wipe(lost);
      }
    }
    cluster.Run(Between(random, 0, 1000));
    cluster.Wipe(lost);
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      if (lose_power == 1) {
        cluster.Stop(host, /*power_loss=*/true);
      }
    }
    cluster.Run(Between(random, 200, 1000));
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      if (!cluster.Running(host)) {
        cluster.Start(host, false);
      }
    }
    (void)cluster.TakeReadSucceeded();
    BOOST_TEST(
        cluster.Run(kRecovery, [&] { return cluster.TakeReadSucceeded(); }),
        "seed " << seed << ", host " << lost << cluster.DescribeHosts());
    BOOST_TEST(cluster.Run(seconds(10), [&] { return cluster.Repaired(); }),
               "seed " << seed << ", host " << lost << cluster.DescribeHosts());
    BOOST_TEST(cluster.Violation() == "", "seed " << seed);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
