// Daemons that have stopped answering.
#define BOOST_TEST_MODULE silence
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "request/silent_peers.h"

namespace buckthorngate::tests {
namespace {

using request::SilentPeers;
using Names = std::vector<std::string>;

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

// Pattern: a zone was cut off, and the requests that waited for its daemons
// waited until their deadlines.
BOOST_AUTO_TEST_CASE(APeerIsProbedOnceNothingCameWhileARequestWaited) {
  SilentPeers peers;
  BOOST_TEST(peers.Idle());
  peers.Begin(1, "a", AtMs(0));
  BOOST_TEST(peers.ToProbe(AtMs(100)).empty());
  BOOST_TEST((peers.ToProbe(AtMs(120)) == Names{"a"}));
  BOOST_TEST((peers.WaitingFor("a") == std::vector<uint64_t>{1}));
  peers.Heard("a", AtMs(120));
  BOOST_TEST(peers.ToProbe(AtMs(200)).empty());
  BOOST_TEST((peers.ToProbe(AtMs(240)) == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestShowsThatThePeerIsThere) {
  SilentPeers peers;
  peers.Begin(1, "a", AtMs(0));
  peers.Begin(2, "a", AtMs(50));
  peers.End(2, "a", /*answered=*/true, AtMs(110));
  BOOST_TEST(peers.ToProbe(AtMs(200)).empty());
  BOOST_TEST((peers.ToProbe(AtMs(230)) == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(ARequestThatFailedShowsNothing) {
  SilentPeers peers;
  peers.Begin(1, "a", AtMs(0));
  peers.Begin(2, "a", AtMs(0));
  peers.End(2, "a", /*answered=*/false, AtMs(110));
  BOOST_TEST((peers.ToProbe(AtMs(120)) == Names{"a"}));
  peers.End(1, "a", /*answered=*/true, AtMs(130));
  BOOST_TEST(peers.Idle());
  // Ended before: of no effect.
  peers.End(1, "a", /*answered=*/true, AtMs(140));
  BOOST_TEST(peers.Idle());
}

BOOST_AUTO_TEST_CASE(PeersAreJudgedApart) {
  SilentPeers peers;
  peers.Begin(1, "a", AtMs(0));
  peers.Begin(2, "b", AtMs(60));
  BOOST_TEST((peers.ToProbe(AtMs(130)) == Names{"a"}));
  BOOST_TEST((peers.ToProbe(AtMs(180)) == Names{"a", "b"}));
}

}  // namespace
}  // namespace buckthorngate::tests
