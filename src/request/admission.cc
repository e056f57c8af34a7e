// Admission queue and adaptive concurrency limit.
#include "request/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorngate::request {
namespace {

// The estimate of the unloaded service time rises by this factor with each
// sample, so that it can follow a lasting increase.
constexpr double kUnloadedTimeDrift = 1.001;
// The upstream is congested if its average service time exceeds this multiple
// of the unloaded service time.
constexpr double kCongestionFactor = 3.0;
// Multiplicative decrease of the limit with each sample under congestion.
constexpr double kLimitDecrease = 0.97;
// The limit never falls below this share of the slots.
constexpr double kMinLimitShare = 0.5;

base::Duration Scale(base::Duration time, double factor) {
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : AdmissionQueue(options, MakeOverloadPolicy(options.policy_)) {}

AdmissionQueue::AdmissionQueue(AdmissionOptions options,
                               std::unique_ptr<OverloadPolicy> policy)
    : options_(options),
      policy_(std::move(policy)),
      limit_(std::max<uint32_t>(options.slots_, 1)) {}

bool AdmissionQueue::HasFreeSlot() const {
  return static_cast<double>(running_.size()) < std::floor(limit_);
}

void AdmissionQueue::Admit(const AdmissionRequest& request,
                           base::MonoTime now) {
  running_[request.ticket_] = {request, now};
  ++running_by_caller_[request.caller_];
  policy_->RecordAdmitted(request, now);
}

bool AdmissionQueue::CannotFinish(const AdmissionRequest& request,
                                  base::MonoTime now) const {
  // While nothing runs the average service time may be outdated, and only a
  // new request can update it.
  return running_.empty() ? now >= request.deadline_
                          : !policy_->CanFinish(request, StateAt(now));
}

bool AdmissionQueue::WouldRefuse(const AdmissionRequest& request,
                                 base::MonoTime now) const {
  if (draining_ || CannotFinish(request, now)) {
    return true;
  }
  const double bound = StateAt(now).QueueBound(request);
  const bool less_urgent_waits =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& waiter) {
        return waiter.second.Rank() > request.Rank();
      });
  return static_cast<double>(waiting_.size()) >= bound && !less_urgent_waits;
}

AdmissionVerdict AdmissionQueue::Enter(const AdmissionRequest& request,
                                       base::MonoTime now) {
  const QueueState state = StateAt(now);
  if (draining_ || CannotFinish(request, now)) {
    return AdmissionVerdict::kRefused;
  }
  if (waiting_.empty() && HasFreeSlot()) {
    Admit(request, now);
    return AdmissionVerdict::kAdmitted;
  }
  std::vector<uint64_t> preempted;
  if (!policy_->MayWait(request, state, preempted)) {
    return AdmissionVerdict::kRefused;
  }
  for (const uint64_t ticket : preempted) {
    refused_.push_back(ticket);
    waiting_.erase(ticket);
  }
  waiting_[request.ticket_] = request;
  return AdmissionVerdict::kQueued;
}

void AdmissionQueue::Leave(uint64_t ticket,
                           base::Duration service_time,
                           bool failed,
                           base::MonoTime now) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  const AdmissionRequest request = std::move(found->second.request_);
  running_.erase(found);
  const auto count = running_by_caller_.find(request.caller_);
  if (--count->second == 0) {
    running_by_caller_.erase(count);
  }
  if (!failed && service_time.count() > 0) {
    policy_->RecordServed(request.kind_, service_time, now);
    AdaptLimit(service_time);
  }
}

void AdmissionQueue::AdaptLimit(base::Duration service_time) {
  const double slots = std::max<uint32_t>(options_.slots_, 1);
  const base::Duration unloaded =
      unloaded_time_.count() == 0 ? service_time
                                  : Scale(unloaded_time_, kUnloadedTimeDrift);
  unloaded_time_ = std::min(unloaded, service_time) + base::Duration(1);
  const bool congested =
      UsualServiceTime() > Scale(unloaded_time_, kCongestionFactor);
  const double floor = std::max(1.0, slots * kMinLimitShare);
  if (!options_.adapts_) {
    return;
  }
  limit_ = congested ? std::max(floor, limit_ * kLimitDecrease)
                     : std::min(slots, limit_ + 1.0 / limit_);
}

void AdmissionQueue::Drain() {
  draining_ = true;
  RefuseWaiting();
}

void AdmissionQueue::RefuseWaiting() {
  for (const auto& [ticket, waiter] : waiting_) {
    refused_.push_back(ticket);
  }
  waiting_.clear();
}

bool AdmissionQueue::Cancel(uint64_t ticket) {
  return waiting_.erase(ticket) != 0;
}

std::vector<AdmissionQueue::Decision> AdmissionQueue::TakeDecisions(
    base::MonoTime now) {
  std::vector<Decision> decisions;
  for (const uint64_t ticket : std::exchange(refused_, {})) {
    decisions.push_back({ticket, false});
  }
  for (const uint64_t ticket : policy_->Shed(StateAt(now))) {
    waiting_.erase(ticket);
    decisions.push_back({ticket, false});
  }
  while (!waiting_.empty() && HasFreeSlot()) {
    const uint64_t ticket = policy_->Next(StateAt(now));
    Admit(waiting_[ticket], now);
    waiting_.erase(ticket);
    decisions.push_back({ticket, true});
  }
  return decisions;
}

}  // namespace buckthorngate::request
