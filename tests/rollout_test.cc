// Moves of traffic to a new version through the whole control path (proxies,
// relays, sources), and the harm test and evidence merging on their own.
#define BOOST_TEST_MODULE rollout
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

#include "move_experiment.h"
#include "request/version_choice.h"
#include "rollout/evidence.h"
#include "rollout/harm_test.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

constexpr base::Duration kWindow = std::chrono::milliseconds(250);
constexpr int kCallsPerWindow = 40;

rpc::Service ServiceWithMove(TestMesh& mesh,
                             std::chrono::milliseconds deadline,
                             uint32_t unproven_share_permille = 50) {
  rpc::Service service = MakeService("a");
  service.mutable_move()->set_to("v2");
  service.mutable_move()->set_unproven_share_permille(unproven_share_permille);
  service.mutable_move()->set_deadline_ms(
      base::ToUnixMs(mesh.Net().Now().wall_ + deadline));
  return service;
}

// A mesh whose proxies route calls between two versions and report evidence as
// daemons do.
class MeshWithTraffic {
 public:
  explicit MeshWithTraffic(uint64_t seed, int zones = 2) : mesh_(seed) {
    mesh_.AddSources(3);
    for (int zone = 1; zone <= zones; ++zone) {
      mesh_.AddRelay("relay-" + std::to_string(zone),
                     "zone-" + std::to_string(zone));
    }
    for (int zone = 1; zone <= zones; ++zone) {
      for (const char* version : {"v1", "v2"}) {
        mesh_.AddProxy("proxy-" + std::to_string(zone) + "-" + version,
                       "zone-" + std::to_string(zone));
      }
    }
    BOOST_REQUIRE(mesh_.AwaitLeader());
    Run(std::chrono::seconds(3));
  }

  TestMesh& Mesh() { return mesh_; }
  void SetFailureRate(double rate) { failure_rate_ = rate; }
  // Stops the announcements of a version's endpoints.
  void DropVersion(const std::string& version) { dropped_ = version; }

  // Runs the mesh with traffic and calls `after_window` after each window.
  void Run(base::Duration length,
           const std::function<void()>& after_window = nullptr) {
    for (base::Duration at{0}; at < length; at += kWindow) {
      AnnounceAll();
      for (const std::string& id : mesh_.ProxyIds()) {
        if (mesh_.Alive(id)) {
          SendTraffic(id);
        }
      }
      mesh_.Net().Run(kWindow);
      CollectSteps();
      if (after_window) {
        after_window();
      }
    }
  }

  // Returns the move as the leader has it; empty without a leader or service.
  rpc::Move Move() {
    const std::string leader = mesh_.Leader();
    if (leader.empty() ||
        mesh_.Source(leader).State().Config().Find("a") == nullptr) {
      return {};
    }
    return mesh_.Source(leader).State().Config().Find("a")->move();
  }

  // Returns the steps in the audit trail so far, by log index.
  const std::map<uint64_t, std::string>& Steps() const { return steps_; }

 private:
  void AnnounceAll() {
    for (const std::string& id : mesh_.ProxyIds()) {
      const std::string version = id.substr(id.size() - 2);
      if (mesh_.Alive(id) && version != dropped_) {
        mesh_.Proxy(id).Local().Announce({"a", version, "127.0.0.1:1", 20, "x"},
                                         mesh_.Net().Now().mono_);
      }
    }
  }

