// Hops between daemons: encoding, nested calls, metrics, failure detection and
// uploads.
#define BOOST_TEST_MODULE hop
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "blackboard/blackboard.h"
#include "blackboard/metrics.h"
#include "close_server.h"
#include "daemon/serving/destination.h"
#include "daemon/serving/hop.h"
#include "daemon/serving/hop_codec.h"
#include "daemon/serving/peer_client.h"
#include "http/server.h"
#include "loopback.h"
#include "request/call_tree.h"
#include "request/hop_headers.h"
#include "sent_hop.h"

namespace buckthorngate::tests {
namespace {

using request::Nesting;

base::MonoTime TimeAtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

daemon::serving::HopRequest MakeRequest() {
  daemon::serving::HopRequest request = MakeHopRequest();
  request.head_.headers_.Add("Accept", "text/plain");
  request.nested_ = true;
  request.priority_ = 2;
  request.deadline_ = TimeAtMs(900);
  request.objective_ = TimeAtMs(400);
  return request;
}

BOOST_AUTO_TEST_CASE(AdmissionFieldsSurviveEncodingAndDecoding) {
  const http::RequestHead head =
      daemon::serving::EncodeHopRequest(MakeRequest(), TimeAtMs(100));
  const auto decoded = daemon::serving::DecodeHopRequest(head, TimeAtMs(5000));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->route_ == "main");
  BOOST_TEST(decoded->nested_);
  BOOST_TEST(decoded->priority_ == 2u);
  BOOST_TEST((decoded->deadline_ == TimeAtMs(5800)));
  BOOST_TEST((decoded->objective_ == TimeAtMs(5300)));
  // The headers between daemons are not passed to the upstream.
  BOOST_TEST(decoded->head_.headers_.Find("Accept") == "text/plain");
  BOOST_TEST(!decoded->head_.headers_.Has(request::kRouteHeader));
  BOOST_TEST(!decoded->head_.headers_.Has(request::kNestedHeader));
}

BOOST_AUTO_TEST_CASE(ATopLevelRequestIsNotNested) {
  daemon::serving::HopRequest request = MakeRequest();
  request.nested_ = false;
  const auto decoded = daemon::serving::DecodeHopRequest(
      daemon::serving::EncodeHopRequest(request, TimeAtMs(100)), TimeAtMs(100));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(!decoded->nested_);
}

BOOST_AUTO_TEST_CASE(AMessageWithoutAnAttemptIdIsRejected) {
  http::RequestHead head =
      daemon::serving::EncodeHopRequest(MakeRequest(), TimeAtMs(0));
  head.headers_.Erase(request::kAttemptHeader);
  BOOST_TEST((daemon::serving::DecodeHopRequest(head, TimeAtMs(0)).error() ==
              ResultCode::kMalformed));
}

// Guards against nested calls that are refused like top-level requests, because
// their ids extend the request's id instead of repeating it.
BOOST_AUTO_TEST_CASE(NestedCallsAreMatchedByEqualOrExtendedRequestId) {
  request::CallTree tree;
  tree.Open("p", /*below_retry=*/false);
  tree.Open("q.r", /*below_retry=*/false);
  BOOST_TEST((tree.NestingOf("p") == Nesting::kCall));
  BOOST_TEST((tree.NestingOf("p.1") == Nesting::kCall));
  BOOST_TEST((tree.NestingOf("q.r") == Nesting::kCall));
  BOOST_TEST((tree.NestingOf("q.r.1") == Nesting::kCall));
  BOOST_TEST((tree.NestingOf("p.1.2") == Nesting::kNone));
  BOOST_TEST((tree.NestingOf("q") == Nesting::kNone));
  BOOST_TEST((tree.NestingOf("pp") == Nesting::kNone));
  tree.Add("p.1", 2);
  tree.Add("q.r", 3);
  tree.Add("unknown", 4);
  BOOST_TEST(tree.Close("p") == 2u);
  BOOST_TEST(tree.Close("q.r") == 3u);
  BOOST_TEST((tree.NestingOf("p.1") == Nesting::kNone));
}

// Guards against calls below a retry that count as first attempts because the
// upstream doesn't forward the header that marks them: they added to the retry
// budget, while the endpoints that they reached counted them as repeats.
BOOST_AUTO_TEST_CASE(CallsBelowARetryAreDetectedWithoutTheHeader) {
  request::CallTree tree;
  tree.Open("first", /*below_retry=*/false);
  tree.Open("again", /*below_retry=*/true);
  BOOST_TEST((tree.NestingOf("first.1") == Nesting::kCall));
  BOOST_TEST((tree.NestingOf("again") == Nesting::kCallBelowRetry));
  BOOST_TEST((tree.NestingOf("again.1") == Nesting::kCallBelowRetry));
  tree.Close("again");
  BOOST_TEST((tree.NestingOf("again.1") == Nesting::kNone));
}

// Latencies are exported as histograms, because quantiles of several daemons
// cannot be aggregated and would hide a slow host in the view of the whole
// mesh. A value equal to a bucket's bound belongs to that bucket.
BOOST_AUTO_TEST_CASE(TimesAreCountedInCumulativeBuckets) {
  blackboard::Metrics metrics;
  metrics.RecordRequestDuration(blackboard::CallSide::kEntry,
                                std::chrono::milliseconds(1));
  metrics.RecordRequestDuration(blackboard::CallSide::kEntry,
                                std::chrono::milliseconds(30));
  metrics.RecordRequestDuration(blackboard::CallSide::kEntry,
                                std::chrono::minutes(2));
  metrics.RecordCallLatency(std::chrono::milliseconds(30));
  const std::string page = metrics.Render();
  const auto has = [&page](const std::string& line) {
    return page.find(line + "\n") != std::string::npos;
  };
  const std::string entry =
      "buckthorngate_request_seconds_bucket{side=\"entry\",";
  BOOST_TEST(has(entry + "le=\"0.001000\"} 1"), page);
  BOOST_TEST(has(entry + "le=\"0.025000\"} 1"), page);
  BOOST_TEST(has(entry + "le=\"0.050000\"} 2"), page);
  BOOST_TEST(has(entry + "le=\"30.000000\"} 2"), page);
  BOOST_TEST(has(entry + "le=\"+Inf\"} 3"), page);
  BOOST_TEST(has("buckthorngate_request_seconds_count{side=\"entry\"} 3"),
             page);
  BOOST_TEST(has("buckthorngate_request_seconds_count{side=\"destination\"} 0"),
             page);
  BOOST_TEST(has("buckthorngate_call_seconds_bucket{le=\"0.050000\"} 1"), page);
  BOOST_TEST(has("buckthorngate_call_seconds_max 0.030000"), page);
}

// A server that streams its answer to "/long" for 1.5 s and answers all other
// paths after 1 s.
class SlowServer : public http::Handler {
 public:
  SlowServer() : server_(loop_, *this) {
    BOOST_REQUIRE((server_.Listen(address_) == ResultCode::kOk));
    loop_.Start();
  }
  ~SlowServer() override {
    loop_.RunAndWait([this] { server_.Close(); });
    loop_.Stop();
  }

