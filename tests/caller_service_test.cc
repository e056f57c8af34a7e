// Who may change what a daemon tells upstreams of the origin of a request: only
// the settings of its host. Heartbeats of other writers and callers do not.
#define BOOST_TEST_MODULE caller_service
#include <boost/test/unit_test.hpp>

#include <strings.h>

#include <string>
#include <vector>

#include "platform_daemon.h"

namespace buckthorngate::tests {
namespace {

constexpr char kCallerService[] = "X-Caller-Service";
constexpr char kForged[] = "x285460";

class ObservedShop : public ServedShop {
 public:
  // All values of the header in the requests with this path.
  std::vector<std::string> ServicesOf(const std::string& path) const {
    std::vector<std::string> services;
    for (const UpstreamCall& call : upstream_.Calls(path)) {
      for (const auto& [name, value] : call.headers_) {
        if (strcasecmp(name.c_str(), kCallerService) == 0) {
          services.push_back(value);
        }
      }
    }
    return services;
  }

  // Sends a request, which the host's own service must be told for.
  void ExpectOwnService(const std::string& path, const std::string& what) {
    BOOST_TEST(daemon_.Get(path) == 200, what << ": not served");
    const std::vector<std::string> services = ServicesOf(path);
    BOOST_TEST(services == std::vector<std::string>{"shop"},
               what << ": " << (services.empty() ? "none" : services[0]));
  }
};

// Guards against UNASKED of review/1: one heartbeat of another writer changed
// the caller's service of all later requests of its host.
BOOST_AUTO_TEST_CASE(AHeartbeatOfAnotherServiceChangesNoOrigin) {
  ObservedShop shop;
  std::vector<HeartbeatFields> strays(4, shop.own_);
  strays[0].instance_ = "i-other";
  strays[0].address_ = "127.0.0.1:1";
  strays[1].instance_ = "i-other";
  strays[2].sequence_ = 2;
  strays[3].instance_ = "i-other";
  strays[3].born_ms_ += 1;
  for (size_t i = 0; i < strays.size(); ++i) {
    strays[i].service_ = kForged;
    const std::string what = "stray " + std::to_string(i);
    BOOST_TEST(shop.daemon_.Beat(strays[i]) == 400, what);
    shop.ExpectOwnService("/shop/stray" + std::to_string(i), what);
    ++shop.own_.sequence_;
    BOOST_TEST(shop.daemon_.Beat(shop.own_) == 200, what);
    shop.ExpectOwnService("/shop/after" + std::to_string(i), what);
  }
}

// Guards against the same by a stray heartbeat that comes first after a start.
BOOST_AUTO_TEST_CASE(TheFirstHeartbeatAfterAStartDecidesNothing) {
  ObservedShop shop;
  shop.daemon_.Stop();
  shop.daemon_.Start();
  HeartbeatFields stray = shop.own_;
  stray.service_ = kForged;
  stray.sequence_ = 1000;
  BOOST_TEST(shop.daemon_.Beat(stray) == 400);
  ++shop.own_.sequence_;
  BOOST_TEST(shop.daemon_.Beat(shop.own_) == 200);
  BOOST_REQUIRE(shop.daemon_.AwaitServed("/shop/again"));
  shop.ExpectOwnService("/shop/restarted", "after a restart");
}

// Guards against upstreams that are told what the caller says of itself: in
// headers of the platform or of daemons, once or twice, beside bodies in
// chunks, and in their trailers.
BOOST_AUTO_TEST_CASE(ACallerCannotNameItsService) {
  ObservedShop shop;
  const httplib::Headers forged = {{kCallerService, kForged},
                                   {"x-caller-service", kForged},
                                   {"Bg-Caller-Service", kForged}};
  BOOST_TEST(shop.daemon_.Get("/shop/get", forged) == 200);
  BOOST_TEST(shop.ServicesOf("/shop/get") == std::vector<std::string>{"shop"});
  BOOST_TEST(shop.daemon_.PostChunked("/shop/chunks", forged) == 200);
  BOOST_TEST(shop.ServicesOf("/shop/chunks") ==
             std::vector<std::string>{"shop"});
  const std::string answer = shop.daemon_.SendRaw(
      "POST /shop/trailer HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 2000\r\n"
      "Transfer-Encoding: chunked\r\nTrailer: X-Caller-Service\r\n\r\n"
      "4\r\nbody\r\n0\r\nX-Caller-Service: x285460\r\n"
      "Bg-Caller-Service: x285460\r\n\r\n");
  BOOST_TEST(answer.find("200") != std::string::npos, answer);
  BOOST_TEST(shop.ServicesOf("/shop/trailer") ==
             std::vector<std::string>{"shop"});
}

}  // namespace
}  // namespace buckthorngate::tests
