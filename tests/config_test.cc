// Service files, checks of publications, and the rules of moves.
#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include <string>

#include "config/check.h"
#include "config/publication.h"
#include "config/service_file.h"
#include "daemon/startup/settings.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

constexpr base::WallTime kNow{std::chrono::milliseconds(1'800'000'000'000)};

constexpr char kGood[] = R"(service = "a"
versions = ["v1", "v2"]
version = "v1"
[[route]]
name = "main"
path = "/a"
methods = ["GET"]
repeatable = true
[move]
to = "v2"
deadline = 2030-01-31T12:00:00+02:00
unproven_share = 2.5
)";

struct BadFile {
  const char* text_;
  ResultCode code_;
  uint32_t line_;
};

BOOST_AUTO_TEST_CASE(AGoodFileParses) {
  config::Problems problems;
  const rpc::Service service =
      config::ParseServiceFile(kGood, "a.toml", problems);
  BOOST_TEST(problems.empty());
  BOOST_TEST(service.routes(0).path_prefix() == "/a");
  BOOST_TEST(service.move().unproven_share_permille() == 25u);
  // 2030-01-31T10:00:00Z.
  BOOST_TEST(service.move().deadline_ms() == 1'896'084'000'000);
}

BOOST_AUTO_TEST_CASE(EachFaultHasItsCodeAndPlace) {
  const BadFile files[] = {
      {"service = ", ResultCode::kSyntaxError, 1},
      {"service = \"a\"\nversion = \"v1\"\ncolour = 3\n",
       ResultCode::kUnknownKey, 3},
      {"service = 7\nversion = \"v1\"\n", ResultCode::kWrongType, 1},
      {"version = \"v1\"\n", ResultCode::kMissingKey, 1},
      {"service = \"a\"\nversion = \"v1\"\nretry_percent = 19\n",
       ResultCode::kWrongType, 3},
      {"service = \"a\"\nversion = \"v1\"\n[[route]]\nname = \"r\"\n"
       "path = \"a\"\n",
       ResultCode::kWrongType, 5},
      {"service = \"a\"\nversion = \"v1\"\n[[route]]\nname = \"r\"\n"
       "path = \"/a\"\nrepeatable = true\nat_most_once = true\n",
       ResultCode::kConflictingOptions, 7},
      {"service = \"a\"\nversion = \"v1\"\n[[route]]\nname = \"r\"\n"
       "path = \"/a\"\nrepeatable = true\nlarge_body = true\n",
       ResultCode::kConflictingOptions, 7},
      {"service = \"a\"\nversion = \"v1\"\n[move]\nto = \"v2\"\n"
       "deadline = 2030-01-31T12:00:00\n",
       ResultCode::kWrongType, 5},
      {"service = \"a\"\nversion = \"v1\"\n[move]\nto = \"v2\"\n"
       "deadline = 2030-01-31T12:00:00Z\nunproven_share = 60\n",
       ResultCode::kShareOutOfRange, 6},
  };
  for (const BadFile& file : files) {
    config::Problems problems;
    config::ParseServiceFile(file.text_, "a.toml", problems);
    BOOST_REQUIRE_MESSAGE(!problems.empty(), file.text_);
    BOOST_TEST((problems.front().code_ == file.code_),
               config::Format(problems.front()));
    BOOST_TEST(problems.front().line_ == file.line_, file.text_);
  }
}

BOOST_AUTO_TEST_CASE(PublicationsAreCheckedAsAWhole) {
  rpc::Service unknown = MakeService("a");
  unknown.set_version("v9");
  BOOST_TEST((config::CheckServices({unknown}).front().code_ ==
              ResultCode::kUnknownVersion));
  BOOST_TEST((config::CheckServices({MakeService("a"), MakeService("a")})
                  .front()
                  .code_ == ResultCode::kDuplicateService));
  rpc::Service other = MakeService("b");
  other.mutable_routes(0)->set_path_prefix("/a");
  BOOST_TEST((config::CheckServices({MakeService("a"), other}).front().code_ ==
              ResultCode::kDuplicateRoute));
  BOOST_TEST(config::PublicationDigest({MakeService("a"), other}, {}) ==
             config::PublicationDigest({other, MakeService("a")}, {}));
}

