// Tokens of an entry and the requests that wait for them.
#include "request/quota_client.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace buckthorngate::request {
namespace {

// Interval of demands in steady state, and the shortest one while a token is
// missing.
constexpr base::Duration kDemandInterval = std::chrono::milliseconds(250);
constexpr base::Duration kUrgentInterval = std::chrono::milliseconds(20);
// Time within which a reply to a demand is expected.
constexpr base::Duration kReplyTime = std::chrono::milliseconds(150);
// Without a reply for this long, requests are refused at once.
constexpr base::Duration kSilenceLimit = std::chrono::milliseconds(500);
constexpr base::Duration kUnavailableRetry = std::chrono::milliseconds(500);
constexpr base::Duration kExceededRetry = std::chrono::milliseconds(100);
// A refusal is remembered for at most this long; then the relay is asked again,
// so that it knows of the demand.
constexpr base::Duration kMaxRefusalTime = std::chrono::milliseconds(250);
constexpr base::Duration kRateAverageTime = std::chrono::seconds(1);
// Accounts with fewer requests per second get no tokens ahead of demand: most
// of these would expire unused.
constexpr double kMinPrefetchRate = 6.0;
// Time for which tokens are kept ahead of demand.
constexpr double kPrefetchSeconds = 0.25;
constexpr base::Duration kIdleTime = std::chrono::seconds(10);
constexpr uint32_t kMaxWanted = 10000;
// Random bits of the first sequence, so that a reply to an earlier start of the
// daemon does not match.
constexpr uint64_t kSequenceMask = 0xfffffff;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QuotaClient::QuotaClient(const std::string& daemon, uint64_t incarnation)
    : incarnation_(incarnation),
      sequence_(base::Hash(daemon, incarnation) & kSequenceMask) {}

void QuotaClient::SetLimits(const QuotaLimits& limits) {
  const std::lock_guard<std::mutex> lock(mutex_);
  limits_ = limits;
}

bool QuotaClient::HasLimit(const std::string& account) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return limits_.Find(account) != nullptr;
}

double QuotaClient::RateAt(const Account& account, base::BootTime now) {
  const double age = Seconds(now - account.rate_at_);
  return account.rate_ * std::exp(-age / Seconds(kRateAverageTime));
}

void QuotaClient::RecordRequest(Account& account, base::BootTime now) {
  account.rate_ = RateAt(account, now) + 1.0 / Seconds(kRateAverageTime);
  account.rate_at_ = now;
  account.last_traffic_ = now;
}

void QuotaClient::DropExpired(Account& account, base::BootTime now) {
  while (!account.held_.empty() && account.held_.front().expires_ <= now) {
    account.unused_ += account.held_.front().count_;
    account.held_.pop_front();
  }
}

uint32_t QuotaClient::HeldTokens(const Account& account) {
  uint32_t count = 0;
  for (const Tokens& tokens : account.held_) {
    count += tokens.count_;
  }
  return count;
}

std::optional<base::BootTime> QuotaClient::TakeHeld(Account& account) {
  if (account.held_.empty()) {
    return std::nullopt;
  }
  Tokens& tokens = account.held_.front();
  const base::BootTime expires = tokens.expires_;
  if (--tokens.count_ == 0) {
    account.held_.pop_front();
  }
  return expires;
}

bool QuotaClient::AvailableLocked(base::BootTime now) const {
  return !unanswered_since_ || now - *unanswered_since_ < kSilenceLimit;
}

bool QuotaClient::Available(base::BootTime now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return AvailableLocked(now);
}

bool QuotaClient::Obtainable(base::BootTime now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return AvailableLocked(now) && relay_has_shares_;
}

QuotaClientCounts QuotaClient::Counts() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counts_;
}

QuotaDecision QuotaClient::Refusal(ResultCode code,
                                   base::Duration retry_after) {
  if (code == ResultCode::kQuotaExceeded) {
    ++counts_.exceeded_;
  } else {
    ++counts_.unavailable_;
  }
  QuotaDecision decision;
  decision.decided_ = true;
  decision.code_ = code;
  decision.retry_after_ = retry_after;
  return decision;
}

void QuotaClient::Decide(uint64_t ticket, const QuotaDecision& decision) {
  tickets_.at(ticket).decision_ = decision;
  decided_.push_back(ticket);
}

