// Admission queue and adaptive limit.
#include "request/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace buckthorngate::request {
namespace {

constexpr double kUsualWeight = 0.1;
// Service times vary; about four of five requests take at most this multiple
// of the usual time.
constexpr double kLikelyFactor = 1.3;
constexpr base::Duration kClearlySooner = std::chrono::milliseconds(100);
// The unloaded service time drifts up slowly, so that it can grow for good.
constexpr double kLeastDrift = 1.001;
// Slower than this multiple of the unloaded time counts as congestion.
constexpr double kCongestion = 3.0;
constexpr double kBackOff = 0.97;
constexpr double kMinLimitShare = 0.5;
// Nested calls may queue beyond the bound of others: they are short, and each
// that is refused wastes a slot elsewhere.
constexpr double kNestedQueueFactor = 4.0;
// Kinds whose times are kept; the rest counts as one.
constexpr size_t kMostKinds = 64;

base::Duration Scale(base::Duration time, double factor) {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

void Blend(base::Duration& usual, base::Duration seen) {
  usual = usual.count() == 0 ? seen : usual + Scale(seen - usual, kUsualWeight);
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : options_(options), limit_(std::max<uint32_t>(options.slots_, 1)) {}

base::Duration AdmissionQueue::UsualOf(const std::string& kind) const {
  const auto found = usual_by_kind_.find(kind);
  return found == usual_by_kind_.end() ? usual_ : found->second;
}

base::Duration AdmissionQueue::LikelyTime(const std::string& kind) const {
  return Scale(UsualOf(kind), kLikelyFactor);
}

bool AdmissionQueue::CanFinish(const AdmissionRequest& request,
                               base::MonoTime now) const {
  return now + UsualOf(request.kind_) <= request.deadline_;
}

bool AdmissionQueue::IsLate(const AdmissionRequest& request,
                            base::MonoTime now) const {
  return now + UsualOf(request.kind_) > request.objective_;
}

bool AdmissionQueue::HasRoom() const {
  return static_cast<double>(running_.size()) < std::floor(limit_);
}

uint32_t AdmissionQueue::RunningOf(const std::string& caller) const {
  const auto found = running_by_caller_.find(caller);
  return found == running_by_caller_.end() ? 0 : found->second;
}

void AdmissionQueue::Admit(const AdmissionRequest& request) {
  running_[request.ticket_] = request;
  ++running_by_caller_[request.caller_];
}

AdmissionQueue::Standing AdmissionQueue::StandingOf(
    const AdmissionRequest& request,
    base::MonoTime now) const {
  return {request.Rank(), IsLate(request, now)};
}

bool AdmissionQueue::Before(const AdmissionRequest& a,
                            const AdmissionRequest& b,
                            base::MonoTime now) const {
  const auto key = [this, now](const AdmissionRequest& request) {
    return std::make_tuple(StandingOf(request, now), RunningOf(request.caller_),
                           request.objective_);
  };
  return key(a) < key(b);
}

base::Duration AdmissionQueue::ExpectedWait(const AdmissionRequest& request,
                                            base::MonoTime now) const {
  const Standing standing = StandingOf(request, now);
  // A slot becomes free each so often; each request ahead takes one.
  base::Duration work = usual_;
  for (const auto& [ticket, waiter] : waiting_) {
    if (StandingOf(waiter, now) <= standing) {
      work += UsualOf(waiter.kind_);
    }
  }
  return Scale(work, 1.0 / limit_);
}

bool AdmissionQueue::WaitsTooLong(const AdmissionRequest& request,
                                  base::MonoTime now) const {
  const base::MonoTime begins = now + ExpectedWait(request, now);
  if (begins + UsualOf(request.kind_) > request.deadline_) {
    return true;
  }
  // A nested call that is refused wastes the slot that waits for it. Whoever
  // misses its objective anyway is judged by its deadline, too.
  if (request.nested_ || IsLate(request, now)) {
    return false;
  }
  return begins + LikelyTime(request.kind_) > request.objective_;
}

bool AdmissionQueue::Displace(const AdmissionRequest& request,
                              base::MonoTime now) {
  const auto last = std::max_element(waiting_.begin(), waiting_.end(),
                                     [this, now](const auto& a, const auto& b) {
                                       return Before(a.second, b.second, now);
                                     });
  if (last == waiting_.end()) {
    return false;
  }
  const AdmissionRequest& waiter = last->second;
  const Standing standing = StandingOf(request, now);
  const Standing last_standing = StandingOf(waiter, now);
  const bool sooner = standing == last_standing &&
                      waiter.objective_ > request.objective_ + kClearlySooner;
  if (standing >= last_standing && !sooner) {
    return false;
  }
  displaced_.push_back(last->first);
  waiting_.erase(last);
  return true;
}

AdmissionVerdict AdmissionQueue::Enter(const AdmissionRequest& request,
                                       base::MonoTime now) {
  // With nothing running the usual time may be outdated, and only a try can
  // show it.
  const bool hopeless =
      running_.empty() ? now >= request.deadline_ : !CanFinish(request, now);
  if (draining_ || hopeless) {
    return AdmissionVerdict::kRefused;
  }
  if (waiting_.empty() && HasRoom()) {
    Admit(request);
    return AdmissionVerdict::kAdmitted;
  }
  if (WaitsTooLong(request, now) ||
      YieldsTo(FirstRankInTime(now), request, now)) {
    return AdmissionVerdict::kRefused;
  }
  const double room = options_.queue_per_slot_ * limit_ *
                      (request.nested_ ? kNestedQueueFactor : 1.0);
  if (static_cast<double>(waiting_.size()) >= room && !Displace(request, now)) {
    return AdmissionVerdict::kRefused;
  }
  waiting_[request.ticket_] = request;
  return AdmissionVerdict::kQueued;
}

void AdmissionQueue::Leave(uint64_t ticket,
                           base::Duration service_time,
                           bool failed,
                           base::MonoTime) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  const AdmissionRequest request = std::move(found->second);
  running_.erase(found);
  const auto count = running_by_caller_.find(request.caller_);
  if (--count->second == 0) {
    running_by_caller_.erase(count);
  }
  if (!failed && service_time.count() > 0) {
    LearnTimes(request.kind_, service_time);
    AdaptLimit(service_time);
  }
}

void AdmissionQueue::LearnTimes(const std::string& kind,
                                base::Duration service_time) {
  Blend(usual_, service_time);
  if (usual_by_kind_.size() < kMostKinds || usual_by_kind_.contains(kind)) {
    Blend(usual_by_kind_[kind], service_time);
  }
}

void AdmissionQueue::AdaptLimit(base::Duration service_time) {
  const double slots = std::max<uint32_t>(options_.slots_, 1);
  const base::Duration least =
      least_.count() == 0 ? service_time : Scale(least_, kLeastDrift);
  least_ = std::min(least, service_time) + base::Duration(1);
  const bool congested = usual_ > Scale(least_, kCongestion);
  const double floor = std::max(1.0, slots * kMinLimitShare);
  if (!options_.adapts_) {
    return;
  }
  limit_ = congested ? std::max(floor, limit_ * kBackOff)
                     : std::min(slots, limit_ + 1.0 / limit_);
}

bool AdmissionQueue::Cancel(uint64_t ticket) {
  return waiting_.erase(ticket) != 0;
}

uint64_t AdmissionQueue::NextTicket(base::MonoTime now) const {
  const auto best = std::min_element(waiting_.begin(), waiting_.end(),
                                     [this, now](const auto& a, const auto& b) {
                                       return Before(a.second, b.second, now);
                                     });
  return best->first;
}

std::optional<uint32_t> AdmissionQueue::FirstRankInTime(
    base::MonoTime now) const {
  std::optional<uint32_t> first;
  for (const auto& [ticket, waiter] : waiting_) {
    if (!IsLate(waiter, now)) {
      first = std::min(first.value_or(waiter.Rank()), waiter.Rank());
    }
  }
  return first;
}

bool AdmissionQueue::YieldsTo(std::optional<uint32_t> in_time,
                              const AdmissionRequest& request,
                              base::MonoTime now) const {
  return !request.nested_ && in_time && *in_time <= request.Rank() &&
         IsLate(request, now);
}

void AdmissionQueue::RefuseHopeless(base::MonoTime now,
                                    std::vector<Decision>& released) {
  const std::optional<uint32_t> in_time = FirstRankInTime(now);
  std::vector<uint64_t> hopeless;
  for (const auto& [ticket, waiter] : waiting_) {
    if (!CanFinish(waiter, now) || YieldsTo(in_time, waiter, now)) {
      hopeless.push_back(ticket);
    }
  }
  for (const uint64_t ticket : hopeless) {
    waiting_.erase(ticket);
    released.push_back({ticket, false});
  }
}

std::vector<AdmissionQueue::Decision> AdmissionQueue::TakeDecisions(
    base::MonoTime now) {
  std::vector<Decision> released;
  for (const uint64_t ticket : std::exchange(displaced_, {})) {
    released.push_back({ticket, false});
  }
  RefuseHopeless(now, released);
  while (!waiting_.empty() && HasRoom()) {
    const uint64_t ticket = NextTicket(now);
    Admit(waiting_[ticket]);
    waiting_.erase(ticket);
    released.push_back({ticket, true});
  }
  return released;
}

}  // namespace buckthorngate::request
