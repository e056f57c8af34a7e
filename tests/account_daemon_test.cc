// Client accounts in a whole daemon with the platform's adapter: what upstreams
// see of them, and the revocation of a key.
#define BOOST_TEST_MODULE account_daemon
#include <boost/test/unit_test.hpp>

#include <strings.h>

#include <string>
#include <vector>

#include "platform_daemon.h"

namespace buckthorngate::tests {
namespace {

constexpr char kKeyHeader[] = "X-Key";
constexpr char kNameHeader[] = "X-Tenant-Id";
constexpr char kKey[] = "key-7f3c1e";
constexpr char kOtherKey[] = "key-55aa01";

// Without `tenants` the configuration lacks the list. `shop` is added to the
// rule of "/shop/".
std::string Configuration(int number,
                          const std::string& tenants,
                          const std::string& shop = "") {
  const std::string rule =
      R"("route_type":"safe","target_latency_s":1.0,"priority":1,)"
      R"("action":{"service":"shop","timeout_s":4,"max_attempts":2},)";
  return R"({"version":)" + std::to_string(number) +
         R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
         R"("header_timeout_s":3,"idle_timeout_s":15},"listeners":[)"
         R"({"host":"h","rules":[{"name":"r",)" +
         rule + shop + R"("match":{"path_prefix":"/shop/"}},{"name":"open",)" +
         rule +
         R"("allow_anonymous":true,"match":{"path_prefix":"/open/"}}]}],)"
         R"("clusters":[{"name":"shop"}])" +
         (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
}

const std::string kTwoTenants =
    R"([{"name":"one","api_keys":["key-7f3c1e"],"rate_per_s":0},)"
    R"({"name":"two","api_keys":["key-55aa01"]}])";

class AccountShop {
 public:
  explicit AccountShop(
      std::chrono::milliseconds bound = std::chrono::seconds(5)) {
    daemon_.SetRevocationBound(bound);
    daemon_.Start();
    Beat();
    BOOST_REQUIRE(daemon_.AwaitServed("/shop/first"));
    BOOST_REQUIRE(
        daemon_.PutConfiguration("7", Configuration(8, kTwoTenants)) == 200);
    // The accounts are in force, and the first lease is there.
    BOOST_REQUIRE(
        PollUntil([this] { return daemon_.Get("/shop/waits") == 401; }));
    BOOST_REQUIRE(daemon_.Get("/shop/served", {{kKeyHeader, kKey}}) == 200);
  }

  void Beat() {
    HeartbeatFields own;
    own.address_ = "127.0.0.1:" + std::to_string(upstream_.Port());
    own.sequence_ = ++beats_;
    BOOST_REQUIRE(daemon_.Beat(own) == 200);
  }

  // All values of the header in the requests with this path.
  std::vector<std::string> Values(const std::string& path,
                                  const std::string& header) const {
    std::vector<std::string> values;
    for (const UpstreamCall& call : upstream_.Calls(path)) {
      for (const auto& [name, value] : call.headers_) {
        if (strcasecmp(name.c_str(), header.c_str()) == 0) {
          values.push_back(value);
        }
      }
    }
    return values;
  }

  void ExpectAccount(const std::string& path,
                     const std::vector<std::string>& names) {
    BOOST_TEST(Values(path, kNameHeader) == names, path);
    for (const UpstreamCall& call : upstream_.Calls(path)) {
      for (const auto& [name, value] : call.headers_) {
        BOOST_TEST(value.find("key-") == std::string::npos, path + name);
        BOOST_TEST(strcasecmp(name.c_str(), kKeyHeader) != 0, path);
      }
    }
  }

  // Whether the callers' requests are answered with these statuses: without a
  // key, and with keys that were withdrawn or never were.
  void ExpectStatuses(const std::string& path, int without, int with) {
    BOOST_TEST(daemon_.Get(path) == without, path);
    for (const char* key : {kKey, kOtherKey, "unknown"}) {
      BOOST_TEST(daemon_.Get(path, {{kKeyHeader, key}}) == with, path + key);
    }
  }

  // Publishes, waits until the second key is refused, and checks the requests
  // to all routes, before and after a restart.
  void ExpectNoKeyAfter(const std::string& configuration, int without) {
    BOOST_REQUIRE(daemon_.PutConfiguration("8", configuration) == 200);
    const httplib::Headers key = {{kKeyHeader, kOtherKey}};
    BOOST_TEST(PollUntil([&] { return daemon_.Get("/shop/late", key) == 401; },
                         std::chrono::seconds(5)));
    ExpectStatuses("/shop/after", without, 401);
    ExpectStatuses("/open/after", 200, 200);
    BOOST_TEST(daemon_.Get("/open/after", {{kNameHeader, "one"}}) == 200);
    daemon_.Stop();
    daemon_.Start();
    Beat();
    BOOST_REQUIRE(daemon_.AwaitServed("/open/again"));
    BOOST_TEST(
        PollUntil([&] { return daemon_.Get("/shop/again", key) == 401; }));
    ExpectStatuses("/shop/after", without, 401);
    ExpectAccount("/shop/after", {});
    ExpectAccount("/open/after", {});
    // The requests without a key, before and after the restart.
    BOOST_TEST(upstream_.Calls("/shop/after").size() ==
               (without == 200 ? 2u : 0u));
  }

  PlatformDaemon daemon_;
  RecordingUpstream upstream_;
  uint64_t beats_ = 0;
};

// Guards against upstreams that see a key, or an account's name that the caller
// made up: in odd spellings, twice, beside chunks and in trailers.
BOOST_AUTO_TEST_CASE(UpstreamsSeeTheAccountAndNeverTheKey) {
  AccountShop shop;
  PlatformDaemon& daemon = shop.daemon_;
  const httplib::Headers forged = {{"x-kEY", kKey},
                                   {kNameHeader, "two"},
                                   {"x-tenant-ID", "two"},
                                   {"Bg-Account", "two"}};
  BOOST_TEST(daemon.Get("/shop/forged", forged) == 200);
  shop.ExpectAccount("/shop/forged", {"one"});
  BOOST_TEST(daemon.PostChunked("/shop/chunks", forged) == 200);
  shop.ExpectAccount("/shop/chunks", {"one"});
  const std::string answer = daemon.SendRaw(
      "POST /shop/trailer HTTP/1.1\r\nHost: h\r\nX-Key: key-7f3c1e\r\n"
      "Transfer-Encoding: chunked\r\nTrailer: X-Key, X-Tenant-Id\r\n\r\n"
      "4\r\nbody\r\n0\r\nX-Key: key-55aa01\r\nX-Tenant-Id: two\r\n\r\n");
  BOOST_TEST(answer.find("200") != std::string::npos, answer);
  shop.ExpectAccount("/shop/trailer", {"one"});
  const std::string only_trailer = daemon.SendRaw(
      "POST /shop/late HTTP/1.1\r\nHost: h\r\n"
      "Transfer-Encoding: chunked\r\nTrailer: X-Key\r\n\r\n"
      "4\r\nbody\r\n0\r\nX-Key: key-55aa01\r\n\r\n");
  BOOST_TEST(only_trailer.find("401") != std::string::npos, only_trailer);
  BOOST_TEST(daemon.Get("/open/none", {{kKeyHeader, "unknown"},
                                       {kNameHeader, "one"}}) == 200);
  shop.ExpectAccount("/open/none", {});
  BOOST_TEST(daemon.Get("/open/two", {{kKeyHeader, kOtherKey}}) == 200);
  shop.ExpectAccount("/open/two", {"two"});
}

// Guards against a revoked key that is still served, and against a revocation
// that harms other accounts.
BOOST_AUTO_TEST_CASE(ARevokedKeyIsRefusedAndOthersAreServed) {
  AccountShop shop;
  PlatformDaemon& daemon = shop.daemon_;
  BOOST_TEST(daemon.Get("/shop/a") == 401);
  BOOST_TEST(daemon.Get("/shop/a", {{kKeyHeader, "unknown"}}) == 401);
  BOOST_TEST(daemon.Get("/shop/a", {{kKeyHeader, kKey}, {kKeyHeader, kKey}}) ==
             401);
  BOOST_TEST(shop.upstream_.Calls("/shop/a").empty());
  const std::string revoked = R"([{"name":"one","api_keys":[]},)"
                              R"({"name":"two","api_keys":["key-55aa01"]}])";
  BOOST_REQUIRE(daemon.PutConfiguration("8", Configuration(9, revoked)) == 200);
  BOOST_TEST(PollUntil(
      [&daemon] {
        return daemon.Get("/shop/b", {{kKeyHeader, kKey}}) == 401;
      },
      std::chrono::seconds(5)));
  BOOST_TEST(daemon.Get("/shop/c", {{kKeyHeader, kOtherKey}}) == 200);
  shop.ExpectAccount("/shop/c", {"two"});
  const std::string metrics = daemon.Metrics();
  BOOST_TEST(metrics.find("buckthorngate_authority_lease_age_seconds") !=
             std::string::npos);
  BOOST_TEST(metrics.find(kKey) == std::string::npos);
  BOOST_TEST(metrics.find(kOtherKey) == std::string::npos);
}

// Guards against withdrawn and unknown keys that are served, or handed to
// upstreams, once the last account is taken away: the list may then be empty or
// missing. Without the list no key is needed, unless the route says so.
BOOST_AUTO_TEST_CASE(NoKeyIsServedOnceTheLastAccountIsGone) {
  const std::string forbidden = R"("allow_anonymous":false,)";
  const std::chrono::seconds unbounded{0};
  BOOST_TEST_CONTEXT("empty list") {
    AccountShop(unbounded).ExpectNoKeyAfter(Configuration(9, "[]"), 401);
  }
  BOOST_TEST_CONTEXT("empty list, stated in the rule") {
    AccountShop().ExpectNoKeyAfter(Configuration(9, "[]", forbidden), 401);
  }
  BOOST_TEST_CONTEXT("no list") {
    AccountShop(unbounded).ExpectNoKeyAfter(Configuration(9, ""), 200);
  }
  BOOST_TEST_CONTEXT("no list, stated in the rule") {
    AccountShop().ExpectNoKeyAfter(Configuration(9, "", forbidden), 401);
  }
}

// Guards against answers to operators that repeat a key, which are logged.
BOOST_AUTO_TEST_CASE(RefusedAccountsAreAnsweredWithoutTheirKeys) {
  AccountShop shop;
  const std::string shared = R"([{"name":"one","api_keys":["key-7f3c1e"]},)"
                             R"({"name":"two","api_keys":["key-7f3c1e"]}])";
  std::string body;
  BOOST_TEST(shop.daemon_.PutConfiguration("8", Configuration(9, shared),
                                           &body) == 400);
  BOOST_TEST(body.find("account 2 two key 1") != std::string::npos, body);
  BOOST_TEST(body.find("key-7f3c1e") == std::string::npos, body);
}

}  // namespace
}  // namespace buckthorngate::tests