  void SendTraffic(const std::string& id) {
    const config::ServicePtr service = mesh_.Proxy(id).Config().Find("a");
    if (service == nullptr || !service->has_move()) {
      return;
    }
    std::map<std::string, rpc::RouteEvidence> sums;
    for (int i = 0; i < kCallsPerWindow; ++i) {
      const std::string id =
          std::to_string(mesh_.Net().Rng().Below(1'000'000'000));
      const std::string version =
          request::ChooseVersions(*service, id, false).first_;
      rpc::RouteEvidence& sum = sums[version];
      sum.set_service("a");
      sum.set_version(version);
      sum.set_route("main");
      sum.set_calls(sum.calls() + 1);
      const double rate = version == "v2" ? failure_rate_ : 0.0;
      const bool failed = mesh_.Net().Rng().Unit() < rate;
      sum.set_failures(sum.failures() + (failed ? 1 : 0));
    }
    std::vector<rpc::RouteEvidence> routes;
    routes.reserve(sums.size());
    for (auto& [version, sum] : sums) {
      routes.push_back(std::move(sum));
    }
    mesh_.Proxy(id).SendEvidence(std::move(routes));
  }

  void CollectSteps() {
    const std::string leader = mesh_.Leader();
    if (leader.empty()) {
      return;
    }
    for (const rpc::AuditRecord& record :
         mesh_.Source(leader).State().Audit()) {
      if (record.action().starts_with("move")) {
        steps_[record.index()] = record.detail();
      }
    }
  }

  TestMesh mesh_;
  double failure_rate_ = 0.0;
  std::string dropped_;
  std::map<uint64_t, std::string> steps_;
};

BOOST_AUTO_TEST_CASE(GoodVersionCompletesAndBadVersionIsRolledBack) {
  for (const double rate : {0.0, 0.3}) {
    MeshWithTraffic moving(1);
    moving.SetFailureRate(rate);
    moving.Mesh().Publish(MakePublication(
        1, {ServiceWithMove(moving.Mesh(), std::chrono::minutes(2))}));
    moving.Run(std::chrono::minutes(2));
    BOOST_TEST(
        (moving.Move().phase() ==
         (rate == 0.0 ? rpc::MOVE_PHASE_DONE : rpc::MOVE_PHASE_TAKEN_BACK)));
    for (const std::string& id : moving.Mesh().ProxyIds()) {
      const config::ServicePtr service =
          moving.Mesh().Proxy(id).Config().Find("a");
      BOOST_TEST(service->move().share_permille() ==
                 (rate == 0.0 ? 1000u : 0u));
    }
  }
}

BOOST_AUTO_TEST_CASE(LeaderLossAtEveryStepRepeatsNoStep) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    MeshWithTraffic moving(seed);
    TestMesh& mesh = moving.Mesh();
    mesh.Publish(
        MakePublication(1, {ServiceWithMove(mesh, std::chrono::minutes(10))}));
    uint64_t last_step = 0;
    std::string down;
    uint32_t last_share = 0;
    moving.Run(std::chrono::minutes(4), [&] {
      const rpc::Move move = moving.Move();
      if (move.step() > last_step) {
        BOOST_REQUIRE(move.share_permille() >= last_share);
        last_step = move.step();
        last_share = move.share_permille();
        if (!down.empty()) {
          mesh.Restart(down);
        }
        down = mesh.Leader();
        mesh.Crash(down);
      }
    });
    BOOST_TEST((moving.Move().phase() == rpc::MOVE_PHASE_DONE));
    // Each step is in the audit trail only once.
    std::set<std::string> details;
    for (const auto& [index, detail] : moving.Steps()) {
      const std::string share = detail.substr(0, detail.find(':'));
      BOOST_TEST(details.insert(share).second, detail);
    }
  }
}

BOOST_AUTO_TEST_CASE(
    MoveEndsCorrectlyWithLostDelayedDuplicatedAndReorderedEvidence) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    MeshWithTraffic moving(seed);
    NetworkFaults faults;
    faults.loss_ = 0.2;
    faults.duplicate_ = 0.3;
    faults.max_delay_ = std::chrono::milliseconds(300);
    moving.Mesh().Net().SetFaults(faults);
    const bool bad = seed % 2 == 0;
    moving.SetFailureRate(bad ? 0.2 : 0.0);
    rpc::PublishReply reply;
    do {
      reply = moving.Mesh().Publish(MakePublication(
          1, {ServiceWithMove(moving.Mesh(), std::chrono::minutes(3))}));
    } while (reply.result_code() != 0);
    moving.Run(std::chrono::minutes(3));
    // The result is read from a leader, and with this message loss there may be
    // none.
    moving.Mesh().Net().SetFaults(NetworkFaults());
    BOOST_REQUIRE(moving.Mesh().AwaitLeader());
    BOOST_TEST((moving.Move().phase() ==
                (bad ? rpc::MOVE_PHASE_TAKEN_BACK : rpc::MOVE_PHASE_DONE)),
               "seed " << seed << ": phase " << moving.Move().phase()
                       << ", share " << moving.Move().share_permille() << ", "
                       << moving.Move().reason());
  }
}

