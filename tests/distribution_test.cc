// Configuration distribution from sources through relays to proxies. A proxy
// never serves an older, partial or dangling configuration, and an accepted
// publication is never lost.
#define BOOST_TEST_MODULE distribution
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/publication.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

void BuildMesh(TestMesh& mesh, int zones, int proxies_per_zone) {
  mesh.AddSources(3);
  for (int zone = 1; zone <= zones; ++zone) {
    mesh.AddRelay("relay-" + std::to_string(zone),
                  "zone-" + std::to_string(zone));
  }
  for (int zone = 1; zone <= zones; ++zone) {
    for (int i = 1; i <= proxies_per_zone; ++i) {
      mesh.AddProxy("proxy-" + std::to_string(zone) + "-" + std::to_string(i),
                    "zone-" + std::to_string(zone));
    }
  }
}

// Checks that the revision each host serves never decreases, across restarts of
// its proxy, and that a revision has the same content on all hosts.
class ServingChecker {
 public:
  explicit ServingChecker(TestMesh& mesh) : mesh_(mesh) {}

  void Check() {
    for (const std::string& id : mesh_.ProxyIds()) {
      if (!mesh_.Alive(id) || !mesh_.Proxy(id).MayServe()) {
        continue;
      }
      const config::ConfigState& config = mesh_.Proxy(id).Config();
      uint64_t& highest = highest_[id];
      if (config.Revision() < highest) {
        violated_ =
            id + " serves older revision " + std::to_string(config.Revision());
      }
      highest = std::max(highest, config.Revision());
      // All hosts serve the same content for one revision.
      const uint64_t digest = config.Digest();
      if (digests_.try_emplace(config.Revision(), digest).first->second !=
          digest) {
        violated_ = id + " serves different content";
      }
    }
  }
  const std::string& Violated() const { return violated_; }

 private:
  TestMesh& mesh_;
  std::map<std::string, uint64_t> highest_;
  std::map<uint64_t, uint64_t> digests_;
  std::string violated_;
};

bool InForceEverywhere(TestMesh& mesh, uint64_t revision) {
  for (const std::string& id : mesh.ProxyIds()) {
    if (!mesh.Alive(id) || !mesh.Proxy(id).MayServe() ||
        mesh.Proxy(id).Config().Revision() < revision) {
      return false;
    }
  }
  return true;
}

// Lists the leader and the revision of each source and proxy, for failure
// messages.
std::string Describe(TestMesh& mesh) {
  std::string text = "leader " + mesh.Leader();
  for (const std::string& id : mesh.SourceIds()) {
    text += " " + id + "=" +
            std::to_string(mesh.Source(id).State().Config().Revision());
  }
  for (const std::string& id : mesh.ProxyIds()) {
    text += " " + id + "=" +
            std::to_string(mesh.Proxy(id).Config().Revision()) +
            (mesh.Proxy(id).MayServe() ? "" : "(not serving)");
  }
  return text;
}

// Runs until the revision is in force everywhere, for at most `timeout`;
// returns the virtual time that took.
base::Duration AwaitInForce(TestMesh& mesh,
                            uint64_t revision,
                            base::Duration timeout) {
  base::Duration waited{0};
  while (!InForceEverywhere(mesh, revision) && waited < timeout) {
    mesh.Net().Run(std::chrono::milliseconds(10));
    waited += std::chrono::milliseconds(10);
  }
  return waited;
}

BOOST_AUTO_TEST_CASE(AChangeIsInForceEverywhereWithinASecond) {
  TestMesh mesh(1);
  BuildMesh(mesh, 4, 8);
  BOOST_REQUIRE(mesh.AwaitLeader());
  mesh.Net().Run(std::chrono::seconds(3));
  for (uint64_t number = 1; number <= 20; ++number) {
    const rpc::PublishReply reply = mesh.Publish(
        MakePublication(number, {MakeService("a", std::to_string(number))}));
    BOOST_REQUIRE(reply.result_code() == 0);
    const base::Duration took =
        AwaitInForce(mesh, reply.revision(), std::chrono::seconds(5));
    BOOST_TEST(took.count() < 1'000'000);
  }
}

