// Callers that send requests before earlier ones are answered: order, what runs
// in parallel, what waits, and what is cancelled.
#define BOOST_TEST_MODULE pipeline
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "pipeline_harness.h"

namespace buckthorngate::tests {
namespace {

constexpr std::chrono::milliseconds kShortly{150};

using Names = std::vector<std::string>;

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against head-of-line blocking (the second was read once the first was
// answered), and against an answer that overtakes the one before it.
BOOST_AUTO_TEST_CASE(TheSecondRunsBesideTheFirstAndItsAnswerWaits) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/wait/a") + Get("/now/b"));
  BOOST_TEST(served.AwaitBegun(2));
  std::this_thread::sleep_for(kShortly);
  caller.Send(Get("/now/c", "Connection: close\r\n"));
  BOOST_TEST(served.AwaitBegun(3));
  BOOST_TEST(served.OpenCalls() == 3u);
  BOOST_TEST(served.ServingConnections() == 1u);
  served.Release("a");
  const std::string answers = caller.ReadAll();
  const size_t a = answers.find("</wait/a>");
  const size_t b = answers.find("</now/b>");
  const size_t c = answers.find("</now/c>");
  BOOST_REQUIRE(c != std::string::npos);
  BOOST_TEST(a < b);
  BOOST_TEST(b < c);
  BOOST_TEST(Count(answers, "HTTP/1.1 200") == 3u);
  BOOST_TEST(Count(answers, "Connection: close") == 1u);
  BOOST_TEST(served.OpenCalls() == 0u);
  BOOST_TEST(served.Cuts().empty());
}

// Guards against a change for servers that do not allow pipelining.
BOOST_AUTO_TEST_CASE(WithoutPipeliningTheSecondWaits) {
  PipelineServer served(/*calls=*/1);
  RawSocket caller(served.Port());
  caller.Send(Get("/wait/a") + Get("/now/b", "Connection: close\r\n"));
  std::this_thread::sleep_for(kShortly);
  BOOST_TEST(served.Begun().size() == 1u);
  served.Release("a");
  BOOST_TEST(Count(caller.ReadAll(), "HTTP/1.1 200") == 2u);
}

// Guards against a write that runs before the reads in front of it are
// answered, and against reads that run before a write in front of them is.
BOOST_AUTO_TEST_CASE(AWriteWaitsForReadsAndReadsForAWrite) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/wait/a") + Get("/now/b") + Post("/wait/write", "body") +
              Get("/now/c", "Connection: close\r\n"));
  BOOST_TEST(served.AwaitBegun(2));
  std::this_thread::sleep_for(kShortly);
  BOOST_TEST(served.Begun() == (Names{"/wait/a", "/now/b"}));
  served.Release("a");
  BOOST_TEST(served.AwaitBegun(3));
  std::this_thread::sleep_for(kShortly);
  BOOST_TEST(served.Begun() == (Names{"/wait/a", "/now/b", "/wait/write"}));
  served.Release("write");
  const std::string answers = caller.ReadAll();
  BOOST_TEST(answers.find("</wait/writebody>") < answers.find("</now/c>"));
  BOOST_TEST(Count(answers, "HTTP/1.1 200") == 4u);
}

// Guards against a GET with a body, or one that asks before it sends one, that
// counts as free of a body.
BOOST_AUTO_TEST_CASE(AReadWithABodyWaits) {
  for (const std::string headers :
       {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
        "Expect: 100-continue\r\n"}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    caller.Send(Get("/wait/a") + Get("/now/b", headers));
    std::this_thread::sleep_for(kShortly);
    BOOST_TEST(served.Begun().size() == 1u, headers);
  }
}

// Guards against requests that are handled behind one that closes the
// connection.
BOOST_AUTO_TEST_CASE(NothingIsHandledBehindARequestThatCloses) {
  for (const bool first : {true, false}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    const std::string close = "Connection: close\r\n";
    caller.Send(Get("/wait/a", first ? close : "") +
                Get("/now/b", first ? "" : close) + Get("/now/c"));
    std::this_thread::sleep_for(kShortly);
    served.Release("a");
    const std::string answers = caller.ReadAll();
    BOOST_TEST(served.Begun().size() == (first ? 1u : 2u));
    BOOST_TEST(Count(answers, "HTTP/1.1 200") == (first ? 1u : 2u));
  }
}