BOOST_AUTO_TEST_CASE(OneBrakeHoldsAMoveAndTwoRollItBack) {
  for (const int brakes : {1, 2}) {
    MeshWithTraffic moving(3);
    TestMesh& mesh = moving.Mesh();
    mesh.Publish(
        MakePublication(1, {ServiceWithMove(mesh, std::chrono::minutes(5))}));
    moving.Run(std::chrono::seconds(8));
    const rpc::Move before = moving.Move();
    BOOST_REQUIRE(before.share_permille() > 0);
    for (int i = 0; i < brakes; ++i) {
      rpc::BrakeNotice notice;
      notice.set_service("a");
      notice.set_version("v2");
      notice.set_step(before.step());
      mesh.Proxy(mesh.ProxyIds()[static_cast<size_t>(i)]).SendBrake(notice);
    }
    moving.Run(std::chrono::seconds(3));
    if (brakes == 1) {
      BOOST_TEST(moving.Move().step() == before.step());
      // The controller's own evidence shows no harm, so the move continues.
      moving.Run(std::chrono::seconds(60));
      BOOST_TEST(moving.Move().step() > before.step());
    } else {
      BOOST_TEST((moving.Move().phase() == rpc::MOVE_PHASE_TAKEN_BACK));
    }
  }
}

// Guards against exposure limits that hold for each daemon but not for all of
// them together: with as many daemons as the largest site has, a bad version
// must receive less than a tenth of all calls.
BOOST_AUTO_TEST_CASE(ExposureToABadVersionIsBoundedAcrossAllDaemons) {
  const benchmark::Deployment largest{"largest", 1500.0, 188,
                                      std::chrono::seconds(12)};
  constexpr double kMaxExposure = 0.1;
  for (const benchmark::VersionKind kind : benchmark::kAllKinds) {
    if (!benchmark::IsBadFromTheStart(kind) || !benchmark::IsVisiblyBad(kind)) {
      continue;
    }
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      const benchmark::MoveResult result = benchmark::RunMove(
          kind, rollout::PolicyKind::kSequential, largest, seed);
      BOOST_TEST(result.taken_back_, benchmark::NameOf(kind)
                                         << ", seed " << seed);
      BOOST_TEST(result.exposure_ <= kMaxExposure,
                 benchmark::NameOf(kind)
                     << ", seed " << seed << ": " << result.exposure_);
    }
  }
}

BOOST_AUTO_TEST_CASE(IsolatedZoneKeepsItsShareAndCatchesUpLater) {
  MeshWithTraffic moving(4);
  TestMesh& mesh = moving.Mesh();
  mesh.Publish(
      MakePublication(1, {ServiceWithMove(mesh, std::chrono::minutes(3))}));
  moving.Run(std::chrono::seconds(10));
  const uint32_t share =
      mesh.Proxy("proxy-2-v1").Config().Find("a")->move().share_permille();
  for (const std::string& source : mesh.SourceIds()) {
    mesh.Net().Cut("relay-2", source);
  }
  moving.SetFailureRate(0.3);
  moving.Run(std::chrono::seconds(20));
  BOOST_TEST((moving.Move().phase() == rpc::MOVE_PHASE_TAKEN_BACK));
  // The zone continues with its last configuration; its proxies' brakes protect
  // it.
  BOOST_TEST(mesh.Proxy("proxy-2-v1").MayServe());
  BOOST_TEST(
      mesh.Proxy("proxy-2-v1").Config().Find("a")->move().share_permille() <=
      share * 2);
  mesh.Net().Heal();
  moving.Run(std::chrono::seconds(10));
  BOOST_TEST(
      mesh.Proxy("proxy-2-v1").Config().Find("a")->move().share_permille() ==
      0u);
}

BOOST_AUTO_TEST_CASE(WithdrawnMoveStopsAndStaysStopped) {
  MeshWithTraffic moving(5);
  TestMesh& mesh = moving.Mesh();
  mesh.Publish(
      MakePublication(1, {ServiceWithMove(mesh, std::chrono::minutes(2))}));
  moving.Run(std::chrono::seconds(12));
  BOOST_REQUIRE(moving.Move().share_permille() > 0);
  mesh.Publish(MakePublication(2, {MakeService("a")}));
  moving.Run(std::chrono::seconds(20));
  BOOST_TEST((moving.Move().phase() == rpc::MOVE_PHASE_WITHDRAWN));
  BOOST_TEST(moving.Move().share_permille() == 0u);
}

