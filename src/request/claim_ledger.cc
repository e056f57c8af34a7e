// Claim ledger of one claim group member.
#include "request/claim_ledger.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::request {
namespace {

// Interval at which expired records are removed.
constexpr base::Duration kSweepInterval = std::chrono::seconds(10);

bool Contains(const google::protobuf::RepeatedPtrField<rpc::ClaimMember>& list,
              const std::string& relay) {
  return std::any_of(list.begin(), list.end(),
                     [&relay](const rpc::ClaimMember& member) {
                       return member.relay() == relay;
                     });
}

// An answered record supersedes a running one of the same owner.
bool Supersedes(const rpc::ClaimRecord& offered, const rpc::ClaimRecord& held) {
  return offered.owner() == held.owner() &&
         (offered.state() == rpc::CLAIM_STATE_ANSWERED &&
          held.state() == rpc::CLAIM_STATE_RUNNING);
}

}  // namespace

ClaimLedger::ClaimLedger(std::string self, storage::Journal& journal)
    : self_(std::move(self)), journal_(journal) {}

void ClaimLedger::Restore(const rpc::JournalRecord& record) {
  if (record.has_claim_group()) {
    group_ = record.claim_group();
    // The group is recorded only after the ledger was complete for it.
    ready_ = IsMember();
    return;
  }
  if (!record.has_claim()) {
    return;
  }
  if (record.claim().released()) {
    records_.erase(record.claim().key());
  } else {
    records_[record.claim().key()] = record.claim();
  }
}

bool ClaimLedger::IsMember() const {
  return Contains(group_.members(), self_);
}

bool ClaimLedger::Append(const rpc::JournalRecord& record) {
  dirty_ = true;
  return journal_.Append(record) == ResultCode::kOk;
}

bool ClaimLedger::Store(const rpc::ClaimRecord& record) {
  rpc::JournalRecord stored;
  *stored.mutable_claim() = record;
  if (!Append(stored)) {
    return false;
  }
  if (record.released()) {
    records_.erase(record.key());
  } else {
    records_[record.key()] = record;
  }
  return true;
}

void ClaimLedger::SetGroup(const rpc::ClaimGroup& group) {
  if (group.epoch() <= group_.epoch()) {
    return;
  }
  // A member that skipped an epoch must not count its own ledger as that of a
  // previous member, because it lacks the claims of the skipped epoch.
  const bool own_is_current = ready_ && group.epoch() == group_.epoch() + 1 &&
                              Contains(group.previous(), self_);
  group_ = group;
  ready_ = false;
  transferred_.clear();
  if (own_is_current) {
    transferred_.insert(self_);
  }
  next_transfer_ = base::MonoTime();
  FinishTransfer();
}

void ClaimLedger::FinishTransfer() {
  if (!IsMember() || ready_) {
    return;
  }
  const size_t previous = static_cast<size_t>(group_.previous_size());
  const size_t needed = previous == 0 ? 0 : previous / 2 + 1;
  if (transferred_.size() < needed) {
    return;
  }
  rpc::JournalRecord record;
  *record.mutable_claim_group() = group_;
  ready_ = Append(record);
}

ResultCode ClaimLedger::Claim(const rpc::ClaimRecord& wanted,
                              rpc::ClaimRecord& held,
                              bool exists) {
  if (released_owners_.count(wanted.owner()) != 0) {
    return ResultCode::kClaimNoQuorum;
  }
  if (!exists) {
    return Store(wanted) ? ResultCode::kOk : ResultCode::kStorageFailed;
  }
  if (held.content_digest() != wanted.content_digest()) {
    return ResultCode::kKeyReused;
  }
  return held.owner() == wanted.owner() ? ResultCode::kOk
                                        : ResultCode::kClaimOutcomeUnknown;
}

ResultCode ClaimLedger::Release(const rpc::ClaimRecord& wanted,
                                bool owns,
                                base::MonoTime now) {
  released_owners_[wanted.owner()] = now + kReleasedOwnerRetention;
  return !owns || Store(wanted) ? ResultCode::kOk : ResultCode::kStorageFailed;
}

