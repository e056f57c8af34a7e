// Requests whose destination daemons answer no probes, though the endpoints may
// be working on them.
#define BOOST_TEST_MODULE unreachable_peer
#include <boost/test/unit_test.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/serving/peer_client.h"
#include "entry_harness.h"
#include "loopback.h"
#include "request/hop_headers.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRouteTimeout{3000};
// Time after which a daemon that refuses probes is found unreachable, with
// allowance for a loaded machine.
constexpr milliseconds kDetectionTime{600};

// Never answers.
constexpr milliseconds kNever{-1};

// How long each request is worked on, in the order in which they arrive at any
// of the daemons.
class WorkTimes {
 public:
  explicit WorkTimes(std::vector<milliseconds> times)
      : times_(std::move(times)) {}
  milliseconds Next() { return times_.at(next_++); }
  size_t Taken() const { return next_; }

 private:
  const std::vector<milliseconds> times_;
  std::atomic<size_t> next_{0};
};

// What happens to probes while a request is under way.
enum class Probes {
  kRefused,
  // The packets that open a connection are dropped.
  kDropped,
};

// A daemon whose endpoint works on one request. It accepts one connection and
// no other, so that probes fail while the request is under way.
class BusyPeer {
 public:
  BusyPeer(WorkTimes& times, Probes probes)
      : times_(times),
        probes_(probes),
        listener_(ListenAnywhere(port_, /*backlog=*/0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~BusyPeer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  BusyPeer(const BusyPeer&) = delete;
  BusyPeer& operator=(const BusyPeer&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Whether the entry closed the connection before there was an answer.
  bool Cancelled() const { return cancelled_; }

 private:
  void Serve() {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0) {
      return;
    }
    std::optional<RawSocket> queue_filler;
    if (probes_ == Probes::kRefused) {
      shutdown(listener_, SHUT_RDWR);
    } else {
      queue_filler.emplace(port_);
    }
    char buffer[4096];
    const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    if (got > 0) {
      Work(fd, std::string(buffer, static_cast<size_t>(got)));
    }
    close(fd);
  }

  void Work(int fd, const std::string& request) {
    const milliseconds time = times_.Next();
    cancelled_ = ClosedWithin(fd, time == kNever ? kRouteTimeout * 2 : time);
    if (!cancelled_ && time != kNever) {
      const std::string answer = "HTTP/1.1 200 OK\r\n" + AttemptLine(request) +
                                 "Content-Length: 4\r\n\r\ndone";
      (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      ClosedWithin(fd, kRouteTimeout * 2);
    }
  }

  // Waits for at most `time`, until the other side closes the connection.
  static bool ClosedWithin(int fd, milliseconds time) {
    pollfd polled = {fd, POLLIN, 0};
    return poll(&polled, 1, static_cast<int>(time.count())) > 0;
  }

  // The line of the request that answers must repeat.
  static std::string AttemptLine(const std::string& request) {
    const size_t at = request.find(request::kAttemptHeader);
    return request.substr(at, request.find("\r\n", at) + 2 - at);
  }

  WorkTimes& times_;
  const Probes probes_;
  int port_ = 0;
  const int listener_;
  std::atomic<bool> cancelled_{false};
  std::thread thread_;
};

// An entry with two endpoints, beside two busy daemons.
class EntryWithBusyPeers {
 public:
  explicit EntryWithBusyPeers(std::vector<milliseconds> work_times,
                              Probes probes = Probes::kRefused)
      : probes_(probes), times_(std::move(work_times)) {}

  EntryHarness& Entry() { return entry_; }
  // Daemons that got the request.
  size_t Reached() const { return times_.Taken(); }
  int Cancelled() const { return one_.Cancelled() + two_.Cancelled(); }
  bool AwaitCancelled(int count) const {
    const auto until = std::chrono::steady_clock::now() + milliseconds(1000);
    while (Cancelled() < count && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return Cancelled() == count;
  }

 private:
  const Probes probes_;
  WorkTimes times_;
  BusyPeer one_{times_, probes_};
  BusyPeer two_{times_, probes_};
  EntryHarness entry_{{.route_timeout_ = kRouteTimeout,
                       .peer_addresses_ = {one_.Address(), two_.Address()}},
                      [](const base::Clock& clock, http::EventLoop& loop) {
                        return std::make_unique<daemon::serving::PeerClient>(
                            clock, loop);
                      }};
};

milliseconds Since(std::chrono::steady_clock::time_point began) {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - began);
}

// Guards against a request that gets a 502 of its own daemon while endpoints
// are working on it, because their daemons answer no probes.
BOOST_AUTO_TEST_CASE(ARequestIsNotGivenUpWhileEndpointsMayBeWorking) {
  EntryWithBusyPeers mesh({milliseconds(1500), milliseconds(1500)});
  BOOST_TEST(mesh.Entry().Call() == 200);
}

// Guards against an attempt that is aborted, and its answer lost, because its
// daemon answers no probes.
BOOST_AUTO_TEST_CASE(AnAnswerFromAnUnreachableDaemonIsUsed) {
  EntryWithBusyPeers mesh({milliseconds(1200), kNever});
  BOOST_TEST(mesh.Entry().Call() == 200);
  BOOST_TEST(mesh.Reached() == 2u);
  BOOST_TEST(mesh.AwaitCancelled(1));
}

// Guards against the same if the probes get no answer at all.
BOOST_AUTO_TEST_CASE(AnAnswerIsUsedAfterProbesWithoutAnAnswer) {
  EntryWithBusyPeers mesh({milliseconds(2500), kNever}, Probes::kDropped);
  BOOST_TEST(mesh.Entry().Call() == 200);
  BOOST_TEST(mesh.Reached() == 2u);
  BOOST_TEST(mesh.AwaitCancelled(1));
}

// Guards against requests to a daemon that is gone which wait for their
// deadline, although another endpoint would answer them.
BOOST_AUTO_TEST_CASE(AnotherEndpointAnswersForAnUnreachableDaemon) {
  EntryWithBusyPeers mesh({kNever, milliseconds(10)});
  const auto began = std::chrono::steady_clock::now();
  BOOST_TEST(mesh.Entry().Call() == 200);
  BOOST_TEST(Since(began).count() < kDetectionTime.count());
  BOOST_TEST(mesh.AwaitCancelled(1));
}

// Guards against "not run" for a request that unreachable daemons may have run.
BOOST_AUTO_TEST_CASE(ARequestToUnreachableDaemonsTimesOut) {
  EntryWithBusyPeers mesh({kNever, kNever});
  const auto began = std::chrono::steady_clock::now();
  BOOST_TEST(mesh.Entry().Call() == 504);
  BOOST_TEST(Since(began).count() >= kRouteTimeout.count());
  BOOST_TEST(mesh.AwaitCancelled(2));
}

// Guards against attempts that stay at work once their caller has left.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesCancelsAllOfItsAttempts) {
  EntryWithBusyPeers mesh({kNever, kNever});
  WaitingCaller caller;
  mesh.Entry().Send(caller);
  const auto until = std::chrono::steady_clock::now() + kRouteTimeout;
  while (mesh.Reached() < 2 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_TEST(mesh.Reached() == 2u);
  mesh.Entry().Loop().RunAndWait([&caller] { caller.Gone().Raise(); });
  caller.ended_.get_future().wait();
  BOOST_TEST(mesh.AwaitCancelled(2));
}

// What happens to one attempt: when its daemon is found unreachable, and when
// and how the attempt ends.
struct ScriptedAttempt {
  milliseconds unreachable_after_ = kNever;
  milliseconds ends_after_{1};
  ResultCode code_ = ResultCode::kOk;
  bool not_run_ = false;
  int status_ = 200;
};

// Plays the script of each attempt, in the order of their numbers.
class ScriptedHop : public daemon::serving::Hop {
 public:
  ScriptedHop(http::EventLoop& loop, std::vector<ScriptedAttempt> script)
      : loop_(loop), script_(std::move(script)) {}

  http::Task<daemon::serving::HopAnswer> Run(
      daemon::serving::HopRequest& request) override {
    const ScriptedAttempt attempt = script_.at(begun_++);
    http::Notifier cancelled(loop_);
    const http::CancelScope scope(*request.cancel_,
                                  [&cancelled] { cancelled.Notify(); });
    const base::MonoTime began = base::MonoNow();
    bool cut = false;
    if (attempt.unreachable_after_ != kNever) {
      cut = co_await cancelled.Wait(began + attempt.unreachable_after_);
      if (!cut) {
        request.on_peer_unreachable_();
      }
    }
    cut = cut || co_await cancelled.Wait(began + attempt.ends_after_);
    if (cut) {
      daemon::serving::HopAnswer left = daemon::serving::FailedHop(
          ResultCode::kCallerGone, /*not_run=*/false);
      left.reached_ = true;
      co_return left;
    }
    daemon::serving::HopAnswer answer =
        daemon::serving::FailedHop(attempt.code_, attempt.not_run_);
    answer.reached_ = !attempt.not_run_;
    answer.head_.status_ = attempt.status_;
    co_return answer;
  }

  // Attempts that began; on the loop's thread.
  size_t begun_ = 0;

 private:
  http::EventLoop& loop_;
  const std::vector<ScriptedAttempt> script_;
};

// An entry with two endpoints whose attempts are scripted.
class EntryWithScript {
 public:
  explicit EntryWithScript(std::vector<ScriptedAttempt> script,
                           bool repeatable_route = true)
      : entry_({.route_timeout_ = kRouteTimeout,
                .repeatable_route_ = repeatable_route,
                .peer_addresses_ = {"one", "two"}},
               [this, &script](const base::Clock&, http::EventLoop& loop) {
                 std::unique_ptr<ScriptedHop> hop =
                     std::make_unique<ScriptedHop>(loop, std::move(script));
                 hop_ = hop.get();
                 return hop;
               }) {}

  EntryHarness& Entry() { return entry_; }
  size_t Begun() {
    size_t begun = 0;
    entry_.Loop().RunAndWait([&] { begun = hop_->begun_; });
    return begun;
  }

 private:
  // Owned by the entry.
  ScriptedHop* hop_ = nullptr;
  EntryHarness entry_;
};

// Guards against a 502 for a request that ran nowhere: the daemon that was
// unreachable refused it, and so did the other one.
BOOST_AUTO_TEST_CASE(ARefusalByADaemonThatWasUnreachableIsNoRun) {
  EntryWithScript mesh(
      {{.unreachable_after_ = milliseconds(50),
        .ends_after_ = milliseconds(300),
        .code_ = ResultCode::kEndpointOverloaded,
        .not_run_ = true},
       {.code_ = ResultCode::kEndpointOverloaded, .not_run_ = true}});
  BOOST_TEST(mesh.Entry().Call() == 429);
}

// Guards against an endpoint's error that goes to the caller, while the answer
// of an attempt that was left open is on its way.
BOOST_AUTO_TEST_CASE(AnErrorDoesNotReplaceTheAnswerOfAnOpenAttempt) {
  EntryWithScript mesh({{.unreachable_after_ = milliseconds(50),
                         .ends_after_ = milliseconds(300)},
                        {.status_ = 500}});
  BOOST_TEST(mesh.Entry().Call() == 200);
}

// Guards against a second run of a request that may run once, while its daemon
// is unreachable.
BOOST_AUTO_TEST_CASE(ARequestThatMayNotBeRepeatedIsNotSentAgain) {
  EntryWithScript mesh({{.unreachable_after_ = milliseconds(50),
                         .ends_after_ = milliseconds(300)},
                        {.ends_after_ = milliseconds(1)}},
                       /*repeatable_route=*/false);
  WaitingCaller caller("POST");
  mesh.Entry().Send(caller);
  caller.ended_.get_future().wait();
  BOOST_TEST(caller.status_ == 200);
  BOOST_TEST(mesh.Begun() == 1u);
}

// Guards against retries of a request whose caller has left: they spend the
// service's retry budget.
BOOST_AUTO_TEST_CASE(ARequestWhoseCallerHasLeftIsNotSentAgain) {
  EntryWithScript mesh({{.ends_after_ = milliseconds(2000)},
                        {.ends_after_ = milliseconds(2000)}});
  WaitingCaller caller;
  mesh.Entry().Send(caller);
  std::this_thread::sleep_for(milliseconds(50));
  mesh.Entry().Loop().RunAndWait([&caller] { caller.Gone().Raise(); });
  caller.ended_.get_future().wait();
  BOOST_TEST(mesh.Begun() == 1u);
}

}  // namespace
}  // namespace buckthorngate::tests
