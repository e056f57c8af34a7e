// The way of a large configuration to proxies that start again behind slow
// links, while changes follow each other.
#define BOOST_TEST_MODULE config_transfer
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/snapshot_codec.h"
#include "distribution/revision_lag.h"
#include "distribution/snapshot_cache.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kProxy[] = "proxy-1";
constexpr base::Duration kApplyBound = seconds(2);
constexpr int kServices = 400;

// A zone with two relays and one proxy, and a configuration that takes a while
// to send.
class LargeMesh {
 public:
  explicit LargeMesh(uint64_t seed) : mesh_(seed) {
    mesh_.SetApplyBound(kApplyBound);
    mesh_.AddSources(3);
    mesh_.AddRelay("relay-1", "zone-1");
    mesh_.AddRelay("relay-2", "zone-1");
    mesh_.AddProxy(kProxy, "zone-1");
    mesh_.Net().SetTap(
        [this](const rpc::Envelope& envelope) { Count(envelope); });
    BOOST_REQUIRE(mesh_.AwaitLeader());
    base::Random random(seed);
    for (int i = 0; i < kServices; ++i) {
      // Names that hardly compress.
      services_.push_back(MakeService("s" + std::to_string(random.Engine()()) +
                                      std::to_string(random.Engine()())));
    }
    Publish();
    mesh_.Net().Run(seconds(4));
    BOOST_REQUIRE(mesh_.Proxy(kProxy).MayServe());
  }

  // Restarts the proxy without state behind a link on which the snapshot alone
  // takes `transfer`.
  void RestartBehindLink(base::Duration transfer) {
    mesh_.Crash(kProxy);
    mesh_.LoseDisk(kProxy);
    mesh_.Restart(kProxy);
    const double seconds_taken =
        std::chrono::duration<double>(transfer).count();
    const rpc::ConfigSnapshot snapshot =
        config::PackSnapshot(mesh_.Relay("relay-1").Config().ToSnapshot());
    mesh_.Net().SetLink(
        kProxy, static_cast<double>(snapshot.ByteSizeLong()) / seconds_taken);
    ResetCounts();
  }

  void Publish() {
    const rpc::PublishReply reply =
        mesh_.Publish(MakePublication(++number_, services_));
    BOOST_REQUIRE(reply.result_code() == 0);
    accepted_.emplace_back(reply.revision(), mesh_.Net().Now().mono_);
  }
  // A small change, then the interval until the next one.
  void PublishSmallChange(base::Duration interval) {
    services_[0] =
        MakeService(services_[0].name(), "/" + std::to_string(number_));
    Publish();
    mesh_.Net().Run(interval);
  }

  // How long the proxy's revision has been replaced; 0 if it is the newest.
  base::Duration Age() {
    const uint64_t held = mesh_.Proxy(kProxy).Config().Revision();
    for (const auto& [revision, time] : accepted_) {
      if (revision > held) {
        return mesh_.Net().Now().mono_ - time;
      }
    }
    return base::Duration(0);
  }
  bool Serves() { return mesh_.Proxy(kProxy).MayServe(); }
  void ResetCounts() {
    snapshots_ = 0;
    resumes_.clear();
  }
  int Snapshots() const { return snapshots_; }
  // Repetitions of a Resume count once.
  size_t Resumes() const { return resumes_.size(); }
  TestMesh& Mesh() { return mesh_; }

 private:
  void Count(const rpc::Envelope& envelope) {
    snapshots_ += envelope.to() == kProxy && envelope.has_snapshot() ? 1 : 0;
    if (envelope.from() == kProxy && envelope.has_resume() &&
        !envelope.resume().standby()) {
      resumes_.insert(envelope.resume().number());
    }
  }

  TestMesh mesh_;
  uint64_t number_ = 0;
  std::vector<rpc::Service> services_;
  std::vector<std::pair<uint64_t, base::MonoTime>> accepted_;
  int snapshots_ = 0;
  std::set<uint64_t> resumes_;
};