BOOST_AUTO_TEST_CASE(NoProxyGoesBackUnderCrashesCutsAndCrossedMessages) {
  constexpr uint64_t kSeeds = 300;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TestMesh mesh(seed);
    BuildMesh(mesh, 2, 3);
    mesh.AddRelay("relay-1b", "zone-1");
    for (const std::string& id : mesh.ProxyIds()) {
      mesh.Restart(id);
    }
    ServingChecker checker(mesh);
    base::Random random(seed);
    NetworkFaults faults;
    faults.loss_ = 0.03;
    faults.duplicate_ = 0.1;
    faults.max_delay_ = std::chrono::milliseconds(400);
    BOOST_REQUIRE(mesh.AwaitLeader());
    mesh.Net().SetFaults(faults);
    std::vector<std::string> all = mesh.ProxyIds();
    all.insert(all.end(), mesh.SourceIds().begin(), mesh.SourceIds().end());
    for (const char* relay : {"relay-1", "relay-1b", "relay-2"}) {
      all.emplace_back(relay);
    }
    std::set<std::string> down;
    uint64_t last = 0;
    for (uint64_t round = 1; round <= 25; ++round) {
      const std::string& victim = all[random.Below(all.size())];
      const uint64_t choice = random.Below(8);
      if (choice < 2 && mesh.Alive(victim)) {
        mesh.Crash(victim);
        down.insert(victim);
        if (victim.starts_with("proxy")) {
          // Covers proxies without a disk, which restart without any state.
          mesh.LoseDisk(victim);
        }
      } else if (choice == 2) {
        mesh.Net().Isolate(victim);
      } else if (choice == 3) {
        mesh.Net().Heal();
      } else if (choice < 6) {
        for (const std::string& id : std::exchange(down, {})) {
          mesh.Restart(id);
        }
      }
      const rpc::PublishReply reply = mesh.Publish(
          MakePublication(round, {MakeService("a", std::to_string(round)),
                                  MakeService("b")}),
          std::chrono::milliseconds(400));
      last = reply.result_code() == 0 ? reply.revision() : last;
      mesh.Net().Run(std::chrono::milliseconds(200 + random.Below(800)),
                     [&checker] { checker.Check(); });
      BOOST_REQUIRE_MESSAGE(checker.Violated().empty(),
                            "seed " << seed << ": " << checker.Violated());
    }
    mesh.Net().Heal();
    mesh.Net().SetFaults(NetworkFaults());
    for (const std::string& id : down) {
      mesh.Restart(id);
    }
    const base::Duration took =
        AwaitInForce(mesh, last, std::chrono::seconds(30));
    checker.Check();
    BOOST_REQUIRE_MESSAGE(checker.Violated().empty(),
                          "seed " << seed << ": " << checker.Violated());
    BOOST_REQUIRE_MESSAGE(
        took < std::chrono::seconds(12),
        "seed " << seed << " took " << took.count() << ": " << Describe(mesh));
  }
}

