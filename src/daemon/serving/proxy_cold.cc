// The proxy role: limits of cold upstreams, from the configuration and the
// settings to the destination.
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {

void ProxyRole::Impl::ApplyColdLimits() {
  std::map<std::string, request::ColdLimits> limits;
  for (const rpc::UpstreamLimits& service :
       node_->Config().Routing().upstream_limits()) {
    request::ColdLimits& cold = limits[service.service()];
    cold.cold_start_ = std::chrono::milliseconds(service.cold_start_ms());
    cold.rate_per_s_ = service.cold_requests_per_second();
    cold.over_ = settings_.cold_start_.over_;
    cold.slack_ = settings_.cold_start_.slack_;
  }
  if (limits != cold_limits_) {
    cold_limits_ = limits;
    loop_.Post([this, limits] { destination_.SetColdLimits(limits); });
  }
  if (node_->MayServe()) {
    loop_.Post([this] { destination_.SetConfigured(); });
  }
}

}  // namespace buckthorngate::daemon::serving
