// A proxy: demands for tokens of client accounts' quotas.
#include <optional>
#include <utility>

#include "base/events.h"
#include "distribution/proxy_node.h"
#include "distribution/quota_limits_of.h"

namespace buckthorngate::distribution {
namespace {

constexpr base::Duration kQuotaLogInterval = std::chrono::seconds(1);

}  // namespace

void ProxyNode::UpdateQuotaLimits() {
  quota_.SetLimits(QuotaLimitsOf(config_.State()));
}

void ProxyNode::SendQuotaDemand(const base::Now& now) {
  std::optional<rpc::QuotaDemand> demand = quota_.TakeDemand(now.boot_);
  if (demand) {
    // Without a relay the demand is lost, and tokens count as unavailable.
    *outbox_.Add(options_.identity_.host_, parents_.Active())
         .mutable_quota_demand() = std::move(*demand);
  }
  const bool obtainable = quota_.Obtainable(now.boot_);
  if (obtainable == quota_obtainable_ || now.mono_ < next_quota_log_) {
    return;
  }
  next_quota_log_ = now.mono_ + kQuotaLogInterval;
  quota_obtainable_ = obtainable;
  base::LogEvent(
      obtainable ? base::EventId::kQuotaRegained : base::EventId::kQuotaLost,
      {{"relay", parents_.Active()}});
}

}  // namespace buckthorngate::distribution