BOOST_AUTO_TEST_CASE(ARestartedProxyDoesNotBeginBelowWhatItsZoneHasSeen) {
  TestMesh mesh(2);
  mesh.AddSources(3);
  mesh.AddRelay("relay-1", "zone-1");
  mesh.AddRelay("relay-2", "zone-1");
  mesh.AddProxy("proxy-1", "zone-1");
  BOOST_REQUIRE(mesh.AwaitLeader());
  const uint64_t old_revision =
      mesh.Publish(MakePublication(1, {MakeService("a")})).revision();
  mesh.Net().Run(std::chrono::seconds(4));
  // Partition one relay from the sources, but not from its proxies.
  const std::string stale = "relay-2";
  for (const std::string& source : mesh.SourceIds()) {
    mesh.Net().Cut(stale, source);
  }
  const uint64_t new_revision =
      mesh.Publish(MakePublication(2, {MakeService("b")})).revision();
  mesh.Net().Run(std::chrono::seconds(4));
  BOOST_REQUIRE(mesh.Proxy("proxy-1").Config().Revision() >= new_revision);
  // The proxy restarts without state, and only the stale relay is left.
  mesh.Crash("proxy-1");
  mesh.LoseDisk("proxy-1");
  mesh.Crash("relay-1");
  mesh.Restart("proxy-1");
  mesh.Net().Run(std::chrono::seconds(10));
  BOOST_TEST(!mesh.Proxy("proxy-1").MayServe());
  BOOST_TEST(mesh.Relay(stale).Config().Revision() < new_revision);
  BOOST_TEST(mesh.Relay(stale).Config().Revision() >= old_revision);
  mesh.Net().Heal();
  mesh.Net().Run(std::chrono::seconds(8));
  BOOST_TEST(mesh.Proxy("proxy-1").MayServe());
}

// Guards against proxies that serve an older revision after a restart of all
// hosts: a new leader must not confirm a floor while entries are committed but
// not yet applied.
BOOST_AUTO_TEST_CASE(ALeaderConfirmsNoFloorBeforeItHasAppliedWhatItCommitted) {
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    TestMesh mesh(seed);
    mesh.Net().SetBatching(true);
    BuildMesh(mesh, 1, 2);
    BOOST_REQUIRE(mesh.AwaitLeader());
    mesh.Publish(MakePublication(1, {MakeService("a")}));
    mesh.Net().Run(std::chrono::seconds(2));
    // The sources accept these publications while the relay is partitioned.
    for (const std::string& source : mesh.SourceIds()) {
      mesh.Net().Cut("relay-1", source);
    }
    uint64_t accepted = 0;
    for (uint64_t number = 2; number < 6; ++number) {
      accepted =
          mesh.Publish(MakePublication(number, {MakeService("b")})).revision();
    }
    BOOST_REQUIRE(accepted > 0);
    std::vector<std::string> all = mesh.SourceIds();
    all.push_back("relay-1");
    all.insert(all.end(), mesh.ProxyIds().begin(), mesh.ProxyIds().end());
    for (const std::string& id : all) {
      mesh.Crash(id);
    }
    for (const std::string& proxy : mesh.ProxyIds()) {
      mesh.LoseDisk(proxy);
    }
    for (const std::string& id : all) {
      mesh.Restart(id);
    }
    mesh.Net().Heal();
    NetworkFaults slow;
    slow.max_delay_ = std::chrono::milliseconds(200);
    mesh.Net().SetFaults(slow);
    uint64_t oldest = accepted;
    mesh.Net().SetTap([&oldest](const rpc::Envelope& envelope) {
      if (envelope.has_heartbeat() &&
          envelope.heartbeat().confirmed_nonce() != 0) {
        oldest = std::min<uint64_t>(oldest, envelope.heartbeat().revision());
      }
    });
    mesh.Net().Run(std::chrono::seconds(5));
    mesh.Net().SetTap(nullptr);
    BOOST_TEST(oldest == accepted, "seed " << seed << ": confirmed at revision "
                                           << oldest << " of " << accepted);
  }
}

