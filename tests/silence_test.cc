// Daemons that have stopped answering.
#define BOOST_TEST_MODULE silence
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/peer_watch.h"
#include "request/endpoint_stats.h"
#include "request/peer_failure_detector.h"

namespace buckthorngate::tests {
namespace {

using request::PeerFailureDetector;
using Names = std::vector<std::string>;

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

// Pattern: a zone was cut off, and the requests that waited for its daemons
// waited until their deadlines.
BOOST_AUTO_TEST_CASE(APeerIsProbedOnceNothingCameWhileARequestWaited) {
  PeerFailureDetector peers;
  BOOST_TEST(peers.Idle());
  peers.Begin(1, "a", AtMs(0));
  BOOST_TEST(peers.TakePeersToProbe(AtMs(100)).empty());
  BOOST_TEST((peers.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  BOOST_TEST((peers.PendingRequests("a") == std::vector<uint64_t>{1}));
  peers.RecordActivity("a", AtMs(120));
  BOOST_TEST(peers.TakePeersToProbe(AtMs(200)).empty());
  BOOST_TEST((peers.TakePeersToProbe(AtMs(240)) == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestShowsThatThePeerIsThere) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  peers.Begin(2, "a", AtMs(50));
  peers.End(2, "a", /*answered=*/true, AtMs(110));
  BOOST_TEST(peers.TakePeersToProbe(AtMs(200)).empty());
  BOOST_TEST((peers.TakePeersToProbe(AtMs(230)) == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(ARequestThatFailedShowsNothing) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  peers.Begin(2, "a", AtMs(0));
  peers.End(2, "a", /*answered=*/false, AtMs(110));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  peers.End(1, "a", /*answered=*/true, AtMs(130));
  BOOST_TEST(peers.Idle());
  // Ended before: of no effect.
  peers.End(1, "a", /*answered=*/true, AtMs(140));
  BOOST_TEST(peers.Idle());
}

BOOST_AUTO_TEST_CASE(PeersAreJudgedApart) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  peers.Begin(2, "b", AtMs(60));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(130)) == Names{"a"}));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(180)) == Names{"b"}));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(380)) == Names{"a"}));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(430)) == Names{"b"}));
}

// Guards against a lost packet of a probe that looks like an unreachable peer.
BOOST_AUTO_TEST_CASE(ASilentPeerIsProbedAgainUntilItIsHeard) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  BOOST_TEST(peers.TakePeersToProbe(AtMs(300)).empty());
  BOOST_TEST((peers.TakePeersToProbe(AtMs(370)) == Names{"a"}));
  BOOST_TEST(peers.IsUnreachable("a", AtMs(120)));
  peers.RecordActivity("a", AtMs(500));
  BOOST_TEST(!peers.IsUnreachable("a", AtMs(120)));
  BOOST_TEST(!peers.IsUnreachable("a", AtMs(370)));
  BOOST_TEST(!peers.IsUnreachable("b", AtMs(0)));
}

// Guards against a request that is broken off by a probe that began before it,
// though the peer has answered another request since then.
BOOST_AUTO_TEST_CASE(AProbeSaysNothingOncePeersWereNotWaitedFor) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  peers.End(1, "a", /*answered=*/true, AtMs(300));
  peers.Begin(2, "a", AtMs(500));
  BOOST_TEST(!peers.IsUnreachable("a", AtMs(120)));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(620)) == Names{"a"}));
  BOOST_TEST(peers.IsUnreachable("a", AtMs(620)));
}

// Guards against peers that are given up because this process was stopped.
BOOST_AUTO_TEST_CASE(TheTimeOfAnOwnStallIsNotHeldAgainstPeers) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  peers.RestartTimeouts(AtMs(3000));
  BOOST_TEST(!peers.IsUnreachable("a", AtMs(120)));
  BOOST_TEST(peers.TakePeersToProbe(AtMs(3050)).empty());
}

// Answers each probe after the same time.
class FixedProbe : public daemon::PeerProbe {
 public:
  FixedProbe(http::EventLoop& loop, base::Duration answers_after)
      : loop_(loop), answers_after_(answers_after) {}

  http::Task<http::Probed> Probe(const std::string&,
                                 base::Duration timeout) override {
    ++probes_;
    if (answers_after_ == kNeverMade) {
      co_return http::Probed::kNotMade;
    }
    co_await http::Sleep(loop_.Context(), std::min(answers_after_, timeout));
    co_return answers_after_ < timeout ? http::Probed::kReached
                                       : http::Probed::kNotReached;
  }

