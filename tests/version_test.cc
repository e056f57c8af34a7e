// Choice of the version that serves a request during a move, the exposure cap,
// and the stages of a move that cannot be rolled back.
#define BOOST_TEST_MODULE version
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "registry/endpoint_registry.h"
#include "request/endpoint_picker.h"
#include "request/mesh_view.h"
#include "request/version_choice.h"
#include "rollout/exposure_cap.h"
#include "rollout/move_policy.h"

namespace buckthorngate::tests {
namespace {

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

rpc::ServiceState ServiceWithMove(rpc::MovePhase phase, uint32_t share) {
  rpc::ServiceState state;
  state.mutable_service()->set_name("a");
  state.mutable_service()->set_version("v1");
  state.mutable_service()->set_ordered(true);
  rpc::Move& move = *state.mutable_move();
  move.set_from("v1");
  move.set_to("v2");
  move.set_phase(phase);
  move.set_share_permille(share);
  return state;
}

// Guards against brakes that engage after a final move is done. Seen: answers
// were lost after a move was done; the proxies' brakes sent all requests to the
// old version, whose endpoints had been stopped, and half of the requests of
// three minutes found no endpoint.
BOOST_AUTO_TEST_CASE(BrakeAfterAFinalMoveKeepsTheNewVersion) {
  const rpc::ServiceState done = ServiceWithMove(rpc::MOVE_PHASE_DONE, 1000);
  BOOST_TEST(request::ChooseVersions(done, "r", /*braked=*/true).first_ ==
             "v2");
  rpc::ServiceState watched = done;
  watched.mutable_move()->set_watch_open(true);
  const request::VersionChoice back =
      request::ChooseVersions(watched, "r", /*braked=*/true);
  BOOST_TEST(back.first_ == "v1");
  BOOST_TEST(back.fallback_ == "v2");
}

BOOST_AUTO_TEST_CASE(OnlyAProvenVersionIsFallbackForTheOldOne) {
  for (const uint32_t share : {10u, 150u, 450u}) {
    for (int i = 0; i < 200; ++i) {
      const request::VersionChoice choice = request::ChooseVersions(
          ServiceWithMove(rpc::MOVE_PHASE_RAMPING, share), std::to_string(i),
          /*braked=*/false);
      BOOST_TEST((choice.first_ == "v2" || choice.fallback_.empty()));
    }
  }
  bool is_fallback = false;
  for (int i = 0; i < 200; ++i) {
    const request::VersionChoice choice =
        request::ChooseVersions(ServiceWithMove(rpc::MOVE_PHASE_RAMPING, 500),
                                std::to_string(i), /*braked=*/false);
    is_fallback =
        is_fallback || (choice.first_ == "v1" && choice.fallback_ == "v2");
    BOOST_TEST(
        request::ChooseVersions(ServiceWithMove(rpc::MOVE_PHASE_RAMPING, 500),
                                std::to_string(i), /*braked=*/true)
            .fallback_.empty());
  }
  BOOST_TEST(is_fallback);
}

BOOST_AUTO_TEST_CASE(NoProxyBrakesAFinalMoveThatIsDone) {
  BOOST_TEST(request::MayBrake(ServiceWithMove(rpc::MOVE_PHASE_RAMPING, 450)));
  // A version that is bad only under load shows it only at the full share.
  BOOST_TEST(request::MayBrake(ServiceWithMove(rpc::MOVE_PHASE_RAMPING, 1000)));
  BOOST_TEST(!request::MayBrake(ServiceWithMove(rpc::MOVE_PHASE_DONE, 1000)));
  rpc::ServiceState published = ServiceWithMove(rpc::MOVE_PHASE_DONE, 1000);
  published.mutable_service()->set_ordered(false);
  BOOST_TEST(request::MayBrake(published));
}

request::VersionView Endpoints(int count) {
  request::VersionView view;
  for (int i = 0; i < count; ++i) {
    request::EndpointView endpoint;
    endpoint.endpoint_.set_id(std::to_string(i));
    endpoint.endpoint_.set_slots(2);
    endpoint.stats_ = std::make_shared<request::EndpointStats>(AtMs(0));
    view.endpoints_.push_back(endpoint);
  }
  view.own_zone_count_ = static_cast<size_t>(count);
  return view;
}

// Guards against overload of one version while the other has free capacity.
// Seen: at the full share the new version's endpoints queued and rejected
// requests while the old ones were nearly idle.
BOOST_AUTO_TEST_CASE(FallbackVersionServesWhenTheFirstIsFull) {
  base::Random random(1);
  const request::VersionView full = Endpoints(1);
  const request::VersionView idle = Endpoints(1);
  const auto pick = [&](const request::VersionView* fallback) {
    return request::PickWithFallback(&full, fallback, {}, AtMs(60'000), random);
  };
  BOOST_TEST(!pick(&idle).from_fallback_);
  for (int i = 0; i < 2; ++i) {
    full.endpoints_[0].stats_->Begin();
  }
  BOOST_TEST(pick(&idle).from_fallback_);
  BOOST_TEST(!pick(nullptr).from_fallback_);
  BOOST_TEST(request::PickWithFallback(nullptr, &idle, {}, AtMs(60'000), random)
                 .from_fallback_);
  BOOST_TEST(
      request::PickWithFallback(nullptr, nullptr, {}, AtMs(60'000), random)
          .endpoint_ == nullptr);
}

// Guards against needless cross-zone traffic for large answers. Seen: a
// download of 280 KB between zones for each request whose own zone's endpoint
// was two thirds full.
BOOST_AUTO_TEST_CASE(LargeAnswersStayInTheirZoneWhileItHasCapacity) {
  base::Random random(1);
  request::VersionView view = Endpoints(2);
  view.own_zone_count_ = 1;
  for (int i = 0; i < 2; ++i) {
    view.endpoints_[0].stats_->Begin();
  }
  const auto picks_other_zone = [&](bool large) {
    return request::PickEndpoint(view, {{}, large}, AtMs(60'000), random)
               ->endpoint_.id() == "1";
  };
  BOOST_TEST(picks_other_zone(false));
  BOOST_TEST(picks_other_zone(true));
  view.endpoints_[0].stats_->End(base::Duration(0), true, AtMs(60'000));
  BOOST_TEST(picks_other_zone(false));
  BOOST_TEST(!picks_other_zone(true));
}

rpc::Endpoint ReadyEndpoint(const std::string& host,
                            const std::string& version) {
  rpc::Endpoint endpoint;
  endpoint.set_host(host);
  endpoint.set_zone("zone");
  endpoint.set_incarnation(1);
  endpoint.set_sequence(1);
  endpoint.set_service("a");
  endpoint.set_version(version);
  endpoint.set_id(host + "/127.0.0.1:1");
  endpoint.set_state(rpc::ENDPOINT_STATE_READY);
  return endpoint;
}

// Guards against requests to endpoints of a new version that exist before the
// move is ordered, or before a proxy has received the order.
BOOST_AUTO_TEST_CASE(NewVersionReceivesNothingBeforeItsMoveIsKnown) {
  const base::MonoTime now = AtMs(1000);
  config::ConfigState config;
  registry::EndpointRegistry endpoints;
  request::MeshViewBuilder views("zone");
  const auto in_use = [&] {
    return views.Build(true, config, endpoints, {}, now)->VersionInUse("a");
  };
  BOOST_TEST(in_use() == request::kAnyVersion);
  endpoints.Merge(ReadyEndpoint("one", "v1"), now);
  BOOST_TEST(in_use() == "v1");
  for (const char* host : {"two", "three", "four"}) {
    endpoints.Merge(ReadyEndpoint(host, "v2"), now);
  }
  BOOST_TEST(in_use() == "v1");
  rpc::Endpoint removed = ReadyEndpoint("one", "v1");
  removed.set_sequence(2);
  removed.set_state(rpc::ENDPOINT_STATE_GONE);
  endpoints.Merge(removed, now);
  BOOST_TEST(in_use() == "v2");
  // A proxy that has just started uses the version of most endpoints.
  request::MeshViewBuilder restarted_views("zone");
  registry::EndpointRegistry received;
  received.Merge(ReadyEndpoint("one", "v1"), now);
  received.Merge(ReadyEndpoint("two", "v1"), now);
  received.Merge(ReadyEndpoint("three", "v2"), now);
  BOOST_TEST(restarted_views.Build(true, config, received, {}, now)
                 ->VersionInUse("a") == "v1");
}

// Guards against an exposure cap that starts over with each step of the move,
// or that is exhausted by calls that never arrive.
BOOST_AUTO_TEST_CASE(ExposureCapBoundsTheNewVersionsCalls) {
  constexpr uint64_t kMove = 7;
  rollout::ExposureCap cap;
  BOOST_TEST(!cap.Allows(kMove));
  for (int i = 0; i < 10'000; ++i) {
    const bool new_version = cap.Allows(kMove);
    cap.Begin(kMove, new_version);
    if (i % 3 == 0) {
      cap.Cancel(kMove, new_version);
    }
    BOOST_REQUIRE(cap.NewVersionCalls() * 1000 <=
                  cap.Calls() * rollout::kMaxExposurePermille + 1000);
  }
  BOOST_TEST(cap.NewVersionCalls() * 1000 >= cap.Calls() * 90);
  BOOST_TEST(!cap.Allows(kMove + 1));
  rpc::Move move;
  move.set_to("v2");
  move.set_declared_ms(5);
  rpc::Move later_step = move;
  later_step.set_step(9);
  later_step.set_share_permille(1000);
  BOOST_TEST(rollout::MoveId(move) == rollout::MoveId(later_step));
  later_step.set_to("v3");
  BOOST_TEST(rollout::MoveId(move) != rollout::MoveId(later_step));
}

// Final move at the full share without cap, for a service without traffic
// unless calls are added.
class OrderedMove {
 public:
  OrderedMove() {
    move_.set_service("a");
    move_.set_from("v1");
    move_.set_to("v2");
    move_.set_phase(rpc::MOVE_PHASE_RAMPING);
    move_.set_share_permille(1000);
    move_.set_uncapped(true);
    input_.time_left_ = std::chrono::seconds(1);
    input_.observed_for_ = std::chrono::seconds(5);
  }

  std::optional<rollout::MoveDecision> Decide(
      base::Duration time_in_step,
      std::optional<base::Duration> since_brake = std::nullopt) {
    input_.braked_proxies_ = since_brake ? 1 : 0;
    input_.since_brake_ = since_brake.value_or(base::Duration(0));
    input_.move_ = &move_;
    input_.routes_ = &routes_;
    input_.time_in_step_ = time_in_step;
    input_.has_new_endpoints_ = true;
    input_.has_old_endpoints_ = true;
    input_.done_is_final_ = true;
    std::string reason;
    return rollout::MakeMovePolicy(rollout::PolicyKind::kSequential)
        ->Decide(input_, reason);
  }

  rpc::Move move_;
  rollout::PolicyInput input_;
  std::map<std::string, rollout::RouteState> routes_;
};

BOOST_AUTO_TEST_CASE(OrderedMoveEndsAfterRequestsToTheOldEndpointsHaveEnded) {
  OrderedMove ordered;
  // A further step at the full share would restart the time in the step.
  BOOST_TEST(!ordered.Decide(std::chrono::milliseconds(300)).has_value());
  const auto done = ordered.Decide(std::chrono::milliseconds(400));
  BOOST_REQUIRE(done.has_value());
  BOOST_TEST(done->phase_ == rpc::MOVE_PHASE_DONE);
  BOOST_TEST(!done->watch_open_);
  // Seen: a good version was reported as done only after its deadline, because
  // the move waited for an isolated proxy.
  ordered.input_.time_left_ = std::chrono::milliseconds(700);
  BOOST_TEST(ordered.Decide(std::chrono::milliseconds(100)).has_value());
  ordered.input_.time_left_ = std::chrono::seconds(10);
  BOOST_TEST(!ordered.Decide(std::chrono::seconds(8)).has_value());
  ordered.move_.set_share_permille(30);
  ordered.move_.set_uncapped(false);
  BOOST_TEST(!ordered.Decide(std::chrono::seconds(2)).has_value());
  ordered.input_.time_left_ = std::chrono::seconds(3);
  const auto full_share = ordered.Decide(std::chrono::seconds(2));
  BOOST_REQUIRE(full_share.has_value());
  BOOST_TEST(full_share->share_permille_ == 1000u);
  BOOST_TEST(!full_share->uncapped_);
  BOOST_TEST(full_share->phase_ == rpc::MOVE_PHASE_RAMPING);
}

// Guards against a single brake that delays a move past its deadline. Seen: one
// proxy braked a good version at the full share because answers of all
// endpoints were lost, and the move was done only after its deadline.
BOOST_AUTO_TEST_CASE(OneBrakeAtTheFullShareHoldsTheMoveOnlyBriefly) {
  OrderedMove ordered;
  const base::Duration long_ago = std::chrono::seconds(3);
  BOOST_TEST(!ordered.Decide(long_ago, std::chrono::seconds(1)).has_value());
  BOOST_TEST(ordered.Decide(long_ago, std::chrono::seconds(2)).has_value());
  ordered.move_.set_share_permille(50);
  BOOST_TEST(!ordered.Decide(long_ago, std::chrono::seconds(2)).has_value());
}

// Guards against shares above the trial's that are reached or kept without
// proof, whatever time is left. Seen: a version that was bad only under load
// received a tenth of all requests before the full share, and two thirds more
// until it was detected there (kwmc-mesh, mix seed 733035641102).
BOOST_AUTO_TEST_CASE(LargeSharesAreNotReachedOrKeptWithoutProof) {
  constexpr uint32_t kMostTrialPermille = 70;
  OrderedMove ordered;
  ordered.routes_["main"].calls_ = 1000;
  for (const base::Duration left : {base::Duration(std::chrono::seconds(8)),
                                    base::Duration(std::chrono::seconds(1)),
                                    base::Duration(std::chrono::seconds(-5))}) {
    ordered.input_.time_left_ = left;
    for (const uint32_t share : {10u, 30u, 50u, 70u, 450u, 1000u}) {
      ordered.move_.set_share_permille(share);
      for (const bool uncapped : {false, true}) {
        ordered.move_.set_uncapped(uncapped);
        const auto next = ordered.Decide(std::chrono::seconds(10));
        const uint32_t reached = next ? next->share_permille_ : share;
        BOOST_TEST(reached <= kMostTrialPermille, "share " << share);
      }
    }
  }
}

// Guards against a new leader that mistakes a service for one without traffic,
// because it has seen few of its calls so far, and ends the move without proof.
BOOST_AUTO_TEST_CASE(NewLeaderDoesNotAdvanceWithoutProof) {
  OrderedMove ordered;
  ordered.input_.observed_for_ = std::chrono::milliseconds(250);
  for (const uint32_t share : {30u, 1000u}) {
    for (const bool uncapped : {false, true}) {
      ordered.move_.set_share_permille(share);
      ordered.move_.set_uncapped(uncapped);
      const auto next = ordered.Decide(std::chrono::seconds(2));
      BOOST_TEST((next ? next->share_permille_ : share) <= 30u);
    }
  }
}

}  // namespace
}  // namespace buckthorngate::tests