QuotaDecision QuotaClient::Take(const std::string& account_name,
                                base::Duration max_wait,
                                base::BootTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  QuotaDecision decision;
  if (limits_.Find(account_name) == nullptr) {
    decision.decided_ = true;
    return decision;
  }
  Account& account = accounts_[account_name];
  RecordRequest(account, now);
  DropExpired(account, now);
  if (account.waiting_.empty()) {
    decision.token_expires_ = TakeHeld(account);
  }
  if (decision.token_expires_) {
    ++counts_.admitted_;
    decision.decided_ = true;
    return decision;
  }
  if (now < account.refused_until_) {
    return Refusal(account.refusal_, account.refused_until_ - now);
  }
  if (!AvailableLocked(now)) {
    account.probes_ = true;
    return Refusal(ResultCode::kQuotaUnavailable, kUnavailableRetry);
  }
  const uint64_t ticket = next_ticket_++;
  tickets_[ticket] = {account_name, now + max_wait, decision};
  account.waiting_.push_back(ticket);
  decision.ticket_ = ticket;
  return decision;
}

QuotaDecision QuotaClient::Check(uint64_t ticket, base::BootTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) {
    return Refusal(ResultCode::kQuotaUnavailable, kUnavailableRetry);
  }
  QuotaDecision decision = found->second.decision_;
  if (decision.decided_) {
    tickets_.erase(found);
    const bool expired =
        decision.token_expires_ && *decision.token_expires_ <= now;
    if (expired) {
      return Refusal(ResultCode::kQuotaUnavailable, kUnavailableRetry);
    }
    if (decision.token_expires_) {
      ++counts_.admitted_;
    }
    return decision;
  }
  if (now < found->second.until_) {
    decision.ticket_ = ticket;
    return decision;
  }
  std::erase(accounts_[found->second.account_].waiting_, ticket);
  tickets_.erase(found);
  return AvailableLocked(now)
             ? Refusal(ResultCode::kQuotaExceeded, kExceededRetry)
             : Refusal(ResultCode::kQuotaUnavailable, kUnavailableRetry);
}

void QuotaClient::Cancel(uint64_t ticket, base::BootTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) {
    return;
  }
  Account& account = accounts_[found->second.account_];
  std::erase(account.waiting_, ticket);
  const std::optional<base::BootTime> expires =
      found->second.decision_.token_expires_;
  if (expires && *expires > now) {
    AddHeld(account, *expires, 1);
  }
  tickets_.erase(found);
  ServeWaiting(account, now);
}

void QuotaClient::GiveBack(const std::string& account_name,
                           base::BootTime expires,
                           base::BootTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Account& account = accounts_[account_name];
  if (expires > now) {
    AddHeld(account, expires, 1);
    ServeWaiting(account, now);
  } else {
    ++account.unused_;
  }
}

void QuotaClient::AddHeld(Account& account,
                          base::BootTime expires,
                          uint32_t count) {
  const auto behind =
      std::upper_bound(account.held_.begin(), account.held_.end(), expires,
                       [](base::BootTime time, const Tokens& held) {
                         return time < held.expires_;
                       });
  account.held_.insert(behind, {expires, count});
}

void QuotaClient::ServeWaiting(Account& account, base::BootTime now) {
  DropExpired(account, now);
  while (!account.waiting_.empty() && !account.held_.empty()) {
    QuotaDecision decision;
    decision.decided_ = true;
    decision.token_expires_ = TakeHeld(account);
    const uint64_t ticket = account.waiting_.front();
    account.waiting_.pop_front();
    Decide(ticket, decision);
  }
}

void QuotaClient::RefuseWaiting(Account& account, base::BootTime now) {
  std::deque<uint64_t> waiting;
  std::swap(waiting, account.waiting_);
  for (const uint64_t ticket : waiting) {
    if (tickets_.at(ticket).until_ > account.refused_until_) {
      account.waiting_.push_back(ticket);
      continue;
    }
    Decide(ticket, Refusal(account.refusal_, account.refused_until_ - now));
  }
}

uint32_t QuotaClient::Wanted(const std::string& name,
                             const Account& account,
                             base::BootTime now,
                             bool& missing) const {
  const QuotaLimit* limit = limits_.Find(name);
  if (limit == nullptr) {
    return 0;
  }
  const uint32_t asked = now < account.asked_until_ ? account.asked_ : 0;
  const uint32_t waiting = static_cast<uint32_t>(account.waiting_.size());
  missing = missing || waiting > asked;
  const double rate = std::min(RateAt(account, now), limit->rate_);
  const double ahead =
      rate < kMinPrefetchRate ? 0.0 : std::floor(rate * kPrefetchSeconds);
  const uint32_t probe = account.probes_ ? 1 : 0;
  const uint32_t wanted = waiting + probe + static_cast<uint32_t>(ahead);
  const uint32_t covered = asked + HeldTokens(account);
  return wanted > covered ? std::min(wanted - covered, kMaxWanted) : 0;
}