BOOST_AUTO_TEST_CASE(
    BadVersionIsFoundThoughTheDeadlinePassedWhileSourcesWereDown) {
  MeshWithTraffic moving(6);
  TestMesh& mesh = moving.Mesh();
  mesh.Publish(
      MakePublication(1, {ServiceWithMove(mesh, std::chrono::seconds(30))}));
  moving.Run(std::chrono::seconds(5));
  const std::vector<std::string> sources = mesh.SourceIds();
  for (const std::string& source : sources) {
    mesh.Crash(source);
  }
  moving.Run(std::chrono::seconds(40));
  for (const std::string& source : sources) {
    mesh.Restart(source);
  }
  // A bad version is still detected: a passed deadline must not raise the share
  // without evidence.
  moving.SetFailureRate(0.3);
  moving.Run(std::chrono::seconds(40));
  BOOST_TEST((moving.Move().phase() == rpc::MOVE_PHASE_TAKEN_BACK));
}

BOOST_AUTO_TEST_CASE(MoveWithoutOldEndpointsReportsThatItCannotGoBack) {
  MeshWithTraffic moving(7);
  TestMesh& mesh = moving.Mesh();
  mesh.Publish(
      MakePublication(1, {ServiceWithMove(mesh, std::chrono::minutes(2))}));
  moving.Run(std::chrono::minutes(2));
  BOOST_REQUIRE((moving.Move().phase() == rpc::MOVE_PHASE_DONE));
  BOOST_TEST(moving.Move().watch_open());
  moving.DropVersion("v1");
  moving.Run(std::chrono::seconds(10));
  BOOST_TEST(!moving.Move().watch_open());
  BOOST_TEST(moving.Move().reason().find("cannot go back") !=
             std::string::npos);
}

rpc::RouteEvidence Window(uint64_t calls, uint64_t failures, int bucket) {
  rpc::RouteEvidence window;
  window.set_calls(calls);
  window.set_failures(failures);
  for (int i = 0; i <= bucket; ++i) {
    window.add_latency_buckets(
        i == bucket ? static_cast<uint32_t>(calls - failures) : 0);
  }
  return window;
}

BOOST_AUTO_TEST_CASE(
    HarmTestFindsFailuresAndSlownessButIgnoresCommonDegradation) {
  rollout::HarmTest failing;
  rollout::HarmTest slow;
  rollout::HarmTest both_degraded;
  rollout::HarmTest equal;
  for (int i = 0; i < 40; ++i) {
    failing.Add(Window(10, 2, 20), Window(100, 0, 20));
    slow.Add(Window(10, 0, 25), Window(100, 0, 20));
    both_degraded.Add(Window(10, i > 20 ? 2 : 0, 20),
                      Window(100, i > 20 ? 20 : 0, 20));
    equal.Add(Window(10, 0, 21), Window(100, 0, 20));
  }
  BOOST_TEST(failing.Harm() == "failures");
  BOOST_TEST(slow.Harm() == "latency");
  BOOST_TEST(both_degraded.Harm() == "");
  BOOST_TEST(equal.Harm() == "");
  BOOST_TEST(equal.StepSafetyLogRatio() > rollout::kStepSafetyThreshold);
}

BOOST_AUTO_TEST_CASE(DuplicateAndOldEvidenceReportsAreIgnored) {
  rollout::EvidenceMerger merger;
  rpc::Evidence report;
  report.set_origin("p");
  report.set_incarnation(1);
  report.set_sequence(2);
  rpc::RouteEvidence& route = *report.add_routes();
  route = Window(5, 1, 3);
  route.set_service("a");
  merger.Add(report);
  merger.Add(report);
  report.set_sequence(1);
  merger.Add(report);
  BOOST_TEST(merger.TakeSums().at(0).calls() == 5u);
  report.set_incarnation(2);
  merger.Add(report);
  BOOST_TEST(merger.TakeSums().at(0).calls() == 5u);
  BOOST_TEST(rollout::LatencyBucket(std::chrono::hours(1)) ==
             rollout::kLatencyBuckets - 1);
}

}  // namespace
}  // namespace buckthorngate::tests
