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
