// Division of the accounts' limits among the relays.
#include "request/quota_share_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace buckthorngate::request {
namespace {

// Validity of a share in the ledger; longer than at the relay, so that the
// clocks of the hosts may run at slightly different rates.
constexpr base::Duration kLedgerValidity =
    kShareValidity + std::chrono::milliseconds(50);
// A relay that did not renew its need for this long gets no part of the rest.
constexpr base::Duration kNeedValidity = std::chrono::milliseconds(1500);
// Part of the unneeded rate that is divided evenly, so that a relay whose
// demand begins finds some; the rest follows the needs.
constexpr double kEvenPart = 0.5;
// A relay whose demand reaches this part of its share gets a part of the free
// tokens.
constexpr double kPressedPart = 0.8;
constexpr double kPressedTokensPart = 0.5;
constexpr double kMinRateChange = 0.01;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Highest level so that the needs, each limited to it, fit into the rate.
double WaterLevel(std::vector<double> needs, double rate) {
  std::sort(needs.begin(), needs.end());
  size_t left = needs.size();
  double level = 0.0;
  for (const double need : needs) {
    level = rate / static_cast<double>(left);
    if (need >= level) {
      return level;
    }
    rate -= need;
    --left;
  }
  return std::max(level, needs.empty() ? 0.0 : needs.back());
}

}  // namespace

void QuotaShareAllocator::Start(base::BootTime now) {
  accounts_.clear();
  relays_.clear();
  settled_at_ = now + kLedgerValidity;
}

QuotaShareAllocator::Share QuotaShareAllocator::Counted(const Holding& holding,
                                                        base::BootTime now) {
  Share sum;
  for (const Share* share :
       {&holding.reported_, &holding.granted_, &holding.former_}) {
    if (share->expires_ > now) {
      sum.rate_ = std::max(sum.rate_, share->rate_);
      sum.burst_ = std::max(sum.burst_, share->burst_);
      sum.expires_ = std::max(sum.expires_, share->expires_);
    }
  }
  return sum;
}

QuotaShareAllocator::Share QuotaShareAllocator::CountedSum(
    const Account& account,
    const std::string& except,
    base::BootTime now) {
  Share sum;
  for (const auto& [relay, holding] : account.holdings_) {
    if (relay == except) {
      continue;
    }
    const Share share = Counted(holding, now);
    sum.rate_ += share.rate_;
    sum.burst_ += share.burst_;
  }
  return sum;
}

bool QuotaShareAllocator::Register(const std::string& relay,
                                   const rpc::QuotaShareRequest& request,
                                   base::BootTime now) {
  RelayStart& known = relays_[relay];
  const bool older = request.incarnation() < known.incarnation_ ||
                     (request.incarnation() == known.incarnation_ &&
                      request.sequence() <= known.sequence_);
  if (older) {
    return false;
  }
  if (request.incarnation() != known.incarnation_) {
    for (auto& [name, account] : accounts_) {
      const auto found = account.holdings_.find(relay);
      if (found != account.holdings_.end()) {
        Holding& holding = found->second;
        holding.former_ = Counted(holding, now);
        holding.reported_ = Share();
        holding.granted_ = Share();
      }
    }
  }
  known = {request.incarnation(), request.sequence()};
  return true;
}

QuotaShareAllocator::Account& QuotaShareAllocator::AccountFor(
    const std::string& name,
    const QuotaLimit& limit,
    base::BootTime now) {
  const auto [found, added] = accounts_.try_emplace(name);
  Account& account = found->second;
  if (added) {
    // Accounts are only dropped with all tokens free, see DropIdleAccounts.
    account.free_at_ = std::min(settled_at_, now);
    account.free_rate_ = settled_at_ < now ? limit.rate_ : 0.0;
  }
  return account;
}

void QuotaShareAllocator::RefillFreeTokens(Account& account,
                                           const QuotaLimit& limit,
                                           base::BootTime now) {
  const Share counted = CountedSum(account, "", now);
  if (now > account.free_at_) {
    account.free_tokens_ +=
        account.free_rate_ * Seconds(now - account.free_at_);
    account.free_at_ = now;
  }
  const double room = limit.burst_ + kBurstReserve - counted.burst_;
  account.free_tokens_ =
      std::clamp(account.free_tokens_, 0.0, std::max(room, 0.0));
  account.free_rate_ =
      now < settled_at_ ? 0.0 : std::max(limit.rate_ - counted.rate_, 0.0);
}

void QuotaShareAllocator::RecordReports(const std::string& relay,
                                        const rpc::QuotaShareRequest& request,
                                        base::BootTime now) {
  // A relay lists all accounts of which it holds a share or needs one.
  for (auto& [name, account] : accounts_) {
    const auto found = account.holdings_.find(relay);
    if (found != account.holdings_.end()) {
      Holding& holding = found->second;
      holding.reported_.expires_ =
          std::max(holding.reported_.expires_, holding.granted_.expires_);
      holding.reported_.rate_ = 0.0;
      holding.reported_.burst_ = 0.0;
      holding.granted_ = Share();
      holding.need_ = 0.0;
    }
  }
  for (const rpc::AccountNeed& need : request.needs()) {
    const QuotaLimit* limit = limits_.Find(need.account());
    if (limit == nullptr) {
      continue;
    }
    Account& account = AccountFor(need.account(), *limit, now);
    Holding& holding = account.holdings_[relay];
    holding.reported_.rate_ = std::max(need.held_rate(), 0.0);
    holding.reported_.burst_ = std::max(need.held_burst(), 0.0);
    if (holding.reported_.expires_ <= now && holding.reported_.rate_ > 0.0) {
      // Granted by an earlier leader.
      holding.reported_.expires_ = now + kLedgerValidity;
    }
    holding.need_ = std::max(need.requests_per_second(), 0.0);
    holding.need_expires_ = now + kNeedValidity;
  }
}

