// Large bodies between two daemons: the destination is asked before they are
// sent over its slow link.
#define BOOST_TEST_MODULE body_grant
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/http_status.h"
#include "blackboard/blackboard.h"
#include "daemon/serving/destination.h"
#include "daemon/serving/peer_client.h"
#include "http/server.h"
#include "loopback.h"
#include "request/hop_headers.h"
#include "sent_hop.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kBodyBytes = 60'000;
// 5.5 Mbit/s.
constexpr double kLinkRate = 687'500.0;

// Reads each body and answers with its size, after a while.
class CountingUpstream : public http::Handler {
 public:
  explicit CountingUpstream(http::EventLoop& loop)
      : loop_(loop), server_(loop, *this) {
    BOOST_REQUIRE((server_.Listen(address_) == ResultCode::kOk));
  }

  http::Task<void> Handle(http::ServerCall& call) override {
    std::string body;
    if (call.HasBody()) {
      (void)co_await http::ReadUpTo(call, body, kBodyBytes * 2);
    }
    ++runs_;
    co_await http::Sleep(loop_.Context(), work_);
    http::AnswerHead head;
    head.status_ = base::kStatusOk;
    co_await call.Answer(head, std::to_string(body.size()));
  }

  const std::string address_ = "127.0.0.1:" + std::to_string(FreePort());
  std::atomic<int> runs_{0};
  milliseconds work_{0};

 private:
  http::EventLoop& loop_;
  http::Server server_;
};

// Counts what arrives at a daemon's port for other daemons, then passes it on.
class WatchedDestination : public http::Handler {
 public:
  explicit WatchedDestination(http::Handler& destination)
      : destination_(destination) {}

  http::Task<void> Handle(http::ServerCall& call) override {
    const http::Headers& headers = call.Head().headers_;
    questions_ += headers.Has(request::kBodyBytesHeader) ? 1 : 0;
    bodies_ += call.HasBody() ? 1 : 0;
    if (knows_no_questions_ && !headers.Has(request::kEndpointHeader)) {
      http::AnswerHead head;
      head.status_ = base::kStatusUnavailable;
      head.headers_.Add(request::kAttemptHeader,
                        headers.Find(request::kAttemptHeader));
      head.headers_.Add(
          request::kResultHeader,
          std::to_string(static_cast<int>(ResultCode::kMalformed)) +
              " malformed");
      co_await call.Answer(head, "");
      co_return;
    }
    co_await destination_.Handle(call);
  }

  std::atomic<int> questions_{0};
  std::atomic<int> bodies_{0};
  // As a daemon of an earlier release.
  bool knows_no_questions_ = false;

 private:
  http::Handler& destination_;
};

class TwoDaemons {
 public:
  explicit TwoDaemons(uint32_t slots = 4)
      : upstream_(loop_),
        destination_("host",
                     dialect_,
                     clock_,
                     loop_,
                     board_,
                     [](const std::string&, const rpc::CrashReport&) {}),
        watched_(destination_),
        peers_(loop_, watched_),
        client_(clock_, loop_, /*tells_sent_time=*/true) {
    destination_.SetSlowLink(kLinkRate);
    daemon::serving::UpstreamInfo info;
    info.endpoint_id_ = MakeHopRequest().endpoint_id_;
    info.address_ = upstream_.address_;
    info.service_ = "a";
    info.slots_ = slots;
    destination_.SetUpstream(info);
    BOOST_REQUIRE((peers_.Listen(address_) == ResultCode::kOk));
    loop_.Start();
  }
  ~TwoDaemons() { loop_.Stop(); }

  std::unique_ptr<SentHop> Upload(const std::string& id,
                                  base::Duration deadline) {
    daemon::serving::HopRequest request = MakeHopRequest();
    request.head_.method_ = "POST";
    request.request_id_ = id;
    request.attempt_id_ = id + "/1";
    request.peer_address_ = address_;
    request.body_ = std::string(kBodyBytes, 'u');
    request.asked_bytes_ = kBodyBytes;
    return std::make_unique<SentHop>(client_, loop_, request, deadline);
  }
  // The caller of the request leaves.
  void Leave(SentHop& sent) {
    loop_.RunAndWait([&sent] { sent.cancel_.Raise(); });
  }
  CountingUpstream& Upstream() { return upstream_; }
  WatchedDestination& Watched() { return watched_; }

