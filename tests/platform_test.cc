// The platform's documents: what fits, and what is refused with its place.
#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/dialect.h"
#include "platform/documents.h"
#include "platform/platform_adapter.h"

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
      "",
      "{",
      "7",
      "\"text\"",
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

// Answers each call with the same result.
class FakeApi : public daemon::ControlApi {
 public:
  rpc::PublishReply PublishRouting(rpc::RoutingCommand command) override {
    base_ = command.base_number();
    return Reply();
  }
  rpc::PublishReply OrderMove(rpc::MoveOrder) override { return Reply(); }
  daemon::RoutingText ReadRouting() override {
    return {code_, leader_, 7, "the text"};
  }
  daemon::MoveReport ReadMove(const std::string&) override {
    return {code_, leader_, daemon::MoveProgress::kRunning, "v2"};
  }
  ResultCode Announce(const registry::Announcement&) override { return code_; }
  void Drain(const std::string&) override { ++drains_; }
  void Leave(const std::string&) override {}
  bool Ready() override { return code_ == ResultCode::kOk; }

  ResultCode code_ = ResultCode::kOk;
  std::string leader_;
  uint64_t base_ = 0;
  int drains_ = 0;

 private:
  rpc::PublishReply Reply() const {
    rpc::PublishReply reply;
    reply.set_result_code(static_cast<uint32_t>(code_));
    reply.set_leader(leader_);
    return reply;
  }
};

int FreePort() {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
  BOOST_REQUIRE(bind(file, generic, size) == 0);
  BOOST_REQUIRE(getsockname(file, generic, &size) == 0);
  close(file);
  return ntohs(address.sin_port);
}

class ServedAdapter {
 public:
  ServedAdapter() : port_(FreePort()), client_("127.0.0.1", port_) {
    daemon::Settings settings;
    settings.adapter_["control"] = "127.0.0.1:" + std::to_string(port_);
    adapter_ = std::make_unique<platform::PlatformAdapter>(settings, api_);
    BOOST_REQUIRE((adapter_->Start() == ResultCode::kOk));
  }
  ~ServedAdapter() { adapter_->Stop(); }

  int Publish(ResultCode code) {
    api_.code_ = code;
    return client_
        .Post("/config/put", {{platform::kBaseHeader, "5"}}, kConfiguration,
              "application/json")
        ->status;
  }
  FakeApi& Api() { return api_; }
  httplib::Client& Client() { return client_; }
  int Port() const { return port_; }

 private:
  FakeApi api_;
  const int port_;
  httplib::Client client_;
  std::unique_ptr<platform::PlatformAdapter> adapter_;
};

BOOST_AUTO_TEST_CASE(WhatWasNotAcceptedIsNeverAcknowledged) {
  ServedAdapter served;
  BOOST_TEST(served.Publish(ResultCode::kOk) == 200);
  BOOST_TEST(served.Api().base_ == 5u);
  BOOST_TEST(served.Publish(ResultCode::kBaseNotCurrent) == 412);
  BOOST_TEST(served.Publish(ResultCode::kNumberStale) == 400);
  BOOST_TEST(served.Publish(ResultCode::kUnknownService) == 400);
  BOOST_TEST(served.Publish(ResultCode::kDuplicateRoute) == 400);
  BOOST_TEST(served.Publish(ResultCode::kOutcomeUnknown) == 503);
  BOOST_TEST(served.Publish(ResultCode::kNotLeader) == 503);
}

BOOST_AUTO_TEST_CASE(OthersThanTheLeaderRedirect) {
  ServedAdapter served;
  served.Api().code_ = ResultCode::kNotLeader;
  served.Api().leader_ = "10.0.0.4:7600";
  const auto answer = served.Client().Get("/config/get");
  BOOST_TEST(answer->status == 307);
  BOOST_TEST(answer->get_header_value("Location") ==
             "http://10.0.0.4:" + std::to_string(served.Port()) +
                 "/config/get");
}

BOOST_AUTO_TEST_CASE(ALateHeartbeatIsAcknowledgedAndChangesNothing) {
  ServedAdapter served;
  served.Api().code_ = ResultCode::kNumberStale;
  const std::string draining = Replace(kHeartbeat, "\"ready\"", "\"draining\"");
  const auto late = served.Client().Post("/instances/i-1/heartbeat", draining,
                                         "application/json");
  BOOST_TEST(late->status == 200);
  BOOST_TEST(served.Api().drains_ == 0);
  served.Api().code_ = ResultCode::kOk;
  served.Client().Post("/instances/i-1/heartbeat", draining,
                       "application/json");
  BOOST_TEST(served.Api().drains_ == 1);
}

}  // namespace
}  // namespace buckthorngate::tests