  // Accepts no more connections; existing ones stay open.
  void RefuseConnections() {
    loop_.RunAndWait([this] { server_.Drain(); });
  }

  http::Task<void> Handle(http::ServerCall& call) override {
    http::AnswerHead head;
    head.status_ = 200;
    head.headers_.Add(request::kAttemptHeader,
                      call.Head().headers_.Find(request::kAttemptHeader));
    if (call.Head().target_ != "/long") {
      co_await http::Sleep(loop_.Context(), std::chrono::seconds(1));
      co_await call.Answer(head, "late");
      co_return;
    }
    bool sent = co_await call.Begin(head, std::nullopt);
    for (int piece = 0; sent && piece < 30; ++piece) {
      co_await http::Sleep(loop_.Context(), std::chrono::milliseconds(50));
      sent = co_await call.Write("piece");
    }
    co_await call.Finish();
  }

  const std::string address_ = "127.0.0.1:" + std::to_string(FreePort());

 private:
  http::EventLoop loop_;
  http::Server server_;
};

// A request to SlowServer.
daemon::serving::HopRequest MakeRequestTo(const std::string& address,
                                          const std::string& target) {
  daemon::serving::HopRequest request = MakeRequest();
  request.head_.target_ = target;
  request.attempt_id_ = target;
  request.peer_address_ = address;
  request.repeatable_ = true;
  return request;
}

// Guards against finding a peer unreachable whose probes fail while the answer
// to another request is still arriving from it.
BOOST_AUTO_TEST_CASE(APeerWithArrivingAnswersIsNotUnreachable) {
  SlowServer peer;
  base::SystemClock clock;
  http::EventLoop loop;
  daemon::serving::PeerClient client(clock, loop);
  constexpr base::Duration kLongTime = std::chrono::seconds(5);
  loop.Start();
  std::atomic<int> unreachable_notices{0};
  daemon::serving::HopRequest late = MakeRequestTo(peer.address_, "/late");
  late.on_peer_unreachable_ = [&unreachable_notices] { ++unreachable_notices; };
  SentHop streaming(client, loop, MakeRequestTo(peer.address_, "/long"),
                    kLongTime);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  SentHop waiting(client, loop, late, kLongTime);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  peer.RefuseConnections();
  waiting.ended_.get_future().wait();
  streaming.ended_.get_future().wait();
  BOOST_TEST(unreachable_notices == 0);
  BOOST_TEST((waiting.answer_.code_ == ResultCode::kOk));
  BOOST_TEST(waiting.answer_.body_ == "late");
  BOOST_TEST((streaming.answer_.code_ == ResultCode::kOk));
  loop.Stop();
}

// A destination with SlowServer as its upstream.
class DestinationWithSlowUpstream {
 public:
  DestinationWithSlowUpstream()
      : destination_("host",
                     dialect_,
                     clock_,
                     loop_,
                     board_,
                     [this](const std::string&, const rpc::CrashReport&) {
                       ++crashes_;
                     }) {
    daemon::serving::UpstreamInfo info;
    info.endpoint_id_ = MakeRequest().endpoint_id_;
    info.address_ = peer_.address_;
    info.service_ = "a";
    info.slots_ = 4;
    destination_.SetUpstream(info);
    loop_.Start();
  }
  ~DestinationWithSlowUpstream() { loop_.Stop(); }