// All hosts have started again, the proxies without state. The relay lacks the
// newest accepted publication, and there is no leader to tell it so.
class ZoneWithoutLeader {
 public:
  explicit ZoneWithoutLeader(uint64_t seed) : mesh_(seed) {
    BuildMesh(mesh_, 1, 2);
    BOOST_REQUIRE(mesh_.AwaitLeader());
    mesh_.Publish(MakePublication(1, {MakeService("a")}));
    mesh_.Net().Run(std::chrono::seconds(2));
    for (const std::string& source : mesh_.SourceIds()) {
      mesh_.Net().Cut("relay-1", source);
    }
    accepted_ =
        mesh_.Publish(MakePublication(2, {MakeService("b")})).revision();
    BOOST_REQUIRE(accepted_ > 0);
    std::vector<std::string> all = mesh_.SourceIds();
    all.push_back("relay-1");
    all.insert(all.end(), mesh_.ProxyIds().begin(), mesh_.ProxyIds().end());
    for (const std::string& id : all) {
      mesh_.Crash(id);
    }
    for (const std::string& proxy : mesh_.ProxyIds()) {
      mesh_.LoseDisk(proxy);
    }
    mesh_.Net().Heal();
    mesh_.Net().Cut("source-1", "source-2");
    mesh_.Net().Cut("source-1", "source-3");
    mesh_.Net().Cut("source-2", "source-3");
    for (const std::string& id : all) {
      mesh_.Restart(id);
    }
  }
  TestMesh& Mesh() { return mesh_; }
  uint64_t Accepted() const { return accepted_; }
  bool ServesOlder() {
    return std::any_of(mesh_.ProxyIds().begin(), mesh_.ProxyIds().end(),
                       [this](const std::string& id) {
                         return mesh_.Proxy(id).MayServe() &&
                                mesh_.Proxy(id).Config().Revision() < accepted_;
                       });
  }

 private:
  TestMesh mesh_;
  uint64_t accepted_ = 0;
};

// Guards against proxies without state that serve an older revision than was
// accepted, seconds after a restart of all hosts: the floors of all relays
// don't include a revision that no relay had received yet.
BOOST_AUTO_TEST_CASE(AProxyWithoutStateWaitsForALeaderToBeElected) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    ZoneWithoutLeader zone(seed);
    bool older = false;
    const auto watch = [&zone, &older] { older |= zone.ServesOlder(); };
    zone.Mesh().Net().Run(std::chrono::seconds(5), watch);
    zone.Mesh().Net().Heal();
    zone.Mesh().Net().Run(std::chrono::seconds(5), watch);
    BOOST_TEST(!older, "seed " << seed);
    for (const std::string& id : zone.Mesh().ProxyIds()) {
      BOOST_TEST(zone.Mesh().Proxy(id).MayServe());
      BOOST_TEST(zone.Mesh().Proxy(id).Config().Revision() >= zone.Accepted());
    }
  }
}

// A zone whose proxies have restarted serves what its relays hold if there is
// no leader for long.
BOOST_AUTO_TEST_CASE(AZoneWithoutLeaderForLongServesWhatItsRelaysHold) {
  ZoneWithoutLeader zone(1);
  zone.Mesh().Net().Run(std::chrono::seconds(14));
  for (const std::string& id : zone.Mesh().ProxyIds()) {
    BOOST_TEST(zone.Mesh().Proxy(id).MayServe());
  }
}

// Guards against a restarted leader that loses leadership because it applies a
// long log at once and sends no heartbeats meanwhile.
BOOST_AUTO_TEST_CASE(ASourceThatStartsAgainAppliesItsLogInTurns) {
  constexpr uint64_t kMaxAppliedPerFlush = 4;
  constexpr uint64_t kPublications = 60;
  TestMesh mesh(5);
  mesh.AddSources(3);
  BOOST_REQUIRE(mesh.AwaitLeader());
  uint64_t accepted = 0;
  for (uint64_t number = 1; number <= kPublications; ++number) {
    accepted =
        mesh.Publish(MakePublication(number, {MakeService("a")})).revision();
  }
  mesh.Net().SetBatching(true);
  for (const std::string& source : mesh.SourceIds()) {
    mesh.Crash(source);
    mesh.Restart(source);
  }
  std::map<std::string, uint64_t> applied;
  mesh.Net().Run(std::chrono::seconds(5), [&mesh, &applied] {
    for (const std::string& source : mesh.SourceIds()) {
      const uint64_t now = mesh.Source(source).State().AppliedIndex();
      uint64_t& before = applied[source];
      BOOST_REQUIRE(now - before <= kMaxAppliedPerFlush);
      before = now;
    }
  });
  for (const std::string& source : mesh.SourceIds()) {
    BOOST_TEST(mesh.Source(source).State().Config().Revision() == accepted);
  }
}

