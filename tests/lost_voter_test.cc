// Voters whose disks are lost at a moment at which others may wait for them.
//
// BUCKTHORNGATE_SEEDS sets the number of seeds; a failure prints its seed.
#define BOOST_TEST_MODULE lost_voter
#include <boost/test/unit_test.hpp>

#include "control_host.h"
#include "power_cluster.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::seconds;

// Guards against a quorum that is lost for good if all hosts stop while only
// the leader holds the entry that promotes a learner in a lost voter's place.
BOOST_AUTO_TEST_CASE(AHostThatDoesNotKnowOfItsPromotionStillVotes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    PowerCluster cluster(seed);
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Start(host, true);
    }
    BOOST_REQUIRE(cluster.Run(seconds(10), [&] { return cluster.Repaired(); }));
    cluster.Wipe(cluster.Leader() % kSeedHosts + 1);
    BOOST_REQUIRE(cluster.Run(
        seconds(10), [&] { return cluster.Counts() == std::pair(4, 0); }));
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Stop(host, /*power=*/true);
    }
    cluster.Run(seconds(1));
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Start(host, false);
    }
    (void)cluster.ReadsBack();
    BOOST_TEST(cluster.Run(kRecovery, [&] { return cluster.ReadsBack(); }),
               "seed " << seed << cluster.View());
  }
}

// Guards against first voters that wait for ever for one that lost its disk
// before all of them had met.
BOOST_AUTO_TEST_CASE(AFirstVoterThatIsLostBeforeAllHaveMetIsReplaced) {
  const uint64_t seeds = FromEnvironment("BUCKTHORNGATE_SEEDS", kDefaultSeeds);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    PowerCluster cluster(seed);
    base::Random& random = cluster.Rng();
    const int lost = cluster.AnyHost();
    const uint64_t before = random.Below(cluster.Hosts()) + 1;
    const uint64_t power = random.Below(2);
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      cluster.Start(host, true);
      cluster.Run(Between(random, 0, 75));
      if (static_cast<uint64_t>(host) == before && cluster.Runs(lost)) {
        cluster.Wipe(lost);
      }
    }
    cluster.Run(Between(random, 0, 1000));
    cluster.Wipe(lost);
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      if (power == 1) {
        cluster.Stop(host, /*power=*/true);
      }
    }
    cluster.Run(Between(random, 200, 1000));
    for (int host = 1; host <= cluster.Hosts(); ++host) {
      if (!cluster.Runs(host)) {
        cluster.Start(host, false);
      }
    }
    (void)cluster.ReadsBack();
    BOOST_TEST(cluster.Run(kRecovery, [&] { return cluster.ReadsBack(); }),
               "seed " << seed << ", host " << lost << cluster.View());
    BOOST_TEST(cluster.Run(seconds(10), [&] { return cluster.Repaired(); }),
               "seed " << seed << ", host " << lost << cluster.View());
    BOOST_TEST(cluster.Broken() == "", "seed " << seed);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
