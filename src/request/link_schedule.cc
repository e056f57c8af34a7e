// Admission of request bodies to a host's slow incoming link.
#include "request/link_schedule.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

// A sender that needs longer than this multiple of the link's own time, and the
// time on top, has stopped or is slow itself; its body no longer counts.
constexpr double kTransferPatience = 4.0;
constexpr base::Duration kTransferGrace = std::chrono::milliseconds(250);
// Time constant of the average use of the link.
constexpr double kUseSeconds = 2.0;

double SecondsBetween(base::MonoTime from, base::MonoTime to) {
  return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
}

}  // namespace

LinkSchedule::LinkSchedule(double bytes_per_second)
    : bytes_per_second_(bytes_per_second) {}

base::Duration LinkSchedule::TimeOf(uint64_t bytes) const {
  return base::Duration(static_cast<int64_t>(static_cast<double>(bytes) /
                                             bytes_per_second_ * 1e6));
}

base::Duration LinkSchedule::TimeInTransit() const {
  return TimeOf(bytes_in_transit_);
}

base::Duration LinkSchedule::TimeDue() const {
  return TimeOf(bytes_in_transit_ + bytes_waiting_);
}

bool LinkSchedule::HasRoom() const {
  return TimeInTransit() < kMostTimeInTransit;
}

bool LinkSchedule::IsInTime(const BodyRequest& body,
                            base::MonoTime time) const {
  return time + TimeOf(body.bytes_) < body.deadline_;
}

LinkVerdict LinkSchedule::Enter(const BodyRequest& body, base::MonoTime now) {
  DropExpired(now);
  const base::Duration wait =
      std::max(TimeDue() - kMostTimeInTransit, base::Duration(0));
  if (!IsInTime(body, now + wait)) {
    return LinkVerdict::kRefused;
  }
  if (waiting_.empty() && HasRoom()) {
    Grant(body, now);
    return LinkVerdict::kGranted;
  }
  // A body that is already late may use the time until its deadline.
  const base::MonoTime until =
      body.objective_ > now ? body.objective_ : body.deadline_;
  const double most_wait = SecondsBetween(now, until) * kMostWaitShare;
  if (std::chrono::duration<double>(wait).count() > most_wait) {
    return LinkVerdict::kRefused;
  }
  waiting_[body.ticket_] = body;
  bytes_waiting_ += body.bytes_;
  return LinkVerdict::kQueued;
}

bool LinkSchedule::Cancel(uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return false;
  }
  bytes_waiting_ -= found->second.bytes_;
  waiting_.erase(found);
  return true;
}

std::vector<LinkSchedule::Decision> LinkSchedule::TakeDecisions(
    base::MonoTime now) {
  DropExpired(now);
  std::vector<Decision> decisions;
  while (!waiting_.empty()) {
    const auto earliest = std::min_element(
        waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
          return a.second.deadline_ < b.second.deadline_;
        });
    const BodyRequest body = earliest->second;
    const bool in_time = IsInTime(body, now);
    if (in_time && !HasRoom()) {
      break;
    }
    (void)Cancel(body.ticket_);
    if (in_time) {
      Grant(body, now);
    }
    decisions.push_back({body.ticket_, in_time});
  }
  return decisions;
}

void LinkSchedule::Grant(const BodyRequest& body, base::MonoTime now) {
  const base::Duration patience(static_cast<int64_t>(
      static_cast<double>(TimeOf(body.bytes_).count()) * kTransferPatience));
  transfers_[body.ticket_] = {body.bytes_, now + patience + kTransferGrace};
  bytes_in_transit_ += body.bytes_;
  AddUse(body.bytes_, now);
}

void LinkSchedule::AddUnasked(uint64_t ticket,
                              uint64_t bytes,
                              base::MonoTime now) {
  Grant({ticket, bytes, base::MonoTime::max(), base::MonoTime::max()}, now);
}

void LinkSchedule::Received(uint64_t ticket, uint64_t bytes) {
  const auto found = transfers_.find(ticket);
  if (found == transfers_.end()) {
    return;
  }
  const uint64_t counted = std::min(bytes, found->second.bytes_left_);
  found->second.bytes_left_ -= counted;
  bytes_in_transit_ -= counted;
}

void LinkSchedule::Release(uint64_t ticket) {
  const auto found = transfers_.find(ticket);
  if (found != transfers_.end()) {
    bytes_in_transit_ -= found->second.bytes_left_;
    transfers_.erase(found);
  }
}

void LinkSchedule::DropExpired(base::MonoTime now) {
  std::erase_if(transfers_, [this, now](const auto& item) {
    const bool expired = item.second.expires_ <= now;
    bytes_in_transit_ -= expired ? item.second.bytes_left_ : 0;
    return expired;
  });
}

void LinkSchedule::AddUse(uint64_t bytes, base::MonoTime now) {
  used_seconds_ =
      Use(now) * kUseSeconds + static_cast<double>(bytes) / bytes_per_second_;
  use_at_ = now;
}

double LinkSchedule::Use(base::MonoTime now) const {
  return used_seconds_ / kUseSeconds *
         std::exp(-SecondsBetween(use_at_, now) / kUseSeconds);
}

}  // namespace buckthorngate::request