 private:
  const std::string address_ = "127.0.0.1:" + std::to_string(FreePort());
  const request::Dialect dialect_;
  base::SystemClock clock_;
  http::EventLoop loop_;
  blackboard::Blackboard board_{1, base::MonoNow()};
  CountingUpstream upstream_;
  daemon::serving::Destination destination_;
  WatchedDestination watched_;
  http::Server peers_;
  daemon::serving::PeerClient client_;
};

BOOST_AUTO_TEST_CASE(AGrantedBodyArrivesWhole) {
  TwoDaemons daemons;
  const std::unique_ptr<SentHop> sent = daemons.Upload("one", seconds(5));
  sent->ended_.get_future().wait();
  BOOST_TEST((sent->answer_.code_ == ResultCode::kOk));
  BOOST_TEST(sent->answer_.body_ == std::to_string(kBodyBytes));
  BOOST_TEST(daemons.Watched().questions_ == 1);
  BOOST_TEST(daemons.Watched().bodies_ == 1);
  BOOST_TEST(sent->answer_.link_use_.has_value());
}

// Guards against bodies that use the link of a host that then refuses them.
BOOST_AUTO_TEST_CASE(ABodyForAFullUpstreamIsNotSent) {
  TwoDaemons daemons(/*slots=*/1);
  daemons.Upstream().work_ = milliseconds(1500);
  std::vector<std::unique_ptr<SentHop>> sent;
  // One runs, one waits for its slot.
  for (const char* id : {"runs", "waits"}) {
    sent.push_back(daemons.Upload(id, seconds(10)));
    base::SystemClock clock;
    const base::MonoTime until = clock.Read().mono_ + seconds(5);
    const int expected = static_cast<int>(sent.size());
    while (daemons.Watched().bodies_ < expected && clock.Read().mono_ < until) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  const std::unique_ptr<SentHop> refused = daemons.Upload("third", seconds(10));
  refused->ended_.get_future().wait();
  BOOST_TEST((refused->answer_.code_ == ResultCode::kEndpointOverloaded));
  BOOST_TEST(refused->answer_.not_run_);
  BOOST_TEST(!refused->answer_.reached_);
  BOOST_TEST(daemons.Watched().bodies_ == 2);
  for (const std::unique_ptr<SentHop>& hop : sent) {
    hop->ended_.get_future().wait();
    BOOST_TEST((hop->answer_.code_ == ResultCode::kOk));
  }
  BOOST_TEST(daemons.Upstream().runs_ == 2);
}

// Guards against an upload that fails, or runs without its body, beside a
// daemon of an earlier release.
BOOST_AUTO_TEST_CASE(ADaemonThatKnowsNoQuestionsGetsTheBody) {
  TwoDaemons daemons;
  daemons.Watched().knows_no_questions_ = true;
  const std::unique_ptr<SentHop> sent = daemons.Upload("one", seconds(5));
  sent->ended_.get_future().wait();
  BOOST_TEST((sent->answer_.code_ == ResultCode::kOk));
  BOOST_TEST(sent->answer_.body_ == std::to_string(kBodyBytes));
  BOOST_TEST(daemons.Upstream().runs_ == 1);
}

// Guards against a link that stays reserved for a caller that has left.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesGivesTheLinkFree) {
  TwoDaemons daemons;
  constexpr int kLeaving = 8;
  std::vector<std::unique_ptr<SentHop>> leaving;
  leaving.reserve(kLeaving);
  for (int i = 0; i < kLeaving; ++i) {
    leaving.push_back(
        daemons.Upload("leaves-" + std::to_string(i), seconds(5)));
  }
  for (const std::unique_ptr<SentHop>& hop : leaving) {
    daemons.Leave(*hop);
  }
  for (const std::unique_ptr<SentHop>& hop : leaving) {
    hop->ended_.get_future().wait();
  }
  const std::unique_ptr<SentHop> sent = daemons.Upload("stays", seconds(5));
  sent->ended_.get_future().wait();
  BOOST_TEST((sent->answer_.code_ == ResultCode::kOk));
}

}  // namespace
}  // namespace buckthorngate::tests
