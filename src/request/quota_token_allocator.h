// Relay's part of the quotas of client accounts: holds shares of the accounts'
// limits, and hands out tokens to the daemons that follow the relay.
//
// Each valid share has a token bucket. A share that changes keeps its tokens,
// up to the new burst; one that has expired loses them, and a new one starts
// empty except for tokens that the leader adds. So the buckets of all relays
// together never hold more than the account's burst and kBurstReserve.
#ifndef SRC_REQUEST_QUOTA_TOKEN_ALLOCATOR_H_
#define SRC_REQUEST_QUOTA_TOKEN_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"
#include "request/quota_limits.h"

namespace buckthorngate::request {

struct AddressedGrant {
  std::string daemon_;
  rpc::QuotaGrant grant_;
};

struct QuotaTokenCounts {
  uint64_t granted_ = 0;
  uint64_t returned_ = 0;
  uint64_t refused_ = 0;  // Demands for an account without a token.
};

// Not safe for concurrent use.
class QuotaTokenAllocator {
 public:
  // `incarnation` grows with each start of the relay.
  QuotaTokenAllocator(const std::string& relay, uint64_t incarnation);

  // Shares of accounts whose limit was lowered are lowered at once.
  void SetLimits(const QuotaLimits& limits) { limits_ = limits; }

  void OnDemand(const std::string& daemon,
                const rpc::QuotaDemand& demand,
                base::BootTime now);
  // Replies to demands: tokens, or the time until there may be some. A demand
  // without tokens waits for up to kMaxGrantDelay.
  std::vector<AddressedGrant> TakeGrants(base::BootTime now);

  // The request to the sources, when one is due.
  std::optional<rpc::QuotaShareRequest> TakeRequest(base::BootTime now);
  void OnShares(const rpc::QuotaShares& shares, base::BootTime now);

  // Whether any account has a share or traffic.
  bool Active() const { return !accounts_.empty(); }
  bool HoldsShares(base::BootTime now) const;
  const QuotaTokenCounts& Counts() const { return counts_; }

 private:
  struct Demand {
    std::string daemon_;
    uint64_t sequence_ = 0;
    uint32_t wanted_ = 0;
    base::BootTime until_;
  };
  struct Account {
    // Share and bucket; valid until `expires_`.
    double rate_ = 0.0;
    double burst_ = 0.0;
    base::BootTime expires_;
    double tokens_ = 0.0;
    base::BootTime refilled_at_;
    // Returned tokens that may be accepted.
    double return_allowance_ = 0.0;
    // Moving average of the demand, in requests per second.
    double demand_ = 0.0;
    base::BootTime demand_at_;
    double average_seconds_ = 1.0;
    base::BootTime last_traffic_;
    // What the latest request reported as held, and until when it was valid.
    double reported_rate_ = 0.0;
    base::BootTime reported_expires_;
    std::deque<Demand> waiting_;
  };
  struct DaemonStart {
    uint64_t incarnation_ = 0;
    uint64_t sequence_ = 0;
    base::BootTime seen_;
  };

  bool Register(const std::string& daemon,
                const rpc::QuotaDemand& demand,
                base::BootTime now);
  // Whether tokens may be handed out: the share is valid, and those that an
  // earlier start of this relay handed out have expired.
  bool MayGrant(const Account& account, base::BootTime now) const;
  // Brings the bucket and the allowance of returns up to date.
  void Refill(const std::string& name, Account& account, base::BootTime now);
  static void RecordDemand(Account& account, double tokens, base::BootTime now);
  static double DemandAt(const Account& account, base::BootTime now);
  // Time until the next token for a demand behind all that wait.
  static base::Duration NextTokenIn(const Account& account);
  void Want(const std::string& daemon,
            const rpc::QuotaDemand& demand,
            const rpc::AccountTokens& wanted,
            base::BootTime now);
  void Return(const rpc::AccountTokens& returned, base::BootTime now);
  rpc::QuotaGrant& ReplyTo(const std::string& daemon,
                           uint64_t sequence,
                           bool unavailable);
  void Grant(const std::string& name, Account& account, const Demand& demand);
  void Refuse(const std::string& name,
              const Account& account,
              const Demand& demand,
              base::BootTime now);
  void ServeWaiting(const std::string& name,
                    Account& account,
                    base::BootTime now);
  bool RequestDue(base::BootTime now) const;
  void DropIdle(base::BootTime now);

  const uint64_t incarnation_;
  QuotaLimits limits_;
  std::map<std::string, Account> accounts_;
  std::map<std::string, DaemonStart> daemons_;
  // By daemon, sequence of the demand, and whether the relay has no share.
  std::map<std::tuple<std::string, uint64_t, bool>, rpc::QuotaGrant> replies_;
  std::optional<base::BootTime> started_at_;
  // Latest request. Only its first reply is accepted.
  uint64_t sequence_;
  base::BootTime sent_at_;
  bool answered_ = true;
  // A share is too small for the demand, or was lowered and the leader can give
  // the rest to others once it knows.
  bool urgent_ = false;
  QuotaTokenCounts counts_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_QUOTA_TOKEN_ALLOCATOR_H_
