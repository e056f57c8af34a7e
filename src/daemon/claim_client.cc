// Claims on the path of a request.
#include "daemon/claim_client.h"

#include <utility>

namespace buckthorngate::daemon {
namespace {

// The coordinator's own time-out, and what the loop may need on top.
constexpr std::chrono::milliseconds kOutcomeTimeout{1500};

}  // namespace

ClaimClient::ClaimClient(NodeLoop& loop, distribution::ProxyNode& node)
    : loop_(loop), node_(node) {}

request::ClaimOutcome ClaimClient::Run(rpc::ClaimRequest::Action action,
                                       const rpc::ClaimRecord& record) {
  const Key key{record.owner(), action};
  std::shared_ptr<std::promise<request::ClaimOutcome>> promise =
      std::make_shared<std::promise<request::ClaimOutcome>>();
  std::future<request::ClaimOutcome> outcome = promise->get_future();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_[key] = promise;
  }
  loop_.Run([this, action, record](const base::Now& now) {
    node_.StartClaim(action, record, now);
  });
  if (outcome.wait_for(kOutcomeTimeout) == std::future_status::ready) {
    return outcome.get();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  waiting_.erase(key);
  request::ClaimOutcome late;
  late.owner_ = record.owner();
  late.action_ = action;
  late.code_ = ResultCode::kClaimNoQuorum;
  return late;
}

void ClaimClient::Complete(std::vector<request::ClaimOutcome> outcomes) {
  for (request::ClaimOutcome& outcome : outcomes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = waiting_.find({outcome.owner_, outcome.action_});
    if (found == waiting_.end()) {
      continue;
    }
    found->second->set_value(std::move(outcome));
    waiting_.erase(found);
  }
}

}  // namespace buckthorngate::daemon