rpc::Service Moving(const std::string& to) {
  rpc::Service service = MakeService("a");
  service.add_versions("v3");
  service.mutable_move()->set_to(to);
  service.mutable_move()->set_unproven_share_permille(50);
  service.mutable_move()->set_deadline_ms(
      base::ToUnixMs(kNow + std::chrono::hours(1)));
  return service;
}

ResultCode Apply(config::ConfigState& state, const rpc::Service& service) {
  const auto result =
      config::ApplyPublication(MakePublication(1, {service}), kNow, state);
  return result ? ResultCode::kOk : result.error().code_;
}

void SetPhase(config::ConfigState& state,
              rpc::MovePhase phase,
              uint32_t share) {
  rpc::ServiceState service = *state.Find("a");
  service.mutable_move()->set_phase(phase);
  service.mutable_move()->set_share_permille(share);
  service.mutable_move()->set_watch_open(true);
  state.Put(service);
}

BOOST_AUTO_TEST_CASE(APublicationInAnyStateOfAMoveHasADefinedResult) {
  config::ConfigState state;
  BOOST_REQUIRE((Apply(state, Moving("v2")) == ResultCode::kOk));
  BOOST_TEST((state.Find("a")->move().phase() == rpc::MOVE_PHASE_WAITING));
  SetPhase(state, rpc::MOVE_PHASE_RAMPING, 200);
  const uint64_t step = state.Find("a")->move().step();

  // The same declaration: progress stays.
  BOOST_REQUIRE((Apply(state, Moving("v2")) == ResultCode::kOk));
  BOOST_TEST(state.Find("a")->move().share_permille() == 200u);

  // Another deadline: progress stays, steps decided before are void.
  rpc::Service later = Moving("v2");
  later.mutable_move()->set_deadline_ms(
      base::ToUnixMs(kNow + std::chrono::hours(2)));
  BOOST_REQUIRE((Apply(state, later) == ResultCode::kOk));
  BOOST_TEST(state.Find("a")->move().share_permille() == 200u);
  BOOST_TEST(state.Find("a")->move().step() == step + 1);

  // Another target: a new move from the version in force.
  BOOST_REQUIRE((Apply(state, Moving("v3")) == ResultCode::kOk));
  BOOST_TEST(state.Find("a")->move().to() == "v3");
  BOOST_TEST(state.Find("a")->move().from() == "v1");
  BOOST_TEST(state.Find("a")->move().share_permille() == 0u);
  BOOST_TEST(state.Find("a")->move().step() > step + 1);

  // Withdrawn.
  SetPhase(state, rpc::MOVE_PHASE_RAMPING, 200);
  rpc::Service none = Moving("v3");
  none.clear_move();
  BOOST_REQUIRE((Apply(state, none) == ResultCode::kOk));
  BOOST_TEST((state.Find("a")->move().phase() == rpc::MOVE_PHASE_WITHDRAWN));
  BOOST_TEST(state.Find("a")->move().share_permille() == 0u);

  // A jump without a move is refused.
  rpc::Service jump = none;
  jump.set_version("v3");
  BOOST_TEST((Apply(state, jump) == ResultCode::kVersionNotInForce));

  // Done: the new version may be declared, the old one may not.
  BOOST_REQUIRE((Apply(state, Moving("v3")) == ResultCode::kOk));
  SetPhase(state, rpc::MOVE_PHASE_DONE, 1000);
  BOOST_TEST((Apply(state, none) == ResultCode::kVersionNotInForce));
  BOOST_TEST((Apply(state, jump) == ResultCode::kOk));
  BOOST_TEST(config::VersionInForce(*state.Find("a")) == "v3");

  // The old version leaves the list: the move can no longer go back.
  rpc::Service trimmed = jump;
  trimmed.clear_versions();
  trimmed.add_versions("v3");
  BOOST_TEST((Apply(state, trimmed) == ResultCode::kOk));
  BOOST_TEST(!state.Find("a")->move().watch_open());
}

