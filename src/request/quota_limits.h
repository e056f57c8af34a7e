// Limits of client accounts, as the configuration states them, and the times
// and reserves that the parts of the quota system share.
//
// Everything here is derived from one bound: in any window of 5 s, over all
// daemons, at most (rate * 5 + burst) * 1.1 + 20 requests of an account run.
// docs/design/quotas.md has the proof.
#ifndef SRC_REQUEST_QUOTA_LIMITS_H_
#define SRC_REQUEST_QUOTA_LIMITS_H_

#include <map>
#include <string>
#include <utility>

#include "base/time.h"

namespace buckthorngate::request {

// Validity of a relay's share, from the sending of its request.
inline constexpr base::Duration kShareValidity = std::chrono::seconds(3);
// Validity of a token, from the sending of the daemon's demand.
inline constexpr base::Duration kTokenValidity = std::chrono::milliseconds(500);
// Part of the slack of 20 requests that the leader adds to an account's burst,
// so that the burst of a small account can be split over several relays.
inline constexpr double kBurstReserve = 15.0;
// Part of the slack that returned tokens may use: capacity of the allowance,
// and its refill per second, over all relays.
inline constexpr double kReturnReserve = 1.0;
inline constexpr double kReturnsPerSecond = 2.0;

struct QuotaLimit {
  double rate_ = 0.0;  // Requests per second; positive.
  double burst_ = 0.0;

  bool operator==(const QuotaLimit&) const = default;
};

// The accounts that have a limit, by name.
class QuotaLimits {
 public:
  QuotaLimits() = default;
  explicit QuotaLimits(std::map<std::string, QuotaLimit> limits)
      : limits_(std::move(limits)) {}

  // Null if the account is unknown or has no limit.
  const QuotaLimit* Find(const std::string& account) const {
    const auto found = limits_.find(account);
    return found == limits_.end() ? nullptr : &found->second;
  }
  // A rate of 0 means that the account has no limit.
  void Set(const std::string& account, QuotaLimit limit) {
    if (limit.rate_ > 0.0) {
      limits_[account] = limit;
    } else {
      limits_.erase(account);
    }
  }
  bool Empty() const { return limits_.empty(); }

  bool operator==(const QuotaLimits&) const = default;

 private:
  std::map<std::string, QuotaLimit> limits_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_QUOTA_LIMITS_H_
