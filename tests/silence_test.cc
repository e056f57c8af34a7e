// Failure detection for the daemons that requests wait for.
#define BOOST_TEST_MODULE silence
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/serving/peer_watch.h"
#include "request/endpoint_stats.h"
#include "request/peer_failure_detector.h"

namespace buckthorngate::tests {
namespace {

using request::PeerFailureDetector;
using Names = std::vector<std::string>;

base::MonoTime AtMs(int64_t ms) {
  return base::MonoTime(std::chrono::milliseconds(1'000'000 + ms));
}

// Guards against requests that wait until their deadlines for the daemons of a
// zone that has been partitioned.
BOOST_AUTO_TEST_CASE(APeerIsProbedAfterSilenceWhileARequestWaits) {
  PeerFailureDetector detector;
  BOOST_TEST(detector.Idle());
  detector.Begin(1, "a", AtMs(0));
  BOOST_TEST(detector.TakePeersToProbe(AtMs(100)).empty());
  BOOST_TEST((detector.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  const std::vector<uint64_t> waiting = {1};
  BOOST_TEST((detector.PendingRequests("a", AtMs(120)) == waiting));
  detector.RecordActivity("a", AtMs(120));
  BOOST_TEST(detector.TakePeersToProbe(AtMs(200)).empty());
  BOOST_TEST((detector.TakePeersToProbe(AtMs(240)) == Names{"a"}));
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestCountsAsActivity) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  detector.Begin(2, "a", AtMs(50));
  detector.End(2, "a", /*answered=*/true, AtMs(110));
  BOOST_TEST(detector.TakePeersToProbe(AtMs(200)).empty());
  BOOST_TEST((detector.TakePeersToProbe(AtMs(230)) == Names{"a"}));
}

// Guards against sending requests again that have just been sent, because their
// peer was found unreachable for others.
BOOST_AUTO_TEST_CASE(RequestsAreSelectedByTheirWaitingTime) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  detector.Begin(2, "a", AtMs(200));
  const std::vector<uint64_t> first = {1};
  const std::vector<uint64_t> both = {1, 2};
  BOOST_TEST((detector.PendingRequests("a", AtMs(199)) == first));
  BOOST_TEST((detector.PendingRequests("a", AtMs(200)) == both));
  BOOST_TEST(detector.PendingRequests("b", AtMs(200)).empty());
}

BOOST_AUTO_TEST_CASE(AFailedRequestDoesNotCountAsActivity) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  detector.Begin(2, "a", AtMs(0));
  detector.End(2, "a", /*answered=*/false, AtMs(110));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  detector.End(1, "a", /*answered=*/true, AtMs(130));
  BOOST_TEST(detector.Idle());
  // Ending a request again has no effect.
  detector.End(1, "a", /*answered=*/true, AtMs(140));
  BOOST_TEST(detector.Idle());
}

BOOST_AUTO_TEST_CASE(PeersAreTrackedIndependently) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  detector.Begin(2, "b", AtMs(60));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(130)) == Names{"a"}));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(180)) == Names{"b"}));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(380)) == Names{"a"}));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(430)) == Names{"b"}));
}

// Guards against taking a peer for unreachable because a packet of a probe was
// lost.
BOOST_AUTO_TEST_CASE(ASilentPeerIsProbedAgainUntilItResponds) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  BOOST_TEST(detector.TakePeersToProbe(AtMs(300)).empty());
  BOOST_TEST((detector.TakePeersToProbe(AtMs(370)) == Names{"a"}));
  BOOST_TEST(detector.IsUnreachable("a", AtMs(120)));
  detector.RecordActivity("a", AtMs(500));
  BOOST_TEST(!detector.IsUnreachable("a", AtMs(120)));
  BOOST_TEST(!detector.IsUnreachable("a", AtMs(370)));
  BOOST_TEST(!detector.IsUnreachable("b", AtMs(0)));
}

// Guards against a request that is cancelled because of a failed probe that
// began before the request, although the peer has answered another request
// since then.
BOOST_AUTO_TEST_CASE(AProbeIsIgnoredUnlessARequestWaitedThroughout) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  detector.End(1, "a", /*answered=*/true, AtMs(300));
  detector.Begin(2, "a", AtMs(500));
  BOOST_TEST(!detector.IsUnreachable("a", AtMs(120)));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(620)) == Names{"a"}));
  BOOST_TEST(detector.IsUnreachable("a", AtMs(620)));
}

// Guards against aborting requests because this process was stalled.
BOOST_AUTO_TEST_CASE(AStallOfThisProcessRestartsTheTimeouts) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  detector.RestartTimeouts(AtMs(3000));
  BOOST_TEST(!detector.IsUnreachable("a", AtMs(120)));
  BOOST_TEST(detector.TakePeersToProbe(AtMs(3050)).empty());
}

// Answers each probe after a fixed time.
class FixedProbe : public daemon::serving::PeerProbe {
 public:
  FixedProbe(http::EventLoop& loop, base::Duration answers_after)
      : loop_(loop), answers_after_(answers_after) {}

