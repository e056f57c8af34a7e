// Hops between daemons as messages, and calls below a request.
#define BOOST_TEST_MODULE hop
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

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
#include "daemon/destination.h"
#include "daemon/hop.h"
#include "daemon/hop_codec.h"
#include "daemon/peer_client.h"
#include "http/server.h"
#include "loopback.h"
#include "request/call_tree.h"
#include "request/hop_headers.h"
#include "sent_hop.h"

namespace buckthorngate::tests {
namespace {

using request::Nesting;

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

daemon::HopRequest MakeRequest() {
  daemon::HopRequest request = MakeHopRequest();
  request.head_.headers_.Add("Accept", "text/plain");
  request.nested_ = true;
  request.priority_ = 2;
  request.deadline_ = AtMs(900);
  request.objective_ = AtMs(400);
  return request;
}

BOOST_AUTO_TEST_CASE(WhatTheDestinationDecidesByArrivesThere) {
  const http::RequestHead head =
      daemon::EncodeHopRequest(MakeRequest(), AtMs(100));
  const auto decoded = daemon::DecodeHopRequest(head, AtMs(5000));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->route_ == "main");
  BOOST_TEST(decoded->nested_);
  BOOST_TEST(decoded->priority_ == 2u);
  BOOST_TEST((decoded->deadline_ == AtMs(5800)));
  BOOST_TEST((decoded->objective_ == AtMs(5300)));
  // Nothing of it reaches the upstream.
  BOOST_TEST(decoded->head_.headers_.Find("Accept") == "text/plain");
  BOOST_TEST(!decoded->head_.headers_.Has(request::kRouteHeader));
  BOOST_TEST(!decoded->head_.headers_.Has(request::kNestedHeader));
}

BOOST_AUTO_TEST_CASE(AFirstRequestIsNotNested) {
  daemon::HopRequest request = MakeRequest();
  request.nested_ = false;
  const auto decoded = daemon::DecodeHopRequest(
      daemon::EncodeHopRequest(request, AtMs(100)), AtMs(100));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(!decoded->nested_);
}

BOOST_AUTO_TEST_CASE(AMessageWithoutItsAttemptIsRefused) {
  http::RequestHead head = daemon::EncodeHopRequest(MakeRequest(), AtMs(0));
  head.headers_.Erase(request::kAttemptHeader);
  BOOST_TEST((daemon::DecodeHopRequest(head, AtMs(0)).error() ==
              ResultCode::kMalformed));
}

// Pattern: calls of a request were refused like first requests, because their
// ids extend the request's id instead of repeating it.
BOOST_AUTO_TEST_CASE(CallsAreKnownByTheIdThatTheyRepeatOrExtend) {
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
  BOOST_TEST(tree.Take("p") == 2u);
  BOOST_TEST(tree.Take("q.r") == 3u);
  BOOST_TEST((tree.NestingOf("p.1") == Nesting::kNone));
}

// Guards against calls below a retry that are taken for first tries, where the
// upstream doesn't pass on the header that says so: they earned retries of
// their own, and the endpoints that they reached counted them as repeats.
BOOST_AUTO_TEST_CASE(CallsBelowARetryAreKnownWithoutAHeader) {
  request::CallTree tree;
  tree.Open("first", /*below_retry=*/false);
  tree.Open("again", /*below_retry=*/true);
  BOOST_TEST((tree.NestingOf("first.1") == Nesting::kCall));
  BOOST_TEST((tree.NestingOf("again") == Nesting::kCallBelowRetry));
  BOOST_TEST((tree.NestingOf("again.1") == Nesting::kCallBelowRetry));
  tree.Take("again");
  BOOST_TEST((tree.NestingOf("again.1") == Nesting::kNone));
}

// Pattern: quantiles of several daemons do not add up, so a slow host could not
// be seen on the whole mesh's page; a time on a bound belongs below it.
BOOST_AUTO_TEST_CASE(TimesAreCountedInCumulativeBuckets) {
  blackboard::Metrics metrics;
  metrics.NoteRequest(blackboard::CallSide::kEntry,
                      std::chrono::milliseconds(1));
  metrics.NoteRequest(blackboard::CallSide::kEntry,
                      std::chrono::milliseconds(30));
  metrics.NoteRequest(blackboard::CallSide::kEntry, std::chrono::minutes(2));
  metrics.NoteCall(std::chrono::milliseconds(30));
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

// Answers "/long" in pieces for 1.5 s, and all else after 1 s.
class SlowPeer : public http::Handler {
 public:
  SlowPeer() : server_(loop_, *this) {
    BOOST_REQUIRE((server_.Listen(address_) == ResultCode::kOk));
    loop_.Start();
  }
  ~SlowPeer() override {
    loop_.RunAndWait([this] { server_.Close(); });
    loop_.Stop();
  }

  // Takes no more connections; those that there are stay.
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

// A request to SlowPeer.
daemon::HopRequest RequestFor(const std::string& address,
                              const std::string& target) {
  daemon::HopRequest request = MakeRequest();
  request.head_.target_ = target;
  request.attempt_id_ = target;
  request.peer_address_ = address;
  request.repeatable_ = true;
  return request;
}

// Guards against a request that is broken off at a peer whose probes fail,
// though the answer to another request comes from it all the while.
BOOST_AUTO_TEST_CASE(APeerWhoseAnswersComeIsNotGivenUp) {
  SlowPeer peer;
  base::SystemClock clock;
  http::EventLoop loop;
  daemon::PeerClient client(clock, loop);
  constexpr base::Duration kLongTime = std::chrono::seconds(5);
  loop.Start();
  SentHop flowing(client, loop, RequestFor(peer.address_, "/long"), kLongTime);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  SentHop waiting(client, loop, RequestFor(peer.address_, "/late"), kLongTime);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  peer.RefuseConnections();
  waiting.ended_.get_future().wait();
  flowing.ended_.get_future().wait();
  BOOST_TEST((waiting.answer_.code_ == ResultCode::kOk));
  BOOST_TEST(waiting.answer_.body_ == "late");
  BOOST_TEST((flowing.answer_.code_ == ResultCode::kOk));
  loop.Stop();
}

// A destination beside SlowPeer as its upstream.
class DestinationOfSlowPeer {
 public:
  DestinationOfSlowPeer()
      : destination_("host",
                     dialect_,
                     clock_,
                     loop_,
                     board_,
                     [this](const std::string&, const rpc::CrashReport&) {
                       ++crashes_;
                     }) {
    daemon::UpstreamInfo info;
    info.endpoint_id_ = MakeRequest().endpoint_id_;
    info.address_ = peer_.address_;
    info.service_ = "a";
    info.slots_ = 4;
    destination_.SetUpstream(info);
    loop_.Start();
  }
  ~DestinationOfSlowPeer() { loop_.Stop(); }

  // Runs "/long", whose upstream refuses connections once it is at work.
  daemon::HopAnswer RunLong(base::Duration deadline,
                            base::Duration caller_leaves) {
    SentHop sent(destination_, loop_, RequestFor(peer_.address_, "/long"),
                 deadline);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    peer_.RefuseConnections();
    std::this_thread::sleep_for(caller_leaves);
    loop_.RunAndWait([&sent] { sent.cancel_.Raise(); });
    sent.ended_.get_future().wait();
    // It refers to the request.
    loop_.RunAndWait([&sent] { sent.answer_.upload_.reset(); });
    return sent.answer_;
  }
  int Crashes() const { return crashes_; }

 private:
  SlowPeer peer_;
  const request::Dialect dialect_;
  base::SystemClock clock_;
  http::EventLoop loop_;
  blackboard::Blackboard board_{1, base::MonoNow()};
  int crashes_ = 0;
  daemon::Destination destination_;
};

// Guards against an upstream that counts as crashed, and its request as the
// suspect, because its answer took longer than the request's time.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsTooLateIsNoCrash) {
  DestinationOfSlowPeer destination;
  const daemon::HopAnswer answer = destination.RunLong(
      std::chrono::milliseconds(500), std::chrono::milliseconds(1000));
  BOOST_TEST((answer.code_ == ResultCode::kDeadlineExceeded));
  BOOST_TEST(answer.reached_);
  BOOST_TEST(!answer.not_run_);
  BOOST_TEST(!answer.crashed_);
  BOOST_TEST(destination.Crashes() == 0);
}

// Guards against the same when the caller leaves within the answer.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesWithinAnAnswerIsNoCrash) {
  DestinationOfSlowPeer destination;
  const daemon::HopAnswer answer = destination.RunLong(
      std::chrono::seconds(5), std::chrono::milliseconds(100));
  BOOST_TEST((answer.code_ == ResultCode::kCallerGone));
  BOOST_TEST(!answer.crashed_);
  BOOST_TEST(destination.Crashes() == 0);
}

// Pattern: requests that ended without an answer were counted nowhere.
BOOST_AUTO_TEST_CASE(CutRequestsAreCountedBySideAndCause) {
  blackboard::Metrics metrics;
  metrics.CountCut(blackboard::CallSide::kEntry, "write-timed-out");
  metrics.CountCut(blackboard::CallSide::kEntry, "write-timed-out");
  metrics.CountCut(blackboard::CallSide::kDestination, "caller-left");
  const std::string page = metrics.Render();
  BOOST_TEST(page.find("buckthorngate_cut_requests_total{side=\"entry\","
                       "cause=\"write-timed-out\"} 2.") != std::string::npos,
             page);
  BOOST_TEST(page.find("buckthorngate_cut_requests_total{side=\"destination\","
                       "cause=\"caller-left\"} 1.") != std::string::npos,
             page);
}

constexpr size_t kEarlyBytes = size_t{1} << 20;

// Answers once it has some of a body, and reads on.
void AnswerEarly(int listener) {
  const int file = accept(listener, nullptr, nullptr);
  std::vector<char> buffer(size_t{64} * 1024);
  (void)recv(file, buffer.data(), buffer.size(), 0);
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kEarlyBytes) +
      "\r\n\r\n" + std::string(kEarlyBytes, 'x');
  (void)send(file, answer.data(), answer.size(), MSG_NOSIGNAL);
  while (recv(file, buffer.data(), buffer.size(), 0) > 0) {
  }
  close(file);
}