// Guards against a restarted relay that accepts the confirmation of a nonce
// from before its restart as one of a new nonce, and so confirms a floor too
// early.
BOOST_AUTO_TEST_CASE(ARelayThatStartedAgainIsConfirmedAnew) {
  TestMesh mesh(3);
  BuildMesh(mesh, 1, 1);
  BOOST_REQUIRE(mesh.AwaitLeader());
  mesh.Publish(MakePublication(1, {MakeService("a")}));
  // Each start of the proxy requests a confirmed floor.
  for (int i = 0; i < 4; ++i) {
    mesh.Net().Run(std::chrono::seconds(3));
    mesh.Crash("proxy-1-1");
    mesh.LoseDisk("proxy-1-1");
    mesh.Restart("proxy-1-1");
  }
  mesh.Net().Run(std::chrono::seconds(3));
  BOOST_REQUIRE(mesh.Proxy("proxy-1-1").MayServe());
  // Partition the leader from the other sources; it has not detected that yet.
  const std::string leader = mesh.Leader();
  for (const std::string& source : mesh.SourceIds()) {
    if (source != leader) {
      mesh.Net().Cut(leader, source);
    }
  }
  mesh.Crash("relay-1");
  mesh.Restart("relay-1");
  mesh.Crash("proxy-1-1");
  mesh.LoseDisk("proxy-1-1");
  mesh.Restart("proxy-1-1");
  bool confirmed = false;
  mesh.Net().SetTap([&confirmed](const rpc::Envelope& envelope) {
    confirmed =
        confirmed || (envelope.has_floor() && envelope.floor().confirmed());
  });
  const auto leads_alone = [&mesh, &leader] {
    return std::all_of(mesh.SourceIds().begin(), mesh.SourceIds().end(),
                       [&](const std::string& source) {
                         return mesh.Source(source).Raft().CanServe() ==
                                (source == leader);
                       });
  };
  int steps = 0;
  while (leads_alone()) {
    BOOST_REQUIRE(!confirmed);
    mesh.Net().Run(std::chrono::milliseconds(10));
    ++steps;
  }
  BOOST_TEST(steps > 10);
  mesh.Net().SetTap(nullptr);
}

BOOST_AUTO_TEST_CASE(ASourceOutageLeavesEverythingInForceAndEndpointsMoving) {
  TestMesh mesh(3);
  BuildMesh(mesh, 1, 2);
  BOOST_REQUIRE(mesh.AwaitLeader());
  const uint64_t revision =
      mesh.Publish(MakePublication(1, {MakeService("a")})).revision();
  mesh.Net().Run(std::chrono::seconds(2));
  for (const std::string& source : mesh.SourceIds()) {
    mesh.Crash(source);
  }
  mesh.Proxy("proxy-1-1")
      .Local()
      .Announce({"a", "v1", "127.0.0.1:1", 20, "x"}, mesh.Net().Now().mono_);
  mesh.Net().Run(std::chrono::milliseconds(900));
  BOOST_TEST(InForceEverywhere(mesh, revision));
  BOOST_TEST(mesh.Proxy("proxy-1-2").Endpoints().HasReady("a", "v1"));
}

BOOST_AUTO_TEST_CASE(AllProxiesReachTheNewestRevisionWithoutARelay) {
  TestMesh mesh(4);
  BuildMesh(mesh, 1, 6);
  BOOST_REQUIRE(mesh.AwaitLeader());
  mesh.Net().Run(std::chrono::seconds(2));
  for (const std::string& id : mesh.ProxyIds()) {
    mesh.Proxy(id).Local().Announce({"a", "v1", "127.0.0.1:1", 20, "x"},
                                    mesh.Net().Now().mono_);
  }
  mesh.Publish(MakePublication(1, {MakeService("a")}));
  mesh.Net().Run(std::chrono::seconds(1));
  // Only one proxy receives the next revision; then the relay crashes.
  for (const std::string& id : mesh.ProxyIds()) {
    if (id != "proxy-1-4") {
      mesh.Net().Cut("relay-1", id);
    }
  }
  const uint64_t revision =
      mesh.Publish(MakePublication(2, {MakeService("b")})).revision();
  mesh.Net().Run(std::chrono::milliseconds(100));
  mesh.Crash("relay-1");
  BOOST_REQUIRE(mesh.Proxy("proxy-1-4").Config().Revision() == revision);
  AwaitInForce(mesh, revision, std::chrono::seconds(20));
  BOOST_TEST(InForceEverywhere(mesh, revision));
}

