// The entry side: attempts that run in parallel. A second one is started beside
// a slow one on a hedged route, and beside one whose daemon is unreachable:
// that one's endpoint may still be working, so it is not aborted.
#include <algorithm>
#include <utility>

#include "base/events.h"
#include "base/http_status.h"
#include "daemon/serving/entry_call.h"

namespace buckthorngate::daemon::serving {
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

bool Entry::Call::Decided() const {
  const auto succeeded = [](const AttemptPtr& attempt) {
    return Succeeded(*attempt);
  };
  const auto settled = [](const AttemptPtr& attempt) {
    return attempt->done_ || attempt->unreachable_;
  };
  // A failed attempt decides nothing while another one may still succeed.
  return std::any_of(open_.begin(), open_.end(), succeeded) ||
         std::all_of(open_.begin(), open_.end(), settled);
}

void Entry::Call::FinishLoser(Attempt& loser) {
  if (loser.done_) {
    (void)RecordAttempt(loser);
  } else {
    const base::MonoTime now = entry_.clock_.Read().mono_;
    // How long an attempt at an unreachable daemon took is known; one that was
    // hedged may be about to answer.
    const base::Duration took =
        loser.unreachable_ ? now - loser.began_ : base::Duration(0);
    loser.endpoint_->stats_->End(took, /*failed=*/true, now);
    may_have_run_ = true;
    if (loser.move_id_) {
      entry_.board_.Evidence().End(
          loser.evidence_id_,
          {rollout::CallEnd::kUnanswered, now,
           /*crashed_=*/false, loser.endpoint_->stats_->IsWarmingUp(now)});
    }
  }
  loser.link_.reset();
  loser.cancel_.Raise();
}

void Entry::Call::CancelOpenAttempts() {
  for (const AttemptPtr& attempt : open_) {
    FinishLoser(*attempt);
  }
  open_.clear();
}

void Entry::Call::CountUnreachable(Attempt& attempt) {
  if (std::exchange(attempt.counted_early_, true)) {
    return;
  }
  ++reached_;
  const base::MonoTime now = entry_.clock_.Read().mono_;
  attempt.endpoint_->stats_->Eject(now);
  base::LogEvent(base::EventId::kAttemptLeftOpen,
                 {{"request", request_id_},
                  {"endpoint", attempt.endpoint_->endpoint_.id()},
                  {"us", std::to_string((now - attempt.began_).count())},
                  {"left_ms", std::to_string(RemainingTime() /
                                             std::chrono::milliseconds(1))}});
}

void Entry::Call::Start(const AttemptPtr& attempt) {
  if (open_changed_ == nullptr) {
    open_changed_ = std::make_shared<http::Notifier>(entry_.loop_);
  }
  open_.push_back(attempt);
  // The attempt owns the function, which is called only while its hop runs.
  attempt->request_.on_peer_unreachable_ = [started = attempt.get(),
                                            changed = open_changed_] {
    started->unreachable_ = true;
    changed->Notify();
  };
  // Spawned independently of the call, since a loser may outlive it.
  ++entry_.parallel_attempts_;
  const auto run =
      [](Entry& entry, Hop& hop, AttemptPtr tried,
         std::shared_ptr<http::Notifier> changed) -> http::Task<void> {
    co_await RunHop(hop, tried);
    --entry.parallel_attempts_;
    changed->Notify();
  };
  entry_.loop_.Spawn(run(entry_, SelectHop(*attempt), attempt, open_changed_));
}

http::Task<void> Entry::Call::HedgeAfter(base::Duration delay) {
  const base::MonoTime until = entry_.clock_.Read().mono_ + delay;
  bool notified = true;
  while (notified && !Decided()) {
    notified = co_await open_changed_->Wait(until);
  }
  if (Decided() || !service_->retry_budget_.TrySpend(
                       entry_.clock_.Read().mono_, 1.0, view_->daemon_count_)) {
    co_return;
  }
  service_->retry_counts_.after_run_.fetch_add(1);
  retrying_ = true;
  ResultCode code = ResultCode::kOk;
  const AttemptPtr second = BeginAttempt(code);
  retrying_ = false;
  if (second != nullptr) {
    Start(second);
  }
}

http::Task<Entry::Call::AttemptPtr> Entry::Call::RunAttempt(AttemptPtr first) {
  const base::Duration delay = HedgeDelay(*first);
  Hop& hop = SelectHop(*first);
  const bool may_retry_in_parallel =
      first->request_.repeatable_ && &hop == &entry_.remote_hop_;
  if (delay.count() == 0 && !may_retry_in_parallel && open_.empty()) {
    co_await RunHop(hop, first);
    first->link_.reset();
    co_return first;
  }
  Start(first);
  if (delay.count() != 0) {
    co_await HedgeAfter(delay);
  }
  while (!Decided()) {
    co_await open_changed_->Wait(base::MonoTime::max());
  }
  co_return TakeDecisiveAttempt();
}

http::Task<Entry::Call::AttemptPtr> Entry::Call::AwaitOpenAttempts() {
  const auto under_way = [](const AttemptPtr& attempt) {
    return !attempt->done_;
  };
  const auto succeeded = [](const AttemptPtr& attempt) {
    return Succeeded(*attempt);
  };
  while (std::any_of(open_.begin(), open_.end(), under_way) &&
         std::none_of(open_.begin(), open_.end(), succeeded)) {
    co_await open_changed_->Wait(base::MonoTime::max());
  }
  co_return TakeDecisiveAttempt();
}

Entry::Call::AttemptPtr Entry::Call::TakeDecisiveAttempt() {
  const auto rank = [](const Attempt& attempt) {
    // An error answer from an upstream is preferred to a failure without one.
    const bool answered = attempt.answer_.code_ == ResultCode::kOk;
    return Succeeded(attempt) ? 2 : (answered ? 1 : 0);
  };
  AttemptPtr decisive;
  std::vector<AttemptPtr> under_way;
  for (const AttemptPtr& attempt : std::exchange(open_, {})) {
    if (!attempt->done_) {
      under_way.push_back(attempt);
    } else if (decisive == nullptr) {
      decisive = attempt;
    } else if (rank(*attempt) > rank(*decisive)) {
      FinishLoser(*std::exchange(decisive, attempt));
    } else {
      FinishLoser(*attempt);
    }
  }
  open_ = std::move(under_way);
  for (const AttemptPtr& attempt : open_) {
    if (attempt->unreachable_) {
      CountUnreachable(*attempt);
    }
  }
  if (decisive != nullptr) {
    decisive->link_.reset();
  }
  return decisive;
}

}  // namespace buckthorngate::daemon::serving
