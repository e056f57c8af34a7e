// The entry side: refusals for lack of a free slot, and what they tell.
#include <algorithm>

#include "daemon/serving/entry_call.h"
#include "request/retry_after.h"

namespace buckthorngate::daemon::serving {
namespace {

// An endpoint that refused a request as overloaded gets no requests for this
// long. At full load a slot becomes free every few milliseconds.
constexpr base::Duration kOverloadBackoff = std::chrono::milliseconds(25);
// Waits of a nested call, and the share of its remaining time that one may
// take.
constexpr int kMaxWaits = 2;
constexpr int kMaxWaitShare = 4;

}  // namespace

std::vector<std::string> Entry::Call::ExcludedEndpoints(
    base::MonoTime now) const {
  std::vector<std::string> excluded = tried_endpoints_;
  if (entry_.options_.by_value_) {
    (void)entry_.full_.Exclude(KindName(), now, excluded);
  }
  return excluded;
}

void Entry::Call::RecordOverloaded(const Attempt& attempt, base::MonoTime now) {
  const base::Duration room = attempt.answer_.room_;
  service_->last_overload_us_ = now.time_since_epoch().count();
  if (room.count() > 0) {
    room_ = room_.count() == 0 ? room : std::min(room, room_);
  }
  if (entry_.options_.by_value_) {
    entry_.full_.Mark(KindName(), attempt.endpoint_->endpoint_.id(), room, now);
  } else {
    attempt.endpoint_->stats_->MarkFull(now + kOverloadBackoff, Rank(), now);
  }
}

void Entry::Call::RecordSpeed(request::EndpointStats& stats,
                              base::Duration latency,
                              base::MonoTime now) {
  const std::string kind = KindName();
  entry_.latency_.Record(kind, latency, now);
  const base::Duration usual = entry_.latency_.Of(kind, now).mean_;
  if (usual.count() > 0) {
    stats.RecordSlowness(static_cast<double>(latency.count()) /
                         static_cast<double>(usual.count()));
  }
}

http::Task<bool> Entry::Call::AwaitRoom(ResultCode code) {
  const base::Duration room = std::max(room_, kOverloadBackoff);
  const int refused = attempts_ - reached_;
  // Only endpoints that did not get the request may be tried again.
  const bool useful = entry_.options_.by_value_ && nested_ &&
                      code == ResultCode::kEndpointOverloaded &&
                      !may_have_run_ && reached_ == 0 && open_.empty() &&
                      refused < request::kMaxRefusedAttempts &&
                      waits_ < kMaxWaits &&
                      room * kMaxWaitShare <= RemainingTime();
  if (!useful) {
    co_return false;
  }
  ++waits_;
  http::Notifier gone(entry_.loop_);
  const http::CancelScope interrupt(call_.Gone(), [&gone] { gone.Notify(); });
  const base::MonoTime until = entry_.clock_.Read().mono_ + room;
  const bool interrupted = co_await gone.Wait(until);
  tried_endpoints_.clear();
  room_ = base::Duration(0);
  co_return !interrupted;
}

base::Duration Entry::Call::RetryAfter(ResultCode code) {
  base::Duration room = room_;
  if (room.count() == 0 && entry_.options_.by_value_ &&
      code == ResultCode::kEndpointOverloaded) {
    room = entry_.full_.Room(KindName(), entry_.clock_.Read().mono_);
  }
  if (code == ResultCode::kEndpointOverloaded && room.count() > 0) {
    return request::RetryAfterForecast(room, Priority(), entry_.random_);
  }
  return request::RetryAfterDelay(code, entry_.random_);
}

}  // namespace buckthorngate::daemon::serving