  http::Task<http::Probed> Probe(const std::string&,
                                 base::Duration timeout) override {
    ++probes_;
    if (answers_after_ == kNeverSent) {
      co_return http::Probed::kNotMade;
    }
    co_await http::Sleep(loop_.Context(), std::min(answers_after_, timeout));
    co_return answers_after_ < timeout ? http::Probed::kReached
                                       : http::Probed::kNotReached;
  }

  // In place of a time: no probe can be sent.
  static constexpr base::Duration kNeverSent{-1};

  std::atomic<int> probes_{0};

 private:
  http::EventLoop& loop_;
  const base::Duration answers_after_;
};

// A PeerWatch with one request that waits for a peer.
class WatchedRequest {
 public:
  explicit WatchedRequest(base::Duration probe_answers_after)
      : probe_(loop_, probe_answers_after), watch_(clock_, loop_, probe_) {
    loop_.Start();
    loop_.RunAndWait([this] {
      pending_ = std::make_unique<daemon::serving::PeerWatch::PendingRequest>(
          watch_, "peer",
          daemon::serving::PeerWatch::Listener{
              [this] { ++unresponsive_notices_; },
              [this] { ++unreachable_notices_; }});
    });
  }
  ~WatchedRequest() {
    loop_.RunAndWait([this] { pending_.reset(); });
    loop_.Stop();
  }

  // Whether the request was notified that its peer is unreachable.
  bool Unreachable() const { return unreachable_notices_ > 0; }
  int Probes() const { return probe_.probes_; }
  // How often the request was notified that its peer is unresponsive.
  int UnresponsiveNotices() const { return unresponsive_notices_; }

 private:
  std::atomic<int> unresponsive_notices_{0};
  std::atomic<int> unreachable_notices_{0};
  base::SystemClock clock_;
  http::EventLoop loop_;
  FixedProbe probe_;
  daemon::serving::PeerWatch watch_;
  std::unique_ptr<daemon::serving::PeerWatch::PendingRequest> pending_;
};

// Guards against finding a peer unreachable whose link is saturated: packets
// wait on such a link, so that it answers probes with a long delay.
BOOST_AUTO_TEST_CASE(APeerBehindASaturatedLinkIsNotUnreachable) {
  WatchedRequest request(std::chrono::milliseconds(1200));
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  BOOST_TEST(request.Probes() > 1);
  BOOST_TEST(!request.Unreachable());
}

// Guards against finding a peer unreachable, or ejecting its endpoints, because
// this process has no free file descriptor for a probe.
BOOST_AUTO_TEST_CASE(AProbeThatCouldNotBeSentDoesNotCount) {
  WatchedRequest request(FixedProbe::kNeverSent);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  BOOST_TEST(request.Probes() > 5);
  // Probes are not repeated at each check of the watch.
  BOOST_TEST(request.Probes() <= 11);
  BOOST_TEST(request.UnresponsiveNotices() == 0);
  BOOST_TEST(!request.Unreachable());
}

BOOST_AUTO_TEST_CASE(AProbeAfterAnUnsentOneCountsAnew) {
  PeerFailureDetector detector;
  detector.Begin(1, "a", AtMs(0));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(120)) == Names{"a"}));
  detector.MarkProbeNotSent("a");
  BOOST_TEST((detector.TakePeersToProbe(AtMs(370)) == Names{"a"}));
  BOOST_TEST(!detector.IsUnresponsive("a"));
  BOOST_TEST((detector.TakePeersToProbe(AtMs(620)) == Names{"a"}));
  BOOST_TEST(detector.IsUnresponsive("a"));
}

// Guards against requests that wait for a partitioned zone, as above.
BOOST_AUTO_TEST_CASE(APeerThatAnswersNoProbeIsUnreachable) {
  WatchedRequest request(std::chrono::hours(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(1400));
  BOOST_TEST(!request.Unreachable());
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  BOOST_TEST(request.Unreachable());
}

// Guards against new requests that are sent to an unresponsive daemon before it
// counts as unreachable: they would wait as long as the first one.
BOOST_AUTO_TEST_CASE(OthersArePreferredWhileAPeerIsUnresponsive) {
  WatchedRequest unresponsive(std::chrono::milliseconds(450));
  WatchedRequest responsive(std::chrono::milliseconds(100));
  std::this_thread::sleep_for(std::chrono::milliseconds(900));
  BOOST_TEST(unresponsive.UnresponsiveNotices() > 0);
  BOOST_TEST(responsive.UnresponsiveNotices() == 0);
  request::EndpointStats stats(AtMs(0));
  stats.EjectUntil(AtMs(600));
  BOOST_TEST(stats.Ejected(AtMs(599)));
  BOOST_TEST(!stats.Ejected(AtMs(600)));
  // EjectUntil counts no failure: the next ejection is as short as a first one.
  stats.Eject(AtMs(600));
  BOOST_TEST(!stats.Ejected(AtMs(800)));
}

}  // namespace
}  // namespace buckthorngate::tests
