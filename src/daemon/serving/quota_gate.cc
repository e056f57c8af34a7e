// Waiting for tokens of client accounts' quotas.
#include "daemon/serving/quota_gate.h"

#include <utility>

namespace buckthorngate::daemon::serving {
namespace {

constexpr base::Duration kClockMargin = std::chrono::milliseconds(1);

}  // namespace

QuotaGate::QuotaGate(const base::Clock& clock,
                     http::EventLoop& loop,
                     request::QuotaClient& client,
                     std::function<void()> wake_node)
    : clock_(clock),
      loop_(loop),
      client_(client),
      wake_node_(std::move(wake_node)) {}

http::Task<request::QuotaDecision> QuotaGate::Acquire(std::string account,
                                                      base::Duration max_wait) {
  const base::Now now = clock_.Read();
  request::QuotaDecision decision = client_.Take(account, max_wait, now.boot_);
  if (decision.decided_) {
    co_return decision;
  }
  const uint64_t ticket = decision.ticket_;
  // The ticket ends on the other clock, which is read a moment later.
  const base::MonoTime until = now.mono_ + max_wait + kClockMargin;
  const std::shared_ptr<http::Notifier> notifier =
      std::make_shared<http::Notifier>(loop_);
  waiting_[ticket] = notifier;
  wake_node_();
  co_await notifier->Wait(until);
  waiting_.erase(ticket);
  decision = client_.Check(ticket, clock_.Read().boot_);
  if (!decision.decided_) {
    client_.Cancel(ticket, clock_.Read().boot_);
    decision.decided_ = true;
    decision.code_ = ResultCode::kQuotaUnavailable;
  }
  co_return decision;
}

void QuotaGate::GiveBack(const std::string& account,
                         base::BootTime token_expires) {
  client_.GiveBack(account, token_expires, clock_.Read().boot_);
}

void QuotaGate::DeliverDecisions() {
  const std::vector<uint64_t> tickets = client_.TakeDecided();
  if (tickets.empty()) {
    return;
  }
  loop_.Post([this, tickets] {
    for (const uint64_t ticket : tickets) {
      const auto found = waiting_.find(ticket);
      if (found != waiting_.end()) {
        found->second->Notify();
      }
    }
  });
}

std::string QuotaGate::Render() const {
  const request::QuotaClientCounts counts = client_.Counts();
  const std::string name = "buckthorngate_quota_";
  const auto line = [&name](const std::string& what, uint64_t count) {
    return name + what + " " + std::to_string(count) + "\n";
  };
  return line("tokens_total", counts.granted_) +
         line("requests_total{result=\"admitted\"}", counts.admitted_) +
         line("requests_total{result=\"exceeded\"}", counts.exceeded_) +
         line("requests_total{result=\"unavailable\"}", counts.unavailable_);
}

}  // namespace buckthorngate::daemon::serving