// Guards against a proxy that gets the whole configuration again each second
// while the first copy is still on its way, and once more from each other
// relay.
BOOST_AUTO_TEST_CASE(ASlowTransferIsSentOnce) {
  for (const base::Duration transfer :
       {base::Duration(seconds(1)), base::Duration(seconds(3))}) {
    LargeMesh large(1);
    large.RestartBehindLink(transfer);
    large.Mesh().Net().Run(transfer + seconds(2));
    BOOST_TEST(large.Snapshots() == 1);
    BOOST_TEST(large.Serves());
    large.Mesh().Net().Run(seconds(10));
    BOOST_TEST(large.Snapshots() == 1);
  }
}

// Guards against a proxy that serves a revision that had been replaced when its
// snapshot arrived, or while its deltas waited behind other messages.
BOOST_AUTO_TEST_CASE(NoRevisionIsServedLongAfterItWasReplaced) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const base::Duration transfer :
         {base::Duration(seconds(1)), base::Duration(milliseconds(2500)),
          base::Duration(seconds(4))}) {
      LargeMesh large(seed);
      large.RestartBehindLink(transfer);
      bool served = false;
      for (int change = 0; change < 80; ++change) {
        large.PublishSmallChange(milliseconds(120));
        BOOST_REQUIRE_MESSAGE(!large.Serves() || large.Age() <= kApplyBound,
                              "seed " << seed << ": a revision replaced "
                                      << large.Age().count() / 1000
                                      << " ms ago is served");
        served = served || large.Serves();
      }
      BOOST_TEST(served, "seed " << seed << ", transfer "
                                 << transfer.count() / 1000 << " ms, resumes "
                                 << large.Resumes());
      BOOST_TEST(large.Snapshots() <= 2);
    }
  }
}

// Guards against a proxy that refuses the deltas which an earlier start was
// due, and asks for another snapshot because of them.
BOOST_AUTO_TEST_CASE(DeltasForAnEarlierStartAreIgnored) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    LargeMesh large(seed);
    large.RestartBehindLink(milliseconds(500));
    // Before the proxy's Resume, its relay sends the delta of a change.
    large.Mesh().Net().Freeze(kProxy);
    large.PublishSmallChange(milliseconds(200));
    large.Mesh().Net().Thaw(kProxy);
    large.ResetCounts();
    for (int change = 0; change < 20; ++change) {
      large.PublishSmallChange(milliseconds(120));
    }
    large.Mesh().Net().Run(seconds(3));
    BOOST_TEST(large.Serves());
    BOOST_TEST(large.Resumes() == 1u, "seed " << seed);
    BOOST_TEST(large.Snapshots() == 1, "seed " << seed);
  }
}

// Guards against an update that is lost with its stream and never sent again:
// no later change shows the gap.
BOOST_AUTO_TEST_CASE(ALostUpdateIsSentAgain) {
  LargeMesh large(3);
  for (const char* relay : {"relay-1", "relay-2"}) {
    large.Mesh().Net().Cut(relay, kProxy);
  }
  large.PublishSmallChange(milliseconds(100));
  large.Mesh().Net().Heal();
  large.Mesh().Net().Run(milliseconds(1500));
  BOOST_TEST(large.Age().count() == 0);
  BOOST_TEST(large.Serves());
}

// Guards against a proxy that serves on because the relay it follows is silent,
// while another one tells it of newer revisions.
BOOST_AUTO_TEST_CASE(AnyRelayTellsThatARevisionIsTooOld) {
  for (const char* silent : {"relay-1", "relay-2"}) {
    LargeMesh large(5);
    large.Mesh().Net().Cut(silent, kProxy);
    for (int change = 0; change < 60; ++change) {
      large.PublishSmallChange(milliseconds(120));
      BOOST_REQUIRE_MESSAGE(!large.Serves() || large.Age() <= kApplyBound,
                            silent << " is silent: a revision replaced "
                                   << large.Age().count() / 1000
                                   << " ms ago is served");
    }
    BOOST_TEST(large.Serves());
  }
}

// Guards against a proxy that stops serving because it heard of a newer
// revision right before it was cut off from all relays.
BOOST_AUTO_TEST_CASE(AProxyThatIsCutOffServesWhatItHolds) {
  LargeMesh large(4);
  // Its link is busy, so that the change stays on its way.
  large.Mesh().Net().SetLink(kProxy, 10.0);
  large.PublishSmallChange(milliseconds(50));
  for (const char* relay : {"relay-1", "relay-2"}) {
    large.Mesh().Net().Cut(relay, kProxy);
  }
  large.Mesh().Net().Run(seconds(10));
  BOOST_TEST(large.Serves());
}

