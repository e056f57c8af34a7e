// Upstreams that leave, seen from outside the daemon beside them: it restarts,
// and reports arrive late.
#define BOOST_TEST_MODULE departure
#include <boost/test/unit_test.hpp>

#include <future>
#include <string>
#include <thread>
#include <vector>

#include "platform_daemon.h"

namespace buckthorngate::tests {
namespace {

// Guards against DRAIN of review/3: an upstream deregisters, its daemon is
// killed and started again, and a heartbeat of before arrives late.
BOOST_AUTO_TEST_CASE(ALateHeartbeatAfterARestartBringsNobodyBack) {
  ServedShop shop;
  HeartbeatFields late = shop.own_;
  late.sequence_ = 2;
  BOOST_TEST(shop.daemon_.Deregister(shop.own_) == 200);
  shop.Restart();
  BOOST_TEST(shop.daemon_.Beat(late) == 200);
  BOOST_TEST(!PollUntil([&] { return shop.daemon_.Get("/shop/late") == 200; },
                        std::chrono::seconds(2)));
  BOOST_TEST(shop.upstream_.Calls("/shop/late").empty());
  HeartbeatFields next = shop.own_;
  next.born_ms_ += 1;
  BOOST_TEST(shop.daemon_.Beat(next) == 200);
  BOOST_TEST(shop.daemon_.AwaitServed("/shop/next"));
}

// Guards against the same by an upstream that reports that it drains.
BOOST_AUTO_TEST_CASE(ADrainingUpstreamIsNotReadyAfterARestart) {
  ServedShop shop;
  HeartbeatFields late = shop.own_;
  late.sequence_ = 2;
  HeartbeatFields draining = shop.own_;
  draining.sequence_ = 3;
  draining.state_ = "draining";
  BOOST_TEST(shop.daemon_.Beat(draining) == 200);
  shop.Restart();
  BOOST_TEST(shop.daemon_.Beat(late) == 200);
  BOOST_TEST(!PollUntil([&] { return shop.daemon_.Get("/shop/late") == 200; },
                        std::chrono::seconds(2)));
  BOOST_TEST(shop.upstream_.Calls("/shop/late").empty());
}

// Guards against DRAIN of review/2: requests that wait in the queue of an
// upstream are sent to it long after it has reported that it leaves.
void ExpectTheQueueIsRefusedAtOnce(const std::string& report) {
  ServedShop shop;
  shop.own_.slots_ = 1;
  ++shop.own_.sequence_;
  BOOST_REQUIRE(shop.daemon_.Beat(shop.own_) == 200);
  shop.upstream_.SetWork(std::chrono::milliseconds(1500));
  std::vector<std::future<int>> answers;
  for (int i = 0; i < 2; ++i) {
    answers.push_back(std::async(std::launch::async, [&shop] {
      return shop.daemon_.Get("/shop/queue", {{"X-Deadline-Ms", "4000"}});
    }));
    // The second comes when the first has the only slot.
    BOOST_REQUIRE(PollUntil(
        [&shop] { return shop.upstream_.Calls("/shop/queue").size() == 1; }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  ++shop.own_.sequence_;
  shop.own_.state_ = "draining";
  BOOST_TEST((report == "deregister" ? shop.daemon_.Deregister(shop.own_)
                                     : shop.daemon_.Beat(shop.own_)) == 200);
  BOOST_TEST((answers[1].wait_for(std::chrono::milliseconds(500)) ==
              std::future_status::ready));
  BOOST_TEST(answers[0].get() == 200);
  BOOST_TEST(answers[1].get() == 503);
  BOOST_TEST(shop.upstream_.Calls("/shop/queue").size() == 1u);
}

BOOST_AUTO_TEST_CASE(ADrainEndsTheWaitForASlot) {
  ExpectTheQueueIsRefusedAtOnce("draining");
}

BOOST_AUTO_TEST_CASE(ADeregistrationEndsTheWaitForASlot) {
  ExpectTheQueueIsRefusedAtOnce("deregister");
}

// A daemon beside an upstream, and its only relay in another daemon.
class ShopBesideCore {
 public:
  ShopBesideCore() {
    core_.ServeNoCallers();
    core_.Start();
    daemon_.Follow(core_);
    daemon_.Start();
    own_.address_ = "127.0.0.1:" + std::to_string(upstream_.Port());
    BOOST_REQUIRE(PollUntil([this] { return daemon_.Beat(own_) == 200; }));
    BOOST_REQUIRE(daemon_.AwaitServed("/shop/first"));
    late_ = own_;
    late_.sequence_ = 2;
  }

  // The upstream reports that it leaves, with the same words each time.
  int Leave(const std::string& report) {
    HeartbeatFields draining = own_;
    draining.sequence_ = 3;
    draining.state_ = "draining";
    return report == "deregister" ? daemon_.Deregister(own_)
                                  : daemon_.Beat(draining);
  }
  size_t Runs(const std::string& path) const {
    return upstream_.Calls(path).size();
  }

  PlatformDaemon core_;
  PlatformDaemon daemon_;
  RecordingUpstream upstream_;
  HeartbeatFields own_;
  HeartbeatFields late_;  // Sent before it leaves.
};

// Guards against DRAIN of review/13: a departure is acknowledged while no relay
// has stored it, and is forgotten when the daemon is killed.
void ExpectNoPromiseThatADaemonAloneKeeps(const std::string& report) {
  ShopBesideCore shop;
  shop.core_.Stop();
  // The second report is a repetition, of which the daemon knows already.
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(shop.Leave(report) == 503, report);
  }
  // Nothing more is sent there all the same, whatever arrives late.
  BOOST_TEST(shop.daemon_.Beat(shop.late_) == 200, report);
  BOOST_TEST(shop.daemon_.Get("/shop/refused") == 503, report);
  BOOST_TEST(shop.Runs("/shop/refused") == 0u, report);
  // Once a relay can be asked, the promise outlives both.
  shop.core_.Start();
  BOOST_TEST(PollUntil([&] { return shop.Leave(report) == 200; }), report);
  shop.core_.Stop();
  shop.daemon_.Stop();
  shop.core_.Start();
  shop.daemon_.Start();
  BOOST_TEST(PollUntil([&] { return shop.daemon_.Beat(shop.late_) == 200; }),
             report);
  BOOST_TEST(!PollUntil([&] { return shop.daemon_.Get("/shop/late") == 200; },
                        std::chrono::seconds(2)),
             report);
  BOOST_TEST(shop.Runs("/shop/late") == 0u, report);
}

BOOST_AUTO_TEST_CASE(ADeregistrationIsAcknowledgedOnceARelayHasIt) {
  ExpectNoPromiseThatADaemonAloneKeeps("deregister");
}

BOOST_AUTO_TEST_CASE(ADrainIsAcknowledgedOnceARelayHasIt) {
  ExpectNoPromiseThatADaemonAloneKeeps("draining");
}

// A restart of the daemon alone is no departure.
BOOST_AUTO_TEST_CASE(AnUpstreamThatStaysIsUsedAfterARestart) {
  ServedShop shop;
  shop.Restart();
  ++shop.own_.sequence_;
  BOOST_TEST(shop.daemon_.Beat(shop.own_) == 200);
  BOOST_TEST(shop.daemon_.AwaitServed("/shop/again"));
}

}  // namespace
}  // namespace buckthorngate::tests
