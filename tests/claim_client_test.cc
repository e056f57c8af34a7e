// Claims on the request path: outcomes that arrive after the timeout.
#define BOOST_TEST_MODULE claim_client
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon/serving/claim_client.h"
#include "storage/memory_journal.h"

namespace buckthorngate::tests {
namespace {

constexpr std::chrono::milliseconds kBeyondClaimTimeout{1700};

storage::MemoryJournal JournalWithSingleMemberClaimGroup() {
  storage::MemoryJournal journal;
  config::ConfigState state;
  rpc::ClaimGroup group;
  group.set_epoch(1);
  group.add_members()->set_relay("relay");
  state.SetClaimGroup(group);
  rpc::JournalRecord record;
  *record.mutable_config() = state.ToSnapshot();
  BOOST_REQUIRE((journal.Append(record) == ResultCode::kOk));
  BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
  return journal;
}

std::unique_ptr<distribution::ProxyNode> MakeNode(
    storage::MemoryJournal& journal) {
  distribution::ProxyOptions options;
  options.identity_.host_ = "host";
  options.relays_ = {"relay"};
  return std::move(
      distribution::ProxyNode::Create(std::move(options), journal).value());
}

rpc::ClaimRecord MakeRecord() {
  rpc::ClaimRecord record;
  record.set_key("k");
  record.set_owner("host-1-1");
  record.set_expires_ms(base::ToUnixMs(base::SystemClock().Read().wall_ +
                                       std::chrono::hours(24)));
  return record;
}

// One claim of a daemon whose node loop is not running while the claim waits,
// and a relay that grants every claim.
class StalledClaim {
 public:
  StalledClaim()
      : journal_(JournalWithSingleMemberClaimGroup()),
        node_(MakeNode(journal_)),
        node_loop_(*node_,
                   clock_,
                   [this](const rpc::Envelope& envelope) { Answer(envelope); }),
        client_(clock_, loop_, node_loop_, *node_) {
    node_loop_.SetAfterFlush([this](const base::Now&) {
      client_.DeliverOutcomes(node_->TakeClaimOutcomes());
    });
    loop_.Spawn(Claim());
    loop_.Start();
  }
  ~StalledClaim() {
    node_loop_.Stop();
    loop_.Stop();
  }

  void StartNodeLoop() { node_loop_.Start(); }
  ResultCode Code() {
    ResultCode code = ResultCode::kOk;
    loop_.RunAndWait([this, &code] { code = outcome_.code_; });
    return code;
  }
  std::vector<rpc::ClaimRequest> SentRequests() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sent_requests_;
  }

 private:
  http::Task<void> Claim() {
    const rpc::ClaimRecord record = MakeRecord();
    outcome_ = co_await client_.Run(rpc::ClaimRequest::CLAIM, record);
  }

  void Answer(const rpc::Envelope& envelope) {
    if (!envelope.has_claim()) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sent_requests_.push_back(envelope.claim());
    }
    rpc::Envelope answer;
    answer.set_from("relay");
    answer.set_to("host");
    rpc::ClaimReply& reply = *answer.mutable_claim_reply();
    reply.set_epoch(envelope.claim().epoch());
    reply.set_action(envelope.claim().action());
    reply.set_owner(envelope.claim().record().owner());
    node_loop_.Post(std::move(answer));
  }

  base::SystemClock clock_;
  http::EventLoop loop_;
  storage::MemoryJournal journal_;
  std::unique_ptr<distribution::ProxyNode> node_;
  daemon::control::NodeLoop node_loop_;
  daemon::serving::ClaimClient client_;
  // Used on the event loop's thread only.
  request::ClaimOutcome outcome_;
  std::mutex mutex_;
  std::vector<rpc::ClaimRequest> sent_requests_;
};

// Guards against a key that stays claimed for the whole claim lifetime, because
// its claim was granted after the request had been refused as not run.
BOOST_AUTO_TEST_CASE(AClaimThatIsGrantedAfterTheTimeoutIsReleased) {
  StalledClaim claim;
  std::this_thread::sleep_for(kBeyondClaimTimeout);
  BOOST_TEST((claim.Code() == ResultCode::kClaimNoQuorum));
  BOOST_TEST(claim.SentRequests().empty());
  claim.StartNodeLoop();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::vector<rpc::ClaimRequest> sent = claim.SentRequests();
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST((sent.back().action() == rpc::ClaimRequest::RELEASE));
  BOOST_TEST(sent.back().record().released());
  BOOST_TEST(sent.back().record().owner() == MakeRecord().owner());
}

}  // namespace
}  // namespace buckthorngate::tests
