// The entry side: hedged requests, a second attempt in parallel with a slow
// one.
#include <algorithm>
#include <optional>
#include <utility>

#include "base/http_status.h"
#include "daemon/entry_call.h"

namespace buckthorngate::daemon {
namespace {

// A request of a route with hedging, which is allowed for safe methods only, is
// hedged if it takes this many times its endpoint's usual latency.
constexpr int kHedgeFactor = 4;
constexpr base::Duration kMinHedgeDelay = std::chrono::milliseconds(20);

}  // namespace

base::Duration Entry::Call::HedgeDelay(const Attempt& attempt) const {
  const base::Duration usual = attempt.endpoint_->stats_->Latency();
  if (!match_.route_->hedge() || below_retry_ || streamed_ ||
      usual.count() == 0) {
    return base::Duration(0);
  }
  return std::max(usual * kHedgeFactor, kMinHedgeDelay);
}

bool Entry::Call::Succeeded(const Attempt& attempt) {
  return attempt.done_ && attempt.answer_.code_ == ResultCode::kOk &&
         attempt.answer_.head_.status_ < base::kStatusServerError;
}

void Entry::Call::FinishLoser(Attempt& loser) {
  if (loser.done_) {
    (void)RecordAttempt(loser);
  } else {
    const base::MonoTime now = entry_.clock_.Read().mono_;
    loser.endpoint_->stats_->End(base::Duration(0), /*failed=*/true, now);
    if (loser.move_id_) {
      entry_.board_.Evidence().End(
          loser.evidence_id_,
          {rollout::CallEnd::kUnanswered, now,
           /*crashed_=*/false, loser.endpoint_->stats_->IsWarmingUp(now)});
    }
  }
  loser.cancel_.Raise();
}

http::Task<Entry::Call::AttemptPtr> Entry::Call::RunHedged(AttemptPtr first) {
  const base::Duration delay = HedgeDelay(*first);
  if (delay.count() == 0) {
    co_await RunHop(SelectHop(*first), first);
    co_return first;
  }
  const std::shared_ptr<http::Notifier> changed =
      std::make_shared<http::Notifier>(entry_.loop_);
  // Spawned independently of the call, since the loser may outlive it.
  const auto spawn = [this, changed](const AttemptPtr& attempt) {
    const auto run =
        [](Hop& hop, AttemptPtr tried,
           std::shared_ptr<http::Notifier> done) -> http::Task<void> {
      co_await RunHop(hop, tried);
      done->Notify();
    };
    entry_.loop_.Spawn(run(SelectHop(*attempt), attempt, changed));
  };
  spawn(first);
  co_await changed->Wait(entry_.clock_.Read().mono_ + delay);
  AttemptPtr second;
  ResultCode code = ResultCode::kOk;
  if (!first->done_ &&
      service_->retry_budget_.TrySpend(entry_.clock_.Read().mono_, 1.0,
                                       view_->daemon_count_)) {
    service_->retry_counts_.after_run_.fetch_add(1);
    retrying_ = true;
    second = BeginAttempt(code);
    retrying_ = false;
  }
  std::optional<http::CancelScope> link;
  if (second != nullptr) {
    link.emplace(call_.Gone(), [second] { second->cancel_.Raise(); });
    spawn(second);
  }
  // A failed attempt decides nothing while the other one may still succeed.
  const auto decided = [&first, &second] {
    const bool all_done = first->done_ && (second == nullptr || second->done_);
    return all_done || Succeeded(*first) ||
           (second != nullptr && Succeeded(*second));
  };
  while (!decided()) {
    co_await changed->Wait(base::MonoTime::max());
  }
  if (second == nullptr) {
    co_return first;
  }
  // If both attempts failed, prefer an error answer from an upstream to a
  // failure without one.
  const bool second_counts =
      Succeeded(*second) || (second->answer_.code_ == ResultCode::kOk &&
                             first->answer_.code_ != ResultCode::kOk);
  const bool second_wins = !Succeeded(*first) && second_counts;
  const AttemptPtr winner = second_wins ? second : first;
  FinishLoser(second_wins ? *first : *second);
  co_return winner;
}

}  // namespace buckthorngate::daemon
