// Claims on the path of a request.
#include "daemon/claim_client.h"

namespace buckthorngate::daemon {
namespace {

// The coordinator's own time-out, and what the loops may need on top.
constexpr std::chrono::milliseconds kOutcomeTimeout{1500};

}  // namespace

ClaimClient::ClaimClient(const base::Clock& clock,
                         http::EventLoop& loop,
                         NodeLoop& node_loop,
                         distribution::ProxyNode& node)
    : clock_(clock), loop_(loop), node_loop_(node_loop), node_(node) {}

http::Task<request::ClaimOutcome> ClaimClient::Run(
    rpc::ClaimRequest::Action action,
    rpc::ClaimRecord record) {
  const Key key{record.owner(), action};
  const std::shared_ptr<Waiting> waiting = std::make_shared<Waiting>(loop_);
  waiting_[key] = waiting;
  Ask(action, record);
  co_await waiting->decided_.Wait(clock_.Read().mono_ + kOutcomeTimeout);
  waiting_.erase(key);
  if (waiting->outcome_) {
    co_return std::move(*waiting->outcome_);
  }
  if (action == rpc::ClaimRequest::CLAIM) {
    Ask(rpc::ClaimRequest::RELEASE, record);
  }
  request::ClaimOutcome late;
  late.owner_ = key.first;
  late.action_ = action;
  late.code_ = ResultCode::kClaimNoQuorum;
  co_return late;
}

void ClaimClient::Ask(rpc::ClaimRequest::Action action,
                      const rpc::ClaimRecord& record) {
  node_loop_.Run([this, action, record](const base::Now& now) {
    node_.StartClaim(action, record, now);
  });
}

void ClaimClient::Complete(std::vector<request::ClaimOutcome> outcomes) {
  if (outcomes.empty()) {
    return;
  }
  loop_.Post([this, outcomes = std::move(outcomes)]() {
    for (const request::ClaimOutcome& outcome : outcomes) {
      const auto found = waiting_.find({outcome.owner_, outcome.action_});
      if (found != waiting_.end()) {
        found->second->outcome_ = outcome;
        found->second->decided_.Notify();
      }
    }
  });
}

}  // namespace buckthorngate::daemon
