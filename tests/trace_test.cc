// Logs and metrics of real daemons about requests that ended without a complete
// answer, about shutdown steps, and about a control host's state.
#define BOOST_TEST_MODULE trace
#include <boost/test/unit_test.hpp>

#include <signal.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "process_harness.h"

namespace buckthorngate::tests {
namespace {

constexpr char kService[] = R"(service = "shop"
versions = ["v1"]
version = "v1"
[[route]]
name = "all"
path = "/shop"
timeout_ms = 20000
)";
// The upstream is on this daemon's host.
constexpr char kDestination[] = "proxy-1-1";
// The callers use this daemon.
constexpr char kEntry[] = "proxy-1-2";

class LoggedMesh {
 public:
  explicit LoggedMesh(std::chrono::milliseconds drain_time) : mesh_(1, 2) {
    mesh_.SetDrainTime(drain_time);
    mesh_.StartAll();
    mesh_.StartUpstream(kDestination, "shop");
    BOOST_REQUIRE(mesh_.Publish(1, kService) == 0);
    BOOST_REQUIRE(mesh_.AwaitServed("/shop/x"));
  }
  ProcessMesh& Mesh() { return mesh_; }

  HttpAnswer Call(const std::string& path,
                  const std::string& id,
                  std::chrono::milliseconds timeout) {
    return mesh_.Call(kEntry, "GET", path, "", {{"X-Request-Id", id}}, timeout);
  }
  // Waits until exactly one line of the log contains all of the texts.
  bool AwaitLine(const std::string& host,
                 const std::vector<std::string>& texts) {
    return ProcessMesh::Await(
        [&] { return mesh_.LogLines(host, texts).size() == 1; },
        std::chrono::seconds(5));
  }

