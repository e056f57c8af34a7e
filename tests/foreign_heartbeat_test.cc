// Heartbeats and deregistrations of other writers than the host's upstream:
// well-formed, of the host's own service, but with another id, start, version,
// sequence or address. The upstream that runs keeps its entry.
#define BOOST_TEST_MODULE foreign_heartbeat
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "platform_daemon.h"

namespace buckthorngate::tests {
namespace {

constexpr int kRequests = 40;
constexpr int64_t kTenYearsMs = int64_t{10} * 365 * 24 * 3600 * 1000;

struct Stray {
  std::string what_;
  HeartbeatFields fields_;
};

std::vector<Stray> StraysOf(const HeartbeatFields& own) {
  std::vector<Stray> strays(8, Stray{"", own});
  strays[0].what_ = "another id";
  strays[0].fields_.instance_ = "i-other";
  strays[1].what_ = "another id and a later start";
  strays[1].fields_.instance_ = "i-other";
  strays[1].fields_.born_ms_ += 1;
  strays[2].what_ = "another id and a start in the future";
  strays[2].fields_.instance_ = "i-other";
  strays[2].fields_.born_ms_ += kTenYearsMs;
  strays[3].what_ = "a start in the future";
  strays[3].fields_.born_ms_ += kTenYearsMs;
  strays[4].what_ = "an earlier start";
  strays[4].fields_.born_ms_ -= 1;
  strays[5].what_ = "another version";
  strays[5].fields_.version_ = "v9";
  strays[6].what_ = "a later start";
  strays[6].fields_.born_ms_ += 1;
  strays[7].what_ = "no start";
  strays[7].fields_.born_ms_ = 0;
  for (Stray& stray : strays) {
    stray.fields_.sequence_ = own.sequence_ + 1;
  }
  return strays;
}

// Sends requests and returns how many were served.
int CountServed(ServedShop& shop, const std::string& path) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    served += shop.daemon_.Get(path) == 200 ? 1 : 0;
  }
  return served;
}

// Guards against UNASKED of issue 42 in its next form: a heartbeat of the
// host's own service replaces the upstream that runs.
BOOST_AUTO_TEST_CASE(AHeartbeatOfAnotherStartReplacesNobody) {
  ServedShop shop;
  shop.upstream_.SetInstance(shop.own_.instance_);
  for (const Stray& stray : StraysOf(shop.own_)) {
    HeartbeatFields fields = stray.fields_;
    fields.sequence_ = shop.own_.sequence_ + 1;
    BOOST_TEST(shop.daemon_.Beat(fields) == 409, stray.what_);
    BOOST_TEST(CountServed(shop, "/shop/stray") == kRequests, stray.what_);
    ++shop.own_.sequence_;
    BOOST_TEST(shop.daemon_.Beat(shop.own_) == 200, stray.what_);
    BOOST_TEST(CountServed(shop, "/shop/after") == kRequests, stray.what_);
  }
}

// Guards against a stray heartbeat that a daemon gets first after its start,
// and that keeps out the upstream that runs.
BOOST_AUTO_TEST_CASE(TheUpstreamsAnswerEndsAFalseAnnouncement) {
  const HeartbeatFields usual;
  for (const Stray& stray : StraysOf(usual)) {
    if (stray.fields_.instance_ == usual.instance_) {
      // Requests for it are served. The registry's test has it.
      continue;
    }
    ServedShop shop;
    shop.upstream_.SetInstance(shop.own_.instance_);
    shop.Restart();
    HeartbeatFields first = stray.fields_;
    first.address_ = shop.own_.address_;
    BOOST_TEST(shop.daemon_.Beat(first) == 200, stray.what_);
    const auto served = [&shop] {
      ++shop.own_.sequence_;
      (void)shop.daemon_.Beat(shop.own_);
      return shop.daemon_.Get("/shop/own") == 200;
    };
    BOOST_TEST(PollUntil(served, std::chrono::seconds(5)), stray.what_);
  }
}

// Guards against a sequence number that keeps out the upstream that runs for
// longer than a lease.
BOOST_AUTO_TEST_CASE(AnUpstreamThatGoesOnAnnouncingKeepsItsEntry) {
  constexpr std::chrono::milliseconds kLease{6000};
  constexpr std::chrono::milliseconds kInterval{250};
  ServedShop shop(kLease);
  HeartbeatFields stray = shop.own_;
  stray.sequence_ = uint64_t{1} << 40;
  BOOST_TEST(shop.daemon_.Beat(stray) == 200);
  int failed = 0;
  const std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + 2 * kLease;
  while (std::chrono::steady_clock::now() < until) {
    ++shop.own_.sequence_;
    (void)shop.daemon_.Beat(shop.own_);
    failed += shop.daemon_.Get("/shop/sequence") == 200 ? 0 : 1;
    std::this_thread::sleep_for(kInterval);
  }
  BOOST_TEST(failed == 0);
}

// Guards against a deregistration of a start that never was.
BOOST_AUTO_TEST_CASE(ADeregistrationOfALaterStartRemovesNobody) {
  ServedShop shop;
  HeartbeatFields stray = shop.own_;
  stray.born_ms_ += kTenYearsMs;
  BOOST_TEST(shop.daemon_.Deregister(stray) == 409);
  stray.born_ms_ = shop.own_.born_ms_ + 1;
  BOOST_TEST(shop.daemon_.Deregister(stray) == 409);
  BOOST_TEST(CountServed(shop, "/shop/left") == kRequests);
  ++shop.own_.sequence_;
  BOOST_TEST(shop.daemon_.Beat(shop.own_) == 200);
  BOOST_TEST(shop.daemon_.Deregister(shop.own_) == 200);
  BOOST_TEST(shop.daemon_.Get("/shop/gone") != 200);
}

// Guards against DRAIN by a false later start that holds the address: the
// upstream's deregistration is acknowledged and requests are still sent to it.
BOOST_AUTO_TEST_CASE(ADeregistrationThatEndsNothingIsNotAcknowledged) {
  ServedShop shop;
  shop.Restart();
  HeartbeatFields stray = shop.own_;
  stray.born_ms_ += 1;
  BOOST_TEST(shop.daemon_.Beat(stray) == 200);
  BOOST_TEST(shop.daemon_.AwaitServed("/shop/held"));
  BOOST_TEST(shop.daemon_.Deregister(shop.own_) == 409);
  BOOST_TEST(shop.daemon_.Deregister(stray) == 200);
  BOOST_TEST(shop.daemon_.Get("/shop/held") != 200);
}

// An upstream that has started again under a new id is in use soon: the answer
// of the new one to a request for the old one ends the old entry.
BOOST_AUTO_TEST_CASE(AnUpstreamThatStartedAgainIsInUseSoon) {
  ServedShop shop;
  HeartbeatFields next = shop.own_;
  next.instance_ = "i-2";
  next.born_ms_ += 1;
  next.sequence_ = 1;
  shop.upstream_.SetInstance(next.instance_);
  const auto served = [&shop, &next] {
    (void)shop.daemon_.Get("/shop/next");
    const bool accepted = shop.daemon_.Beat(next) == 200;
    ++next.sequence_;
    return accepted && shop.daemon_.Get("/shop/next") == 200;
  };
  BOOST_TEST(PollUntil(served, std::chrono::seconds(5)));
}

}  // namespace
}  // namespace buckthorngate::tests