// Passes an upload on, and its answer back, as both kinds of hops do.
class UploadHandler : public http::Handler {
 public:
  UploadHandler(http::EventLoop& loop, std::string address)
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
    daemon::HopAnswer answer =
        co_await daemon::CollectAnswer(exchange, *head, /*without_body=*/false);
    co_await daemon::SendAnswer(call, answer);
    co_await daemon::FinishUpload(call, answer);
  }

 private:
  http::EventLoop& loop_;
  http::ConnectionPool pool_;
  const std::string address_;
};

// Sends a body of `pieces` in 2 s and only then reads; the bytes that came.
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

// Guards against an answer that is lost at a caller that sends all of its body
// before it reads: its connection was reset 0.5 s after the answer was written.
BOOST_AUTO_TEST_CASE(ACallerThatUploadsOnPastItsAnswerGetsItWhole) {
  int upstream_port = 0;
  const int listener = ListenAnywhere(upstream_port);
  std::thread upstream([listener] { AnswerEarly(listener); });
  http::EventLoop loop;
  UploadHandler handler(loop, "127.0.0.1:" + std::to_string(upstream_port));
  http::Server server(loop, handler);
  const int port = FreePort();
  BOOST_REQUIRE(
      (server.Listen("127.0.0.1:" + std::to_string(port)) == ResultCode::kOk));
  loop.Start();
  BOOST_TEST(UploadThenRead(port, 100) >= kEarlyBytes);
  CloseServer(loop, server);
  loop.Stop();
  upstream.join();
  close(listener);
}

}  // namespace
}  // namespace buckthorngate::tests
