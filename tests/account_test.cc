// Client accounts without a network: the table of keys, checks of a
// publication, distribution, and the encoding between daemons.
#define BOOST_TEST_MODULE account
#include <boost/test/unit_test.hpp>

#include <string>

#include "base/sha256.h"
#include "config/config_state.h"
#include "config/routing.h"
#include "daemon/serving/hop_codec.h"
#include "daemon/serving/refusal.h"
#include "platform/documents.h"
#include "request/account_table.h"
#include "request/dialect.h"
#include "request/hop_headers.h"
#include "request/retry_after.h"
#include "sent_hop.h"

namespace buckthorngate::tests {
namespace {

constexpr char kKey[] = "key-7f3c1e";

rpc::ClientAccount MakeAccount(const std::string& name,
                               const std::string& key) {
  rpc::ClientAccount account;
  account.set_name(name);
  account.add_key_digests(base::Sha256(key));
  return account;
}

rpc::Routing MakeRouting(uint64_t number) {
  rpc::Routing routing;
  routing.mutable_header()->set_number(number);
  routing.mutable_header()->add_services("a");
  rpc::Route& route = *routing.add_routes();
  route.set_host("h");
  route.set_path_prefix("/a/");
  route.set_timeout_ms(1000);
  rpc::RouteTarget& target = *route.add_targets();
  target.set_service("a");
  target.set_weight(1);
  return routing;
}

config::ConfigState MakeState(uint64_t revision,
                              const std::vector<rpc::ClientAccount>& accounts) {
  rpc::Routing routing = MakeRouting(revision);
  for (const rpc::ClientAccount& account : accounts) {
    *routing.add_accounts() = account;
  }
  config::ConfigState state;
  state.SetRouting(routing.header(), routing.routes());
  state.SetAccounts(routing.accounts());
  state.SetRevision(revision);
  return state;
}

// Without `tenants` the configuration lacks the list.
std::string Configuration(const std::string& tenants,
                          const std::string& rule = "") {
  return R"({"version":7,"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":100000,"header_timeout_s":3.25,)"
         R"("idle_timeout_s":15.5},"listeners":[{"host":"h","rules":[)"
         R"({"name":"r","route_type":"unsafe","target_latency_s":0.5,)" +
         rule +
         R"("match":{"path_prefix":"/a/"},"action":{"service":"x",)"
         R"("timeout_s":1.2}}]}],"clusters":[{"name":"x"}])" +
         (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
}

// A publication of the platform, as the sources apply it.
void Publish(const std::string& text, config::ConfigState& state) {
  const auto routing = platform::DecodeConfiguration(text);
  BOOST_REQUIRE_MESSAGE(routing.has_value(), text);
  rpc::RoutingCommand command;
  command.set_base_number(state.Routing().number());
  *command.mutable_routing() = *routing;
  command.mutable_routing()->mutable_header()->set_number(
      command.base_number() + 1);
  BOOST_REQUIRE(config::ApplyRouting(command, state).has_value());
  state.SetRevision(state.Revision() + 1);
}

// Guards against keys that are not found, or are found in another account.
BOOST_AUTO_TEST_CASE(AKeyLeadsToTheAccountThatHoldsIt) {
  rpc::ClientAccount two = MakeAccount("two", "k2");
  two.add_key_digests(base::Sha256("k3"));
  rpc::ClientAccount none;
  none.set_name("none");
  const std::shared_ptr<const request::AccountTable> table =
      request::AccountTable::Build(
          MakeState(1, {MakeAccount("one", kKey), two, none}).Accounts(),
          /*in_use=*/true);
  BOOST_REQUIRE(table->FindByKey(kKey) != nullptr);
  BOOST_TEST(table->FindByKey(kKey)->name() == "one");
  BOOST_TEST(table->FindByKey("k2")->name() == "two");
  BOOST_TEST(table->FindByKey("k3")->name() == "two");
  BOOST_TEST(table->FindByKey("") == nullptr);
  BOOST_TEST(table->FindByKey("key-7f3c1E") == nullptr);
  BOOST_TEST(table->FindByKey(std::string(kKey) + "," + kKey) == nullptr);
  BOOST_TEST(table->FindByDigest("short") == nullptr);
  BOOST_TEST(table->FindByName("none")->name() == "none");
  BOOST_TEST(table->FindByName("three") == nullptr);
}

// The digest of FIPS 180-2 for "abc": guards against digests that other hosts
// or a later library would not compute.
BOOST_AUTO_TEST_CASE(DigestsAreSha256) {
  const std::string digest = base::Sha256("abc");
  BOOST_TEST(digest.size() == base::kSha256Bytes);
  BOOST_TEST(digest.substr(0, 4) == "\xba\x78\x16\xbf");
}

// Guards against a publication that is accepted although it does not say whose
// a key is, and against texts that give keys away.
BOOST_AUTO_TEST_CASE(AccountsThatAreNotDistinctAreRefused) {
  struct InvalidCase {
    ResultCode code_;
    std::vector<rpc::ClientAccount> accounts_;
  };
  rpc::ClientAccount bad_digest;
  bad_digest.set_name("b");
  bad_digest.add_key_digests(kKey);
  const InvalidCase cases[] = {
      {ResultCode::kDuplicateAccount,
       {MakeAccount("a", "1"), MakeAccount("a", "2")}},
      {ResultCode::kDuplicateAccountKey,
       {MakeAccount("a", kKey), MakeAccount("b", kKey)}},
      {ResultCode::kDuplicateAccountKey, {MakeAccount("a", "")}},
      {ResultCode::kInvalidValue, {MakeAccount("", kKey)}},
      {ResultCode::kInvalidValue, {MakeAccount("a\r\nX-Forged: 1", kKey)}},
      {ResultCode::kInvalidValue, {bad_digest}},
  };
  for (const InvalidCase& invalid : cases) {
    rpc::Routing routing = MakeRouting(1);
    for (const rpc::ClientAccount& account : invalid.accounts_) {
      *routing.add_accounts() = account;
    }
    const config::Refusal refusal = config::CheckRouting(routing);
    BOOST_TEST((refusal.code_ == invalid.code_), refusal.detail_);
    BOOST_TEST(refusal.detail_.find("account") != std::string::npos);
    BOOST_TEST(refusal.detail_.find(kKey) == std::string::npos);
    BOOST_TEST(refusal.detail_.find(base::Sha256(kKey)) == std::string::npos);
  }
  rpc::Routing routing = MakeRouting(1);
  *routing.add_accounts() = MakeAccount("a", kKey);
  *routing.add_accounts() = MakeAccount("b", "other");
  BOOST_TEST((config::CheckRouting(routing).code_ == ResultCode::kOk));
}

// Guards against a proxy that keeps a revoked key because a delta or a snapshot
// does not carry the change.
BOOST_AUTO_TEST_CASE(AccountsSurviveSnapshotsAndMergedDeltas) {
  const config::ConfigState first = MakeState(1, {MakeAccount("a", "1")});
  const config::ConfigState second =
      MakeState(2, {MakeAccount("a", "2"), MakeAccount("b", kKey)});
  const config::ConfigState third = MakeState(3, {MakeAccount("a", "2")});
  config::ConfigState copy;
  BOOST_REQUIRE((copy.ApplySnapshot(first.ToSnapshot()) == ResultCode::kOk));
  BOOST_TEST(copy.Accounts().size() == 1u);
  config::DeltaWindow window(8);
  window.Add(config::MakeDelta(first, second));
  window.Add(config::MakeDelta(second, third));
  rpc::ConfigDelta merged;
  BOOST_REQUIRE(window.Collect(1, merged));
  BOOST_REQUIRE((copy.ApplyDelta(merged) == ResultCode::kOk));
  BOOST_TEST(copy.Digest() == third.Digest());
  BOOST_REQUIRE(copy.Accounts().size() == 1u);
  BOOST_TEST(copy.Accounts().at("a")->key_digests(0) == base::Sha256("2"));
}

// Guards against a mesh that forgets that it has had accounts, with its last
// one, in a delta, a snapshot or a restart of a source: keys that were taken
// away would be served, and handed to upstreams.
BOOST_AUTO_TEST_CASE(AMeshThatHasHadAccountsStaysOneThatUsesThem) {
  const std::string one = R"([{"name":"one","api_keys":["k"]}])";
  config::ConfigState source;
  Publish(Configuration(""), source);
  BOOST_TEST(!source.UsesAccounts());
  Publish(Configuration(one), source);
  config::ConfigState proxy;
  BOOST_REQUIRE((proxy.ApplySnapshot(source.ToSnapshot()) == ResultCode::kOk));
  for (const std::string tenants : {"[]", "", "", "[]"}) {
    const config::ConfigState older = source;
    Publish(Configuration(tenants), source);
    BOOST_REQUIRE((proxy.ApplyDelta(config::MakeDelta(older, source)) ==
                   ResultCode::kOk));
    config::ConfigState restarted;
    BOOST_REQUIRE(
        (restarted.ApplySnapshot(source.ToSnapshot()) == ResultCode::kOk));
    for (const config::ConfigState* state : {&source, &proxy, &restarted}) {
      BOOST_TEST(state->Accounts().empty());
      BOOST_TEST(state->UsesAccounts());
      const rpc::Route& route = *state->Routes().begin()->second;
      BOOST_TEST(route.requires_account() == !tenants.empty());
      BOOST_TEST(route.refuses_unknown_keys());
    }
  }
}

// Guards against a change of the digest and the bytes of meshes without
// accounts, whose daemons may be of different releases.
BOOST_AUTO_TEST_CASE(AConfigurationWithoutAccountsKeepsItsDigest) {
  config::ConfigState with = MakeState(1, {MakeAccount("a", kKey)});
  const config::ConfigState without = MakeState(1, {});
  BOOST_TEST(with.Digest() != without.Digest());
  with.SetAccounts({});
  BOOST_TEST(with.Digest() == without.Digest());
  BOOST_TEST(with.ToSnapshot().SerializeAsString() ==
             without.ToSnapshot().SerializeAsString());
}

BOOST_AUTO_TEST_CASE(TenantsBecomeAccountsWithDigestsOnly) {
  const auto routing = platform::DecodeConfiguration(Configuration(
      R"([{"name":"one","api_keys":["key-7f3c1e","k2"],"rate_per_s":12.5,)"
      R"("burst":40,"priority":0},{"name":"two","api_keys":[]}])"));
  BOOST_REQUIRE(routing.has_value());
  BOOST_REQUIRE(routing->accounts_size() == 2);
  const rpc::ClientAccount& one = routing->accounts(0);
  BOOST_TEST(one.name() == "one");
  BOOST_TEST(one.key_digests_size() == 2);
  BOOST_TEST(one.key_digests(0) == base::Sha256(kKey));
  BOOST_TEST(one.requests_per_second() == 12.5);
  BOOST_TEST(one.burst() == 40.0);
  BOOST_TEST(one.has_priority());
  // All its keys were taken away.
  BOOST_TEST(routing->accounts(1).key_digests_size() == 0);
  BOOST_TEST(!routing->accounts(1).has_priority());
  BOOST_TEST(routing->routes(0).requires_account());
}

// Guards against routes that are opened to everybody by taking the last account
// away, and against routes that require a key where nobody has ever had one.
BOOST_AUTO_TEST_CASE(RoutesRequireAnAccountAsLongAsAccountsAreListed) {
  const std::string one = R"([{"name":"one","api_keys":["k"]}])";
  const std::string allowed = R"("allow_anonymous":true,)";
  const std::string forbidden = R"("allow_anonymous":false,)";
  struct RequirementCase {
    std::string tenants_;
    std::string rule_;
    bool required_;
  };
  const RequirementCase cases[] = {
      {one, "", true},  {one, forbidden, true},  {one, allowed, false},
      {"[]", "", true}, {"[]", forbidden, true}, {"[]", allowed, false},
      {"", "", false},  {"", forbidden, true},   {"", allowed, false},
  };
  for (const RequirementCase& item : cases) {
    const auto routing =
        platform::DecodeConfiguration(Configuration(item.tenants_, item.rule_));
    BOOST_REQUIRE(routing.has_value());
    BOOST_TEST(routing->routes(0).requires_account() == item.required_,
               item.tenants_ + " " + item.rule_);
  }
  // Says neither that there are accounts nor that there are none.
  BOOST_TEST(!platform::DecodeConfiguration(Configuration("null")).has_value());
}

// Guards against error texts that repeat a key: they are logged and answered.
BOOST_AUTO_TEST_CASE(FaultsOfTenantsNameThePlaceAndNoKey) {
  const std::pair<std::string, std::string> cases[] = {
      {R"([{"name":"one","api_keys":["key-7f3c1e",""]}])",
       "tenants[0].api_keys[1]"},
      {R"([{"name":"one","api_keys":["key-7f3c1e",7]}])",
       "tenants[0].api_keys[1]"},
      {R"([{"name":"one","api_keys":"key-7f3c1e"}])", "tenants[0].api_keys"},
      {R"([{"api_keys":["key-7f3c1e"]}])", "tenants[0].name"},
      {R"([{"name":"one","api_keys":["key-7f3c1e"],"rate_per_s":-1}])",
       "tenants[0].rate_per_s"},
      {R"({"key-7f3c1e":1})", "tenants"},
  };
  for (const auto& [tenants, place] : cases) {
    const auto routing = platform::DecodeConfiguration(Configuration(tenants));
    BOOST_REQUIRE(!routing.has_value());
    const std::string& text = routing.error().place_;
    BOOST_TEST(text.find(place) != std::string::npos, text);
    BOOST_TEST(text.find(kKey) == std::string::npos, text);
  }
  BOOST_TEST(!platform::DecodeConfiguration(
                  Configuration("[]", R"("allow_anonymous":"yes",)"))
                  .has_value());
}

// Guards against an upstream that is told another account than the entry found.
BOOST_AUTO_TEST_CASE(TheAccountIsCarriedBetweenDaemons) {
  daemon::serving::HopRequest request = MakeHopRequest();
  request.account_ = "one";
  const base::MonoTime now(std::chrono::hours(1));
  const http::RequestHead head =
      daemon::serving::EncodeHopRequest(request, now);
  BOOST_TEST(head.headers_.Find(request::kAccountHeader) == "one");
  const auto decoded = daemon::serving::DecodeHopRequest(head, now);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->account_ == "one");
  BOOST_TEST(!decoded->head_.headers_.Has(request::kAccountHeader));
  request.account_.clear();
  BOOST_TEST(!daemon::serving::EncodeHopRequest(request, now)
                  .headers_.Has(request::kAccountHeader));
}

// Guards against callers that are told to send a wrong key again.
BOOST_AUTO_TEST_CASE(AKeyThatIsNotAcceptedIsAnsweredWith401) {
  base::Random random(1);
  for (const ResultCode code :
       {ResultCode::kAccountKeyMissing, ResultCode::kAccountKeyUnknown}) {
    BOOST_TEST(daemon::serving::HttpStatusOf(code, /*not_run=*/true) == 401);
    BOOST_TEST(request::RetryAfterDelay(code, random).count() == 0);
  }
  const ResultCode expired = ResultCode::kAuthorityExpired;
  BOOST_TEST(daemon::serving::HttpStatusOf(expired, /*not_run=*/true) == 503);
  BOOST_TEST(request::RetryAfterDelay(expired, random).count() > 0);
}

}  // namespace
}  // namespace buckthorngate::tests
