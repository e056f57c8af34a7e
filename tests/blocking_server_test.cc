// The server with blocking handlers: limits on slow callers, and shutdown; and
// the admin server, which uses it.
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
#include <utility>
#include <vector>

#include "daemon/control/admin_server.h"
#include "daemon/control/blocking_server.h"
#include "endless_upstream.h"
#include "loopback.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr size_t kMebibyte = size_t{1024} * 1024;

// Behaves according to the request's path.
class PathHandler : public daemon::control::BlockingHandler {
 public:
  daemon::control::BufferedResponse Handle(
      const daemon::control::BufferedRequest& call) override {
    ++calls_;
    const std::string path(call.head_.Path());
    if (path == "/throw") {
      throw std::runtime_error("thrown");
    }
    if (path == "/wait") {
      resume_.get_future().wait();
    }
    daemon::control::BufferedResponse answer;
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
  explicit RunningServer(const daemon::control::BlockingLimits& limits = {})
      : port_(FreePort()), server_(handler_, limits) {
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    BOOST_REQUIRE((server_.Start(address) == ResultCode::kOk));
  }

  int Port() const { return port_; }
  PathHandler& Handler() { return handler_; }
  daemon::control::BlockingServer& Server() { return server_; }
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
  daemon::control::BlockingServer server_;
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
  daemon::control::BlockingLimits limits;
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
  daemon::control::BlockingLimits limits;
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
  daemon::control::BlockingLimits limits;
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

std::string PostForm(const std::string& target, const std::string& form) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: h\r\n"
         "Content-Type: application/x-www-form-urlencoded\r\n"
         "Content-Length: " +
         std::to_string(form.size()) + "\r\n\r\n" + form;
}

// An admin server that keeps what it is told.
class RunningAdmin {
 public:
  explicit RunningAdmin(bool with_upstreams) : port_(FreePort()) {
    daemon::control::AdminHandlers handlers;
    if (with_upstreams) {
      handlers.announce_ = [this](const registry::Announcement& announcement) {
        announcement_ = announcement;
        return code_;
      };
      handlers.drain_ = [this](const std::string& address) {
        drained_ = address;
        return code_;
      };
      handlers.leave_ = [this](const std::string& address) {
        left_ = address;
        return code_;
      };
    }
    handlers.metrics_ = [] { return "a 1\n"; };
    handlers.ready_ = [this] { return ready_.load(); };
    server_ =
        std::make_unique<daemon::control::AdminServer>(std::move(handlers));
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    BOOST_REQUIRE((server_->Start(address) == ResultCode::kOk));
  }

  int Status(const std::string& bytes) const {
    return CallRaw(port_, bytes, kTimeout).Status();
  }

  registry::Announcement announcement_;
  ResultCode code_ = ResultCode::kOk;
  std::string drained_;
  std::string left_;
  std::atomic<bool> ready_{false};

 private:
  const int port_;
  std::unique_ptr<daemon::control::AdminServer> server_;
};

// Guards against announcements that are answered 200 though the daemon has not
// taken them.
BOOST_AUTO_TEST_CASE(AnAnnouncementThatIsNotTakenIsNotAcknowledged) {
  RunningAdmin admin(/*with_upstreams=*/true);
  const auto announce = [&admin](ResultCode code) {
    admin.code_ = code;
    return admin.Status(
        PostForm("/announce", "service=a&version=v1&address=127.0.0.1:1"));
  };
  BOOST_TEST(announce(ResultCode::kOk) == 200);
  BOOST_TEST(announce(ResultCode::kNumberStale) == 200);
  BOOST_TEST(announce(ResultCode::kUnknownService) == 400);
  BOOST_TEST(announce(ResultCode::kTimedOut) == 503);
}

// Guards against announcements that are read differently by the server that
// bounds its requests than by the library before it, which decoded forms.
BOOST_AUTO_TEST_CASE(FormsToTheAdminServerAreDecoded) {
  RunningAdmin admin(/*with_upstreams=*/true);
  BOOST_TEST(admin.Status(PostForm(
                 "/announce",
                 "service=a+b%2Fc&version=v%2B1&address=127.0.0.1%3A8080&"
                 "slots=7&instance=%3D&service=second")) == 200);
  BOOST_TEST(admin.announcement_.service_ == "a b/c");
  BOOST_TEST(admin.announcement_.version_ == "v+1");
  BOOST_TEST(admin.announcement_.address_ == "127.0.0.1:8080");
  BOOST_TEST(admin.announcement_.slots_ == 7u);
  BOOST_TEST(admin.announcement_.instance_ == "=");
  BOOST_TEST(admin.Status(PostForm("/announce?service=q&version=v1",
                                   "address=127.0.0.1:1&slots=x")) == 200);
  BOOST_TEST(admin.announcement_.service_ == "q");
  BOOST_TEST(admin.announcement_.slots_ == 20u);
  BOOST_TEST(admin.Status(PostForm("/announce", "service=a&version=v1")) ==
             400);
  BOOST_TEST(admin.Status(PostForm(
                 "/announce", "service=a&version=v1&address=host:1")) == 400);
  BOOST_TEST(admin.Status(PostForm("/drain", "address=127.0.0.1:2")) == 200);
  BOOST_TEST(admin.drained_ == "127.0.0.1:2");
  BOOST_TEST(admin.Status(PostForm("/leave", "address=127.0.0.1:3")) == 200);
  BOOST_TEST(admin.left_ == "127.0.0.1:3");
  // A departure that was not stored is not acknowledged.
  admin.code_ = ResultCode::kTimedOut;
  BOOST_TEST(admin.Status(PostForm("/drain", "address=127.0.0.1:2")) == 503);
  BOOST_TEST(admin.Status(PostForm("/leave", "address=127.0.0.1:3")) == 503);
}

BOOST_AUTO_TEST_CASE(PagesOfTheAdminServer) {
  RunningAdmin admin(/*with_upstreams=*/false);
  BOOST_TEST(admin.Status(Get("/healthz")) == 200);
  BOOST_TEST(admin.Status(Get("/readyz")) == 503);
  admin.ready_ = true;
  BOOST_TEST(admin.Status(Get("/readyz?now")) == 200);
  BOOST_TEST(admin.Status(Get("/metrics")) == 200);
  BOOST_TEST(admin.Status(Get("/other")) == 404);
  BOOST_TEST(admin.Status(Get("/announce")) == 404);
  // Without a proxy nobody announces.
  BOOST_TEST(admin.Status(PostForm("/announce", "service=a")) == 404);
  BOOST_TEST(admin.Status(PostForm("/other", "")) == 404);
}

}  // namespace
}  // namespace buckthorngate::tests
