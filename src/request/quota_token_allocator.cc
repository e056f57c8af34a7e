// Shares and token buckets of a relay.
#include "request/quota_token_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

#include "base/hash.h"

namespace buckthorngate::request {
namespace {

constexpr base::Duration kRequestInterval = std::chrono::milliseconds(500);
// Interval of requests that cannot wait, if the last one was answered.
constexpr base::Duration kUrgentInterval = std::chrono::milliseconds(100);
// Shorter than entries wait, so that the token arrives while it is wanted.
constexpr base::Duration kMaxGrantDelay = std::chrono::milliseconds(75);
// Wait that is reported while there is no share.
constexpr base::Duration kShareDelay = std::chrono::milliseconds(250);
// Shares of accounts without traffic are renewed for this long, so that the
// next request finds a token.
constexpr base::Duration kIdleTime = std::chrono::seconds(30);
// The demand is averaged over the time in which the limit admits this many
// requests, within these bounds: shorter ones are too noisy for small accounts.
constexpr double kDemandAverageRequests = 30.0;
constexpr double kMinDemandAverageSeconds = 0.3;
constexpr double kMaxDemandAverageSeconds = 8.0;
constexpr base::Duration kMaxWait = std::chrono::seconds(10);
// Part of a share whose loss is reported to the leader at once.
constexpr double kUrgentDecrease = 0.05;
// Random bits of the first sequence, so that a reply to an earlier start of the
// relay does not match.
constexpr uint64_t kSequenceMask = 0xfffffff;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double AverageSeconds(double rate) {
  return std::clamp(kDemandAverageRequests / rate, kMinDemandAverageSeconds,
                    kMaxDemandAverageSeconds);
}

}  // namespace

QuotaTokenAllocator::QuotaTokenAllocator(const std::string& relay,
                                         uint64_t incarnation)
    : incarnation_(incarnation),
      sequence_(base::Hash(relay, incarnation) & kSequenceMask) {}

bool QuotaTokenAllocator::Register(const std::string& daemon,
                                   const rpc::QuotaDemand& demand,
                                   base::BootTime now) {
  DaemonStart& known = daemons_[daemon];
  const bool older = demand.incarnation() < known.incarnation_ ||
                     (demand.incarnation() == known.incarnation_ &&
                      demand.sequence() <= known.sequence_);
  if (older) {
    return false;
  }
  known = {demand.incarnation(), demand.sequence(), now};
  return true;
}

bool QuotaTokenAllocator::MayGrant(const Account& account,
                                   base::BootTime now) const {
  return now < account.expires_ && started_at_ &&
         now >= *started_at_ + kTokenValidity;
}

void QuotaTokenAllocator::Refill(const std::string& name,
                                 Account& account,
                                 base::BootTime now) {
  const QuotaLimit* limit = limits_.Find(name);
  if (now >= account.expires_ || limit == nullptr) {
    account.rate_ = 0.0;
    account.burst_ = 0.0;
    account.tokens_ = 0.0;
    account.refilled_at_ = now;
    return;
  }
  account.rate_ = std::min(account.rate_, limit->rate_);
  account.burst_ = std::min(account.burst_, limit->burst_ + kBurstReserve);
  const double elapsed = Seconds(now - account.refilled_at_);
  account.refilled_at_ = now;
  const double part = account.rate_ / limit->rate_;
  account.return_allowance_ =
      std::min(account.return_allowance_ + elapsed * kReturnsPerSecond * part,
               kReturnReserve * part);
  account.tokens_ =
      std::min(account.tokens_ + elapsed * account.rate_, account.burst_);
}

double QuotaTokenAllocator::DemandAt(const Account& account,
                                     base::BootTime now) {
  const double age = Seconds(now - account.demand_at_);
  return account.demand_ * std::exp(-age / account.average_seconds_);
}

void QuotaTokenAllocator::RecordDemand(Account& account,
                                       double tokens,
                                       base::BootTime now) {
  account.demand_ = DemandAt(account, now) + tokens / account.average_seconds_;
  account.demand_at_ = now;
  account.last_traffic_ = now;
}

base::Duration QuotaTokenAllocator::NextTokenIn(const Account& account) {
  const double missing =
      1.0 + static_cast<double>(account.waiting_.size()) - account.tokens_;
  if (account.rate_ <= 0.0 || missing / account.rate_ > Seconds(kMaxWait)) {
    return kMaxWait;
  }
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(missing, 0.0) / account.rate_));
}