// Guards against a request that runs on although an answer before it closed the
// connection: here the first one's handler fails.
BOOST_AUTO_TEST_CASE(WhatRunsBehindAFailureIsCancelled) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/wait/a") + Get("/throws/b") + Get("/wait/c") +
              Get("/now/d"));
  BOOST_TEST(served.AwaitBegun(4));
  served.Release("a");
  const std::string answers = caller.ReadAll();
  BOOST_TEST(Count(answers, "HTTP/1.1 200") == 1u);
  BOOST_TEST(served.Await([&] { return served.Server().OpenCalls() == 0; }));
  BOOST_TEST(served.Cancelled() == Names{"/wait/c"});
  BOOST_TEST(served.PipelineCancelled() == (Names{"/wait/c", "/now/d"}));
  BOOST_REQUIRE(served.Cuts().size() == 1u);
  BOOST_TEST(served.Cuts()[0].id_ == "/throws/b");
  BOOST_TEST(served.Cuts()[0].detail_ == "thrown by the handler");
  BOOST_TEST(served.Await([&] { return served.Server().Connections() == 0; }));
}

// As above, for the first request of a connection.
BOOST_AUTO_TEST_CASE(WhatRunsBehindAFirstThatFailsIsCancelled) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/throws/a") + Get("/wait/b"));
  BOOST_TEST(caller.ReadAll().empty());
  BOOST_TEST(served.Await([&] { return served.Server().Connections() == 0; }));
  BOOST_TEST(served.OpenCalls() == 0u);
  BOOST_TEST(served.ServingConnections() == 0u);
}

// Guards against LOST of review/12: requests that run behind a streamed answer
// get none when it is broken off.
BOOST_AUTO_TEST_CASE(RequestsBehindAnAnswerThatIsBrokenOffAreAnswered) {
  for (const bool first : {true, false}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    caller.Send((first ? "" : Get("/now/before")) + Get("/breaks/a") +
                Get("/now/b") + Get("/now/c", "Connection: close\r\n"));
    BOOST_TEST(served.AwaitBegun(first ? 3 : 4));
    served.Release("a");
    const std::string answers = caller.ReadAll();
    BOOST_TEST(Count(answers, "HTTP/1.1 502") == 1u, first);
    BOOST_TEST(Count(answers, "bbbb") == 0u, first);
    BOOST_TEST(answers.find("HTTP/1.1 502") < answers.find("</now/b>"), first);
    BOOST_TEST(answers.find("</now/b>") < answers.find("</now/c>"), first);
    BOOST_REQUIRE(served.Cuts().size() == 1u);
    BOOST_TEST(served.Cuts()[0].answered_after_);
    BOOST_TEST(served.Cuts()[0].detail_ == "broken off by the handler");
  }
}

// A request that comes while a streamed answer is written doesn't begin before
// the answer is whole, and so isn't lost when it is broken off.
BOOST_AUTO_TEST_CASE(NothingBeginsBehindAnAnswerThatIsBeingStreamed) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/breaks/a"));
  BOOST_TEST(!caller.ReadUntil("bbbb").empty());
  caller.Send(Get("/now/b"));
  std::this_thread::sleep_for(kShortly);
  BOOST_TEST(served.Begun() == Names{"/breaks/a"});
  served.Release("a");
  BOOST_TEST(Count(caller.ReadAll(), "HTTP/1.1") == 1u);
  BOOST_TEST(served.Begun() == Names{"/breaks/a"});
}

// A whole answer that was held, or is too long to be held, arrives as it is.
BOOST_AUTO_TEST_CASE(AStreamedAnswerWithRequestsBehindItArrivesWhole) {
  for (const std::string target : {"/stream/a", "/long/a"}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    caller.Send(Get(target) + Get("/now/b") +
                Get("/now/c", "Connection: close\r\n"));
    const std::string answers = caller.ReadAll();
    const size_t pieces = target == "/long/a" ? SteeredHandler::kLongPieces
                                              : SteeredHandler::kStreamPieces;
    BOOST_TEST(
        static_cast<size_t>(std::count(answers.begin(), answers.end(), 's')) >=
            pieces * http::kPieceBytes,
        target);
    BOOST_TEST(Count(answers, "HTTP/1.1 200") == 3u, target);
    BOOST_TEST(answers.find("</now/b>") < answers.find("</now/c>"), target);
    BOOST_TEST(served.Cuts().empty(), target);
  }
}