BOOST_AUTO_TEST_CASE(ARelayAndProxyHundredsOfRevisionsBehindCatchUp) {
  TestMesh mesh(5);
  BuildMesh(mesh, 1, 2);
  BOOST_REQUIRE(mesh.AwaitLeader());
  mesh.Publish(MakePublication(1, {MakeService("a")}));
  mesh.Net().Run(std::chrono::seconds(2));
  mesh.Crash("proxy-1-1");
  mesh.Crash("relay-1");
  uint64_t revision = 0;
  for (uint64_t number = 2; number <= 800; ++number) {
    revision =
        mesh.Publish(MakePublication(
                         number, {MakeService("a", std::to_string(number))}))
            .revision();
  }
  mesh.Restart("relay-1");
  mesh.Restart("proxy-1-1");
  const base::Duration took =
      AwaitInForce(mesh, revision, std::chrono::seconds(20));
  BOOST_TEST(took.count() < 12'000'000);
  BOOST_TEST(InForceEverywhere(mesh, revision));
}

BOOST_AUTO_TEST_CASE(AReconnectStormIsServedAtABoundedRate) {
  TestMesh mesh(6);
  BuildMesh(mesh, 1, 300);
  BOOST_REQUIRE(mesh.AwaitLeader());
  mesh.Publish(MakePublication(1, {MakeService("a")}));
  AwaitInForce(mesh, 1, std::chrono::seconds(20));
  for (const std::string& id : mesh.ProxyIds()) {
    mesh.Crash(id);
    mesh.LoseDisk(id);
  }
  for (const std::string& id : mesh.ProxyIds()) {
    mesh.Restart(id);
  }
  uint64_t max_per_step = 0;
  uint64_t snapshots = 0;
  mesh.Net().SetTap([&snapshots](const rpc::Envelope& envelope) {
    snapshots += envelope.has_snapshot() ? 1 : 0;
  });
  base::Duration took{0};
  while (!InForceEverywhere(mesh, 1) && took < std::chrono::seconds(20)) {
    const uint64_t before = snapshots;
    mesh.Net().Run(std::chrono::milliseconds(100));
    max_per_step = std::max(max_per_step, snapshots - before);
    took += std::chrono::milliseconds(100);
  }
  BOOST_TEST(InForceEverywhere(mesh, 1));
  BOOST_TEST(took.count() < 12'000'000);
  // The token bucket's burst of 50 plus its refill in 100 ms, 20.
  BOOST_TEST(max_per_step <= 71u);
  BOOST_TEST(snapshots <= 330u);
}

BOOST_AUTO_TEST_CASE(AcceptedSurvivesTheDeathOfAllAtAnyMoment) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    TestMesh mesh(seed);
    BuildMesh(mesh, 2, 2);
    BOOST_REQUIRE(mesh.AwaitLeader());
    mesh.Net().Run(std::chrono::seconds(1));
    base::Random random(seed);
    uint64_t accepted = 0;
    for (uint64_t number = 1; number <= 8; ++number) {
      const rpc::PublishReply reply = mesh.Publish(
          MakePublication(number, {MakeService("a", std::to_string(number))}),
          std::chrono::milliseconds(10 * random.Below(8)));
      accepted = reply.result_code() == 0 ? reply.revision() : accepted;
      std::vector<std::string> all = mesh.ProxyIds();
      all.insert(all.end(), mesh.SourceIds().begin(), mesh.SourceIds().end());
      all.emplace_back("relay-1");
      all.emplace_back("relay-2");
      for (const std::string& id : all) {
        mesh.Crash(id);
      }
      for (const std::string& id : all) {
        mesh.Restart(id);
      }
      BOOST_REQUIRE(mesh.AwaitLeader());
      AwaitInForce(mesh, accepted, std::chrono::seconds(12));
      BOOST_REQUIRE_MESSAGE(InForceEverywhere(mesh, accepted),
                            "seed " << seed << " number " << number);
    }
  }
}

