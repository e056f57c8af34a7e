// What a daemon's log and metrics tell of requests that ended without a whole
// answer, and of a stop; real daemons as child processes.
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
// The upstream stands beside this daemon.
constexpr char kDestination[] = "proxy-1-1";
// The callers are at this one.
constexpr char kEntry[] = "proxy-1-2";

class TracedMesh {
 public:
  explicit TracedMesh(std::chrono::milliseconds drain_time) : mesh_(1, 2) {
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
  // Whether one line has all of the texts, soon.
  bool AwaitLine(const std::string& host,
                 const std::vector<std::string>& texts) {
    return ProcessMesh::Await(
        [&] { return mesh_.LogLines(host, texts).size() == 1; },
        std::chrono::seconds(5));
  }

 private:
  ProcessMesh mesh_;
};

// Pattern: a connection ended without a whole answer, and neither daemon's log
// had a line with the request's id that told why.
BOOST_AUTO_TEST_CASE(ABodyThatBreaksOffIsToldByBothDaemons) {
  TracedMesh traced(std::chrono::seconds(60));
  BOOST_TEST(
      traced.Call("/shop/cut?bytes=9000000", "cut-1", std::chrono::seconds(10))
          .status_ == 0);
  for (const std::string host : {kDestination, kEntry}) {
    const std::string side = host == kEntry ? "entry" : "destination";
    BOOST_TEST(traced.AwaitLine(
        host,
        {"E511 call-cut", "request=\"cut-1\"", "side=\"" + side + "\"",
         "cause=\"body-broke-off\"", "stage=\"body\"", "of=\"9000000\""}));
    BOOST_TEST(traced.Mesh()
                   .Admin(host, "/metrics")
                   .body_.find("buckthorngate_cut_requests_total{side=\"" +
                               side + "\",cause=\"body-broke-off\"} 1.") !=
               std::string::npos);
  }
}

// Pattern: a short answer that broke off became a 502 without a trace of it.
BOOST_AUTO_TEST_CASE(AShortAnswerThatBreaksOffIsToldByItsDestination) {
  TracedMesh traced(std::chrono::seconds(60));
  BOOST_TEST(
      traced.Call("/shop/cut?bytes=40000", "cut-2", std::chrono::seconds(10))
          .status_ == 502);
  BOOST_TEST(traced.AwaitLine(
      kDestination, {"E512 answer-cut", "request=\"cut-2\"", "of=\"40000\""}));
  // The caller has a whole answer.
  BOOST_TEST(traced.Mesh().LogLines(kEntry, {"E511"}).empty());
}

// Pattern: a caller that had given up could not be told from a daemon's fault.
BOOST_AUTO_TEST_CASE(ACallerThatGivesUpIsTold) {
  TracedMesh traced(std::chrono::seconds(60));
  traced.Call("/shop/slow?ms=2500", "gone-1", std::chrono::milliseconds(300));
  BOOST_TEST(traced.AwaitLine(kEntry, {"E510 caller-left", "request=\"gone-1\"",
                                       "side=\"entry\"", "stage=\"waiting\""}));
  BOOST_TEST(traced.AwaitLine(
      kDestination,
      {"E510 caller-left", "request=\"gone-1\"", "side=\"destination\""}));
  BOOST_TEST(traced.Mesh().LogLines(kEntry, {"E511"}).empty());
}

// Stops one daemon while a call runs that takes longer than the stop waits;
// each step, and the call that the exit cuts, must be told.
void CheckStopThatCuts(const std::string& host,
                       const std::string& side,
                       const std::string& open) {
  TracedMesh traced(std::chrono::milliseconds(4000));
  ProcessMesh& mesh = traced.Mesh();
  HttpAnswer answer;
  std::thread caller([&] {
    answer =
        traced.Call("/shop/slow?ms=15000", "open-1", std::chrono::seconds(20));
  });
  // The call has reached the upstream by then, on a busy machine too.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  mesh.Signal(host, SIGTERM);
  mesh.Wait(host);
  caller.join();
  BOOST_TEST(answer.status_ != 200);
  const auto told = [&mesh, &host](const std::vector<std::string>& texts) {
    return mesh.LogLines(host, texts).size() == 1;
  };
  for (const std::string step :
       {"callers-told", "peers-told", "upstreams-refused", "slots-awaited",
        "callers-refused", "calls-awaited", "end"}) {
    BOOST_TEST(told({"E105 stop-step", "step=\"" + step + "\"", open}), step);
  }
  BOOST_TEST(told({"E106 stop-open", open}));
  BOOST_TEST(told({"E511 call-cut", "request=\"open-1\"",
                   "cause=\"server-closed\"", "side=\"" + side + "\""}));
}

// Pattern: a caller's call that a stop left open was cut without a trace.
BOOST_AUTO_TEST_CASE(AStopTellsItsStepsAndTheCallersCallsThatItCuts) {
  CheckStopThatCuts(kEntry, "entry", "caller_calls=\"1\"");
}

// Pattern: another daemon's call that a stop left open was cut without a trace.
BOOST_AUTO_TEST_CASE(AStopTellsItsStepsAndTheHopsThatItCuts) {
  CheckStopThatCuts(kDestination, "destination", "peer_calls=\"1\"");
}

// Pattern: a warning at each stop would hide the stops that cut requests.
BOOST_AUTO_TEST_CASE(AStopThatCutsNothingDoesNotWarn) {
  TracedMesh traced(std::chrono::seconds(60));
  ProcessMesh& mesh = traced.Mesh();
  mesh.Signal(kDestination, SIGTERM);
  mesh.Wait(kDestination);
  BOOST_TEST(mesh.LogLines(kDestination, {"E105", "step=\"end\""}).size() ==
             1u);
  BOOST_TEST(mesh.LogLines(kDestination, {"E106"}).empty());
  BOOST_TEST(mesh.LogLines(kDestination, {"E511"}).empty());
}

// The value of a metric's line, or -1.
double Value(const std::string& page, const std::string& name) {
  const size_t at = page.find("\n" + name + " ");
  return at == std::string::npos ? -1.0
                                 : std::stod(page.substr(at + name.size() + 2));
}

// Pattern: control hosts had no metrics, so whether one led, had contact or
// waited for its disk could be learned only by asking it by hand.
BOOST_AUTO_TEST_CASE(AControlHostHasAPageAndTellsWhatItRestored) {
  TracedMesh traced(std::chrono::seconds(60));
  ProcessMesh& mesh = traced.Mesh();
  const auto page = [&mesh] {
    return "\n" + mesh.Admin("control-1", "/metrics").body_;
  };
  BOOST_TEST(ProcessMesh::Await([&] {
    return Value(page(), "buckthorngate_source_revision") >= 1.0 &&
           Value(page(), "buckthorngate_relay_proxies") == 2.0;
  }));
  const std::string first = page();
  BOOST_TEST(Value(first, "buckthorngate_source_leader") == 1.0, first);
  BOOST_TEST(Value(first, "buckthorngate_source_commit_index") >= 1.0);
  BOOST_TEST(Value(first, "buckthorngate_source_members{kind=\"voter\"}") ==
             1.0);
  BOOST_TEST(Value(first, "buckthorngate_source_contact_age_seconds") >= 0.0);
  BOOST_TEST(Value(first, "buckthorngate_source_contact_age_seconds") < 5.0);
  BOOST_TEST(Value(first,
                   "buckthorngate_journal_sync_seconds_count{journal="
                   "\"source\"}") >= 1.0);
  // Upstreams do not announce themselves to a control host.
  BOOST_TEST(mesh.Admin("control-1", "/healthz").status_ == 200);
  BOOST_TEST(mesh.Admin("control-1", "/announce").status_ == 404);
  // Nothing to restore at the first start.
  BOOST_TEST(mesh.LogLines("control-1", {"E115"}).empty());
  mesh.Kill("control-1");
  mesh.Start("control-1");
  BOOST_TEST(
      traced.AwaitLine("control-1", {"E115 state-restored", "node=\"source-1\"",
                                     " number=\"1\"", "tail_cut=\"false\""}));
  BOOST_TEST(traced.AwaitLine(
      "control-1",
      {"E115 state-restored", "node=\"relay-1\"", "tail_cut=\"false\""}));
}

}  // namespace
}  // namespace buckthorngate::tests