rpc::QuotaGrant& QuotaTokenAllocator::ReplyTo(const std::string& daemon,
                                              uint64_t sequence,
                                              bool unavailable) {
  rpc::QuotaGrant& reply = replies_[{daemon, sequence, unavailable}];
  reply.set_sequence(sequence);
  reply.set_unavailable(unavailable);
  return reply;
}

void QuotaTokenAllocator::Grant(const std::string& name,
                                Account& account,
                                const Demand& demand) {
  const uint32_t tokens =
      std::min(demand.wanted_, static_cast<uint32_t>(account.tokens_));
  account.tokens_ -= tokens;
  counts_.granted_ += tokens;
  rpc::AccountTokens& granted =
      *ReplyTo(demand.daemon_, demand.sequence_, /*unavailable=*/false)
           .add_granted();
  granted.set_account(name);
  granted.set_tokens(tokens);
}

void QuotaTokenAllocator::Refuse(const std::string& name,
                                 const Account& account,
                                 const Demand& demand,
                                 base::BootTime now) {
  ++counts_.refused_;
  const bool may_grant = MayGrant(account, now);
  rpc::AccountWait& wait =
      *ReplyTo(demand.daemon_, demand.sequence_, !may_grant).add_waits();
  wait.set_account(name);
  const base::Duration delay = may_grant ? NextTokenIn(account) : kShareDelay;
  wait.set_wait_ms(static_cast<uint32_t>(delay / std::chrono::milliseconds(1)));
}

void QuotaTokenAllocator::Want(const std::string& daemon,
                               const rpc::QuotaDemand& demand,
                               const rpc::AccountTokens& wanted,
                               base::BootTime now) {
  const std::string& name = wanted.account();
  const Demand waiting = {daemon, demand.sequence(), wanted.tokens(),
                          now + kMaxGrantDelay};
  const QuotaLimit* limit = limits_.Find(name);
  if (limit == nullptr) {
    // The daemon may have learned of the account before this relay.
    Refuse(name, Account(), waiting, now);
    return;
  }
  Account& account = accounts_[name];
  account.average_seconds_ = AverageSeconds(limit->rate_);
  Refill(name, account, now);
  RecordDemand(account, wanted.tokens(), now);
  const bool may_grant = MayGrant(account, now);
  if (DemandAt(account, now) > account.rate_ && account.tokens_ < 1.0) {
    urgent_ = true;
  }
  if (may_grant && account.waiting_.empty() && account.tokens_ >= 1.0) {
    Grant(name, account, waiting);
  } else if (may_grant && NextTokenIn(account) > kMaxGrantDelay) {
    Refuse(name, account, waiting, now);
  } else {
    account.waiting_.push_back(waiting);
  }
}

void QuotaTokenAllocator::Return(const rpc::AccountTokens& returned,
                                 base::BootTime now) {
  const auto found = accounts_.find(returned.account());
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  Refill(returned.account(), account, now);
  const double accepted = std::min(static_cast<double>(returned.tokens()),
                                   std::max(account.return_allowance_, 0.0));
  account.return_allowance_ -= accepted;
  account.tokens_ = std::min(account.tokens_ + accepted, account.burst_);
  counts_.returned_ += returned.tokens();
}

void QuotaTokenAllocator::OnDemand(const std::string& daemon,
                                   const rpc::QuotaDemand& demand,
                                   base::BootTime now) {
  started_at_ = started_at_.value_or(now);
  if (!Register(daemon, demand, now)) {
    return;
  }
  for (const rpc::AccountTokens& returned : demand.returned()) {
    Return(returned, now);
  }
  for (const rpc::AccountTokens& wanted : demand.wanted()) {
    if (wanted.tokens() > 0) {
      Want(daemon, demand, wanted, now);
    }
  }
}