// Applies random valid and invalid deltas and snapshots: an invalid one must be
// refused with the right code and leave the state unchanged, a valid one must
// lead to the source's state.
BOOST_AUTO_TEST_CASE(BadDeltasAndSnapshotsChangeNothing) {
  base::Random random(99);
  config::ConfigState source;
  config::ConfigState subscriber;
  for (uint64_t revision = 1; revision <= 500; ++revision) {
    config::ConfigState next = source;
    rpc::ServiceState state;
    *state.mutable_service() = MakeService(
        "s" + std::to_string(random.Below(20)), std::to_string(revision));
    next.Put(std::move(state));
    next.SetRevision(revision);
    rpc::ConfigDelta delta = config::MakeDelta(source, next);
    source = next;
    rpc::ConfigDelta bad = delta;
    ResultCode expected = ResultCode::kSnapshotDigestWrong;
    switch (random.Below(4)) {
      case 0:
        bad.mutable_changed(0)->mutable_service()->set_version("missing");
        expected = ResultCode::kDanglingRoute;
        break;
      case 1:
        bad.set_digest(bad.digest() + 1);
        break;
      case 2:
        bad.set_from_revision(bad.from_revision() + 7);
        bad.set_to_revision(bad.to_revision() + 7);
        expected = ResultCode::kRevisionGap;
        break;
      default:
        bad.clear_changed();
        break;
    }
    const uint64_t before = subscriber.Digest();
    BOOST_REQUIRE((subscriber.ApplyDelta(bad) == expected));
    BOOST_REQUIRE(subscriber.Digest() == before);
    rpc::ConfigSnapshot cut = source.ToSnapshot();
    cut.mutable_services()->RemoveLast();
    BOOST_REQUIRE(
        (subscriber.ApplySnapshot(cut) == ResultCode::kSnapshotDigestWrong));
    BOOST_REQUIRE(subscriber.Digest() == before);
    BOOST_REQUIRE((subscriber.ApplyDelta(delta) == ResultCode::kOk));
    BOOST_REQUIRE((subscriber.ApplyDelta(delta) == ResultCode::kRevisionOld));
    BOOST_REQUIRE(subscriber.Digest() == source.Digest());
  }
}

BOOST_AUTO_TEST_CASE(MergedDeltasEqualTheStepsInOrder) {
  base::Random random(4);
  config::ConfigState state;
  config::DeltaWindow window(64);
  std::vector<config::ConfigState> history = {state};
  for (uint64_t revision = 1; revision <= 60; ++revision) {
    config::ConfigState next = state;
    const std::string name = "s" + std::to_string(random.Below(6));
    if (random.Below(3) == 0) {
      next.Remove(name);
    } else {
      rpc::ServiceState service;
      *service.mutable_service() = MakeService(name, std::to_string(revision));
      next.Put(std::move(service));
    }
    next.SetRevision(revision);
    window.Add(config::MakeDelta(state, next));
    state = next;
    history.push_back(state);
  }
  for (uint64_t from = 0; from < 60; ++from) {
    rpc::ConfigDelta merged;
    BOOST_REQUIRE(window.Collect(from, merged));
    config::ConfigState subscriber = history[from];
    BOOST_TEST((subscriber.ApplyDelta(merged) == ResultCode::kOk));
    BOOST_TEST(subscriber.Digest() == state.Digest());
  }
}

}  // namespace
}  // namespace buckthorngate::tests