double QuotaShareAllocator::TargetRate(const Account& account,
                                       const QuotaLimit& limit,
                                       const std::string& relay,
                                       base::BootTime now) {
  std::vector<double> needs;
  double sum = 0.0;
  for (const auto& [name, holding] : account.holdings_) {
    if (holding.need_expires_ > now) {
      needs.push_back(holding.need_);
      sum += holding.need_;
    }
  }
  // One part stays free for a relay whose demand begins.
  const double count = static_cast<double>(needs.size() + 1);
  const double need = account.holdings_.at(relay).need_;
  if (sum >= limit.rate_) {
    return std::min(need, WaterLevel(std::move(needs), limit.rate_));
  }
  const double rest = limit.rate_ - sum;
  const double even = rest * kEvenPart / count;
  const double by_need =
      sum > 0.0 ? rest * (1.0 - kEvenPart) * need / sum : 0.0;
  // A relay whose demand has just begun does not get all that is left.
  return need + even + std::min(by_need, need);
}

void QuotaShareAllocator::GrantShare(const std::string& relay,
                                     const std::string& name,
                                     base::BootTime now,
                                     rpc::QuotaShares& reply) {
  const QuotaLimit& limit = *limits_.Find(name);
  Account& account = accounts_.at(name);
  Holding& holding = account.holdings_.at(relay);
  RefillFreeTokens(account, limit, now);
  const Share own = Counted(holding, now);
  const Share others = CountedSum(account, relay, now);
  const double all_bursts = limit.burst_ + kBurstReserve;
  Share share;
  share.rate_ = TargetRate(account, limit, relay, now);
  const double count = static_cast<double>(account.holdings_.size() + 1);
  share.burst_ = all_bursts * (kEvenPart / count +
                               (1.0 - kEvenPart) * share.rate_ / limit.rate_);
  if (now < settled_at_) {
    share.rate_ = holding.reported_.rate_;
    share.burst_ = holding.reported_.burst_;
  }
  share.rate_ =
      std::clamp(share.rate_, 0.0, std::max(limit.rate_ - others.rate_, 0.0));
  share.burst_ =
      std::clamp(share.burst_, 0.0, std::max(all_bursts - others.burst_, 0.0));
  if (share.rate_ <= 0.0) {
    return;
  }
  share.expires_ = now + kLedgerValidity;
  if (std::abs(share.rate_ - holding.reported_.rate_) > kMinRateChange) {
    ++changed_shares_;
  }
  holding.granted_ = share;
  rpc::AccountShare& granted = *reply.add_shares();
  granted.set_account(name);
  granted.set_requests_per_second(share.rate_);
  granted.set_burst(share.burst_);
  // Tokens that no share accounts for go to relays that begin or that use up
  // their shares.
  const bool pressed = holding.need_ >= share.rate_ * kPressedPart;
  const double part =
      own.rate_ <= 0.0 ? 1.0 : (pressed ? kPressedTokensPart : 0.0);
  const double tokens = std::min(account.free_tokens_ * part, share.burst_);
  if (tokens > 0.0) {
    account.free_tokens_ -= tokens;
    // A share without a rate adds tokens to the bucket of the one before it.
    rpc::AccountShare& added = *reply.add_shares();
    added.set_account(name);
    added.set_burst(tokens);
  }
  RefillFreeTokens(account, limit, now);
}

std::optional<rpc::QuotaShares> QuotaShareAllocator::Answer(
    const std::string& relay,
    const rpc::QuotaShareRequest& request,
    base::BootTime confirmed) {
  if (!Register(relay, request, confirmed)) {
    return std::nullopt;
  }
  RecordReports(relay, request, confirmed);
  rpc::QuotaShares reply;
  reply.set_sequence(request.sequence());
  for (const rpc::AccountNeed& need : request.needs()) {
    if (limits_.Find(need.account()) != nullptr) {
      GrantShare(relay, need.account(), confirmed, reply);
    }
  }
  DropIdleAccounts(confirmed);
  return reply;
}

bool QuotaShareAllocator::DropIdleHoldings(const std::string& name,
                                           Account& account,
                                           base::BootTime now) {
  std::erase_if(account.holdings_, [now](const auto& held) {
    return held.second.need_expires_ <= now &&
           Counted(held.second, now).expires_ <= now;
  });
  if (!account.holdings_.empty()) {
    return false;
  }
  const QuotaLimit* limit = limits_.Find(name);
  if (limit == nullptr) {
    return true;
  }
  RefillFreeTokens(account, *limit, now);
  return account.free_tokens_ >= limit->burst_ + kBurstReserve;
}

void QuotaShareAllocator::DropIdleAccounts(base::BootTime now) {
  for (auto account = accounts_.begin(); account != accounts_.end();) {
    if (DropIdleHoldings(account->first, account->second, now)) {
      account = accounts_.erase(account);
    } else {
      ++account;
    }
  }
}

double QuotaShareAllocator::CountedRate(const std::string& account,
                                        base::BootTime now) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? 0.0
                                  : CountedSum(found->second, "", now).rate_;
}

double QuotaShareAllocator::TotalRate(base::BootTime now) const {
  double sum = 0.0;
  for (const auto& [name, account] : accounts_) {
    sum += CountedSum(account, "", now).rate_;
  }
  return sum;
}

}  // namespace buckthorngate::request