BOOST_AUTO_TEST_CASE(ATakenBackVersionWaitsForAChangedDeclaration) {
  config::ConfigState state;
  BOOST_REQUIRE((Apply(state, Moving("v2")) == ResultCode::kOk));
  SetPhase(state, rpc::MOVE_PHASE_TAKEN_BACK, 0);
  BOOST_REQUIRE((Apply(state, Moving("v2")) == ResultCode::kOk));
  BOOST_TEST((state.Find("a")->move().phase() == rpc::MOVE_PHASE_TAKEN_BACK));
  rpc::Service again = Moving("v2");
  again.mutable_move()->set_unproven_share_permille(10);
  BOOST_REQUIRE((Apply(state, again) == ResultCode::kOk));
  BOOST_TEST((state.Find("a")->move().phase() == rpc::MOVE_PHASE_WAITING));
}

BOOST_AUTO_TEST_CASE(APassedDeadlineIsRefusedButADoneMoveMayKeepIt) {
  config::ConfigState state;
  rpc::Service late = Moving("v2");
  late.mutable_move()->set_deadline_ms(base::ToUnixMs(kNow) - 1);
  BOOST_TEST((Apply(state, late) == ResultCode::kDeadlinePassed));
  BOOST_TEST(state.Services().empty());
}

BOOST_AUTO_TEST_CASE(SettingsAreCheckedWhole) {
  config::Problems problems;
  daemon::startup::ParseSettings(
      "host = \"h\"\nroles = [\"source\", \"cook\"]\n"
      "[listen]\ncontrol = \"somewhere:99\"\n",
      "s.toml", problems);
  BOOST_TEST(problems.size() == 3u);
  config::Problems losses;
  daemon::startup::ParseSettings(
      "host = \"h\"\ndata_folder = \"d\"\ntolerated_losses = 4\n", "s.toml",
      losses);
  BOOST_TEST(losses.size() == 1u);
  BOOST_TEST(daemon::startup::IsIpAddress("127.0.0.1:80"));
  BOOST_TEST(!daemon::startup::IsIpAddress("localhost:80"));
  BOOST_TEST(!daemon::startup::IsIpAddress("127.0.0.1:99999"));
}

BOOST_AUTO_TEST_CASE(TheAddressOfTheHostsUpstreamIsOptionalAndChecked) {
  const auto parse = [](const std::string& line, config::Problems& problems) {
    return daemon::startup::ParseSettings(
        "host = \"h\"\ndata_folder = \"d\"\n" + line, "s.toml", problems);
  };
  config::Problems none;
  BOOST_TEST(parse("upstream = \"127.0.0.1:8080\"\n", none).upstream_address_ ==
             "127.0.0.1:8080");
  BOOST_TEST(parse("upstream = \"\"\n", none).upstream_address_.empty());
  BOOST_TEST(parse("", none).upstream_address_.empty());
  BOOST_TEST(none.empty());
  config::Problems wrong;
  parse("upstream = \"localhost:8080\"\n", wrong);
  BOOST_TEST(wrong.size() == 1u);
}

// Guards against a daemon that ends long before its platform kills it, and cuts
// requests that the time would have been enough for.
BOOST_AUTO_TEST_CASE(TheDrainTimeFollowsTheTimeUntilAProcessIsKilled) {
  const auto drain_time = [](const std::string& limits,
                             config::Problems& problems) {
    return daemon::startup::ParseSettings(
               "host = \"h\"\ndata_folder = \"d\"\n[limits]\n" + limits,
               "s.toml", problems)
        .drain_time_;
  };
  config::Problems none;
  BOOST_TEST(drain_time("stop_grace_s = 6\n", none).count() == 5400);
  BOOST_TEST(drain_time("stop_grace_s = 10.5\n", none).count() == 9450);
  BOOST_TEST(none.empty(), (none.empty() ? "" : config::Format(none[0])));
  for (const char* wrong :
       {"stop_grace_s = 0\n", "stop_grace_s = -6\n", "stop_grace_s = 1e9\n",
        "stop_grace_s = \"6\"\n", "stop_grace_s = 6\ndrain_time_ms = 5400\n"}) {
    config::Problems problems;
    drain_time(wrong, problems);
    BOOST_TEST(!problems.empty(), wrong);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
