// Leader's part of the quotas of client accounts: divides each account's rate
// and burst among the relays.
//
// A share is valid for kShareValidity. The ledger counts the highest share that
// a relay may hold: what it reports, what it was granted since, and what an
// earlier start of it held. Invariant: the counted shares of an account never
// exceed its limit, where the burst is increased by kBurstReserve, unless the
// limit was lowered less than kShareValidity ago.
//
// The times passed in must not advance faster than those of the relays, so the
// leader's clock may leave out the time for which its host was suspended.
#ifndef SRC_REQUEST_QUOTA_SHARE_ALLOCATOR_H_
#define SRC_REQUEST_QUOTA_SHARE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "mesh.pb.h"
#include "request/quota_limits.h"

namespace buckthorngate::request {

// Not safe for concurrent use.
class QuotaShareAllocator {
 public:
  // Called when this source becomes the leader. Until kShareValidity later,
  // shares of earlier leaders may be valid, and only what relays report to hold
  // is renewed.
  void Start(base::BootTime now);
  void SetLimits(const QuotaLimits& limits) { limits_ = limits; }

  // Answers a relay's request; nullopt if it is older than one that was
  // answered. `confirmed` is a time at which this source was certainly the only
  // leader; the caller has made sure that it is not before the arrival of the
  // request.
  std::optional<rpc::QuotaShares> Answer(const std::string& relay,
                                         const rpc::QuotaShareRequest& request,
                                         base::BootTime confirmed);

  // Sum of the valid shares' rates, over all accounts.
  double TotalRate(base::BootTime now) const;
  // Sum of the valid shares' rates of one account.
  double CountedRate(const std::string& account, base::BootTime now) const;
  // Shares that were granted with another rate than before, since the start.
  uint64_t ChangedShares() const { return changed_shares_; }
  // Accounts with state.
  size_t Accounts() const { return accounts_.size(); }

 private:
  struct Share {
    double rate_ = 0.0;
    double burst_ = 0.0;
    base::BootTime expires_;
  };
  // What one relay may hold of one account.
  struct Holding {
    Share reported_;
    Share granted_;  // Since the last report.
    Share former_;   // Held by an earlier start of the relay.
    double need_ = 0.0;
    base::BootTime need_expires_;
  };
  struct Account {
    std::map<std::string, Holding> holdings_;  // By relay.
    // Tokens that are in no relay's bucket. Invariant: these and the counted
    // bursts do not exceed the account's burst and kBurstReserve.
    double free_tokens_ = 0.0;
    base::BootTime free_at_;
    // Rate that was not counted for any relay since `free_at_`.
    double free_rate_ = 0.0;
  };
  struct RelayStart {
    uint64_t incarnation_ = 0;
    uint64_t sequence_ = 0;
  };

  // Highest share that the holding may stand for.
  static Share Counted(const Holding& holding, base::BootTime now);
  // Sum of the counted shares, without those of the relay `except`.
  static Share CountedSum(const Account& account,
                          const std::string& except,
                          base::BootTime now);
  // False if the request is older than one that was seen. Handles the start of
  // a new incarnation.
  bool Register(const std::string& relay,
                const rpc::QuotaShareRequest& request,
                base::BootTime now);
  // Makes the ledger agree with what the relay reports to hold.
  void RecordReports(const std::string& relay,
                     const rpc::QuotaShareRequest& request,
                     base::BootTime now);
  Account& AccountFor(const std::string& name,
                      const QuotaLimit& limit,
                      base::BootTime now);
  void RefillFreeTokens(Account& account,
                        const QuotaLimit& limit,
                        base::BootTime now);
  // Rate that the relay should have: its need, limited to a fair part, and a
  // part of what no relay needs.
  static double TargetRate(const Account& account,
                           const QuotaLimit& limit,
                           const std::string& relay,
                           base::BootTime now);
  void GrantShare(const std::string& relay,
                  const std::string& name,
                  base::BootTime now,
                  rpc::QuotaShares& reply);
  // Drops the holdings that stand for nothing; whether the account has none
  // left and all of its tokens are free.
  bool DropIdleHoldings(const std::string& name,
                        Account& account,
                        base::BootTime now);
  void DropIdleAccounts(base::BootTime now);

  QuotaLimits limits_;
  std::map<std::string, Account> accounts_;
  std::map<std::string, RelayStart> relays_;
  // When all shares of earlier leaders have expired.
  base::BootTime settled_at_;
  uint64_t changed_shares_ = 0;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_QUOTA_SHARE_ALLOCATOR_H_
