// Requests that wait for tokens on the event loop.
#define BOOST_TEST_MODULE quota_gate
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <thread>

#include "base/time.h"
#include "daemon/serving/quota_gate.h"
#include "daemon/serving/refusal.h"
#include "http/event_loop.h"

namespace buckthorngate::tests {
namespace {

using daemon::serving::QuotaGate;
using std::chrono::milliseconds;

constexpr base::Duration kMaxWait = milliseconds(100);

// A gate whose client is driven as a node would.
class GateHarness {
 public:
  GateHarness() {
    request::QuotaLimits limits;
    limits.Set("a", {10.0, 5.0});
    client_.SetLimits(limits);
    loop_.Start();
  }
  ~GateHarness() { loop_.Stop(); }

  // Returns once the request waits for its decision.
  void Acquire() {
    std::promise<void> waits;
    loop_.Post([this, &waits] { loop_.Spawn(Run(waits)); });
    waits.get_future().wait();
  }
  bool Decided() {
    bool decided = false;
    loop_.RunAndWait([this, &decided] { decided = decision_.has_value(); });
    return decided;
  }
  // Sleeps until the request is decided, 2 s at most; returns the time.
  base::Duration AwaitDecision() {
    const base::MonoTime began = base::MonoNow();
    while (!Decided() && base::MonoNow() - began < std::chrono::seconds(2)) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    return base::MonoNow() - began;
  }
  rpc::QuotaDemand TakeDemand() {
    return client_.TakeDemand(clock_.Read().boot_).value_or(rpc::QuotaDemand());
  }
  void Grant(uint64_t sequence, uint32_t tokens, uint32_t wait_ms) {
    rpc::QuotaGrant grant;
    grant.set_sequence(sequence);
    if (tokens > 0) {
      rpc::AccountTokens& granted = *grant.add_granted();
      granted.set_account("a");
      granted.set_tokens(tokens);
    } else {
      rpc::AccountWait& wait = *grant.add_waits();
      wait.set_account("a");
      wait.set_wait_ms(wait_ms);
    }
    client_.OnGrant(grant, clock_.Read().boot_);
    gate_.DeliverDecisions();
  }
  const request::QuotaDecision& Decision() const { return *decision_; }
  int Wakes() const { return wakes_; }

 private:
  http::Task<void> Run(std::promise<void>& waits) {
    // The loop gets to it only once this coroutine is suspended.
    loop_.Post([&waits] { waits.set_value(); });
    decision_ = co_await gate_.Acquire("a", kMaxWait);
  }

  base::SystemClock clock_;
  http::EventLoop loop_;
  request::QuotaClient client_{"d", 1};
  std::atomic<int> wakes_{0};
  QuotaGate gate_{clock_, loop_, client_, [this] { ++wakes_; }};
  std::optional<request::QuotaDecision> decision_;
};

}  // namespace

// Guards against a request that holds up the loop, or that a grant does not
// wake.
BOOST_AUTO_TEST_CASE(GrantWakesTheRequestThatWaits) {
  GateHarness harness;
  harness.Acquire();
  BOOST_TEST(!harness.Decided());
  BOOST_TEST(harness.Wakes() == 1);
  const rpc::QuotaDemand demand = harness.TakeDemand();
  BOOST_REQUIRE_EQUAL(demand.wanted_size(), 1);
  harness.Grant(demand.sequence(), 1, 0);
  harness.AwaitDecision();
  BOOST_REQUIRE(harness.Decided());
  BOOST_TEST((harness.Decision().code_ == ResultCode::kOk));
  BOOST_TEST(harness.Decision().token_expires_.has_value());
}

// Guards against a refusal without the time at which a token is due.
BOOST_AUTO_TEST_CASE(RefusalSaysWhenATokenIsDue) {
  GateHarness harness;
  harness.Acquire();
  harness.Grant(harness.TakeDemand().sequence(), 0, 200);
  harness.AwaitDecision();
  BOOST_REQUIRE(harness.Decided());
  BOOST_TEST((harness.Decision().code_ == ResultCode::kQuotaExceeded));
  BOOST_TEST((harness.Decision().retry_after_ > milliseconds(100)));
}

// Guards against a request that waits without end for a relay that is silent.
BOOST_AUTO_TEST_CASE(RequestWithoutAReplyIsRefusedInTime) {
  GateHarness harness;
  harness.Acquire();
  harness.TakeDemand();
  const base::Duration waited = harness.AwaitDecision();
  BOOST_REQUIRE(harness.Decided());
  BOOST_TEST((harness.Decision().code_ != ResultCode::kOk));
  BOOST_TEST((waited >= kMaxWait / 2));
}

// Guards against statuses that callers do not treat as not run.
BOOST_AUTO_TEST_CASE(RefusalsHaveTheirStatuses) {
  BOOST_TEST(daemon::serving::HttpStatusOf(ResultCode::kQuotaExceeded, true) ==
             429);
  BOOST_TEST(daemon::serving::HttpStatusOf(ResultCode::kQuotaUnavailable,
                                           true) == 503);
}

}  // namespace buckthorngate::tests
