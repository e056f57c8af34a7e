// A relay: shares and tokens of client accounts' quotas.
#include <optional>
#include <utility>

#include "distribution/quota_limits_of.h"
#include "distribution/relay_node.h"

namespace buckthorngate::distribution {

void RelayNode::UpdateQuotaLimits() {
  quota_.SetLimits(QuotaLimitsOf(config_.State()));
}

void RelayNode::SendQuotas(const base::Now& now) {
  for (request::AddressedGrant& grant : quota_.TakeGrants(now.boot_)) {
    *outbox_.Add(options_.id_, grant.daemon_).mutable_quota_grant() =
        std::move(grant.grant_);
  }
  const std::optional<rpc::QuotaShareRequest> request =
      quota_.TakeRequest(now.boot_);
  if (!request) {
    return;
  }
  // Only the leader answers; which source that is may have changed.
  for (const std::string& source : sources_) {
    *outbox_.Add(options_.id_, source).mutable_quota_share_request() = *request;
  }
}

}  // namespace buckthorngate::distribution