  // In place of a time: no probe can be made.
  static constexpr base::Duration kNeverMade{-1};

  std::atomic<int> probes_{0};

 private:
  http::EventLoop& loop_;
  const base::Duration answers_after_;
};

// A watch with one request that waits for a peer.
class WatchedRequest {
 public:
  explicit WatchedRequest(base::Duration probe_answers_after)
      : probe_(loop_, probe_answers_after), watch_(clock_, loop_, probe_) {
    loop_.Start();
    loop_.RunAndWait([this] {
      pending_ = std::make_unique<daemon::PeerWatch::PendingRequest>(
          watch_, "peer", caller_, /*may_abort=*/true, [this] { ++unheard_; });
    });
  }
  ~WatchedRequest() {
    loop_.RunAndWait([this] { pending_.reset(); });
    loop_.Stop();
  }

  bool GivenUp() {
    bool given_up = false;
    loop_.RunAndWait([&] { given_up = pending_->Aborted(); });
    return given_up;
  }
  int Probes() const { return probe_.probes_; }
  int Unheard() const { return unheard_; }

 private:
  std::atomic<int> unheard_{0};
  base::SystemClock clock_;
  http::EventLoop loop_;
  FixedProbe probe_;
  daemon::PeerWatch watch_;
  http::CancelSignal caller_;
  std::unique_ptr<daemon::PeerWatch::PendingRequest> pending_;
};

// Guards against answers that are broken off at a peer whose link is full: it
// answers a probe as late as packets wait on such a link.
BOOST_AUTO_TEST_CASE(APeerBehindAFullLinkIsWaitedFor) {
  WatchedRequest request(std::chrono::milliseconds(1200));
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  BOOST_TEST(request.Probes() > 1);
  BOOST_TEST(!request.GivenUp());
}

// Guards against a peer that is given up, or left out, because this process has
// no free descriptor for a probe.
BOOST_AUTO_TEST_CASE(AProbeThatCouldNotBeMadeSaysNothing) {
  WatchedRequest request(FixedProbe::kNeverMade);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  BOOST_TEST(request.Probes() > 5);
  // Not at each tick of the watch.
  BOOST_TEST(request.Probes() <= 11);
  BOOST_TEST(request.Unheard() == 0);
  BOOST_TEST(!request.GivenUp());
}

BOOST_AUTO_TEST_CASE(AProbeAfterOneThatCouldNotBeMadeIsJudgedAnew) {
  PeerFailureDetector peers;
  peers.Begin(1, "a", AtMs(0));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  peers.MarkProbeNotSent("a");
  BOOST_TEST((peers.TakePeersToProbe(AtMs(370)) == Names{"a"}));
  BOOST_TEST(!peers.IsUnresponsive("a"));
  BOOST_TEST((peers.TakePeersToProbe(AtMs(620)) == Names{"a"}));
  BOOST_TEST(peers.IsUnresponsive("a"));
}

// Pattern: a zone was cut off; see above.
BOOST_AUTO_TEST_CASE(APeerThatAnswersNoProbeIsGivenUp) {
  WatchedRequest request(std::chrono::hours(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(1400));
  BOOST_TEST(!request.GivenUp());
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  BOOST_TEST(request.GivenUp());
}

// Guards against new requests that go to a daemon which has not been heard,
// until it is given up: they wait as long as the first one.
BOOST_AUTO_TEST_CASE(OthersGoFirstWhileAPeerIsNotHeard) {
  WatchedRequest unheard(std::chrono::milliseconds(450));
  WatchedRequest heard(std::chrono::milliseconds(100));
  std::this_thread::sleep_for(std::chrono::milliseconds(900));
  BOOST_TEST(unheard.Unheard() > 0);
  BOOST_TEST(heard.Unheard() == 0);
  request::EndpointStats stats(AtMs(0));
  stats.EjectUntil(AtMs(600));
  BOOST_TEST(stats.Ejected(AtMs(599)));
  BOOST_TEST(!stats.Ejected(AtMs(600)));
  // It was not refused: the next ejection is as short as a first one.
  stats.Eject(AtMs(600));
  BOOST_TEST(!stats.Ejected(AtMs(800)));
}

}  // namespace
}  // namespace buckthorngate::tests
