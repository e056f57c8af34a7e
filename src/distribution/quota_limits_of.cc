// The limits of client accounts, from the configuration.
#include "distribution/quota_limits_of.h"

namespace buckthorngate::distribution {

request::QuotaLimits QuotaLimitsOf(const config::ConfigState& config) {
  request::QuotaLimits limits;
  for (const auto& [name, account] : config.Accounts()) {
    limits.Set(name, {account->requests_per_second(), account->burst()});
  }
  return limits;
}

}  // namespace buckthorngate::distribution
