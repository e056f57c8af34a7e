// Control traffic of fleets with several control hosts in each zone: its cost
// for each host must not grow with the fleet, and the registry must converge
// and stay quiet whichever control hosts hear which daemons.
#define BOOST_TEST_MODULE control_traffic
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet_mesh.h"

namespace buckthorngate::tests {
namespace {

// Control traffic of a daemon in calm, sent and received, in bytes a second.
constexpr uint64_t kDaemonBytesPerSecond = 3000;
constexpr base::Duration kStartTime = std::chrono::seconds(12);
constexpr int kMeasuredSeconds = 10;

struct CalmCost {
  double daemon_ = 0.0;   // Bytes a second of one daemon.
  double control_ = 0.0;  // Bytes a second of all control hosts.
  uint64_t entries_ = 0;  // Registry entries that daemons received.
};

CalmCost MeasureCalm(int daemons) {
  FleetOptions options;
  options.daemons_ = daemons;
  FleetMesh fleet(options);
  fleet.Run(kStartTime);
  BOOST_REQUIRE(fleet.AllKnow(static_cast<size_t>(daemons)));
  fleet.ResetCounts();
  const uint64_t entries = fleet.EntriesToDaemons();
  fleet.Run(std::chrono::seconds(kMeasuredSeconds));
  CalmCost cost;
  cost.daemon_ =
      static_cast<double>(fleet.DaemonBytes()) / daemons / kMeasuredSeconds;
  cost.control_ = static_cast<double>(fleet.ControlBytes()) / kMeasuredSeconds;
  cost.entries_ = fleet.EntriesToDaemons() - entries;
  BOOST_TEST_MESSAGE(daemons << " daemons: " << cost.daemon_
                             << " B/s each, control hosts " << cost.control_
                             << " B/s");
  return cost;
}

// Guards against relays of one zone that keep correcting each other: with two
// control hosts in a zone, calm fleets sent 260 KB/s for each host.
BOOST_AUTO_TEST_CASE(CalmTrafficOfAHostDoesNotGrowWithTheFleet) {
  // Room for a rounding of intervals; quadratic growth would give a factor.
  constexpr double kTolerance = 1.1;
  const CalmCost small = MeasureCalm(48);
  const CalmCost medium = MeasureCalm(200);
  const CalmCost large = MeasureCalm(1000);
  for (const CalmCost& cost : {small, medium, large}) {
    BOOST_TEST(cost.daemon_ <= kDaemonBytesPerSecond);
    BOOST_TEST(cost.entries_ == 0u);
  }
  BOOST_TEST(medium.daemon_ <= small.daemon_ * kTolerance);
  BOOST_TEST(large.daemon_ <= small.daemon_ * kTolerance);
  // The control hosts' traffic is a fixed part plus one for each daemon.
  const double slope = (medium.control_ - small.control_) / (200 - 48);
  BOOST_TEST(large.control_ - medium.control_ <=
             slope * (1000 - 200) * kTolerance);
}

// Guards against a start in which each control host passes each entry on to
// all daemons.
BOOST_AUTO_TEST_CASE(AnEntryReachesADaemonAFewTimesAtAStart) {
  constexpr uint64_t kMostCopies = 4;
  FleetOptions options;
  options.daemons_ = 200;
  FleetMesh fleet(options);
  fleet.Run(kStartTime);
  BOOST_REQUIRE(fleet.AllKnow(200));
  BOOST_TEST(fleet.EntriesToDaemons() <= kMostCopies * 200 * 200);
}

// Guards against a herd that slows itself down: while snapshots are limited, a
// waiting subscriber was told to come later with each flush of its relay, and
// each time counted as one more in the queue.
BOOST_AUTO_TEST_CASE(ASubscriberThatWaitsForItsSnapshotIsToldOnce) {
  constexpr uint64_t kMostDeferrals = 3;
  FleetOptions options;
  options.daemons_ = 400;
  FleetMesh fleet(options);
  fleet.Run(kStartTime);
  BOOST_TEST(fleet.Deferrals() <= kMostDeferrals * 400);
  for (int daemon = 1; daemon <= 400; ++daemon) {
    BOOST_REQUIRE(fleet.Daemon(daemon).Config().Revision() ==
                  fleet.Daemon(1).Config().Revision());
  }
}

// Guards against endpoints that vanish for all because a control host that
// doesn't know them yet speaks for its zone.
BOOST_AUTO_TEST_CASE(AControlHostThatStartsAnewRemovesNoEndpoints) {
  for (const bool lose_disk : {false, true}) {
    FleetMesh fleet({});
    fleet.Run(kStartTime);
    BOOST_REQUIRE(fleet.AllKnow(48));
    for (const int host : {1, 7, 11}) {
      fleet.StopControlHost(host);
      fleet.Run(std::chrono::seconds(2));
      fleet.StartControlHost(host, lose_disk);
      for (int step = 0; step < 100; ++step) {
        fleet.Run(std::chrono::milliseconds(100));
        BOOST_REQUIRE_MESSAGE(fleet.AllKnow(48),
                              "host " << host << ", step " << step);
      }
    }
  }
}

// Guards against endpoints that come and go because one of the zone's control
// hosts cannot hear their host.
BOOST_AUTO_TEST_CASE(AHostThatOneRelayOfItsZoneHearsKeepsItsEndpoints) {
  FleetMesh fleet({});
  fleet.Run(kStartTime);
  BOOST_REQUIRE(fleet.AllKnow(48));
  const std::string zone = fleet.ZoneOf(1);
  fleet.Net().Cut(fleet.RelayId(1), FleetMesh::DaemonId(1));
  fleet.Net().Cut(fleet.RelayId(1), FleetMesh::DaemonId(7));
  for (int step = 0; step < 150; ++step) {
    fleet.Run(std::chrono::milliseconds(100));
    BOOST_REQUIRE_MESSAGE(fleet.AllKnow(48), "step " << step);
  }
}

// Guards against an upstream that left while its daemon was down and stays in
// use, because the daemon's heartbeats renew entries of an earlier start.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftDuringARestartOfItsDaemonExpires) {
  FleetMesh fleet({});
  fleet.Run(kStartTime);
  BOOST_REQUIRE(fleet.AllKnow(48));
  fleet.StopDaemon(5);
  fleet.SetUpstreamUp(5, false);
  fleet.Run(std::chrono::seconds(1));
  fleet.StartDaemon(5);
  fleet.Run(std::chrono::seconds(8));
  BOOST_TEST(fleet.AllKnow(47));
}

// Guards against entries that the fleet keeps for ever because their host
// failed while no control host of its zone was up.
BOOST_AUTO_TEST_CASE(AHostThatFailedWhileItsRelaysWereDownExpires) {
  FleetMesh fleet({});
  fleet.Run(kStartTime);
  BOOST_REQUIRE(fleet.AllKnow(48));
  fleet.StopControlHost(1);
  fleet.StopControlHost(7);
  fleet.Run(std::chrono::seconds(1));
  fleet.StopDaemon(1);
  fleet.Run(std::chrono::seconds(1));
  fleet.StartControlHost(1, /*lose_disk=*/false);
  fleet.StartControlHost(7, /*lose_disk=*/false);
  fleet.Run(std::chrono::seconds(10));
  BOOST_TEST(fleet.AllKnow(47));
}

// Guards against a lower fault tolerance than the settings ask for: two lost
// hosts or a lost zone must leave a majority of the voters.
BOOST_AUTO_TEST_CASE(VotersAreEnoughForTwoLossesAndSpreadOverZones) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FleetOptions options;
    options.seed_ = seed;
    options.daemons_ = 12;
    FleetMesh fleet(options);
    fleet.Run(kStartTime);
    distribution::SourceNode* const leader = fleet.Leader();
    BOOST_REQUIRE(leader != nullptr);
    std::map<std::string, int> voters;
    int members = 0;
    for (const rpc::Member& member :
         leader->Raft().CurrentMembership().members()) {
      ++members;
      voters[member.zone()] += member.learner() ? 0 : 1;
    }
    BOOST_TEST(members == 12);
    int sum = 0;
    for (const auto& [zone, count] : voters) {
      BOOST_TEST(count <= 2, zone << ", seed " << seed);
      BOOST_TEST(!zone.empty(), "seed " << seed);
      sum += count;
    }
    BOOST_TEST(sum == 5, "seed " << seed);
    // The loss of any zone leaves a majority that publishes.
    for (const int host : {1, 7}) {
      fleet.StopControlHost(host);
    }
    fleet.Run(std::chrono::seconds(5));
    BOOST_TEST((fleet.Leader() != nullptr), "seed " << seed);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
