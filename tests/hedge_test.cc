// Hedged requests on the entry side.
#define BOOST_TEST_MODULE hedge
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>

#include "entry_harness.h"

namespace buckthorngate::tests {
namespace {

// The result of a hop, and its delay.
struct ScriptedResult {
  std::chrono::milliseconds delay_{1};
  ResultCode code_ = ResultCode::kOk;
  bool not_run_ = false;
};

// Ends each attempt of a request with the result for its number, from 0.
class ScriptedHop : public daemon::serving::Hop {
 public:
  explicit ScriptedHop(http::EventLoop& loop) : loop_(loop) {}

  http::Task<daemon::serving::HopAnswer> Run(
      daemon::serving::HopRequest& request) override {
    const std::string attempt = request.attempt_id_;
    const ScriptedResult result =
        results_[attempt.substr(attempt.rfind('/') + 1)];
    http::Notifier cancelled(loop_);
    const http::CancelScope scope(*request.cancel_,
                                  [&cancelled] { cancelled.Notify(); });
    const bool cut = co_await cancelled.Wait(base::MonoNow() + result.delay_);
    if (cut) {
      ++cancelled_attempts_;
      co_return daemon::serving::FailedHop(ResultCode::kCallerGone,
                                           /*not_run=*/false);
    }
    daemon::serving::HopAnswer answer =
        daemon::serving::FailedHop(result.code_, result.not_run_);
    answer.reached_ = !result.not_run_;
    answer.head_.status_ = 200;
    co_return answer;
  }

  std::map<std::string, ScriptedResult> results_;
  int cancelled_attempts_ = 0;

 private:
  http::EventLoop& loop_;
};

// An entry with two endpoints of a service with hedged reads. Both endpoints
// have served requests in about 1 ms before, so hedging is active.
class HedgingEntry {
 public:
  HedgingEntry()
      : entry_({.hedge_ = true, .peer_addresses_ = {"one", "two"}},
               [this](const base::Clock&, http::EventLoop& loop) {
                 std::unique_ptr<ScriptedHop> hop =
                     std::make_unique<ScriptedHop>(loop);
                 hop_ = hop.get();
                 return hop;
               }) {
    constexpr int kWarmUpCalls = 30;
    for (int i = 0; i < kWarmUpCalls; ++i) {
      BOOST_TEST(Call() == 200);
    }
  }

  void SetResults(const std::map<std::string, ScriptedResult>& results) {
    entry_.Loop().RunAndWait([&] { hop_->results_ = results; });
  }
  // Sends a request; returns the status of the answer.
  int Call() { return entry_.Call(); }
  // Number of attempts that were cancelled.
  int CancelledAttempts() {
    int cut = 0;
    // The call's last turn on the event loop cancels its losing attempt, which
    // ends in a later turn.
    entry_.Loop().RunAndWait([] {});
    entry_.Loop().RunAndWait([&] { cut = hop_->cancelled_attempts_; });
    return cut;
  }

 private:
  // Owned by the entry.
  ScriptedHop* hop_ = nullptr;
  EntryHarness entry_;
};

// Guards against a request that is cancelled at its endpoint, and answered with
// 429, because the endpoint of the hedge was overloaded.
BOOST_AUTO_TEST_CASE(ARefusedHedgeDoesNotCancelTheFirstAttempt) {
  HedgingEntry entry;
  entry.SetResults(
      {{"0", {std::chrono::milliseconds(300)}},
       {"1",
        {std::chrono::milliseconds(1), ResultCode::kEndpointOverloaded,
         /*not_run_=*/true}}});
  BOOST_TEST(entry.Call() == 200);
  BOOST_TEST(entry.CancelledAttempts() == 0);
}

// Guards against a hedge that is cancelled at its endpoint because the first
// attempt fails.
BOOST_AUTO_TEST_CASE(AFailedFirstAttemptDoesNotCancelTheHedge) {
  HedgingEntry entry;
  entry.SetResults(
      {{"0", {std::chrono::milliseconds(100), ResultCode::kUpstreamFailed}},
       {"1", {std::chrono::milliseconds(300)}}});
  BOOST_TEST(entry.Call() == 200);
  BOOST_TEST(entry.CancelledAttempts() == 0);
}

// Guards against answering that a request did not run because its hedge was
// refused, although the first attempt ran.
BOOST_AUTO_TEST_CASE(ARefusedHedgeDoesNotHideThatTheFirstAttemptRan) {
  HedgingEntry entry;
  entry.SetResults(
      {{"0", {std::chrono::milliseconds(100), ResultCode::kUpstreamFailed}},
       {"1",
        {std::chrono::milliseconds(1), ResultCode::kEndpointOverloaded,
         /*not_run_=*/true}}});
  BOOST_TEST(entry.Call() == 502);
  BOOST_TEST(entry.CancelledAttempts() == 0);
}

// A slow read is answered by another endpoint, and the slow attempt cancelled.
BOOST_AUTO_TEST_CASE(TheLosingAttemptOfAHedgedReadIsCancelled) {
  HedgingEntry entry;
  entry.SetResults({{"0", {std::chrono::milliseconds(800)}},
                    {"1", {std::chrono::milliseconds(1)}}});
  BOOST_TEST(entry.Call() == 200);
  BOOST_TEST(entry.CancelledAttempts() == 1);
}

}  // namespace
}  // namespace buckthorngate::tests
