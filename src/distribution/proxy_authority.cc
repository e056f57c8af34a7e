// A proxy: its lease on the authority to accept keys of client accounts.
#include "base/events.h"
#include "distribution/proxy_node.h"

namespace buckthorngate::distribution {
namespace {

// A lease whose question is older than this is overdue: all relays are asked,
// and more often, since a message may have been lost.
constexpr base::Duration kOverdueLeaseAge = std::chrono::milliseconds(1700);

}  // namespace

bool ProxyNode::NeedsAuthority() const {
  return authority_.Enforced() && config_.State().UsesAccounts();
}

bool ProxyNode::AuthorityOverdue(const base::Now& now) const {
  return NeedsAuthority() &&
         now.boot_ - authority_.ConfirmedAt() > kOverdueLeaseAge;
}

void ProxyNode::OnAuthorityLease(const rpc::AuthorityLease& reply,
                                 const base::Now& now) {
  // A proxy that lacks the revision asks again once it has caught up: each
  // revision that takes effect is acknowledged, with a new question.
  (void)authority_.OnReply(reply, config_.State().Revision());
  UpdateAuthority(now);
  UpdateCurrency(now);
}

void ProxyNode::UpdateAuthority(const base::Now& now) {
  const bool holds = NeedsAuthority() && authority_.IsValid(now.boot_);
  if (holds == holds_authority_) {
    return;
  }
  holds_authority_ = holds;
  if (!NeedsAuthority()) {
    return;
  }
  const base::Duration age = now.boot_ - authority_.ConfirmedAt();
  base::LogEvent(
      holds ? base::EventId::kAuthorityRegained : base::EventId::kAuthorityLost,
      {{"revision", std::to_string(config_.State().Revision())},
       {"relay", parents_.Active()},
       {"age_ms", std::to_string(age / std::chrono::milliseconds(1))}});
}

}  // namespace buckthorngate::distribution
