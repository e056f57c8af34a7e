// The server whose handlers wait: what slow callers may hold, and its end.
#define BOOST_TEST_MODULE blocking_server
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "daemon/blocking_server.h"
#include "endless_upstream.h"
#include "loopback.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPatience{5000};
constexpr size_t kMebibyte = size_t{1024} * 1024;

// Answers as the path tells.
class Paths : public daemon::BlockingHandler {
 public:
  daemon::BufferedResponse Handle(
      const daemon::BufferedRequest& call) override {
    ++calls_;
    const std::string path(call.head_.Path());
    if (path == "/throw") {
      throw std::runtime_error("thrown");
    }
    if (path == "/wait") {
      go_on_.get_future().wait();
    }
    daemon::BufferedResponse answer;
    answer.head_.status_ = 200;
    answer.body_ = path == "/long" ? std::string(4 * kMebibyte, 'a')
                                   : std::to_string(call.body_.size());
    return answer;
  }
  void GoOn() { go_on_.set_value(); }
  int Calls() const { return calls_; }

 private:
  std::atomic<int> calls_{0};
  std::promise<void> go_on_;
};

bool Await(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

class Served {
 public:
  explicit Served(const daemon::BlockingLimits& limits = {})
      : port_(FreePort()), server_(paths_, limits) {
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    BOOST_REQUIRE((server_.Start(address) == ResultCode::kOk));
  }

  int Port() const { return port_; }
  Paths& Handler() { return paths_; }
  daemon::BlockingServer& Server() { return server_; }
  int Status(const std::string& bytes) const {
    return CallRaw(port_, bytes, kPatience).Status();
  }
  bool AwaitHeld(size_t least) {
    return Await([&] { return server_.BufferedBytes() >= least; });
  }
  bool AwaitCalls(int calls) const {
    return Await([&] { return paths_.Calls() >= calls; });
  }

 private:
  Paths paths_;
  const int port_;
  daemon::BlockingServer server_;
};

std::string Post(size_t announced, const std::string& body) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(announced) + "\r\n\r\n" + body;
}

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

BOOST_AUTO_TEST_CASE(WholeCallsAreAnsweredWhole) {
  Served served;
  const std::string body(3 * kMebibyte, 'a');
  BOOST_TEST(served.Status(Post(body.size(), body)) == 200);
  BOOST_TEST(served.Status("POST /a HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "2\r\nab\r\n0\r\n\r\n") == 200);
  BOOST_TEST(CallRaw(served.Port(), Get("/long"), kPatience).body_bytes_ ==
             4 * kMebibyte);
  BOOST_TEST(served.Status("HEAD /a HTTP/1.1\r\nHost: h\r\n"
                           "Connection: close\r\n\r\n") == 200);
  BOOST_TEST(served.Status(Get("/throw")) == 500);
  BOOST_TEST(served.Status(Get("/a")) == 200);
}

// Guards against a body that trickles in for ever, each byte in time.
BOOST_AUTO_TEST_CASE(ABodyThatTakesTooLongIsRefusedAndNeverHandled) {
  daemon::BlockingLimits limits;
  limits.body_timeout_ = milliseconds(300);
  Served served(limits);
  const RawAnswer answer = SendRawEndless(
      served.Port(), {Post(99'999, ""), "a", milliseconds(20)}, kPatience);
  BOOST_TEST(answer.Status() == 408);
  BOOST_TEST(answer.closed_);
  BOOST_TEST(served.Handler().Calls() == 0);
}

// Guards against half calls that together fill the memory.
BOOST_AUTO_TEST_CASE(WhatSlowCallersSendIsBoundedAndSmallCallsGoOn) {
  daemon::BlockingLimits limits;
  limits.max_buffered_bytes_ = 2 * kMebibyte;
  Served served(limits);
  const std::string most(kMebibyte * 3 / 2, 'a');
  std::unique_ptr<NonReadingCaller> slow =
      std::make_unique<NonReadingCaller>(served.Port(), Post(99'999'999, most));
  BOOST_TEST(served.AwaitHeld(most.size()));
  BOOST_TEST(served.Status(Post(most.size(), most)) == 503);
  BOOST_TEST(served.Handler().Calls() == 0);
  BOOST_TEST(served.Status(Post(1000, std::string(1000, 'a'))) == 200);
  slow.reset();
  BOOST_TEST(Await([&served] { return served.Server().BufferedBytes() == 0; }));
  BOOST_TEST(served.Status(Post(most.size(), most)) == 200);
}

// Guards against unread answers that together fill the memory.
BOOST_AUTO_TEST_CASE(WhatSlowCallersDoNotReadIsBounded) {
  daemon::BlockingLimits limits;
  limits.max_buffered_bytes_ = 6 * kMebibyte;
  Served served(limits);
  const NonReadingCaller slow(served.Port(), Get("/long"));
  BOOST_TEST(served.AwaitHeld(3 * kMebibyte));
  BOOST_TEST(served.Status(Get("/long")) == 503);
  BOOST_TEST(served.Status(Get("/a")) == 200);
}

// Guards against an end that cuts a call which a thread has taken, or that
// waits for callers which send no more.
BOOST_AUTO_TEST_CASE(AStopAnswersWhatItHasTakenAndWaitsForNobodyElse) {
  Served served;
  const NonReadingCaller slow(served.Port(), Post(1000, "half"));
  std::future<int> taken = std::async(
      std::launch::async, [&served] { return served.Status(Get("/wait")); });
  BOOST_TEST(served.AwaitCalls(1));
  std::future<void> stopped =
      std::async(std::launch::async, [&served] { served.Server().Stop(); });
  std::this_thread::sleep_for(milliseconds(100));
  served.Handler().GoOn();
  BOOST_TEST(taken.get() == 200);
  BOOST_TEST((stopped.wait_for(kPatience) == std::future_status::ready));
}

}  // namespace
}  // namespace buckthorngate::tests
