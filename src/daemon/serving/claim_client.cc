// Claim requests between the event loop and the node loop.
#include "daemon/serving/claim_client.h"

namespace buckthorngate::daemon::serving {
namespace {

// Longer than the claim coordinator's own timeout by the time that the two
// loops may need.
constexpr std::chrono::milliseconds kOutcomeTimeout{1500};

}  // namespace

ClaimClient::ClaimClient(const base::Clock& clock,
                         http::EventLoop& loop,
                         control::NodeLoop& node_loop,
                         distribution::ProxyNode& node)
    : clock_(clock), loop_(loop), node_loop_(node_loop), node_(node) {}

http::Task<request::ClaimOutcome> ClaimClient::Run(
    rpc::ClaimRequest::Action action,
    rpc::ClaimRecord record) {
  const Key key{record.owner(), action};
  const std::shared_ptr<PendingClaim> pending =
      std::make_shared<PendingClaim>(loop_);
  pending_[key] = pending;
  StartRequest(action, record);
  co_await pending->completed_.Wait(clock_.Read().mono_ + kOutcomeTimeout);
  pending_.erase(key);
  if (pending->outcome_) {
    co_return std::move(*pending->outcome_);
  }
  if (action == rpc::ClaimRequest::CLAIM) {
    StartRequest(rpc::ClaimRequest::RELEASE, record);
  }
  request::ClaimOutcome timed_out;
  timed_out.owner_ = key.first;
  timed_out.action_ = action;
  timed_out.code_ = ResultCode::kClaimNoQuorum;
  co_return timed_out;
}

void ClaimClient::StartRequest(rpc::ClaimRequest::Action action,
                               const rpc::ClaimRecord& record) {
  node_loop_.PostTask([this, action, record](const base::Now& now) {
    node_.StartClaim(action, record, now);
  });
}

void ClaimClient::DeliverOutcomes(std::vector<request::ClaimOutcome> outcomes) {
  if (outcomes.empty()) {
    return;
  }
  loop_.Post([this, outcomes = std::move(outcomes)]() {
    for (const request::ClaimOutcome& outcome : outcomes) {
      const auto found = pending_.find({outcome.owner_, outcome.action_});
      if (found != pending_.end()) {
        found->second->outcome_ = outcome;
        found->second->completed_.Notify();
      }
    }
  });
}

}  // namespace buckthorngate::daemon::serving