// Guards against requests that run on for a caller that has left, and against a
// cut request that is told never or twice.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesCancelsAll) {
  for (const bool reset : {false, true}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    caller.Send(Get("/wait/a") + Get("/wait/b") + Get("/now/c") +
                Post("/now/d", "x"));
    BOOST_TEST(served.AwaitBegun(3));
    std::this_thread::sleep_for(kShortly);
    if (reset) {
      caller.Reset();
    } else {
      caller.Close();
    }
    BOOST_TEST(
        served.Await([&] { return served.Server().Connections() == 0; }));
    BOOST_TEST(served.Cancelled().size() == 2u);
    Names told;
    for (const http::CutCall& cut : served.Cuts()) {
      told.push_back(cut.id_);
      BOOST_TEST(NameOf(cut.cause_) == "caller-left");
    }
    std::sort(told.begin(), told.end());
    BOOST_TEST(told == (Names{"/now/c", "/wait/a", "/wait/b"}));
    BOOST_TEST(served.PipelineCancelled().empty());
    BOOST_TEST(served.OpenCalls() == 0u);
  }
}

// Guards against a part of a head that delays the answers before it, is lost or
// is parsed twice.
BOOST_AUTO_TEST_CASE(AHeadMayArriveInPieces) {
  PipelineServer served;
  RawSocket caller(served.Port());
  const std::string second = Get("/now/b", "X-A: b\r\n");
  caller.Send(Get("/wait/a") + second.substr(0, 20));
  std::this_thread::sleep_for(kShortly);
  for (const char byte : second.substr(20, second.size() - 30)) {
    caller.Send(std::string(1, byte));
  }
  BOOST_TEST(served.Begun().size() == 1u);
  served.Release("a");
  BOOST_TEST(caller.ReadUntil("</wait/a>").find("</wait/a>") !=
             std::string::npos);
  caller.Send(second.substr(second.size() - 10));
  BOOST_TEST(caller.ReadUntil("</now/b>").find("</now/b>") !=
             std::string::npos);
  BOOST_TEST(served.Begun().size() == 2u);
}

// Guards against a second head that is over-long, malformed or smuggled and has
// an effect on the first request or is handled. Each is refused in its turn,
// and nothing behind it is read.
BOOST_AUTO_TEST_CASE(ABadSecondHeadIsRefusedInItsTurn) {
  struct Bad {
    std::string bytes_;
    std::string status_;
  };
  const Bad bads[] = {
      {"GET /now/b HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
       "431"},
      {"bad\r\n\r\n", "400"},
      {"GET /now/b HTTP/1.1\r\nContent-Length: 5\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"GET /now/b HTTP/1.1\r\nContent-Length: 0\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"GET /now/b HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
       "400"},
      {"GET /now/b HTTP/1.1\nHost: h\n\nGET /now/x HTTP/1.1\r\n\r\n", "400"},
      {"GET /now/b HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", "400"},
      {"GET /now/b HTTP/1.1\r\nHost : h\r\n\r\n", "400"},
  };
  for (const Bad& bad : bads) {
    PipelineServer served;
    RawSocket caller(served.Port());
    const std::string shown = bad.bytes_.substr(0, 100);
    caller.Send(Get("/wait/a") + bad.bytes_ + Get("/now/c"));
    std::this_thread::sleep_for(kShortly);
    BOOST_TEST(served.Cancelled().empty());
    served.Release("a");
    const std::string answers = caller.ReadAll();
    const size_t whole = answers.find("</wait/a>");
    const size_t refused = answers.find("HTTP/1.1 " + bad.status_);
    BOOST_REQUIRE_MESSAGE(whole != std::string::npos, shown);
    BOOST_TEST((refused != std::string::npos && whole < refused),
               shown << " gave " << answers);
    BOOST_TEST(Count(answers, "HTTP/1.1 ") == 2u, shown);
    BOOST_TEST(answers.find("Connection: close") > whole, shown);
    BOOST_TEST(served.Begun() == Names{"/wait/a"}, shown);
    BOOST_TEST(served.Cuts().empty());
  }
}

