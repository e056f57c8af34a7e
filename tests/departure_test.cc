// Upstreams that leave, seen from outside the daemon beside them: it restarts,
// and reports arrive late.
#define BOOST_TEST_MODULE departure
#include <boost/test/unit_test.hpp>

#include <string>

#include "platform_daemon.h"

namespace buckthorngate::tests {
namespace {

class ServedShop {
 public:
  ServedShop() {
    daemon_.Start();
    own_.address_ = "127.0.0.1:" + std::to_string(upstream_.Port());
    BOOST_REQUIRE(daemon_.Beat(own_) == 200);
    BOOST_REQUIRE(daemon_.AwaitServed("/shop/first"));
  }

  // Ends the daemon without notice and starts it again.
  void Restart() {
    daemon_.Stop();
    daemon_.Start();
  }

  PlatformDaemon daemon_;
  RecordingUpstream upstream_;
  HeartbeatFields own_;
};

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
