// Decisions on the request path: route matching, version choice, load
// balancing, admission control, retries, quarantine and the local brake.
#define BOOST_TEST_MODULE request
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "call_tree_model.h"
#include "config/config_state.h"
#include "request/admission.h"
#include "request/answered_requests.h"
#include "request/endpoint_picker.h"
#include "request/quarantine.h"
#include "request/retry.h"
#include "request/route_table.h"
#include "request/version_choice.h"
#include "rollout/brake.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

using request::AdmissionQueue;
using request::AdmissionVerdict;

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

config::ServicePtr MakeServiceWithRoutes(
    const std::string& name,
    const std::vector<std::vector<std::string>>& routes) {
  rpc::ServiceState state;
  state.mutable_service()->set_name(name);
  for (const std::vector<std::string>& parts : routes) {
    rpc::Route& route = *state.mutable_service()->add_routes();
    route.set_name(parts[0]);
    route.set_host(parts[1]);
    route.set_path_prefix(parts[2]);
    if (parts.size() > 3) {
      route.add_methods(parts[3]);
    }
  }
  return std::make_shared<const rpc::ServiceState>(std::move(state));
}

BOOST_AUTO_TEST_CASE(RoutesMatchByHostLongestPrefixAndMethod) {
  const auto table = request::RouteTable::Build(
      {{"a", MakeServiceWithRoutes("a", {{"root", "*", "/"},
                                         {"orders", "*", "/orders"},
                                         {"pay", "*", "/orders/pay", "POST"},
                                         {"shop", "shop.ge", "/orders/"}})}});
  const auto name = [&table](const char* host, const char* path,
                             const char* method) -> std::string {
    const request::RouteMatch match = table->Match(host, path, method);
    return match.route_ == nullptr ? "" : match.route_->name();
  };
  BOOST_TEST(name("x", "/", "GET") == "root");
  BOOST_TEST(name("x", "/orders", "GET") == "orders");
  BOOST_TEST(name("x", "/orders/", "GET") == "orders");
  BOOST_TEST(name("x", "/orders2", "GET") == "root");
  BOOST_TEST(name("x", "/orders/pay", "POST") == "pay");
  BOOST_TEST(name("x", "/orders/pay/now", "POST") == "pay");
  BOOST_TEST(name("x", "/orders/pay", "GET") == "orders");
  BOOST_TEST(name("shop.ge:80", "/orders/pay", "POST") == "shop");
  BOOST_TEST(name("shop.ge", "/else", "GET") == "root");
  BOOST_TEST(name("x", "relative", "GET").empty());
}

rpc::ServiceState MakeMovingService(uint32_t share) {
  rpc::ServiceState state;
  *state.mutable_service() = MakeService("a");
  state.mutable_move()->set_from("v1");
  state.mutable_move()->set_to("v2");
  state.mutable_move()->set_phase(rpc::MOVE_PHASE_RAMPING);
  state.mutable_move()->set_share_permille(share);
  return state;
}

BOOST_AUTO_TEST_CASE(VersionsFollowTheShareAndStayWithTheRequest) {
  const rpc::ServiceState state = MakeMovingService(50);
  int new_calls = 0;
  for (int i = 0; i < 20'000; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const std::string version =
        request::ChooseVersions(state, id, false).first_;
    BOOST_REQUIRE(version == request::ChooseVersions(state, id, false).first_);
    new_calls += version == "v2" ? 1 : 0;
  }
  BOOST_TEST(new_calls > 850);
  BOOST_TEST(new_calls < 1150);
  BOOST_TEST(
      request::ChooseVersions(MakeMovingService(1000), "x", true).first_ ==
      "v1");
}

request::VersionView MakeEndpoints(int own, int other) {
  request::VersionView view;
  for (int i = 0; i < own + other; ++i) {
    request::EndpointView endpoint;
    endpoint.endpoint_.set_id(std::to_string(i));
    endpoint.endpoint_.set_slots(10);
    endpoint.stats_ = std::make_shared<request::EndpointStats>(AtMs(0));
    view.endpoints_.push_back(endpoint);
  }
  view.own_zone_count_ = static_cast<size_t>(own);
  return view;
}

