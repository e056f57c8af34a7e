// The HTTP server on the event loop, against raw sockets: framing, pipelining,
// limits, callers that leave.
#define BOOST_TEST_MODULE http
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "close_server.h"
#include "http/server.h"
#include "loopback.h"

namespace buckthorngate::tests {
namespace {

// Echoes the target; "/slow" waits until its caller has left.
class EchoHandler : public http::Handler {
 public:
  explicit EchoHandler(http::EventLoop& loop) : loop_(loop) {}

  http::Task<void> Handle(http::ServerCall& call) override {
    ++calls_;
    if (call.Head().target_ == "/refused") {
      http::AnswerHead head;
      head.status_ = 503;
      co_await call.Answer(head, "");
      co_return;
    }
    std::string body;
    const http::BodyState state = co_await http::ReadUpTo(call, body, 1 << 20);
    if (state != http::BodyState::kEnd) {
      co_return;
    }
    if (call.Head().target_ == "/slow") {
      http::Notifier gone(loop_);
      const http::CancelScope scope(call.Gone(), [&gone] { gone.Notify(); });
      co_await gone.Wait(std::chrono::time_point_cast<base::Duration>(
          std::chrono::steady_clock::now() + std::chrono::seconds(3)));
      left_ += call.Gone().Raised() ? 1 : 0;
    }
    http::AnswerHead head;
    head.status_ = 200;
    const std::string answer = "<" + call.Head().target_ + body + ">";
    co_await call.Answer(head, answer);
  }

  std::atomic<int> calls_{0};
  std::atomic<int> left_{0};

 private:
  http::EventLoop& loop_;
};

class ServedEcho {
 public:
  explicit ServedEcho(const http::ServerLimits& limits = {})
      : handler_(loop_), server_(loop_, handler_), port_(FreePort()) {
    server_.SetLimits(limits);
    BOOST_REQUIRE((server_.Listen("127.0.0.1:" + std::to_string(port_)) ==
                   ResultCode::kOk));
    loop_.Start();
  }
  ~ServedEcho() {
    CloseServer(loop_, server_);
    loop_.Stop();
  }
  std::string Exchange(const std::string& bytes) {
    RawSocket caller(port_);
    caller.Send(bytes);
    return caller.ReadAll();
  }
  EchoHandler& Handler() { return handler_; }
  int Port() const { return port_; }

