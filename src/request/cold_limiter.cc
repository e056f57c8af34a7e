// Token bucket for cold upstreams.
#include "request/cold_limiter.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double SecondsOf(base::Duration time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerSecond;
}

}  // namespace

void ColdLimiter::Configure(const ColdLimits& limits, base::MonoTime now) {
  if (limits == limits_) {
    return;
  }
  Refill(now);
  limits_ = limits;
  // One less than the bound: a request is sent a little before it arrives.
  const double usable = limits.rate_per_s_ * limits.over_ + limits.slack_ - 1.0;
  capacity_ = std::max(usable - limits.rate_per_s_, 1.0);
  refill_per_s_ =
      std::clamp(usable - capacity_, 0.0, std::max(limits.rate_per_s_, 0.0));
  tokens_ = std::min(tokens_, capacity_);
}

void ColdLimiter::NoteStart(base::MonoTime now) {
  started_ = now;
  reported_until_.reset();
  crashed_ = false;
}

void ColdLimiter::NoteReport(base::Duration cold_left, base::MonoTime now) {
  started_.reset();
  reported_until_ = now + cold_left;
  crashed_ = false;
}

bool ColdLimiter::IsCold(base::MonoTime now) const {
  if (!Limited()) {
    return false;
  }
  const auto lasts = [&](const std::optional<base::MonoTime>& since) {
    return since && now < *since + limits_.cold_start_;
  };
  return crashed_ || lasts(started_) || lasts(returned_) ||
         (reported_until_ && now < *reported_until_);
}

double ColdLimiter::TokensAt(base::MonoTime now) const {
  const double seconds =
      SecondsOf(std::max(now - refilled_, base::Duration(0)));
  return std::min(capacity_, tokens_ + seconds * refill_per_s_);
}

void ColdLimiter::Refill(base::MonoTime now) {
  tokens_ = TokensAt(now);
  refilled_ = std::max(refilled_, now);
}

base::Duration ColdLimiter::TimeUntil(double tokens, base::MonoTime now) const {
  const double missing = tokens - TokensAt(now);
  if (missing <= 0.0) {
    return base::Duration(0);
  }
  if (refill_per_s_ <= 0.0 || tokens > capacity_) {
    // The bucket never holds as many at once; those that are reserved have to
    // be sent first.
    return refill_per_s_ <= 0.0
               ? base::Duration(std::chrono::hours(1))
               : base::Duration(static_cast<int64_t>(missing / refill_per_s_ *
                                                     kMicrosecondsPerSecond));
  }
  return base::Duration(static_cast<int64_t>(
      std::ceil(missing / refill_per_s_ * kMicrosecondsPerSecond)));
}

ColdVerdict ColdLimiter::Enter(const ColdRequest& request, base::MonoTime now) {
  if (!IsCold(now)) {
    reserved_.insert(request.ticket_);
    return ColdVerdict::kAdmitted;
  }
  Refill(now);
  const double taken = static_cast<double>(reserved_.size());
  if (waiting_.empty() && tokens_ >= taken + 1.0) {
    reserved_.insert(request.ticket_);
    return ColdVerdict::kAdmitted;
  }
  // Those that are served before it; ties go to the earlier request.
  const std::pair<uint32_t, uint64_t> place{request.rank_, request.ticket_};
  const double ahead = static_cast<double>(
      std::distance(waiting_.begin(), waiting_.upper_bound(place)));
  if (now + TimeUntil(taken + ahead + 1.0, now) > request.latest_turn_) {
    return ColdVerdict::kRefused;
  }
  waiting_[place] = request;
  return ColdVerdict::kQueued;
}

std::vector<ColdLimiter::Decision> ColdLimiter::TakeDecisions(
    base::MonoTime now) {
  std::vector<Decision> decisions;
  Refill(now);
  const bool cold = IsCold(now);
  while (!waiting_.empty()) {
    const bool free =
        !cold || tokens_ >= static_cast<double>(reserved_.size()) + 1.0;
    if (!free) {
      break;
    }
    const uint64_t ticket = waiting_.begin()->second.ticket_;
    waiting_.erase(waiting_.begin());
    reserved_.insert(ticket);
    decisions.push_back({ticket, true});
  }
  for (auto waiter = waiting_.begin(); waiter != waiting_.end();) {
    if (now > waiter->second.latest_turn_) {
      decisions.push_back({waiter->second.ticket_, false});
      waiter = waiting_.erase(waiter);
    } else {
      ++waiter;
    }
  }
  return decisions;
}

bool ColdLimiter::Send(uint64_t ticket, base::MonoTime now) {
  Refill(now);
  const bool reserved = reserved_.erase(ticket) != 0;
  if (!IsCold(now)) {
    tokens_ = std::max(tokens_ - 1.0, 0.0);
    return true;
  }
  // A request that was admitted while the upstream was warm may find no token.
  if (!reserved || tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void ColdLimiter::Release(uint64_t ticket) {
  reserved_.erase(ticket);
  std::erase_if(waiting_, [ticket](const auto& waiter) {
    return waiter.second.ticket_ == ticket;
  });
}

std::optional<base::MonoTime> ColdLimiter::NextTurn(base::MonoTime now) const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  return now + TimeUntil(static_cast<double>(reserved_.size()) + 1.0, now);
}

std::optional<uint32_t> ColdLimiter::Room(base::MonoTime now) const {
  if (!IsCold(now)) {
    return std::nullopt;
  }
  const double used = static_cast<double>(reserved_.size() + waiting_.size());
  const double room = TokensAt(now) + refill_per_s_ - used;
  return static_cast<uint32_t>(std::max(room, 0.0));
}

}  // namespace buckthorngate::request