// Guards against a drain that cuts requests that were read, reads more of them,
// or does not tell the caller in the last answer.
BOOST_AUTO_TEST_CASE(ADrainAnswersWhatWasReadAndClosesAfterTheLast) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/wait/a") + Get("/wait/b") + Get("/now/c"));
  BOOST_TEST(served.AwaitBegun(3));
  served.Drain();
  caller.Send(Get("/now/late"));
  std::this_thread::sleep_for(kShortly);
  BOOST_TEST(served.ServingConnections() == 1u);
  served.Release("b");
  served.Release("a");
  const std::string answers = caller.ReadAll();
  BOOST_TEST(Count(answers, "HTTP/1.1 200") == 3u);
  BOOST_TEST(Count(answers, "Connection: close") == 1u);
  BOOST_TEST(answers.find("Connection: close") > answers.find("</wait/b>"));
  BOOST_TEST(served.Begun().size() == 3u);
  BOOST_TEST(served.Cancelled().empty());
  BOOST_TEST(served.ServingConnections() == 0u);
}

// Guards against open requests that the end of the server cuts without a word,
// or that are told twice.
BOOST_AUTO_TEST_CASE(OpenRequestsAreToldWhenTheServerCloses) {
  for (const bool told_before : {false, true}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    caller.Send(Get("/wait/a") + Get("/wait/b") + Get("/now/c"));
    BOOST_TEST(served.AwaitBegun(3));
    if (told_before) {
      served.TellOpen();
      BOOST_TEST(served.Cuts().size() == 3u);
    }
    served.Close();
    BOOST_TEST(served.Cancelled().size() == 2u);
    BOOST_REQUIRE(served.Cuts().size() == 3u);
    for (const http::CutCall& cut : served.Cuts()) {
      BOOST_TEST(NameOf(cut.cause_) == "server-closed");
    }
    BOOST_TEST(served.OpenCalls() == 0u);
  }
}

// Guards against the answer to a HEAD request that has a body, which would be
// read as the next answer.
BOOST_AUTO_TEST_CASE(AHeadRequestHasNoBodyBehindAnother) {
  PipelineServer served;
  RawSocket caller(served.Port());
  caller.Send(Get("/wait/a") + "HEAD /now/b HTTP/1.1\r\nHost: h\r\n\r\n" +
              Get("/now/c", "Connection: close\r\n"));
  BOOST_TEST(served.AwaitBegun(3));
  served.Release("a");
  const std::string answers = caller.ReadAll();
  BOOST_TEST(answers.find("</now/b>") == std::string::npos);
  BOOST_TEST(answers.find("X-Target: /now/b") < answers.find("</now/c>"));
  BOOST_TEST(Count(answers, "HTTP/1.1 200") == 3u);
}

// Guards against MIXED of review/11: an answer to HEAD that the daemon makes
// itself has a body, which stands where the next answer is due.
BOOST_AUTO_TEST_CASE(AnAnswerToHeadHasNoBodyWhoeverMakesIt) {
  const std::string head = "HEAD /refuse/a HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const bool first : {true, false}) {
    for (const bool together : {true, false}) {
      PipelineServer served;
      RawSocket caller(served.Port());
      const std::string before = first ? "" : Get("/wait/before");
      const std::string after =
          Get("/refuse/b") + Get("/now/c", "Connection: close\r\n");
      caller.Send(before + head + (together ? after : ""));
      std::this_thread::sleep_for(kShortly);
      caller.Send(together ? "" : after);
      served.Release("before");
      const std::string answers = caller.ReadAll();
      BOOST_TEST(Count(answers, "HTTP/1.1 404") == 2u);
      BOOST_TEST(Count(answers, "</refuse/a>") == 0u);
      BOOST_TEST(Count(answers, "</refuse/b>") == 1u);
      BOOST_TEST(Count(answers, "\r\n\r\nHTTP/1.1 404") == 1u);
      BOOST_TEST(Count(answers, "</now/c>") == 1u);
    }
  }
}

std::string TransferEncoding(const std::string& coding) {
  return "Transfer-Encoding: " + coding + "\r\n";
}

