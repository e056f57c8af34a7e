// Callers whose bodies are malformed or exceed a limit, at a whole daemon: they
// are told so, no upstream runs their requests, and others are served.
#define BOOST_TEST_MODULE malformed_body
#include <boost/test/unit_test.hpp>

#include <string>

#include "platform_daemon.h"

namespace buckthorngate::tests {
namespace {

constexpr char kChunk[] = "5\r\nhello\r\n";
constexpr char kLastChunk[] = "0\r\n";

std::string Request(const std::string& body) {
  return "POST /shop/bad HTTP/1.1\r\nHost: h\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         body;
}

// More than an entry buffers, so that it is streamed.
std::string LongChunk() {
  constexpr size_t kBytes = 0x14000;
  return "14000\r\n" + std::string(kBytes, 'b') + "\r\n";
}

// Guards against a daemon that ends by the request of one caller, and against a
// caller that is asked to send such a request again (503).
BOOST_AUTO_TEST_CASE(AMalformedBodyIsAnsweredAsSuch) {
  struct MalformedCase {
    std::string body_;
    std::string status_;
  };
  const std::string long_line = "x: " + std::string(70'000, 'y') + "\r\n\r\n";
  const std::string half_line = "x: " + std::string(20'000, 'y') + "\r\n\r\n";
  const MalformedCase cases[] = {
      {kChunk + std::string(kLastChunk) + long_line, "431"},
      {kChunk + std::string(kLastChunk) + half_line, "431"},
      {kChunk + std::string("no chunk\r\n"), "400"},
      // Beyond the body limit of 100,000 bytes.
      {"20000\r\n", "413"},
  };
  ServedShop shop;
  for (const MalformedCase& item : cases) {
    const std::string line = shop.daemon_.SendRaw(Request(item.body_));
    BOOST_TEST(line.starts_with("HTTP/1.1 " + item.status_),
               item.body_.substr(0, 30) + " gave " + line);
    BOOST_TEST(shop.daemon_.Get("/shop/other") == 200);
  }
  // It is known to be malformed only once its beginning has been passed on.
  const std::string line =
      shop.daemon_.SendRaw(Request(LongChunk() + kLastChunk + long_line));
  BOOST_TEST(!line.starts_with("HTTP/1.1 2"), line);
  BOOST_TEST(!line.starts_with("HTTP/1.1 503"), line);
  BOOST_TEST(shop.daemon_.Get("/shop/other") == 200);
  BOOST_TEST(shop.upstream_.Calls("/shop/bad").empty());
  // The same body with a trailer within the limit.
  const std::string sound =
      shop.daemon_.SendRaw(Request(LongChunk() + kLastChunk + "x: y\r\n\r\n"));
  BOOST_TEST(sound.starts_with("HTTP/1.1 200"), sound);
  BOOST_TEST(shop.upstream_.Calls("/shop/bad").size() == 1u);
}

}  // namespace
}  // namespace buckthorngate::tests