 private:
  http::EventLoop loop_;
  EchoHandler handler_;
  http::Server server_;
  const int port_;
};

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAllAnsweredInOrder) {
  ServedEcho served;
  const std::string answers = served.Exchange(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const size_t first = answers.find("</1>");
  const size_t second = answers.find("</2>");
  const size_t third = answers.find("</3>");
  BOOST_REQUIRE(third != std::string::npos);
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
}

BOOST_AUTO_TEST_CASE(MalformedRequestsAreRefusedAndNotHandled) {
  std::string many;
  for (int i = 0; i < 10'000; ++i) {
    many += "X-H-" + std::to_string(i) + ": v\r\n";
  }
  struct Bad {
    std::string bytes_;
    std::string status_;
  };
  const std::string chunk = "5\r\nhello\r\n0\r\n\r\n";
  const Bad bads[] = {
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
       "Transfer-Encoding: chunked\r\n\r\n" +
           chunk,
       "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 5\r\n\r\n" +
           chunk,
       "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
       "Content-Length: 6\r\n\r\nhello!",
       "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\nhell", "400"},
      {"GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "400"},
      {"GET /a HTTP/1.1\r\nHost: h\r\n" + many + "\r\n", "431"},
      {"bad\r\n\r\n", "400"},
  };
  for (const Bad& bad : bads) {
    ServedEcho served;
    const std::string answer = served.Exchange(bad.bytes_);
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 " + bad.status_,
               bad.bytes_.substr(0, 120) << " gave " << answer.substr(0, 40));
    BOOST_TEST(served.Handler().calls_ == 0);
  }
}

std::string ChunkedRequest(const std::string& trailer) {
  return "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nhello\r\n0\r\n" +
         trailer + "\r\n";
}

// Lines of which each is longer than a field of the parser can be.
const std::string kLongValue = "x: " + std::string(70'000, 'y') + "\r\n";
const std::string kLongName = std::string(70'000, 'x') + ": y\r\n";
const std::string kLongestValue = "x: " + std::string(65'534, 'y') + "\r\n";

// Guards against a daemon that ends by a caller's long line behind the last
// chunk, at the default limits: such a request is refused, and others are
// served.
BOOST_AUTO_TEST_CASE(LongTrailersAreRefused) {
  std::string many;
  for (int i = 0; i < 2'000; ++i) {
    many += "x: yyyyyyyy\r\n";
  }
  ServedEcho served;
  for (const std::string& trailer :
       {kLongValue, kLongName, kLongestValue, many,
        "x: " + std::string(17'000, 'y') + "\r\n"}) {
    const std::string answer = served.Exchange(ChunkedRequest(trailer));
    BOOST_TEST(answer.starts_with("HTTP/1.1 431 "),
               trailer.substr(0, 20) << " gave " << answer.substr(0, 40));
    // In pieces, so that it is read by more than one handler.
    RawSocket slow(served.Port());
    const std::string request = ChunkedRequest(trailer);
    slow.Send(request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    slow.Send(request.substr(request.size() / 2));
    BOOST_TEST(slow.ReadAll().starts_with("HTTP/1.1 431 "));
    BOOST_TEST(served
                   .Exchange("GET /1 HTTP/1.1\r\nHost: h\r\n"
                             "Connection: close\r\n\r\n")
                   .find("</1>") != std::string::npos);
  }
  // A trailer within the limit belongs to a whole request.
  RawSocket caller(served.Port());
  caller.Send(ChunkedRequest("x: " + std::string(10'000, 'y') + "\r\n"));
  BOOST_TEST(caller.ReadUntil("</chello>").starts_with("HTTP/1.1 200 "));
  caller.Send(ChunkedRequest(""));
  BOOST_TEST(caller.ReadUntil("</chello>").starts_with("HTTP/1.1 200 "));
}

// Guards against a daemon that ends by a long field in a head, once the limit
// on heads is higher than what a field can hold: as the first request of a
// connection, and behind one that is still handled.
BOOST_AUTO_TEST_CASE(LongFieldsInHeadsAreRefused) {
  http::ServerLimits limits;
  limits.header_bytes_ = size_t{128} * 1024;
  limits.pipelined_calls_ = http::kMaxPipelinedCalls;
  ServedEcho served(limits);
  for (const std::string& field : {kLongValue, kLongName, kLongestValue}) {
    const std::string request =
        "GET /long HTTP/1.1\r\nHost: h\r\n" + field + "\r\n";
    const std::string first = served.Exchange(request);
    BOOST_TEST(first.starts_with("HTTP/1.1 431 "), first.substr(0, 40));
    RawSocket caller(served.Port());
    caller.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    caller.Send(request);
    const std::string both = caller.ReadAll();
    BOOST_TEST(both.starts_with("HTTP/1.1 200 "), both.substr(0, 40));
    BOOST_TEST(both.find("HTTP/1.1 431 ") != std::string::npos);
  }
  // As long as a field can be.
  const std::string longest = served.Exchange(
      "GET /longest HTTP/1.1\r\nHost: h\r\nConnection: close\r\nx: " +
      std::string(65'000, 'y') + "\r\n\r\n");
  BOOST_TEST(longest.starts_with("HTTP/1.1 200 "), longest.substr(0, 40));
}

BOOST_AUTO_TEST_CASE(ChunkedBodiesAndContinueAreRead) {
  ServedEcho served;
  const std::string answer = served.Exchange(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Expect: 100-continue\r\nConnection: close\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n");
  BOOST_TEST(answer.find("100 Continue") != std::string::npos);
  BOOST_TEST(answer.find("</chello>") != std::string::npos);
}

// Guards against callers that are asked for a body which nobody wants: a
// request that is refused on its head gets the refusal only, and its connection
// is closed, since a body may follow or not.
BOOST_AUTO_TEST_CASE(ACallerThatIsRefusedIsNotAskedForItsBody) {
  ServedEcho served;
  RawSocket caller(served.Port());
  caller.Send(
      "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"
      "Expect: 100-continue\r\n\r\n");
  const std::string answer = caller.ReadAll();
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer.substr(0, 40));
  BOOST_TEST(answer.find("100 Continue") == std::string::npos);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesIsNoticedAtOnce) {
  ServedEcho served;
  RawSocket caller(served.Port());
  caller.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  caller.Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(served.Handler().left_ == 1);
}

// Ends requests in each way that leaves a caller without a whole answer. The
// target says which.
class CuttingHandler : public http::Handler {
 public:
  explicit CuttingHandler(http::EventLoop& loop) : loop_(loop) {}

  http::Task<void> Handle(http::ServerCall& call) override {
    ++began_;
    call.SetId("id" + call.Head().target_);
    const std::string what = call.Head().target_;
    http::AnswerHead head;
    head.status_ = 200;
    if (what == "/whole") {
      co_await call.Answer(head, "whole");
    } else if (what == "/throws") {
      throw std::runtime_error("thrown here");
    } else if (what == "/waits") {
      co_await Wait(call);
    } else if (what == "/answers-late") {
      co_await Wait(call);
      co_await call.Answer(head, "late");
    } else if (what == "/breaks-off") {
      co_await call.Begin(head, kAnnounced);
      co_await call.Write(kPart);
      call.NoteBodyFailure("the source ended");
    } else if (what == "/floods") {
      const std::string piece(http::kPieceBytes, 'x');
      bool sent = co_await call.Begin(head, kFlood);
      while (sent) {
        sent = co_await call.Write(piece);
      }
    } else if (what == "/long") {
      const std::string piece(http::kPieceBytes, 'x');
      co_await call.Begin(head, kFlood);
      bool sent = true;
      for (uint64_t at = 0; sent && at < kFlood; at += piece.size()) {
        sent = co_await call.Write(piece);
      }
      co_await call.Finish();
    } else if (what == "/floods-at-once") {
      const std::string body(kFlood, 'x');
      co_await call.Answer(head, body);
    }
  }

  std::atomic<int> began_{0};

  static constexpr uint64_t kAnnounced = 10;
  static constexpr std::string_view kPart = "part";
  // More than the sockets' buffers hold.
  static constexpr uint64_t kFlood = uint64_t{64} << 20;

 private:
  http::Task<void> Wait(http::ServerCall& call) {
    http::Notifier gone(loop_);
    const http::CancelScope scope(call.Gone(), [&gone] { gone.Notify(); });
    const base::MonoTime until = base::MonoNow() + std::chrono::seconds(3);
    co_await gone.Wait(until);
  }

  http::EventLoop& loop_;
};

class CutRecorder {
 public:
  explicit CutRecorder(
      base::Duration write_timeout = std::chrono::milliseconds(300))
      : handler_(loop_), server_(loop_, handler_), port_(FreePort()) {
    BOOST_REQUIRE((server_.Listen("127.0.0.1:" + std::to_string(port_)) ==
                   ResultCode::kOk));
    http::ServerLimits limits;
    limits.write_timeout_ = write_timeout;
    server_.SetLimits(limits);
    server_.OnCut([this](const http::CutCall& call) { cuts_.push_back(call); });
    loop_.Start();
  }
  ~CutRecorder() {
    Close();
    loop_.Stop();
  }
  void Close() { CloseServer(loop_, server_); }
  std::vector<http::CutCall> Told() {
    std::vector<http::CutCall> cuts;
    loop_.RunAndWait([&] { cuts = cuts_; });
    return cuts;
  }
  // Those that were told by the time that there are `count`, or 3 s have gone.
  std::vector<http::CutCall> Await(size_t count) {
    std::vector<http::CutCall> cuts;
    const base::MonoTime until = base::MonoNow() + std::chrono::seconds(3);
    while (cuts.size() < count && base::MonoNow() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      loop_.RunAndWait([&] { cuts = cuts_; });
    }
    return cuts;
  }
  // The one cut of a request for `target`, whose caller then does `then`.
  http::CutCall CutOf(const std::string& target,
                      const std::function<void(RawSocket&)>& then) {
    RawSocket caller(port_);
    caller.Send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    const base::MonoTime until = base::MonoNow() + std::chrono::seconds(3);
    while (handler_.began_ == 0 && base::MonoNow() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    BOOST_REQUIRE(handler_.began_ == 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    then(caller);
    const std::vector<http::CutCall> cuts = Await(1);
    BOOST_REQUIRE(cuts.size() == 1u);
    BOOST_TEST(cuts[0].id_ == "id" + target);
    return cuts[0];
  }
  int Port() const { return port_; }
  size_t OpenCalls() {
    size_t open = 0;
    loop_.RunAndWait([&] { open = server_.OpenCalls(); });
    return open;
  }

 private:
  http::EventLoop loop_;
  CuttingHandler handler_;
  http::Server server_;
  std::vector<http::CutCall> cuts_;
  const int port_;
};

void DoNothing(RawSocket&) {}

// Pattern: a request ended without an answer, and nothing told why.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesWhileItWaitsIsTold) {
  CutRecorder recorder;
  const http::CutCall cut =
      recorder.CutOf("/waits", [](RawSocket& caller) { caller.Close(); });
  BOOST_TEST(NameOf(cut.cause_) == "caller-left");
  BOOST_TEST(NameOf(cut.stage_) == "waiting");
  BOOST_TEST(cut.detail_ == "closed");
  BOOST_TEST(!cut.answered_after_);
  BOOST_TEST((cut.since_read_ >= std::chrono::milliseconds(50)));
}

// Pattern: an answer that was written after its caller had left counted as
// whole, and nothing told that nobody had got it.
BOOST_AUTO_TEST_CASE(AnAnswerAfterItsCallerLeftIsTold) {
  CutRecorder recorder;
  const http::CutCall cut = recorder.CutOf(
      "/answers-late", [](RawSocket& caller) { caller.Close(); });
  BOOST_TEST(NameOf(cut.cause_) == "caller-left");
  BOOST_TEST(cut.answered_after_);
}

// Pattern: a request ended without an answer, and nothing told why.
BOOST_AUTO_TEST_CASE(AResetAmidstABodyIsToldWithWhatWasSent) {
  CutRecorder recorder;
  const http::CutCall cut =
      recorder.CutOf("/floods", [](RawSocket& caller) { caller.Reset(); });
  const std::string cause(NameOf(cut.cause_));
  BOOST_TEST((cause == "write-failed" || cause == "caller-left"), cause);
  BOOST_TEST(!cut.detail_.empty());
  BOOST_TEST(NameOf(cut.stage_) == "body");
  BOOST_TEST(cut.body_sent_ > 0u);
  BOOST_TEST(cut.body_sent_ < CuttingHandler::kFlood);
  BOOST_TEST(cut.body_length_.value_or(0) == CuttingHandler::kFlood);
}

// Pattern: a caller that took nothing of its answer was given up silently.
BOOST_AUTO_TEST_CASE(AWriteThatTimesOutIsTold) {
  for (const char* const target : {"/floods", "/floods-at-once"}) {
    CutRecorder recorder;
    const http::CutCall cut = recorder.CutOf(target, DoNothing);
    BOOST_TEST(NameOf(cut.cause_) == "write-timed-out");
    BOOST_TEST(NameOf(cut.stage_) == "body");
    BOOST_TEST(cut.status_ == 200);
    BOOST_TEST(cut.body_sent_ > 0u);
    BOOST_TEST(cut.body_sent_ < CuttingHandler::kFlood);
    BOOST_TEST(cut.body_length_.value_or(0) == CuttingHandler::kFlood);
  }
}

// Guards against an answer that is cut at a caller that pauses: the kernel gave
// the connection up before the write time-out was over.
BOOST_AUTO_TEST_CASE(ACallerThatPausesWithinTheWriteTimeoutGetsItsWholeAnswer) {
  CutRecorder recorder(http::ServerLimits().write_timeout_);
  RawSocket caller(recorder.Port());
  caller.Send("GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::seconds(8));
  BOOST_TEST(caller.CountAll() >= CuttingHandler::kFlood);
  BOOST_TEST(recorder.Told().empty());
}

// Pattern: a body that broke off at its source closed the connection, and
// nothing told why.
BOOST_AUTO_TEST_CASE(ABodyThatBreaksOffIsTold) {
  CutRecorder recorder;
  const http::CutCall cut = recorder.CutOf("/breaks-off", DoNothing);
  BOOST_TEST(NameOf(cut.cause_) == "body-broke-off");
  BOOST_TEST(cut.detail_ == "the source ended");
  BOOST_TEST(cut.body_sent_ == CuttingHandler::kPart.size());
  BOOST_TEST(cut.body_length_.value_or(0) == CuttingHandler::kAnnounced);
}

// Pattern: requests that were open when the process ended left no trace.
BOOST_AUTO_TEST_CASE(ARequestThatIsOpenWhenTheServerClosesIsTold) {
  CutRecorder recorder;
  const http::CutCall cut =
      recorder.CutOf("/waits", [&](RawSocket&) { recorder.Close(); });
  BOOST_TEST(NameOf(cut.cause_) == "server-closed");
  BOOST_TEST(NameOf(cut.stage_) == "waiting");
}

// Pattern: after an exception the call stayed counted as open, and the line of
// the exception did not name the request.
BOOST_AUTO_TEST_CASE(AHandlerThatFailsIsToldAndItsCallEnds) {
  CutRecorder recorder;
  const http::CutCall cut = recorder.CutOf("/throws", DoNothing);
  BOOST_TEST(NameOf(cut.cause_) == "handler-failed");
  BOOST_TEST(cut.detail_ == "thrown here");
  BOOST_TEST(recorder.OpenCalls() == 0u);
}

// Pattern: a request ended without an answer, and nothing told why.
BOOST_AUTO_TEST_CASE(AHandlerThatAnswersNothingIsTold) {
  CutRecorder recorder;
  const http::CutCall cut = recorder.CutOf("/nothing", DoNothing);
  BOOST_TEST(NameOf(cut.cause_) == "no-answer");
}

// Pattern: a line for requests that were answered would hide the others.
BOOST_AUTO_TEST_CASE(WholeAnswersAndUnreadRequestsAreNotTold) {
  CutRecorder recorder;
  {
    RawSocket caller(recorder.Port());
    caller.Send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(caller.ReadUntil("whole").find("whole") != std::string::npos);
  }
  {
    RawSocket caller(recorder.Port());
    caller.Send(
        "POST /nothing HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart");
    caller.ReadAll();
  }
  recorder.Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(recorder.Await(0).empty());
}

// Answers each request, after a pause in which the next one arrives. "/drain"
// also starts the server's drain as soon as its answer is written.
class DrainingHandler : public http::Handler {
 public:
  explicit DrainingHandler(http::EventLoop& loop) : loop_(loop) {}
  void SetServer(http::Server& server) { server_ = &server; }

  http::Task<void> Handle(http::ServerCall& call) override {
    ++began_;
    cancelled_ += call.Gone().Raised() ? 1 : 0;
    co_await http::Sleep(loop_.Context(), std::chrono::milliseconds(200));
    cancelled_ += call.Gone().Raised() ? 1 : 0;
    http::AnswerHead head;
    head.status_ = 200;
    const std::string answer = "<" + call.Head().target_ + ">";
    co_await call.Answer(head, answer);
    if (call.Head().target_ == "/drain") {
      loop_.Post([this] { server_->Drain(); });
    }
  }

  std::atomic<int> began_{0};
  std::atomic<int> cancelled_{0};

 private:
  http::EventLoop& loop_;
  http::Server* server_ = nullptr;
};

class DrainedServer {
 public:
  DrainedServer()
      : handler_(loop_), server_(loop_, handler_), port_(FreePort()) {
    handler_.SetServer(server_);
    BOOST_REQUIRE((server_.Listen("127.0.0.1:" + std::to_string(port_)) ==
                   ResultCode::kOk));
    loop_.Start();
  }
  ~DrainedServer() {
    CloseServer(loop_, server_);
    loop_.Stop();
  }
  DrainingHandler& Handler() { return handler_; }
  int Port() const { return port_; }
  void Drain() {
    loop_.RunAndWait([this] { server_.Drain(); });
  }
  // Whether no connection is serving within the time that a drain reserves for
  // its last answers (proxy_role.cc, kLastAnswersTime). A caller may have read
  // its answer before the write has returned on the server's thread.
  bool AwaitNoneServing() {
    const base::MonoTime until = base::MonoNow() + kLastAnswersTime;
    size_t serving = ServingConnections();
    while (serving > 0 && base::MonoNow() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      serving = ServingConnections();
    }
    return serving == 0;
  }
  size_t ServingConnections() {
    size_t serving = 0;
    loop_.RunAndWait([&] { serving = server_.ServingConnections(); });
    return serving;
  }

 private:
  // Less than a closed connection waits for its caller to close, too (1 s).
  static constexpr std::chrono::milliseconds kLastAnswersTime{200};

  http::EventLoop loop_;
  DrainingHandler handler_;
  http::Server server_;
  const int port_;
};

// Guards against a request that is passed on although its connection has been
// closed: a drain closed a connection whose next request had been read from the
// socket, but had not yet been handed to the connection. The handler then ran
// it, was cancelled, and the caller got no answer.
BOOST_AUTO_TEST_CASE(ARequestThatWasReadWhenTheDrainBeginsIsAnswered) {
  DrainedServer served;
  RawSocket caller(served.Port());
  caller.Send("GET /drain HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  caller.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answers = caller.ReadAll();
  BOOST_TEST(answers.find("</drain>") != std::string::npos, answers);
  BOOST_TEST(answers.find("</next>") != std::string::npos, answers);
  BOOST_TEST(served.Handler().began_ == 2);
  BOOST_TEST(served.Handler().cancelled_ == 0);
}

// Guards against a daemon that exits while a request is on its way to the
// handler: only requests that the handler had begun counted as open.
BOOST_AUTO_TEST_CASE(ARequestWhoseHeadHasBegunCountsUntilItIsAnswered) {
  DrainedServer served;
  RawSocket idle(served.Port());
  RawSocket caller(served.Port());
  caller.Send("GET /x HTTP/1.1\r\nHo");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  served.Drain();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(served.ServingConnections() == 1u);
  caller.Send("st: h\r\n\r\n");
  const std::string answer = caller.ReadUntil("</x>");
  BOOST_TEST(answer.find("</x>") != std::string::npos, answer);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos, answer);
  BOOST_TEST(served.AwaitNoneServing());
}

// Guards against a drain that leaves idle connections open.
BOOST_AUTO_TEST_CASE(ADrainClosesIdleConnectionsAtOnce) {
  DrainedServer served;
  RawSocket unused(served.Port());
  RawSocket used(served.Port());
  used.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answer = used.ReadUntil("</x>");
  BOOST_TEST(answer.find("</x>") != std::string::npos, answer);
  const base::MonoTime began = base::MonoNow();
  served.Drain();
  BOOST_TEST(unused.ReadAll().empty());
  BOOST_TEST(used.ReadAll() == answer);
  BOOST_TEST((base::MonoNow() - began < std::chrono::milliseconds(500)));
}

// Guards against a wait without a limit that ends at once: the largest time
// overflowed in the timer's finer unit, so that a request's body was read on
// after its request had gone, and the daemon died.
// Guards against a process that ends by an exception of one handler, and
// against a thread that waits for such a handler without end.
BOOST_AUTO_TEST_CASE(ALoopGoesOnAfterAHandlerThatThrows) {
  http::EventLoop loop;
  loop.Start();
  loop.Post([] { throw std::length_error("thrown by a handler"); });
  loop.Post([] { throw 7; });
  BOOST_CHECK_THROW(
      loop.RunAndWait([] { throw std::length_error("thrown by a task"); }),
      std::length_error);
  bool ran = false;
  loop.RunAndWait([&ran] { ran = true; });
  BOOST_TEST(ran);
  BOOST_TEST(loop.FailedHandlers() == 2u);
  loop.Stop();
}

BOOST_AUTO_TEST_CASE(AWaitWithoutALimitEndsWhenItIsNotified) {
  http::EventLoop loop;
  http::Notifier notifier(loop);
  std::promise<bool> notified;
  const auto wait = [](http::Notifier& waited,
                       std::promise<bool>& result) -> http::Task<void> {
    const bool value = co_await waited.Wait(base::MonoTime::max());
    result.set_value(value);
  };
  loop.Spawn(wait(notifier, notified));
  loop.Start();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  loop.RunAndWait([&notifier] { notifier.Notify(); });
  BOOST_TEST(notified.get_future().get());
  loop.Stop();
}

}  // namespace
}  // namespace buckthorngate::tests
