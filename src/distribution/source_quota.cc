// A source: the leader's shares of client accounts' quotas.
#include <optional>
#include <utility>

#include "base/events.h"
#include "distribution/quota_limits_of.h"
#include "distribution/source_node.h"

namespace buckthorngate::distribution {
namespace {

constexpr base::Duration kQuotaLogInterval = std::chrono::seconds(10);

// The ledger runs on the monotonic clock: while this host is suspended, shares
// seem valid for longer than they are, never for a shorter time.
base::BootTime LedgerTime(base::MonoTime time) {
  return base::BootTime(time.time_since_epoch());
}

}  // namespace

void SourceNode::OnQuotaShareRequest(const rpc::Envelope& envelope,
                                     const base::Now& now) {
  if (raft_->IsLeader()) {
    quota_requests_[envelope.from()] = {envelope.quota_share_request(),
                                        now.mono_};
  }
}

void SourceNode::AnswerQuotaRequests(const base::Now& now) {
  if (!raft_->IsLeader()) {
    quota_requests_.clear();
    return;
  }
  if (quota_term_ != raft_->Term()) {
    quota_term_ = raft_->Term();
    quota_.Start(LedgerTime(now.mono_));
    quota_requests_.clear();
  }
  UpdateQuotaLimits();
  if (quota_requests_.empty() || !raft_->CanServe() || !AppliedAll()) {
    return;
  }
  const base::MonoTime contact = raft_->MajorityContact(now);
  std::erase_if(quota_requests_, [this, contact](const auto& item) {
    if (contact < item.second.arrived_) {
      return false;
    }
    std::optional<rpc::QuotaShares> reply =
        quota_.Answer(item.first, item.second.request_, LedgerTime(contact));
    if (reply) {
      *outbox_.Add(options_.id_, item.first).mutable_quota_shares() =
          std::move(*reply);
    }
    return true;
  });
  LogQuotaShares(now);
}

void SourceNode::UpdateQuotaLimits() {
  const uint64_t revision = state_.Config().Revision();
  if (revision != quota_revision_) {
    quota_revision_ = revision;
    quota_.SetLimits(QuotaLimitsOf(state_.Config()));
  }
}

void SourceNode::LogQuotaShares(const base::Now& now) {
  const uint64_t changes = quota_.ChangedShares();
  if (changes == quota_changes_logged_ || now.mono_ < next_quota_log_) {
    return;
  }
  next_quota_log_ = now.mono_ + kQuotaLogInterval;
  base::LogEvent(base::EventId::kQuotaSharesChanged,
                 {{"changes", std::to_string(changes - quota_changes_logged_)},
                  {"accounts", std::to_string(quota_.Accounts())},
                  {"rate", std::to_string(QuotaSharesRate(now))}});
  quota_changes_logged_ = changes;
}

double SourceNode::QuotaSharesRate(const base::Now& now) const {
  return raft_->IsLeader() ? quota_.TotalRate(LedgerTime(now.mono_)) : 0.0;
}

}  // namespace buckthorngate::distribution
