// The daemon's side of claims.
#include "request/claim_coordinator.h"

#include <utility>

namespace buckthorngate::request {

ClaimCoordinator::ClaimCoordinator(std::string self) : self_(std::move(self)) {}

void ClaimCoordinator::SetGroup(const rpc::ClaimGroup& group) {
  if (group.epoch() > group_.epoch()) {
    group_ = group;
  }
}

void ClaimCoordinator::Restart(Pending& pending, base::Outbox& outbox) {
  // The owner is the same, so that a grant of the earlier round stands.
  pending.request_.set_epoch(group_.epoch());
  pending.members_ = static_cast<size_t>(group_.members_size());
  pending.granted_.clear();
  pending.answered_.clear();
  Send(pending.request_, outbox);
}

void ClaimCoordinator::Send(const rpc::ClaimRequest& request,
                            base::Outbox& outbox) {
  for (const rpc::ClaimMember& member : group_.members()) {
    *outbox.Add(self_, member.relay()).mutable_claim() = request;
  }
}

void ClaimCoordinator::Start(rpc::ClaimRequest::Action action,
                             rpc::ClaimRecord record,
                             const base::Now& now,
                             base::Outbox& outbox) {
  const Key key{record.owner(), action};
  Pending& pending = pending_[key];
  pending.request_.set_action(action);
  pending.request_.set_epoch(group_.epoch());
  *pending.request_.mutable_record() = std::move(record);
  pending.deadline_ = now.mono_ + kClaimTimeout;
  pending.next_send_ = now.mono_ + kClaimResendInterval;
  pending.members_ = static_cast<size_t>(group_.members_size());
  if (pending.members_ == 0) {
    Finish(key, ResultCode::kClaimNoQuorum, outbox);
    return;
  }
  Send(pending.request_, outbox);
}

void ClaimCoordinator::OnReply(const std::string& from,
                               const rpc::ClaimReply& reply,
                               base::Outbox& outbox) {
  const Key key{reply.owner(), reply.action()};
  const auto found = pending_.find(key);
  if (found == pending_.end()) {
    return;
  }
  const uint64_t epoch = found->second.request_.epoch();
  if (reply.group().epoch() > epoch) {
    SetGroup(reply.group());
    Restart(found->second, outbox);
    return;
  }
  // Answers to the request as it was before a restart say nothing of it now.
  const bool earlier_round =
      reply.has_group() || (reply.result_code() == 0 && reply.epoch() != epoch);
  if (earlier_round || !found->second.answered_.insert(from).second) {
    return;
  }
  Pending& pending = found->second;
  const ResultCode code = ResultCodeFromNumber(reply.result_code());
  if (code == ResultCode::kOk) {
    pending.granted_.insert(from);
  } else if (code == ResultCode::kKeyReused ||
             code == ResultCode::kClaimOutcomeUnknown) {
    pending.refusal_ = code;
  }
  const bool other = reply.record().owner() != reply.owner();
  const bool same_content = reply.record().content_digest() ==
                            pending.request_.record().content_digest();
  if (other && same_content &&
      reply.record().state() == rpc::CLAIM_STATE_ANSWERED) {
    pending.answer_ = reply.record().answer();
  }
  const size_t majority = pending.members_ / 2 + 1;
  if (pending.granted_.size() >= majority) {
    Finish(key, ResultCode::kOk, outbox);
  } else if (pending.answer_) {
    Finish(key, ResultCode::kClaimOutcomeUnknown, outbox);
  } else if (pending.answered_.size() == pending.members_) {
    Finish(key, pending.refusal_, outbox);
  }
}

void ClaimCoordinator::OnTimer(const base::Now& now, base::Outbox& outbox) {
  std::vector<Key> late;
  for (auto& [key, pending] : pending_) {
    if (now.mono_ >= pending.deadline_) {
      late.push_back(key);
    } else if (now.mono_ >= pending.next_send_) {
      // Members take the same request twice without harm.
      pending.next_send_ = now.mono_ + kClaimResendInterval;
      Send(pending.request_, outbox);
    }
  }
  for (const Key& key : late) {
    Finish(key, pending_[key].refusal_, outbox);
  }
}

void ClaimCoordinator::Finish(const Key& key,
                              ResultCode code,
                              base::Outbox& outbox) {
  const auto found = pending_.find(key);
  Pending pending = std::move(found->second);
  pending_.erase(found);
  ClaimOutcome outcome;
  outcome.owner_ = key.first;
  outcome.action_ = key.second;
  outcome.code_ = code;
  outcome.answer_ = pending.answer_;
  outcomes_.push_back(std::move(outcome));
  // A claim that some members granted but no majority is given back: this
  // owner will never run it.
  if (key.second == rpc::ClaimRequest::CLAIM && code != ResultCode::kOk) {
    rpc::ClaimRequest release = pending.request_;
    release.set_action(rpc::ClaimRequest::RELEASE);
    release.mutable_record()->set_released(true);
    Send(release, outbox);
  }
}

std::vector<ClaimOutcome> ClaimCoordinator::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

}  // namespace buckthorngate::request