// Guards against UNASKED of review/14: a request whose transfer coding is not
// chunked runs without its body, and its body runs as requests.
BOOST_AUTO_TEST_CASE(ABodyOfAnUnknownTransferCodingIsRefused) {
  for (const std::string coding :
       {"gzip", "chunked, gzip", "gzip, chunked", "identity", "xchunked",
        "chunked\r\nTransfer-Encoding: chunked"}) {
    const std::string rest = " /now/a HTTP/1.1\r\nHost: h\r\n" +
                             TransferEncoding(coding) + "\r\n" +
                             Get("/now/smuggled");
    for (const std::string method : {"POST", "GET"}) {
      for (const bool first : {true, false}) {
        PipelineServer served;
        RawSocket caller(served.Port());
        std::string bytes = first ? "" : Get("/wait/before");
        bytes += method;
        bytes += rest;
        caller.Send(bytes);
        std::this_thread::sleep_for(kShortly);
        served.Release("before");
        const std::string answers = caller.ReadAll();
        BOOST_TEST(Count(answers, "HTTP/1.1 400") == 1u, coding);
        BOOST_TEST(Count(answers, "Connection: close") == 1u, coding);
        BOOST_TEST(served.Begun() == (first ? Names{} : Names{"/wait/before"}),
                   coding);
      }
    }
  }
}

// A body in chunks is taken, however the coding is written.
BOOST_AUTO_TEST_CASE(ABodyInChunksIsTaken) {
  for (const std::string coding : {"chunked", "Chunked", " chunked "}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    caller.Send("POST /now/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
                TransferEncoding(coding) + "\r\n4\r\nbody\r\n0\r\n\r\n");
    BOOST_TEST(Count(caller.ReadAll(), "</now/abody>") == 1u, coding);
  }
}

// Guards against unbounded memory behind a slow first request.
BOOST_AUTO_TEST_CASE(LargeAnswersBehindASlowOneAreBounded) {
  for (const std::string target : {"/large/x", "/stream/x"}) {
    PipelineServer served;
    RawSocket caller(served.Port());
    std::string requests = Get("/wait/a");
    constexpr size_t kRequests = 40;
    for (size_t i = 0; i < kRequests; ++i) {
      requests += Get(target);
    }
    caller.Send(requests + Get("/now/last", "Connection: close\r\n"));
    std::this_thread::sleep_for(2 * kShortly);
    // A streamed answer holds one piece until its turn.
    BOOST_TEST(served.PiecesMade() < http::kMaxPipelinedCalls);
    BOOST_TEST(served.Begun().size() <= http::kMaxPipelinedCalls);
    BOOST_TEST(served.OpenCalls() <= http::kMaxPipelinedCalls);
    served.Release("a");
    const std::string answers = caller.ReadAll();
    BOOST_TEST(Count(answers, "HTTP/1.1 200") == kRequests + 2);
    BOOST_TEST(answers.find("</now/last>") != std::string::npos);
  }
}

// Guards against a bound on bytes that is never released: answers that wait
// hold back further requests until they are sent.
BOOST_AUTO_TEST_CASE(WaitingBytesHoldBackFurtherRequests) {
  PipelineServer served;
  RawSocket caller(served.Port());
  std::string large = Get("/wait/a");
  constexpr size_t kLarge = 4;
  for (size_t i = 0; i < kLarge; ++i) {
    large += Get("/large/x");
  }
  caller.Send(large);
  BOOST_TEST(served.AwaitBegun(kLarge + 1));
  std::this_thread::sleep_for(kShortly);
  caller.Send(Get("/now/b") + Get("/wait/c") + Get("/now/d"));
  std::this_thread::sleep_for(kShortly);
  BOOST_TEST(served.Begun().size() == kLarge + 1);
  served.Release("a");
  BOOST_TEST(caller.ReadUntil("</now/b>").find("</now/b>") !=
             std::string::npos);
  BOOST_TEST(served.AwaitBegun(kLarge + 4));
  served.Release("c");
  BOOST_TEST(caller.ReadUntil("</now/d>").find("</now/d>") !=
             std::string::npos);
}

}  // namespace
}  // namespace buckthorngate::tests