std::optional<rpc::QuotaDemand> QuotaClient::TakeDemand(base::BootTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (accounts_.empty() || now - last_sent_ < kUrgentInterval) {
    return std::nullopt;
  }
  rpc::QuotaDemand demand;
  bool missing = false;
  for (auto& [name, account] : accounts_) {
    DropExpired(account, now);
    const uint32_t wanted = Wanted(name, account, now, missing);
    if (wanted > 0) {
      rpc::AccountTokens& tokens = *demand.add_wanted();
      tokens.set_account(name);
      tokens.set_tokens(wanted);
    }
  }
  const bool due = now - last_sent_ >= kDemandInterval;
  if (demand.wanted().empty() || (!missing && !due)) {
    if (due) {
      DropIdle(now);
    }
    return std::nullopt;
  }
  last_sent_ = now;
  unanswered_since_ = unanswered_since_.value_or(now);
  demand.set_incarnation(incarnation_);
  demand.set_sequence(++sequence_);
  SentDemand& sent = sent_[sequence_];
  sent.sent_at_ = now;
  for (const rpc::AccountTokens& wanted : demand.wanted()) {
    Account& account = accounts_[wanted.account()];
    account.asked_ =
        (now < account.asked_until_ ? account.asked_ : 0) + wanted.tokens();
    account.asked_until_ = now + kReplyTime;
    account.probes_ = false;
    sent.unanswered_.insert(wanted.account());
  }
  for (auto& [name, account] : accounts_) {
    if (account.unused_ > 0) {
      rpc::AccountTokens& tokens = *demand.add_returned();
      tokens.set_account(name);
      tokens.set_tokens(account.unused_);
      account.unused_ = 0;
    }
  }
  DropIdle(now);
  return demand;
}

void QuotaClient::OnGrant(const rpc::QuotaGrant& grant, base::BootTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = sent_.find(grant.sequence());
  if (found == sent_.end()) {
    return;
  }
  unanswered_since_.reset();
  relay_has_shares_ = !grant.unavailable();
  SentDemand& sent = found->second;
  const base::BootTime expires = sent.sent_at_ + kTokenValidity;
  for (const rpc::AccountTokens& granted : grant.granted()) {
    // Each account of a demand is answered once; more are duplicates.
    if (sent.unanswered_.erase(granted.account()) == 0) {
      continue;
    }
    Account& account = accounts_[granted.account()];
    account.asked_ = 0;
    account.refused_until_ = base::BootTime();
    if (expires > now) {
      counts_.granted_ += granted.tokens();
      AddHeld(account, expires, granted.tokens());
      ServeWaiting(account, now);
    }
  }
  for (const rpc::AccountWait& wait : grant.waits()) {
    if (sent.unanswered_.erase(wait.account()) != 0) {
      OnWait(wait, grant.unavailable(), now);
    }
  }
  if (sent.unanswered_.empty()) {
    sent_.erase(found);
  }
}

void QuotaClient::OnWait(const rpc::AccountWait& wait,
                         bool unavailable,
                         base::BootTime now) {
  Account& account = accounts_[wait.account()];
  account.asked_ = 0;
  const base::Duration delay = std::min<base::Duration>(
      std::chrono::milliseconds(wait.wait_ms()), kMaxRefusalTime);
  account.refused_until_ = now + delay;
  account.refusal_ =
      unavailable ? ResultCode::kQuotaUnavailable : ResultCode::kQuotaExceeded;
  RefuseWaiting(account, now);
}

std::vector<uint64_t> QuotaClient::TakeDecided() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(decided_, {});
}

void QuotaClient::DropIdle(base::BootTime now) {
  std::erase_if(sent_, [now](const auto& item) {
    return item.second.sent_at_ + kTokenValidity < now;
  });
  std::erase_if(accounts_, [now](const auto& item) {
    return item.second.waiting_.empty() && item.second.held_.empty() &&
           item.second.last_traffic_ + kIdleTime < now;
  });
}

}  // namespace buckthorngate::request
