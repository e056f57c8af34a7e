// The limits of client accounts, from the configuration.
#ifndef SRC_DISTRIBUTION_QUOTA_LIMITS_OF_H_
#define SRC_DISTRIBUTION_QUOTA_LIMITS_OF_H_

#include "config/config_state.h"
#include "request/quota_limits.h"

namespace buckthorngate::distribution {

request::QuotaLimits QuotaLimitsOf(const config::ConfigState& config);

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_QUOTA_LIMITS_OF_H_
