// Hedged requests on the entry side.
#define BOOST_TEST_MODULE hedge
#include <boost/test/unit_test.hpp>

#include <future>
#include <map>
#include <memory>
#include <string>

#include "daemon/entry.h"
#include "storage/memory_journal.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

// The result of a hop, and its delay.
struct ScriptedResult {
  std::chrono::milliseconds delay_{1};
  ResultCode code_ = ResultCode::kOk;
  bool not_run_ = false;
};

// Ends each attempt of a request with the result for its number, from 0.
class ScriptedHop : public daemon::Hop {
 public:
  explicit ScriptedHop(http::EventLoop& loop) : loop_(loop) {}

  http::Task<daemon::HopAnswer> Run(daemon::HopRequest& request) override {
    const std::string attempt = request.attempt_id_;
    const ScriptedResult result =
        results_[attempt.substr(attempt.rfind('/') + 1)];
    http::Notifier cancelled(loop_);
    const http::CancelScope scope(*request.cancel_,
                                  [&cancelled] { cancelled.Notify(); });
    const bool cut = co_await cancelled.Wait(base::MonoNow() + result.delay_);
    if (cut) {
      ++cancelled_attempts_;
      co_return daemon::FailedHop(ResultCode::kCallerGone, /*not_run=*/false);
    }
    daemon::HopAnswer answer = daemon::FailedHop(result.code_, result.not_run_);
    answer.reached_ = !result.not_run_;
    answer.head_.status_ = 200;
    co_return answer;
  }

  std::map<std::string, ScriptedResult> results_;
  int cancelled_attempts_ = 0;

 private:
  http::EventLoop& loop_;
};

// A caller that waits for its answer.
class WaitingCaller : public http::ServerCall {
 public:
  WaitingCaller() {
    head_.method_ = "GET";
    head_.target_ = "/a";
  }

  const http::RequestHead& Head() const override { return head_; }
  void SetId(std::string_view) override {}
  bool HasBody() const override { return false; }
  http::CancelSignal& Gone() override { return gone_; }
  bool StillThere() override { return true; }
  bool AnswerArrived() override { return true; }
  std::optional<uint64_t> Length() const override { return 0; }
  http::Task<http::BodyState> Read(std::string&, size_t) override {
    co_return http::BodyState::kEnd;
  }
  http::Task<bool> Answer(const http::AnswerHead& head,
                          std::string_view) override {
    status_ = head.status_;
    co_return true;
  }
  http::Task<bool> AnswerWithoutBody(const http::AnswerHead&,
                                     std::optional<uint64_t>) override {
    co_return false;
  }
  http::Task<bool> Begin(const http::AnswerHead&,
                         std::optional<uint64_t>) override {
    co_return false;
  }
  http::Task<bool> Write(std::string_view) override { co_return false; }
  http::Task<bool> Finish() override { co_return false; }
  void NoteBodyFailure(std::string_view) override {}
  void Abort() override {}

  int status_ = 0;
  std::promise<void> ended_;

 private:
  http::RequestHead head_;
  http::CancelSignal gone_;
};

// An entry with two endpoints of a service with hedged reads. Both endpoints
// have served requests in about 1 ms before, so hedging is active.
class HedgingEntry {
 public:
  HedgingEntry()
      : node_(std::move(
            distribution::ProxyNode::Create(MakeOptions(), journal_).value())),
        node_loop_(*node_, clock_, [](const rpc::Envelope&) {}),
        claims_(clock_, loop_, node_loop_, *node_),
        hop_(loop_),
        entry_({"entry", 1, request::Dialect()},
               clock_,
               loop_,
               board_,
               claims_,
               hop_,
               hop_,
               [](const rpc::BrakeNotice&) {}) {
    PublishView();
    loop_.Start();
    constexpr int kWarmUpCalls = 30;
    for (int i = 0; i < kWarmUpCalls; ++i) {
      BOOST_TEST(Call() == 200);
    }
  }
  ~HedgingEntry() { loop_.Stop(); }

  void SetResults(const std::map<std::string, ScriptedResult>& results) {
    loop_.RunAndWait([&] { hop_.results_ = results; });
  }
  // Sends a request; returns the status of the answer.
  int Call() {
    WaitingCaller caller;
    const auto run = [](daemon::Entry& entry,
                        WaitingCaller& call) -> http::Task<void> {
      co_await entry.Handle(call);
      call.ended_.set_value();
    };
    loop_.RunAndWait([&] { loop_.Spawn(run(entry_, caller)); });
    caller.ended_.get_future().wait();
    return caller.status_;
  }
  // Number of attempts that were cancelled.
  int CancelledAttempts() {
    int cut = 0;
    // The call's last turn on the event loop cancels its losing attempt, which
    // ends in a later turn.
    loop_.RunAndWait([] {});
    loop_.RunAndWait([&] { cut = hop_.cancelled_attempts_; });
    return cut;
  }

 private:
  static distribution::ProxyOptions MakeOptions() {
    distribution::ProxyOptions options;
    options.identity_.host_ = "entry";
    return options;
  }
  void PublishView() {
    config::ConfigState config;
    rpc::ServiceState state;
    *state.mutable_service() = MakeService("a");
    state.mutable_service()->mutable_routes(0)->set_hedge(true);
    state.mutable_service()->mutable_routes(0)->set_repeatable(true);
    config.Put(state);
    config.SetRevision(1);
    registry::EndpointRegistry endpoints;
    const base::MonoTime now = clock_.Read().mono_;
    for (const std::string& host : {"one", "two"}) {
      rpc::Endpoint endpoint;
      endpoint.set_id(host);
      endpoint.set_host(host);
      endpoint.set_service("a");
      endpoint.set_version("v1");
      endpoint.set_slots(4);
      endpoint.set_sequence(1);
      endpoint.set_state(rpc::ENDPOINT_STATE_READY);
      endpoints.Merge(endpoint, now);
    }
    board_.View().Publish(views_.Build(true, config, endpoints, {}, now));
  }

  base::SystemClock clock_;
  http::EventLoop loop_;
  storage::MemoryJournal journal_;
  std::unique_ptr<distribution::ProxyNode> node_;
  daemon::NodeLoop node_loop_;
  daemon::ClaimClient claims_;
  blackboard::Blackboard board_{1, base::MonoNow()};
  request::MeshViewBuilder views_{"zone"};
  ScriptedHop hop_;
  daemon::Entry entry_;
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