  // Requests "/long"; the upstream refuses new connections once it runs.
  daemon::serving::HopAnswer RunLong(base::Duration deadline,
                                     base::Duration caller_leaves_after) {
    SentHop sent(destination_, loop_, MakeRequestTo(peer_.address_, "/long"),
                 deadline);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    peer_.RefuseConnections();
    std::this_thread::sleep_for(caller_leaves_after);
    loop_.RunAndWait([&sent] { sent.cancel_.Raise(); });
    sent.ended_.get_future().wait();
    // The upload refers to the request, which ends here.
    loop_.RunAndWait([&sent] { sent.answer_.upload_.reset(); });
    return sent.answer_;
  }
  int Crashes() const { return crashes_; }

 private:
  SlowServer peer_;
  const request::Dialect dialect_;
  base::SystemClock clock_;
  http::EventLoop loop_;
  blackboard::Blackboard board_{1, base::MonoNow()};
  int crashes_ = 0;
  daemon::serving::Destination destination_;
};

// Guards against an upstream that is considered crashed, and its request the
// suspect, because the answer took longer than the request's deadline.
BOOST_AUTO_TEST_CASE(AnExceededDeadlineIsNotACrash) {
  DestinationWithSlowUpstream destination;
  const daemon::serving::HopAnswer answer = destination.RunLong(
      std::chrono::milliseconds(500), std::chrono::milliseconds(1000));
  BOOST_TEST((answer.code_ == ResultCode::kDeadlineExceeded));
  BOOST_TEST(answer.reached_);
  BOOST_TEST(!answer.not_run_);
  BOOST_TEST(!answer.crashed_);
  BOOST_TEST(destination.Crashes() == 0);
}

// Guards against the same when the caller disconnects during the answer.
BOOST_AUTO_TEST_CASE(ACallerDisconnectDuringTheAnswerIsNotACrash) {
  DestinationWithSlowUpstream destination;
  const daemon::serving::HopAnswer answer = destination.RunLong(
      std::chrono::seconds(5), std::chrono::milliseconds(100));
  BOOST_TEST((answer.code_ == ResultCode::kCallerGone));
  BOOST_TEST(!answer.crashed_);
  BOOST_TEST(destination.Crashes() == 0);
}

// Guards against requests that end without an answer and are not counted.
BOOST_AUTO_TEST_CASE(CutRequestsAreCountedBySideAndCause) {
  blackboard::Metrics metrics;
  metrics.CountAbortedRequest(blackboard::CallSide::kEntry, "write-timed-out");
  metrics.CountAbortedRequest(blackboard::CallSide::kEntry, "write-timed-out");
  metrics.CountAbortedRequest(blackboard::CallSide::kDestination,
                              "caller-left");
  const std::string page = metrics.Render();
  BOOST_TEST(page.find("buckthorngate_cut_requests_total{side=\"entry\","
                       "cause=\"write-timed-out\"} 2.") != std::string::npos,
             page);
  BOOST_TEST(page.find("buckthorngate_cut_requests_total{side=\"destination\","
                       "cause=\"caller-left\"} 1.") != std::string::npos,
             page);
}

constexpr size_t kEarlyAnswerBytes = size_t{1} << 20;

// Sends the answer after reading a part of the body, then reads the rest.
void AnswerEarly(int listener) {
  const int fd = accept(listener, nullptr, nullptr);
  std::vector<char> buffer(size_t{64} * 1024);
  (void)recv(fd, buffer.data(), buffer.size(), 0);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(kEarlyAnswerBytes) + "\r\n\r\n" +
                             std::string(kEarlyAnswerBytes, 'x');
  (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
  while (recv(fd, buffer.data(), buffer.size(), 0) > 0) {
  }
  close(fd);
}

// Forwards an upload and its answer, as local and remote hops do.
class ForwardingHandler : public http::Handler {
 public:
  ForwardingHandler(http::EventLoop& loop, std::string address)
      : loop_(loop), pool_(loop, {}), address_(std::move(address)) {}

  http::Task<void> Handle(http::ServerCall& call) override {
    const base::MonoTime deadline = base::MonoNow() + std::chrono::seconds(20);
    const auto connection =
        co_await pool_.Take(address_, deadline, call.Gone());
    const std::shared_ptr<http::Exchange> exchange =
        std::make_shared<http::Exchange>(pool_, *connection, call.Gone());
    const std::function<bool(const http::AnswerHead&)> matches_request =
        [](const http::AnswerHead&) { return true; };
    const std::string first;
    auto head = co_await exchange->RunStreamed(loop_, call.Head(), first, call,
                                               deadline, matches_request);
    daemon::serving::HopAnswer answer = co_await daemon::serving::CollectAnswer(
        exchange, *head, /*without_body=*/false);
    co_await daemon::serving::SendAnswer(call, answer);
    co_await daemon::serving::FinishUpload(call, answer);
  }

 private:
  http::EventLoop& loop_;
  http::ConnectionPool pool_;
  const std::string address_;
};

// Sends a body of `pieces` pieces within 2 s and only then reads; returns the
// number of bytes received.
size_t UploadThenRead(int port, int pieces) {
  RawSocket caller(port, /*receive_bytes=*/16 * 1024);
  const std::string piece(4096, 'y');
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
      std::to_string(piece.size() * static_cast<size_t>(pieces)) + "\r\n\r\n";
  caller.Send(head);
  for (int i = 0; i < pieces; ++i) {
    caller.Send(piece);
    std::this_thread::sleep_for(std::chrono::milliseconds(2000) / pieces);
  }
  return caller.CountAll();
}

// Guards against losing the answer to a caller that sends its whole body before
// it reads: its connection was reset 0.5 s after the answer was written.
BOOST_AUTO_TEST_CASE(ACallerThatSendsItsWholeBodyFirstGetsTheWholeAnswer) {
  int upstream_port = 0;
  const int listener = ListenAnywhere(upstream_port);
  std::thread upstream([listener] { AnswerEarly(listener); });
  http::EventLoop loop;
  ForwardingHandler handler(loop, "127.0.0.1:" + std::to_string(upstream_port));
  http::Server server(loop, handler);
  const int port = FreePort();
  BOOST_REQUIRE(
      (server.Listen("127.0.0.1:" + std::to_string(port)) == ResultCode::kOk));
  loop.Start();
  BOOST_TEST(UploadThenRead(port, 100) >= kEarlyAnswerBytes);
  CloseServer(loop, server);
  loop.Stop();
  upstream.join();
  close(listener);
}

}  // namespace
}  // namespace buckthorngate::tests