BOOST_AUTO_TEST_CASE(TheOwnZoneGoesFirstAndSpillsByLoad) {
  base::Random random(1);
  request::VersionView view = MakeEndpoints(2, 2);
  for (int i = 0; i < 100; ++i) {
    const auto* picked = request::PickEndpoint(view, {}, AtMs(60'000), random);
    BOOST_REQUIRE(std::stoi(picked->endpoint_.id()) < 2);
  }
  for (int i = 0; i < 9; ++i) {
    view.endpoints_[0].stats_->Begin();
    view.endpoints_[1].stats_->Begin();
  }
  int spilled = 0;
  for (int i = 0; i < 100; ++i) {
    const auto* picked = request::PickEndpoint(view, {}, AtMs(60'000), random);
    spilled += std::stoi(picked->endpoint_.id()) >= 2 ? 1 : 0;
  }
  BOOST_TEST(spilled > 50);
}

BOOST_AUTO_TEST_CASE(EjectedAndTriedEndpointsAreLeftOut) {
  base::Random random(2);
  request::VersionView view = MakeEndpoints(3, 0);
  view.endpoints_[0].stats_->Eject(AtMs(60'000));
  for (int i = 0; i < 50; ++i) {
    const auto* picked =
        request::PickEndpoint(view, {{"1"}}, AtMs(60'010), random);
    BOOST_REQUIRE(picked->endpoint_.id() == "2");
  }
  // The ejected endpoint is the last resort; without it nothing is left.
  BOOST_TEST(request::PickEndpoint(view, {{"1", "2"}}, AtMs(60'010), random)
                 ->endpoint_.id() == "0");
  BOOST_TEST(request::PickEndpoint(view, {{"0", "1", "2"}}, AtMs(60'010),
                                   random) == nullptr);
}

BOOST_AUTO_TEST_CASE(AColdEndpointGetsLessWorkAtFirst) {
  base::Random random(3);
  request::VersionView view = MakeEndpoints(2, 0);
  view.endpoints_[1].stats_ =
      std::make_shared<request::EndpointStats>(AtMs(60'000));
  int cold = 0;
  for (int i = 0; i < 200; ++i) {
    const auto* picked = request::PickEndpoint(view, {}, AtMs(60'100), random);
    picked->stats_->Begin();
    cold += picked->endpoint_.id() == "1" ? 1 : 0;
  }
  BOOST_TEST(cold < 60);
  BOOST_TEST(cold > 0);
}

BOOST_AUTO_TEST_CASE(AdmissionCountsSlotsAndQueuesByDeadline) {
  AdmissionQueue queue({2, 1.0});
  BOOST_TEST((queue.Enter(1, "c", AtMs(1000), AtMs(0)) ==
              AdmissionVerdict::kAdmitted));
  BOOST_TEST((queue.Enter(2, "c", AtMs(1000), AtMs(0)) ==
              AdmissionVerdict::kAdmitted));
  BOOST_TEST(
      (queue.Enter(3, "c", AtMs(900), AtMs(0)) == AdmissionVerdict::kQueued));
  BOOST_TEST(
      (queue.Enter(4, "c", AtMs(500), AtMs(0)) == AdmissionVerdict::kQueued));
  BOOST_TEST(
      (queue.Enter(5, "c", AtMs(900), AtMs(0)) == AdmissionVerdict::kRefused));
  queue.Leave(1, std::chrono::milliseconds(10), false, AtMs(10));
  const auto decisions = queue.TakeDecisions(AtMs(10));
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(decisions[0].ticket_ == 4u);
  BOOST_TEST(decisions[0].admitted_);
}

BOOST_AUTO_TEST_CASE(WaitingRequestsThatCannotFinishAreRefused) {
  AdmissionQueue queue({1, 4.0});
  queue.Enter(1, "c", AtMs(1000), AtMs(0));
  queue.Enter(2, "c", AtMs(50), AtMs(0));
  const auto decisions = queue.TakeDecisions(AtMs(60));
  BOOST_REQUIRE(decisions.size() == 1);
  BOOST_TEST(!decisions[0].admitted_);
  BOOST_TEST(
      (queue.Enter(3, "c", AtMs(60), AtMs(61)) == AdmissionVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(OneGreedyCallerDoesNotStarveAnother) {
  AdmissionQueue queue({2, 10.0});
  queue.Enter(1, "greedy", AtMs(10'000), AtMs(0));
  queue.Enter(2, "greedy", AtMs(10'000), AtMs(0));
  for (uint64_t ticket = 3; ticket < 13; ++ticket) {
    queue.Enter(ticket, "greedy", AtMs(9'000), AtMs(0));
  }
  queue.Enter(50, "modest", AtMs(10'000), AtMs(0));
  queue.Leave(1, std::chrono::milliseconds(1), false, AtMs(1));
  BOOST_TEST(queue.TakeDecisions(AtMs(1)).front().ticket_ == 50u);
}

BOOST_AUTO_TEST_CASE(ADrainingUpstreamGetsNothingNewAndLosesNothing) {
  AdmissionQueue queue({2, 1.0});
  queue.Enter(1, "c", AtMs(1000), AtMs(0));
  queue.Drain();
  BOOST_TEST(
      (queue.Enter(2, "c", AtMs(1000), AtMs(0)) == AdmissionVerdict::kRefused));
  BOOST_TEST(queue.Running() == 1u);
}

// Guards against DRAIN of review/2: requests that wait for a slot when their
// upstream drains are sent to it once a slot becomes free. Each is refused at
// once, and exactly once.
BOOST_AUTO_TEST_CASE(ADrainRefusesTheRequestsThatWait) {
  AdmissionQueue queue({2, 2.0});
  for (uint64_t ticket = 1; ticket <= 5; ++ticket) {
    queue.Enter(ticket, "c", AtMs(100'000), AtMs(0));
  }
  BOOST_REQUIRE(queue.Waiting() == 3u);
  queue.Drain();
  BOOST_TEST(queue.Waiting() == 0u);
  std::set<uint64_t> refused;
  for (const AdmissionQueue::Decision& decision :
       queue.TakeDecisions(AtMs(1))) {
    BOOST_TEST(!decision.admitted_);
    BOOST_TEST(refused.insert(decision.ticket_).second);
  }
  BOOST_TEST((refused == std::set<uint64_t>{3, 4, 5}));
  queue.Leave(1, std::chrono::milliseconds(1), false, AtMs(2));
  BOOST_TEST(queue.TakeDecisions(AtMs(3)).empty());
  BOOST_TEST(queue.Running() == 1u);
}

BOOST_AUTO_TEST_CASE(TheLimitFollowsASlowingUpstream) {
  AdmissionQueue queue({20, 1.0});
  uint64_t ticket = 0;
  const auto serve = [&](int ms) {
    queue.Enter(++ticket, "c", AtMs(1'000'000), AtMs(0));
    queue.Leave(ticket, std::chrono::milliseconds(ms), false, AtMs(0));
  };
  for (int i = 0; i < 100; ++i) {
    serve(10);
  }
  BOOST_TEST(queue.Limit() == 20.0);
  for (int i = 0; i < 100; ++i) {
    serve(60);
  }
  BOOST_TEST(queue.Limit() <= 12.0);
  for (int i = 0; i < 300; ++i) {
    serve(10);
  }
  BOOST_TEST(queue.Limit() > 19.0);
}

BOOST_AUTO_TEST_CASE(OnlyNotRunOrRepeatableRequestsAreSentAgain) {
  request::RetryContext context;
  context.attempts_ = 1;
  context.time_left_ = std::chrono::seconds(1);
  request::AttemptOutcome failed;
  failed.code_ = ResultCode::kUpstreamFailed;
  BOOST_TEST(!request::IsRetryable(failed, context));
  context.repeatable_ = true;
  BOOST_TEST(request::IsRetryable(failed, context));
  context.below_retry_ = true;
  BOOST_TEST(!request::IsRetryable(failed, context));
  context.below_retry_ = false;
  context.suspect_ = true;
  BOOST_TEST(!request::IsRetryable(failed, context));
  context.repeatable_ = false;
  failed.not_run_ = true;
  BOOST_TEST(request::IsRetryable(failed, context));
  context.time_left_ = base::Duration(0);
  BOOST_TEST(!request::IsRetryable(failed, context));
}

// Guards against requests whose callers have left and that are sent to other
// endpoints: nobody waits for the answer, and the retry is charged to the
// budget that callers who still wait need.
BOOST_AUTO_TEST_CASE(RequestsWithoutACallerAreNotSentAgain) {
  request::RetryContext context;
  context.attempts_ = 1;
  context.time_left_ = std::chrono::seconds(1);
  context.repeatable_ = true;
  request::AttemptOutcome cancelled;
  cancelled.code_ = ResultCode::kCallerGone;
  BOOST_TEST(!request::IsRetryable(cancelled, context));
  cancelled.not_run_ = true;
  cancelled.reached_ = false;
  BOOST_TEST(!request::IsRetryable(cancelled, context));
}

BOOST_AUTO_TEST_CASE(RetriesOfADeepTreeStayWithinTheBudget) {
  for (const double rate : {0.05, 0.2, 0.5}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      benchmark::CallTreeModel model(30, rate, seed,
                                     benchmark::RetryMode::kBudgeted);
      for (int i = 0; i < 20'000; ++i) {
        model.Wait(std::chrono::milliseconds(1));
        model.Call(0, false);
      }
      BOOST_TEST(model.Amplification() <= 1.2,
                 "rate " << rate << " seed " << seed);
    }
  }
}

rpc::CrashReport MakeCrashReport(const std::string& id,
                                 const std::vector<std::string>& fingerprints) {
  rpc::CrashReport report;
  report.set_crash_id(id);
  report.set_service("a");
  for (const std::string& fingerprint : fingerprints) {
    report.add_fingerprints(fingerprint);
  }
  return report;
}

BOOST_AUTO_TEST_CASE(TwoCrashesQuarantineAFingerprintUntilItIsLifted) {
  request::QuarantineList list;
  const base::WallTime now(std::chrono::hours(1));
  list.OnCrash(MakeCrashReport("1", {"killer", "bystander"}), now);
  BOOST_TEST(!list.Entries().at("killer").quarantined());
  // The same crash, reported again, does not count twice.
  list.OnCrash(MakeCrashReport("1", {"killer"}), now);
  BOOST_TEST(!list.Entries().at("killer").quarantined());
  list.OnCrash(MakeCrashReport("2", {"killer", "other"}), now);
  BOOST_TEST(list.Entries().at("killer").quarantined());
  BOOST_TEST(!list.Entries().at("bystander").quarantined());
  rpc::QuarantineNotice late;
  *late.add_entries() = list.Entries().at("killer");
  list.Lift({"killer"});
  BOOST_TEST(list.Entries().count("killer") == 0u);
  BOOST_TEST(list.Merge(late).empty());
  list.OnCrash(MakeCrashReport("3", {"killer"}), now);
  BOOST_TEST(!list.Entries().at("killer").quarantined());
  list.OnCrash(MakeCrashReport("4", {"killer"}), now);
  BOOST_TEST(list.Entries().at("killer").quarantined());
  list.Expire(now + std::chrono::hours(25));
  BOOST_TEST(list.Entries().empty());
}

rpc::AnsweredReport MakeAnsweredReport(const std::string& fingerprint) {
  rpc::AnsweredReport report;
  report.add_fingerprints(fingerprint);
  return report;
}

// Guards against CONFIG of review/4: a page that is asked for often is running
// at each crash and was quarantined at the second one.
BOOST_AUTO_TEST_CASE(AnAnsweredRequestIsNoSuspect) {
  request::QuarantineList list;
  const base::WallTime now(std::chrono::hours(1));
  list.OnCrash(MakeCrashReport("1", {"page", "killer"}), now);
  BOOST_TEST(list.OnAnswered(MakeAnsweredReport("page"), now).size() == 1u);
  BOOST_TEST(list.OnAnswered(MakeAnsweredReport("page"), now).empty());
  BOOST_TEST(list.OnAnswered(MakeAnsweredReport("unknown"), now).empty());
  list.OnCrash(MakeCrashReport("2", {"page", "killer"}), now);
  BOOST_TEST(list.Entries().at("killer").quarantined());
  BOOST_TEST(!list.Entries().at("page").quarantined());
  // The evidence ends: then crashes count again, from the first.
  const base::WallTime later = now + 2 * request::kAnswerEvidenceAge;
  list.OnCrash(MakeCrashReport("3", {"page"}), later);
  BOOST_TEST(list.Entries().at("page").crashes() == 1u);
  BOOST_TEST(!list.Entries().at("page").answered());
  list.OnCrash(MakeCrashReport("4", {"page"}), later);
  BOOST_TEST(list.Entries().at("page").quarantined());
}

// Guards against lists of relays that differ for good: the report of an answer
// and those of crashes reach them in any order.
BOOST_AUTO_TEST_CASE(AnAnswerClearsTheEntriesOfAllRelays) {
  const base::WallTime now(std::chrono::hours(1));
  request::QuarantineList first;
  request::QuarantineList second;
  rpc::QuarantineNotice crashes;
  for (const char* crash : {"1", "2"}) {
    for (const rpc::QuarantineEntry& entry :
         first.OnCrash(MakeCrashReport(crash, {"page"}), now)) {
      *crashes.add_entries() = entry;
    }
  }
  BOOST_TEST(first.Entries().at("page").quarantined());
  rpc::QuarantineNotice cleared;
  *cleared.add_entries() =
      first.OnAnswered(MakeAnsweredReport("page"), now).front();
  BOOST_TEST(second.Merge(cleared).size() == 1u);
  BOOST_TEST(second.Merge(crashes).empty());
  BOOST_TEST(!second.Entries().at("page").quarantined());
  request::QuarantineList third;
  BOOST_TEST(third.Merge(crashes).size() == 2u);
  BOOST_TEST(third.Merge(cleared).size() == 1u);
  BOOST_TEST(!third.Entries().at("page").quarantined());
  // A journal that goes on after the end of the evidence is read to its end.
  const base::WallTime later = now + 2 * request::kAnswerEvidenceAge;
  rpc::QuarantineNotice again;
  for (const char* crash : {"3", "4"}) {
    for (const rpc::QuarantineEntry& entry :
         first.OnCrash(MakeCrashReport(crash, {"page"}), later)) {
      *again.add_entries() = entry;
    }
  }
  third.Merge(again);
  BOOST_TEST(third.Entries().at("page").quarantined());
}

BOOST_AUTO_TEST_CASE(AnswersAreRememberedForAWhileAndInBoundedMemory) {
  request::AnsweredRequests answered;
  answered.Record("page", AtMs(0));
  BOOST_TEST(answered.AnsweredLately("page", AtMs(1000)));
  BOOST_TEST(!answered.AnsweredLately("other", AtMs(1000)));
  BOOST_TEST(!answered.AnsweredLately("page", AtMs(61'000)));
  for (size_t i = 0; i < request::kMaxGeneration; ++i) {
    answered.Record("x" + std::to_string(i), AtMs(1));
  }
  BOOST_TEST(answered.AnsweredLately("page", AtMs(1000)));
  for (size_t i = 0; i < request::kMaxGeneration; ++i) {
    answered.Record("y" + std::to_string(i), AtMs(1));
  }
  BOOST_TEST(!answered.AnsweredLately("page", AtMs(1000)));
}

BOOST_AUTO_TEST_CASE(TheBrakeClosesOnTheNewVersionOnlyAndForOneStep) {
  rollout::Brake brake;
  int calls = 0;
  while (!brake.IsEngaged(3) && calls < 100) {
    brake.RecordOutcome(3, true, true);
    ++calls;
  }
  BOOST_TEST(calls <= 5);
  BOOST_TEST(!brake.IsEngaged(4));
  // Failures of both versions do not engage it.
  rollout::Brake common;
  for (int i = 0; i < 200; ++i) {
    common.RecordOutcome(1, false, i % 2 == 0);
    common.RecordOutcome(1, true, i % 2 == 0);
  }
  BOOST_TEST(!common.IsEngaged(1));
  // Rare failures do not engage it either.
  rollout::Brake rare;
  for (int i = 0; i < 10'000; ++i) {
    rare.RecordOutcome(1, true, i % 20 == 0);
  }
  BOOST_TEST(!rare.IsEngaged(1));
}

BOOST_AUTO_TEST_CASE(QuarantineReachesAllZonesAndSurvivesRestarts) {
  TestMesh mesh(8);
  mesh.AddSources(1);
  mesh.AddRelay("relay-1", "zone-1");
  mesh.AddRelay("relay-2", "zone-2");
  mesh.AddProxy("proxy-1", "zone-1");
  mesh.AddProxy("proxy-2", "zone-2");
  mesh.Net().Run(std::chrono::seconds(2));
  mesh.Proxy("proxy-1").SendCrash(MakeCrashReport("1", {"killer"}));
  mesh.Net().Run(std::chrono::milliseconds(200));
  mesh.Proxy("proxy-1").SendCrash(MakeCrashReport("2", {"killer"}));
  mesh.Net().Run(std::chrono::milliseconds(200));
  BOOST_TEST(mesh.Proxy("proxy-2").Quarantine().at("killer").quarantined());
  for (const char* id : {"relay-1", "relay-2", "proxy-1", "proxy-2"}) {
    mesh.Crash(id);
  }
  for (const char* id : {"relay-1", "relay-2", "proxy-1", "proxy-2"}) {
    mesh.Restart(id);
  }
  mesh.Net().Run(std::chrono::seconds(3));
  BOOST_TEST(mesh.Proxy("proxy-1").Quarantine().at("killer").quarantined());
  BOOST_TEST(mesh.Proxy("proxy-2").Quarantine().at("killer").quarantined());
}

// Guards against a quarantine that nothing ends: refused requests are never
// answered, but those that were in flight are.
BOOST_AUTO_TEST_CASE(AnAnswerEndsAQuarantineInAllZones) {
  TestMesh mesh(9);
  mesh.AddSources(1);
  mesh.AddRelay("relay-1", "zone-1");
  mesh.AddRelay("relay-2", "zone-2");
  mesh.AddProxy("proxy-1", "zone-1");
  mesh.AddProxy("proxy-2", "zone-2");
  mesh.Net().Run(std::chrono::seconds(2));
  for (const char* crash : {"1", "2"}) {
    mesh.Proxy("proxy-1").SendCrash(MakeCrashReport(crash, {"page"}));
    mesh.Net().Run(std::chrono::milliseconds(200));
  }
  BOOST_TEST(mesh.Proxy("proxy-1").Quarantine().at("page").quarantined());
  mesh.Proxy("proxy-2").SendAnswered(MakeAnsweredReport("page"));
  mesh.Net().Run(std::chrono::milliseconds(200));
  for (const char* id : {"proxy-1", "proxy-2"}) {
    BOOST_TEST(mesh.Proxy(id).Quarantine().count("page") == 0u, id);
  }
  for (const char* id : {"relay-1", "proxy-1"}) {
    mesh.Crash(id);
    mesh.Restart(id);
  }
  mesh.Net().Run(std::chrono::seconds(3));
  BOOST_TEST(mesh.Proxy("proxy-1").Quarantine().count("page") == 0u);
}

}  // namespace
}  // namespace buckthorngate::tests
