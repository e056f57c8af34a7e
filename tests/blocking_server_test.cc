// The server with blocking handlers: limits on slow callers, and shutdown.
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

constexpr milliseconds kTimeout{5000};
constexpr size_t kMebibyte = size_t{1024} * 1024;

// Behaves according to the request's path.
class PathHandler : public daemon::BlockingHandler {
 public:
  daemon::BufferedResponse Handle(
      const daemon::BufferedRequest& call) override {
    ++calls_;
    const std::string path(call.head_.Path());
    if (path == "/throw") {
      throw std::runtime_error("thrown");
    }
    if (path == "/wait") {
      resume_.get_future().wait();
    }
    daemon::BufferedResponse answer;
    answer.head_.status_ = 200;
    answer.body_ = path == "/long" ? std::string(4 * kMebibyte, 'a')
                                   : std::to_string(call.body_.size());
    return answer;
  }
  void Resume() { resume_.set_value(); }
  int Calls() const { return calls_; }

 private:
  std::atomic<int> calls_{0};
  std::promise<void> resume_;
};

bool Await(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

class RunningServer {
 public:
  explicit RunningServer(const daemon::BlockingLimits& limits = {})
      : port_(FreePort()), server_(handler_, limits) {
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    BOOST_REQUIRE((server_.Start(address) == ResultCode::kOk));
  }

  int Port() const { return port_; }
  PathHandler& Handler() { return handler_; }
  daemon::BlockingServer& Server() { return server_; }
  int Status(const std::string& bytes) const {
    return CallRaw(port_, bytes, kTimeout).Status();
  }
  bool AwaitBufferedBytes(size_t min_bytes) {
    return Await([&] { return server_.BufferedBytes() >= min_bytes; });
  }
  bool AwaitCalls(int calls) const {
    return Await([&] { return handler_.Calls() >= calls; });
  }

 private:
  PathHandler handler_;
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

BOOST_AUTO_TEST_CASE(CompleteRequestsAreAnsweredCompletely) {
  RunningServer server;
  const std::string body(3 * kMebibyte, 'a');
  BOOST_TEST(server.Status(Post(body.size(), body)) == 200);
  BOOST_TEST(server.Status("POST /a HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "2\r\nab\r\n0\r\n\r\n") == 200);
  BOOST_TEST(CallRaw(server.Port(), Get("/long"), kTimeout).body_bytes_ ==
             4 * kMebibyte);
  BOOST_TEST(server.Status("HEAD /a HTTP/1.1\r\nHost: h\r\n"
                           "Connection: close\r\n\r\n") == 200);
  BOOST_TEST(server.Status(Get("/throw")) == 500);
  BOOST_TEST(server.Status(Get("/a")) == 200);
}

// Guards against a body that arrives byte by byte without end, each byte within
// the idle timeout.
BOOST_AUTO_TEST_CASE(ABodyBeyondTheTimeoutIsRefusedAndNotHandled) {
  daemon::BlockingLimits limits;
  limits.body_timeout_ = milliseconds(300);
  RunningServer server(limits);
  const RawAnswer answer = SendRawEndless(
      server.Port(), {Post(99'999, ""), "a", milliseconds(20)}, kTimeout);
  BOOST_TEST(answer.Status() == 408);
  BOOST_TEST(answer.closed_);
  BOOST_TEST(server.Handler().Calls() == 0);
}

// Guards against incomplete requests that together exhaust the memory.
BOOST_AUTO_TEST_CASE(BufferedRequestBodiesAreBoundedAndSmallRequestsSucceed) {
  daemon::BlockingLimits limits;
  limits.max_buffered_bytes_ = 2 * kMebibyte;
  RunningServer server(limits);
  const std::string most(kMebibyte * 3 / 2, 'a');
  std::unique_ptr<NonReadingCaller> slow =
      std::make_unique<NonReadingCaller>(server.Port(), Post(99'999'999, most));
  BOOST_TEST(server.AwaitBufferedBytes(most.size()));
  BOOST_TEST(server.Status(Post(most.size(), most)) == 503);
  BOOST_TEST(server.Handler().Calls() == 0);
  BOOST_TEST(server.Status(Post(1000, std::string(1000, 'a'))) == 200);
  slow.reset();
  BOOST_TEST(Await([&server] { return server.Server().BufferedBytes() == 0; }));
  BOOST_TEST(server.Status(Post(most.size(), most)) == 200);
}

// Guards against unread answers that together exhaust the memory.
BOOST_AUTO_TEST_CASE(BufferedAnswersAreBounded) {
  daemon::BlockingLimits limits;
  limits.max_buffered_bytes_ = 6 * kMebibyte;
  RunningServer server(limits);
  const NonReadingCaller slow(server.Port(), Get("/long"));
  BOOST_TEST(server.AwaitBufferedBytes(3 * kMebibyte));
  BOOST_TEST(server.Status(Get("/long")) == 503);
  BOOST_TEST(server.Status(Get("/a")) == 200);
}

// Guards against a stop that cuts a call which was dispatched to a thread, or
// that waits for callers which have stopped sending.
BOOST_AUTO_TEST_CASE(AStopAnswersDispatchedRequestsAndWaitsForNoOthers) {
  RunningServer server;
  const NonReadingCaller slow(server.Port(), Post(1000, "half"));
  std::future<int> taken = std::async(
      std::launch::async, [&server] { return server.Status(Get("/wait")); });
  BOOST_TEST(server.AwaitCalls(1));
  std::future<void> stopped =
      std::async(std::launch::async, [&server] { server.Server().Stop(); });
  std::this_thread::sleep_for(milliseconds(100));
  server.Handler().Resume();
  BOOST_TEST(taken.get() == 200);
  BOOST_TEST((stopped.wait_for(kTimeout) == std::future_status::ready));
}

}  // namespace
}  // namespace buckthorngate::tests