BOOST_AUTO_TEST_CASE(TheLagCountsFromTheFirstNewerRevision) {
  distribution::RevisionLag lag;
  const base::BootTime start(std::chrono::hours(1));
  lag.Held(5);
  lag.Heard(5, start);
  BOOST_TEST(!lag.Since().has_value());
  lag.Heard(6, start + seconds(1));
  lag.Heard(8, start + seconds(2));
  lag.Heard(7, start + seconds(3));
  BOOST_TEST((lag.Since() == start + seconds(1)));
  lag.Held(6);
  BOOST_TEST((lag.Since() == start + seconds(2)));
  lag.Held(8);
  BOOST_TEST(!lag.Since().has_value());
}

config::ConfigState StateOf(uint64_t revision) {
  config::ConfigState state;
  for (int i = 0; i < kServices; ++i) {
    rpc::ServiceState service;
    *service.mutable_service() = MakeService(
        "service-" + std::to_string(i), i == 0 ? std::to_string(revision) : "");
    state.Put(std::move(service));
  }
  state.SetRevision(revision);
  return state;
}

BOOST_AUTO_TEST_CASE(APackedSnapshotIsSmallerAndTheSame) {
  const config::ConfigState state = StateOf(7);
  const rpc::ConfigSnapshot packed = config::PackSnapshot(state.ToSnapshot());
  BOOST_TEST(packed.ByteSizeLong() * 4 < state.ToSnapshot().ByteSizeLong());
  const tl::expected<rpc::ConfigSnapshot, ResultCode> unpacked =
      config::UnpackSnapshot(packed);
  BOOST_REQUIRE(unpacked.has_value());
  config::ConfigState copy;
  BOOST_TEST((copy.ApplySnapshot(*unpacked) == ResultCode::kOk));
  BOOST_TEST(copy.Digest() == state.Digest());
}

// Packed bytes that were cut, changed or exchanged are refused.
BOOST_AUTO_TEST_CASE(DamagedPackedSnapshotsAreRefused) {
  const rpc::ConfigSnapshot packed =
      config::PackSnapshot(StateOf(7).ToSnapshot());
  rpc::ConfigSnapshot cut = packed;
  cut.mutable_packed()->resize(packed.packed().size() / 2);
  rpc::ConfigSnapshot noise = packed;
  noise.set_packed(std::string(1000, '\x5a'));
  rpc::ConfigSnapshot renumbered = packed;
  renumbered.set_revision(8);
  rpc::ConfigSnapshot nested = packed;
  nested.set_packed(config::PackSnapshot(StateOf(9).ToSnapshot()).packed());
  for (const rpc::ConfigSnapshot& bad : {cut, noise, renumbered, nested}) {
    BOOST_TEST((config::UnpackSnapshot(bad).error() ==
                ResultCode::kSnapshotDigestWrong));
  }
}

// Guards against a relay that spends its processor on snapshots: a herd that
// starts during changes needs one in a second, not one for each subscriber.
BOOST_AUTO_TEST_CASE(ChangesInQuickSuccessionShareASnapshot) {
  distribution::SnapshotCache cache;
  config::DeltaWindow deltas(64);
  config::ConfigState state = StateOf(1);
  base::Now now;
  now.mono_ = base::MonoTime(std::chrono::hours(1));
  for (uint64_t revision = 2; revision <= 17; ++revision) {
    const config::ConfigState next = StateOf(revision);
    deltas.Add(config::MakeDelta(state, next));
    state = next;
    now.mono_ += milliseconds(120);
    for (int subscriber = 0; subscriber < 50; ++subscriber) {
      const rpc::ConfigSnapshot& snapshot = cache.Get(state, deltas, now);
      BOOST_REQUIRE(snapshot.revision() <= revision);
      BOOST_REQUIRE((snapshot.revision() == revision ||
                     deltas.Reaches(snapshot.revision())));
    }
  }
  // 16 changes in 1.9 s.
  BOOST_TEST(cache.Packed() <= 3u);
}

}  // namespace
}  // namespace buckthorngate::tests