 private:
  ProcessMesh mesh_;
};

// Guards against a connection that ends without a complete answer while neither
// daemon logs the request's id and the cause.
BOOST_AUTO_TEST_CASE(ATruncatedStreamIsLoggedByBothDaemons) {
  LoggedMesh logged(std::chrono::seconds(60));
  BOOST_TEST(
      logged.Call("/shop/cut?bytes=9000000", "cut-1", std::chrono::seconds(10))
          .status_ == 0);
  for (const std::string host : {kDestination, kEntry}) {
    const std::string side = host == kEntry ? "entry" : "destination";
    BOOST_TEST(logged.AwaitLine(
        host,
        {"E511 call-cut", "request=\"cut-1\"", "side=\"" + side + "\"",
         "cause=\"body-broke-off\"", "stage=\"body\"", "of=\"9000000\""}));
    BOOST_TEST(logged.Mesh()
                   .Admin(host, "/metrics")
                   .body_.find("buckthorngate_cut_requests_total{side=\"" +
                               side + "\",cause=\"body-broke-off\"} 1.") !=
               std::string::npos);
  }
}

// Guards against a truncated short answer that becomes a 502 without a log
// line.
BOOST_AUTO_TEST_CASE(ATruncatedShortAnswerIsLoggedByTheDestination) {
  LoggedMesh logged(std::chrono::seconds(60));
  BOOST_TEST(
      logged.Call("/shop/cut?bytes=40000", "cut-2", std::chrono::seconds(10))
          .status_ == 502);
  BOOST_TEST(logged.AwaitLine(
      kDestination, {"E512 answer-cut", "request=\"cut-2\"", "of=\"40000\""}));
  // The caller got a complete answer, the 502, so the entry side logs nothing.
  BOOST_TEST(logged.Mesh().LogLines(kEntry, {"E511"}).empty());
}

// Guards against logs in which a caller's disconnect can't be distinguished
// from a daemon's fault.
BOOST_AUTO_TEST_CASE(ACallerDisconnectIsLoggedAsCallerLeft) {
  LoggedMesh logged(std::chrono::seconds(60));
  logged.Call("/shop/slow?ms=2500", "gone-1", std::chrono::milliseconds(300));
  BOOST_TEST(logged.AwaitLine(kEntry, {"E510 caller-left", "request=\"gone-1\"",
                                       "side=\"entry\"", "stage=\"waiting\""}));
  BOOST_TEST(logged.AwaitLine(
      kDestination,
      {"E510 caller-left", "request=\"gone-1\"", "side=\"destination\""}));
  BOOST_TEST(logged.Mesh().LogLines(kEntry, {"E511"}).empty());
}

// Stops one daemon while a call runs that takes longer than the drain time.
// Each shutdown step and the call that the exit cuts must be logged.
void CheckStopThatCutsARequest(const std::string& host,
                               const std::string& side,
                               const std::string& open) {
  LoggedMesh logged(std::chrono::milliseconds(4000));
  ProcessMesh& mesh = logged.Mesh();
  HttpAnswer answer;
  std::thread caller([&] {
    answer =
        logged.Call("/shop/slow?ms=15000", "open-1", std::chrono::seconds(20));
  });
  // Long enough for the call to reach the upstream, also on a busy machine.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  mesh.Signal(host, SIGTERM);
  mesh.Wait(host);
  caller.join();
  BOOST_TEST(answer.status_ != 200);
  const auto has_line = [&mesh, &host](const std::vector<std::string>& texts) {
    return mesh.LogLines(host, texts).size() == 1;
  };
  for (const std::string step :
       {"callers-told", "peers-told", "upstreams-refused", "slots-awaited",
        "callers-refused", "calls-awaited", "end"}) {
    BOOST_TEST(has_line({"E105 stop-step", "step=\"" + step + "\"", open}),
               step);
  }
  BOOST_TEST(has_line({"E106 stop-open", open}));
  BOOST_TEST(has_line({"E511 call-cut", "request=\"open-1\"",
                       "cause=\"server-closed\"", "side=\"" + side + "\""}));
}

// Guards against a caller's request that a shutdown cuts without a log line.
BOOST_AUTO_TEST_CASE(AStopLogsItsStepsAndTheCallerRequestsThatItCuts) {
  CheckStopThatCutsARequest(kEntry, "entry", "caller_calls=\"1\"");
}

// Guards against another daemon's request that a shutdown cuts without a log
// line.
BOOST_AUTO_TEST_CASE(AStopLogsItsStepsAndThePeerRequestsThatItCuts) {
  CheckStopThatCutsARequest(kDestination, "destination", "peer_calls=\"1\"");
}

// Guards against a warning at each shutdown, which would hide the shutdowns
// that cut requests.
BOOST_AUTO_TEST_CASE(AStopThatCutsNothingLogsNoWarning) {
  LoggedMesh logged(std::chrono::seconds(60));
  ProcessMesh& mesh = logged.Mesh();
  mesh.Signal(kDestination, SIGTERM);
  mesh.Wait(kDestination);
  BOOST_TEST(mesh.LogLines(kDestination, {"E105", "step=\"end\""}).size() ==
             1u);
  BOOST_TEST(mesh.LogLines(kDestination, {"E106"}).empty());
  BOOST_TEST(mesh.LogLines(kDestination, {"E511"}).empty());
}

// The value of a metric on the page, or -1 if it is missing.
double MetricValue(const std::string& page, const std::string& name) {
  const size_t at = page.find("\n" + name + " ");
  return at == std::string::npos ? -1.0
                                 : std::stod(page.substr(at + name.size() + 2));
}

// Guards against control hosts without metrics: whether one is the leader, is
// in contact with a majority or waits for its disk could then be found out only
// by querying it manually.
BOOST_AUTO_TEST_CASE(AControlHostServesMetricsAndLogsRestoredState) {
  LoggedMesh logged(std::chrono::seconds(60));
  ProcessMesh& mesh = logged.Mesh();
  const auto page = [&mesh] {
    return "\n" + mesh.Admin("control-1", "/metrics").body_;
  };
  BOOST_TEST(ProcessMesh::Await([&] {
    return MetricValue(page(), "buckthorngate_source_revision") >= 1.0 &&
           MetricValue(page(), "buckthorngate_relay_proxies") == 2.0;
  }));
  const std::string first = page();
  BOOST_TEST(MetricValue(first, "buckthorngate_source_leader") == 1.0, first);
  BOOST_TEST(MetricValue(first, "buckthorngate_source_commit_index") >= 1.0);
  BOOST_TEST(MetricValue(
                 first, "buckthorngate_source_members{kind=\"voter\"}") == 1.0);
  BOOST_TEST(MetricValue(first, "buckthorngate_source_contact_age_seconds") >=
             0.0);
  BOOST_TEST(MetricValue(first, "buckthorngate_source_contact_age_seconds") <
             5.0);
  BOOST_TEST(MetricValue(first,
                         "buckthorngate_journal_sync_seconds_count{journal="
                         "\"source\"}") >= 1.0);
  // Upstreams do not announce themselves to a control host.
  BOOST_TEST(mesh.Admin("control-1", "/healthz").status_ == 200);
  BOOST_TEST(mesh.Admin("control-1", "/announce").status_ == 404);
  // There is nothing to restore at the first start.
  BOOST_TEST(mesh.LogLines("control-1", {"E115"}).empty());
  mesh.Kill("control-1");
  mesh.Start("control-1");
  BOOST_TEST(
      logged.AwaitLine("control-1", {"E115 state-restored", "node=\"source-1\"",
                                     " number=\"1\"", "tail_cut=\"false\""}));
  BOOST_TEST(logged.AwaitLine(
      "control-1",
      {"E115 state-restored", "node=\"relay-1\"", "tail_cut=\"false\""}));
}

}  // namespace
}  // namespace buckthorngate::tests
