// The platform's documents: what fits, and what is refused with its place.
#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include <string>

#include "platform/dialect.h"
#include "platform/documents.h"

namespace buckthorngate::tests {
namespace {

constexpr char kConfiguration[] =
    R"({"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,)"
    R"("header_timeout_s":3,"idle_timeout_s":15.5},"listeners":[{"host":"h",)"
    R"("rules":[{"name":"r","route_type":"unsafe","target_latency_s":0.5,)"
    R"("priority":1,"match":{"path_prefix":"/a/"},"action":{"traffic_split":[)"
    R"({"service":"x","weight":90},{"service":"y","weight":10}],)"
    R"("timeout_s":1.2,"max_attempts":2}}]}],"clusters":[{"name":"x"},)"
    R"({"name":"y"}]})";

constexpr char kHeartbeat[] =
    R"({"service":"x","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":18,"state":"ready","cold_remaining_s":0,"sequence":4,)"
    R"("born":1700000000000})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

BOOST_AUTO_TEST_CASE(AConfigurationBecomesRoutesOfTheMesh) {
  const auto routing = platform::DecodeConfiguration(kConfiguration);
  BOOST_REQUIRE(routing.has_value());
  BOOST_TEST(routing->header().number() == 7u);
  BOOST_TEST(routing->header().limits().idle_timeout_ms() == 15'500u);
  BOOST_REQUIRE(routing->routes_size() == 1);
  const rpc::Route& route = routing->routes(0);
  BOOST_TEST(!route.repeatable());
  BOOST_TEST(route.targets(0).weight() == 90u);
  BOOST_TEST(route.timeout_ms() == 1200u);
  BOOST_TEST(route.objective_ms() == 500u);
  BOOST_TEST(route.max_attempts() == 2u);
  BOOST_TEST(routing->document() == kConfiguration);
}

BOOST_AUTO_TEST_CASE(BadConfigurationsNameThePlaceOfTheFault) {
  const std::string good = kConfiguration;
  const std::string bads[] = {
      good.substr(0, good.size() / 2),
      "[]",
      Replace(good, "\"unsafe\"", "\"quick\""),
      Replace(good, "\"version\":7", "\"version\":\"7\""),
      Replace(good, "\"weight\":90", "\"weight\":-1"),
      Replace(good, "\"timeout_s\":1.2", "\"timeout_s\":\"soon\""),
      Replace(good, "{\"path_prefix\":\"/a/\"}", "7"),
      Replace(good, "\"clusters\"", "\"groups\""),
  };
  for (const std::string& bad : bads) {
    const auto routing = platform::DecodeConfiguration(bad);
    BOOST_TEST(!routing.has_value(), bad);
    if (!routing) {
      BOOST_TEST(!routing.error().place_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(ATinyTimeIsNotNone) {
  const auto routing = platform::DecodeConfiguration(
      Replace(kConfiguration, "\"timeout_s\":1.2", "\"timeout_s\":0.0001"));
  BOOST_REQUIRE(routing.has_value());
  BOOST_TEST(routing->routes(0).timeout_ms() == 1u);
}

BOOST_AUTO_TEST_CASE(HeartbeatsOfForeignWritersNameNoEndpoint) {
  const auto heartbeat = platform::DecodeHeartbeat(kHeartbeat, "i-1");
  BOOST_REQUIRE(heartbeat.has_value());
  BOOST_TEST(heartbeat->announcement_.started_ms_ == 1'700'000'000'000);
  BOOST_TEST(heartbeat->announcement_.instance_ == "i-1");
  const std::string good = kHeartbeat;
  const std::string bads[] = {
      "", "{", "7", "\"text\"",
      Replace(good, "\"ready\"", "\"sleepy\""),
      Replace(good, "\"slots\":18", "\"slots\":\"18\""),
      Replace(good, "\"slots\":18", "\"slots\":0"),
      Replace(good, "10.0.0.9:8080", "somewhere"),
      Replace(good, "\"service\":\"x\",", ""),
      Replace(good, "\"sequence\":4", "\"sequence\":-4"),
      good + "\xff",
  };
  for (const std::string& bad : bads) {
    BOOST_TEST(!platform::DecodeHeartbeat(bad, "i-1").has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(MovesAreToldInThePlatformsWords) {
  daemon::MoveReport report;
  report.to_ = "v2";
  report.progress_ = daemon::MoveProgress::kTakenBack;
  BOOST_TEST(platform::EncodeMove(report) ==
             R"({"state":"rolled_back","target_version":"v2"})");
}

}  // namespace
}  // namespace buckthorngate::tests