void QuotaTokenAllocator::ServeWaiting(const std::string& name,
                                       Account& account,
                                       base::BootTime now) {
  if (account.waiting_.empty()) {
    return;
  }
  Refill(name, account, now);
  const bool may_grant = MayGrant(account, now);
  while (!account.waiting_.empty()) {
    const Demand demand = account.waiting_.front();
    if (may_grant && account.tokens_ >= 1.0) {
      account.waiting_.pop_front();
      Grant(name, account, demand);
    } else if (now >= demand.until_) {
      account.waiting_.pop_front();
      Refuse(name, account, demand, now);
    } else {
      break;
    }
  }
}

std::vector<AddressedGrant> QuotaTokenAllocator::TakeGrants(
    base::BootTime now) {
  started_at_ = started_at_.value_or(now);
  for (auto& [name, account] : accounts_) {
    ServeWaiting(name, account, now);
  }
  std::vector<AddressedGrant> grants;
  for (auto& [key, reply] : replies_) {
    grants.push_back({std::get<0>(key), std::move(reply)});
  }
  replies_.clear();
  return grants;
}

bool QuotaTokenAllocator::RequestDue(base::BootTime now) const {
  if (accounts_.empty()) {
    return false;
  }
  const base::Duration since = now - sent_at_;
  return since >= kRequestInterval ||
         (urgent_ && answered_ && since >= kUrgentInterval);
}

void QuotaTokenAllocator::DropIdle(base::BootTime now) {
  std::erase_if(accounts_, [now](const auto& item) {
    return item.second.waiting_.empty() &&
           item.second.last_traffic_ + kIdleTime < now;
  });
  std::erase_if(daemons_, [now](const auto& item) {
    return item.second.seen_ + kIdleTime < now;
  });
}

std::optional<rpc::QuotaShareRequest> QuotaTokenAllocator::TakeRequest(
    base::BootTime now) {
  started_at_ = started_at_.value_or(now);
  if (!RequestDue(now)) {
    return std::nullopt;
  }
  const bool had_accounts = !accounts_.empty();
  DropIdle(now);
  rpc::QuotaShareRequest request;
  request.set_incarnation(incarnation_);
  request.set_sequence(++sequence_);
  for (auto& [name, account] : accounts_) {
    Refill(name, account, now);
    rpc::AccountNeed& need = *request.add_needs();
    need.set_account(name);
    need.set_requests_per_second(DemandAt(account, now));
    need.set_held_rate(account.rate_);
    need.set_held_burst(account.burst_);
    account.reported_rate_ = account.rate_;
    account.reported_expires_ = account.expires_;
  }
  sent_at_ = now;
  answered_ = !had_accounts;
  urgent_ = false;
  return request;
}

void QuotaTokenAllocator::OnShares(const rpc::QuotaShares& shares,
                                   base::BootTime now) {
  const base::BootTime expires = sent_at_ + kShareValidity;
  if (shares.sequence() != sequence_ || answered_ || now >= expires) {
    return;
  }
  answered_ = true;
  std::map<std::string, rpc::AccountShare> rates;
  std::map<std::string, double> added_tokens;
  for (const rpc::AccountShare& share : shares.shares()) {
    if (share.requests_per_second() > 0.0) {
      rates[share.account()] = share;
    } else {
      added_tokens[share.account()] = share.burst();
    }
  }
  for (auto& [name, account] : accounts_) {
    Refill(name, account, now);
    const auto found = rates.find(name);
    // A share that has expired since it was reported may have been granted to
    // another relay.
    const bool lapsed =
        account.reported_rate_ > 0.0 && now >= account.reported_expires_;
    if (found == rates.end() || lapsed) {
      account.expires_ = base::BootTime();
      Refill(name, account, now);
      continue;
    }
    const double rate = found->second.requests_per_second();
    if (rate < account.rate_ * (1.0 - kUrgentDecrease)) {
      urgent_ = true;
    }
    account.rate_ = rate;
    account.burst_ = found->second.burst();
    account.expires_ = expires;
    account.tokens_ += added_tokens[name];
    Refill(name, account, now);
  }
}

bool QuotaTokenAllocator::HoldsShares(base::BootTime now) const {
  return std::any_of(
      accounts_.begin(), accounts_.end(),
      [now](const auto& item) { return now < item.second.expires_; });
}

}  // namespace buckthorngate::request
