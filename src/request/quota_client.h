// Entry's part of the quotas of client accounts: holds tokens that the relay
// granted, and decides which requests may run.
//
// A token admits one request and is valid for kTokenValidity from the sending
// of the demand that it was granted for. A request that finds none waits until
// the relay has replied or its time is up.
#ifndef SRC_REQUEST_QUOTA_CLIENT_H_
#define SRC_REQUEST_QUOTA_CLIENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"
#include "request/quota_limits.h"

namespace buckthorngate::request {

// Decision on one request.
struct QuotaDecision {
  bool decided_ = false;
  // kOk, kQuotaExceeded or kQuotaUnavailable.
  ResultCode code_ = ResultCode::kOk;
  // With kOk: the request holds a token, valid until then. Else the account has
  // no limit.
  std::optional<base::BootTime> token_expires_;
  // With a refusal: when a token is due.
  base::Duration retry_after_{0};
  // While it is not decided: identifies the waiting request.
  uint64_t ticket_ = 0;
};

struct QuotaClientCounts {
  uint64_t granted_ = 0;   // Tokens received.
  uint64_t admitted_ = 0;  // Requests that took a token.
  uint64_t exceeded_ = 0;
  uint64_t unavailable_ = 0;
};

// Safe for concurrent use: requests run on the event loop, messages on the
// node's thread.
class QuotaClient {
 public:
  // `incarnation` grows with each start of the daemon.
  QuotaClient(const std::string& daemon, uint64_t incarnation);

  void SetLimits(const QuotaLimits& limits);
  bool HasLimit(const std::string& account) const;

  // Takes a token for a request, or adds the request to those that wait, for up
  // to `max_wait`.
  QuotaDecision Take(const std::string& account,
                     base::Duration max_wait,
                     base::BootTime now);
  // The decision on a waiting request. Once it is decided, the ticket ends.
  QuotaDecision Check(uint64_t ticket, base::BootTime now);
  // Ends a ticket whose request no longer waits.
  void Cancel(uint64_t ticket, base::BootTime now);
  // Gives back the token of a request that did not run.
  void GiveBack(const std::string& account,
                base::BootTime expires,
                base::BootTime now);

  // The demand for the relay, when one is due.
  std::optional<rpc::QuotaDemand> TakeDemand(base::BootTime now);
  void OnGrant(const rpc::QuotaGrant& grant, base::BootTime now);
  // Tickets that were decided since the last call.
  std::vector<uint64_t> TakeDecided();

  // Whether tokens can be obtained, as far as this daemon knows.
  bool Available(base::BootTime now) const;
  // As Available, and the relay holds shares.
  bool Obtainable(base::BootTime now) const;
  QuotaClientCounts Counts() const;

 private:
  struct Tokens {
    base::BootTime expires_;
    uint32_t count_ = 0;
  };
  struct Account {
    std::deque<Tokens> held_;  // Those that expire first are in front.
    std::deque<uint64_t> waiting_;
    // Moving average of the requests per second.
    double rate_ = 0.0;
    base::BootTime rate_at_;
    base::BootTime last_traffic_;
    // Tokens that are asked for, until when a reply is expected.
    uint32_t asked_ = 0;
    base::BootTime asked_until_;
    // The relay has no token before this time.
    base::BootTime refused_until_;
    ResultCode refusal_ = ResultCode::kQuotaExceeded;
    // A token is asked for although no request waits, to learn whether the
    // relay replies again.
    bool probes_ = false;
    uint32_t unused_ = 0;  // Expired tokens that were not used.
  };
  struct Ticket {
    std::string account_;
    base::BootTime until_;
    QuotaDecision decision_;
  };
  struct SentDemand {
    base::BootTime sent_at_;
    std::set<std::string> unanswered_;  // Accounts.
  };

  static void RecordRequest(Account& account, base::BootTime now);
  static double RateAt(const Account& account, base::BootTime now);
  static void DropExpired(Account& account, base::BootTime now);
  static void AddHeld(Account& account, base::BootTime expires, uint32_t count);
  static uint32_t HeldTokens(const Account& account);
  // Takes one held token, if there is one; returns its expiry.
  static std::optional<base::BootTime> TakeHeld(Account& account);
  bool AvailableLocked(base::BootTime now) const;
  QuotaDecision Refusal(ResultCode code, base::Duration retry_after);
  void Decide(uint64_t ticket, const QuotaDecision& decision);
  // Gives held tokens to the requests that wait.
  void ServeWaiting(Account& account, base::BootTime now);
  void RefuseWaiting(Account& account, base::BootTime now);
  // Tokens to ask for, and whether some are needed at once.
  uint32_t Wanted(const std::string& name,
                  const Account& account,
                  base::BootTime now,
                  bool& missing) const;
  void OnWait(const rpc::AccountWait& wait,
              bool unavailable,
              base::BootTime now);
  void DropIdle(base::BootTime now);

  const uint64_t incarnation_;
  mutable std::mutex mutex_;
  QuotaLimits limits_;
  std::map<std::string, Account> accounts_;
  std::map<uint64_t, Ticket> tickets_;
  uint64_t next_ticket_ = 1;
  std::vector<uint64_t> decided_;
  // Demands whose replies may still bring valid tokens, by sequence.
  std::map<uint64_t, SentDemand> sent_;
  uint64_t sequence_;
  base::BootTime last_sent_;
  // When the oldest demand was sent of those after the last reply.
  std::optional<base::BootTime> unanswered_since_;
  bool relay_has_shares_ = true;  // As its last reply tells.
  QuotaClientCounts counts_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_QUOTA_CLIENT_H_