rpc::ClaimReply ClaimLedger::Decide(const rpc::ClaimRequest& request,
                                    const base::Now& now) {
  const rpc::ClaimRecord& wanted = request.record();
  rpc::ClaimReply reply;
  reply.set_epoch(group_.epoch());
  reply.set_key(wanted.key());
  reply.set_owner(wanted.owner());
  reply.set_action(request.action());
  ResultCode code = ResultCode::kOk;
  auto found = records_.find(wanted.key());
  if (found != records_.end() &&
      found->second.expires_ms() <= base::ToUnixMs(now.wall_)) {
    records_.erase(found);
    found = records_.end();
  }
  const bool exists = found != records_.end();
  rpc::ClaimRecord held = exists ? found->second : rpc::ClaimRecord();
  const bool owns = exists && held.owner() == wanted.owner();
  if (request.epoch() != group_.epoch() || !IsMember()) {
    code = ResultCode::kClaimEpochOld;
    if (request.epoch() < group_.epoch()) {
      *reply.mutable_group() = group_;
    }
  } else if (!ready_) {
    code = ResultCode::kClaimTransferring;
  } else if (request.action() == rpc::ClaimRequest::CLAIM) {
    code = Claim(wanted, held, exists);
  } else if (request.action() == rpc::ClaimRequest::RELEASE) {
    code = Release(wanted, owns, now.mono_);
  } else if (!owns) {
    code = ResultCode::kClaimOutcomeUnknown;
  } else if (!Store(wanted)) {
    code = ResultCode::kStorageFailed;
  }
  reply.set_result_code(static_cast<uint32_t>(code));
  const auto current = records_.find(wanted.key());
  if (current != records_.end()) {
    *reply.mutable_record() = current->second;
  }
  return reply;
}

void ClaimLedger::OnRequest(const std::string& from,
                            const rpc::ClaimRequest& request,
                            const base::Now& now,
                            base::Outbox& outbox) {
  *outbox.Add(self_, from).mutable_claim_reply() = Decide(request, now);
}

void ClaimLedger::OnTransferRequest(const std::string& from,
                                    const rpc::ClaimTransferRequest& request,
                                    base::Outbox& outbox) {
  // A ledger may be copied only after it has fenced the preceding epoch, and
  // only if it was complete for that epoch.
  const bool fenced = group_.epoch() == request.epoch();
  const bool complete = ready_ || transferred_.count(self_) != 0;
  if (!fenced || !complete) {
    return;
  }
  rpc::ClaimTransfer& transfer =
      *outbox.Add(self_, from).mutable_claim_transfer();
  transfer.set_epoch(group_.epoch());
  for (const auto& [key, record] : records_) {
    *transfer.add_records() = record;
  }
}

void ClaimLedger::OnTransfer(const std::string& from,
                             const rpc::ClaimTransfer& transfer) {
  if (transfer.epoch() != group_.epoch() || ready_ ||
      !Contains(group_.previous(), from)) {
    return;
  }
  for (const rpc::ClaimRecord& record : transfer.records()) {
    const auto held = records_.find(record.key());
    if (held == records_.end() || Supersedes(record, held->second)) {
      if (!Store(record)) {
        return;
      }
    }
  }
  transferred_.insert(from);
  FinishTransfer();
}

void ClaimLedger::OnTimer(const base::Now& now, base::Outbox& outbox) {
  if (IsMember() && !ready_ && now.mono_ >= next_transfer_) {
    next_transfer_ = now.mono_ + kTransferRetryInterval;
    for (const rpc::ClaimMember& member : group_.previous()) {
      if (member.relay() != self_ && transferred_.count(member.relay()) == 0) {
        outbox.Add(self_, member.relay())
            .mutable_claim_transfer_request()
            ->set_epoch(group_.epoch());
      }
    }
  }
  if (now.mono_ >= next_sweep_) {
    next_sweep_ = now.mono_ + kSweepInterval;
    const int64_t wall_ms = base::ToUnixMs(now.wall_);
    std::erase_if(records_, [wall_ms](const auto& item) {
      return item.second.expires_ms() <= wall_ms;
    });
    std::erase_if(released_owners_, [&now](const auto& item) {
      return item.second <= now.mono_;
    });
  }
}

std::vector<rpc::JournalRecord> ClaimLedger::AllRecords() const {
  std::vector<rpc::JournalRecord> all;
  for (const auto& [key, record] : records_) {
    *all.emplace_back().mutable_claim() = record;
  }
  if (ready_) {
    *all.emplace_back().mutable_claim_group() = group_;
  }
  return all;
}

}  // namespace buckthorngate::request
