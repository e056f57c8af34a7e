// Quorum coordinator of claims.
#include "request/claim_coordinator.h"

#include <algorithm>
#include <utility>

#include "base/events.h"
#include "request/claim_ledger.h"

namespace buckthorngate::request {

ClaimCoordinator::ClaimCoordinator(std::string self) : self_(std::move(self)) {}

void ClaimCoordinator::SetGroup(const rpc::ClaimGroup& group) {
  if (group.epoch() > group_.epoch()) {
    group_ = group;
  }
}

void ClaimCoordinator::Restart(Pending& pending, base::Outbox& outbox) {
  // The owner stays the same, so that members that granted the earlier request
  // grant this one as well.
  pending.request_.set_epoch(group_.epoch());
  pending.members_ = static_cast<size_t>(group_.members_size());
  pending.granted_.clear();
  pending.replied_.clear();
  SendToMembers(pending, outbox);
}

void ClaimCoordinator::SendToMembers(const Pending& pending,
                                     base::Outbox& outbox) {
  for (const rpc::ClaimMember& member : group_.members()) {
    if (pending.granted_.count(member.relay()) == 0) {
      *outbox.Add(self_, member.relay()).mutable_claim() = pending.request_;
    }
  }
}

void ClaimCoordinator::Start(rpc::ClaimRequest::Action action,
                             rpc::ClaimRecord record,
                             const base::Now& now,
                             base::Outbox& outbox) {
  const Key key{record.owner(), action};
  if (action == rpc::ClaimRequest::RELEASE) {
    record.set_released(true);
    pending_.erase({record.owner(), rpc::ClaimRequest::CLAIM});
  }
  Pending& pending = pending_[key] = Pending();
  pending.request_.set_action(action);
  pending.request_.set_epoch(group_.epoch());
  *pending.request_.mutable_record() = std::move(record);
  pending.deadline_ = now.mono_ + kClaimTimeout;
  pending.next_send_ = now.mono_ + kClaimResendInterval;
  pending.members_ = static_cast<size_t>(group_.members_size());
  if (pending.members_ == 0) {
    Finish(key, ResultCode::kClaimNoQuorum, now, outbox);
    return;
  }
  SendToMembers(pending, outbox);
}

void ClaimCoordinator::OnReply(const std::string& from,
                               const rpc::ClaimReply& reply,
                               const base::Now& now,
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
  // Ignores replies to the request as it was sent before a restart.
  const bool stale =
      reply.has_group() || (reply.result_code() == 0 && reply.epoch() != epoch);
  if (stale) {
    return;
  }
  const ResultCode code = ResultCodeFromNumber(reply.result_code());
  if (key.second == rpc::ClaimRequest::RELEASE) {
    if (code == ResultCode::kOk) {
      OnReleased(key, from);
    }
    return;
  }
  if (!found->second.replied_.insert(from).second) {
    return;
  }
  Pending& pending = found->second;
  if (code == ResultCode::kOk) {
    pending.granted_.insert(from);
  } else if (code == ResultCode::kKeyReused ||
             code == ResultCode::kClaimOutcomeUnknown) {
    pending.refusal_ = code;
  }
  const bool other_owner = reply.record().owner() != reply.owner();
  const bool same_content = reply.record().content_digest() ==
                            pending.request_.record().content_digest();
  if (other_owner && same_content &&
      reply.record().state() == rpc::CLAIM_STATE_ANSWERED) {
    pending.answer_ = reply.record().answer();
  }
  const size_t majority = pending.members_ / 2 + 1;
  if (pending.granted_.size() >= majority) {
    Finish(key, ResultCode::kOk, now, outbox);
  } else if (pending.answer_) {
    Finish(key, ResultCode::kClaimOutcomeUnknown, now, outbox);
  } else if (pending.replied_.size() == pending.members_) {
    Finish(key, pending.refusal_, now, outbox);
  }
}

void ClaimCoordinator::OnReleased(const Key& key, const std::string& from) {
  Pending& pending = pending_.at(key);
  pending.granted_.insert(from);
  if (!pending.reported_ && pending.granted_.size() > pending.members_ / 2) {
    pending.reported_ = true;
    ReportOutcome(key, pending, ResultCode::kOk);
  }
  if (pending.granted_.size() == pending.members_) {
    pending_.erase(key);
  }
}

bool ClaimCoordinator::ContinueRelease(const Key& key,
                                       Pending& pending,
                                       const base::Now& now) {
  if (now.mono_ < pending.deadline_) {
    return true;
  }
  if (!pending.reported_) {
    pending.reported_ = true;
    ReportOutcome(key, pending, ResultCode::kClaimNoQuorum);
  }
  const bool expired =
      pending.request_.record().expires_ms() <= base::ToUnixMs(now.wall_);
  if (!expired && pending_.size() <= kMaxPendingClaims) {
    return true;
  }
  base::LogEvent(base::EventId::kClaimKept,
                 {{"key", pending.request_.record().key()},
                  {"owner", key.first},
                  {"released", std::to_string(pending.granted_.size())},
                  {"members", std::to_string(pending.members_)}});
  return false;
}

void ClaimCoordinator::OnTimer(const base::Now& now, base::Outbox& outbox) {
  std::vector<Key> timed_out;
  for (auto item = pending_.begin(); item != pending_.end();) {
    Pending& pending = item->second;
    const bool release = item->first.second == rpc::ClaimRequest::RELEASE;
    if (release && !ContinueRelease(item->first, pending, now)) {
      item = pending_.erase(item);
      continue;
    }
    if (!release && now.mono_ >= pending.deadline_) {
      timed_out.push_back(item->first);
    } else if (now.mono_ >= pending.next_send_) {
      // Resending is safe: members handle duplicate requests idempotently.
      pending.next_send_ = now.mono_ + pending.resend_interval_;
      if (release) {
        pending.resend_interval_ =
            std::min(2 * pending.resend_interval_, kMaxReleaseInterval);
      }
      SendToMembers(pending, outbox);
    }
    ++item;
  }
  for (const Key& key : timed_out) {
    Finish(key, pending_[key].refusal_, now, outbox);
  }
}

void ClaimCoordinator::Finish(const Key& key,
                              ResultCode code,
                              const base::Now& now,
                              base::Outbox& outbox) {
  const auto found = pending_.find(key);
  Pending pending = std::move(found->second);
  pending_.erase(found);
  ReportOutcome(key, pending, code);
  // Releases a claim without a majority, since some members may have granted it
  // and this owner will never run the request.
  const bool sent = pending.members_ != 0;
  if (key.second == rpc::ClaimRequest::CLAIM && code != ResultCode::kOk &&
      sent) {
    Start(rpc::ClaimRequest::RELEASE,
          std::move(*pending.request_.mutable_record()), now, outbox);
  }
}

void ClaimCoordinator::ReportOutcome(const Key& key,
                                     const Pending& pending,
                                     ResultCode code) {
  ClaimOutcome outcome;
  outcome.owner_ = key.first;
  outcome.action_ = key.second;
  outcome.code_ = code;
  outcome.answer_ = pending.answer_;
  outcomes_.push_back(std::move(outcome));
}

std::vector<ClaimOutcome> ClaimCoordinator::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

}  // namespace buckthorngate::request
