// Admission queue and adaptive limit.
#include "request/admission.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

constexpr double kUsualWeight = 0.1;
// The unloaded service time drifts up slowly, so that it can grow for good.
constexpr double kLeastDrift = 1.001;
// Slower than this multiple of the unloaded time counts as congestion.
constexpr double kCongestion = 3.0;
constexpr double kBackOff = 0.97;
constexpr double kMinLimitShare = 0.5;

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : options_(options), limit_(std::max<uint32_t>(options.slots_, 1)) {}

bool AdmissionQueue::CanFinish(base::MonoTime deadline,
                               base::MonoTime now) const {
  return now + usual_ <= deadline;
}

bool AdmissionQueue::HasRoom() const {
  return static_cast<double>(running_.size()) < std::floor(limit_);
}

void AdmissionQueue::Admit(uint64_t ticket, const std::string& caller) {
  running_[ticket] = caller;
  ++running_by_caller_[caller];
}

AdmissionVerdict AdmissionQueue::Enter(uint64_t ticket,
                                       const std::string& caller,
                                       base::MonoTime deadline,
                                       base::MonoTime now) {
  if (draining_ || !CanFinish(deadline, now)) {
    return AdmissionVerdict::kRefused;
  }
  if (waiting_.empty() && HasRoom()) {
    Admit(ticket, caller);
    return AdmissionVerdict::kAdmitted;
  }
  const double room = options_.queue_per_slot_ * limit_;
  // The wait is known well enough to refuse early what cannot begin in time.
  const double turns = static_cast<double>(waiting_.size() + 1) / limit_;
  const base::Duration wait(
      static_cast<int64_t>(turns * static_cast<double>(usual_.count())));
  const bool too_late = now + wait + usual_ > deadline;
  if (static_cast<double>(waiting_.size()) >= room || too_late) {
    return AdmissionVerdict::kRefused;
  }
  waiting_[ticket] = {caller, deadline, now};
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
  const auto count = running_by_caller_.find(found->second);
  if (--count->second == 0) {
    running_by_caller_.erase(count);
  }
  running_.erase(found);
  AdaptLimit(service_time, failed);
}

void AdmissionQueue::AdaptLimit(base::Duration service_time, bool failed) {
  const double slots = std::max<uint32_t>(options_.slots_, 1);
  if (failed || service_time.count() <= 0) {
    return;
  }
  const double seen = static_cast<double>(service_time.count());
  const double usual =
      usual_.count() == 0 ? seen : static_cast<double>(usual_.count());
  usual_ = base::Duration(
      static_cast<int64_t>(usual + kUsualWeight * (seen - usual)));
  const double least = least_.count() == 0
                           ? seen
                           : static_cast<double>(least_.count()) * kLeastDrift;
  least_ = base::Duration(static_cast<int64_t>(std::min(least, seen)) + 1);
  const bool congested = static_cast<double>(usual_.count()) >
                         kCongestion * static_cast<double>(least_.count());
  const double floor = std::max(1.0, slots * kMinLimitShare);
  limit_ = congested ? std::max(floor, limit_ * kBackOff)
                     : std::min(slots, limit_ + 1.0 / limit_);
}

bool AdmissionQueue::Cancel(uint64_t ticket) {
  return waiting_.erase(ticket) != 0;
}

uint64_t AdmissionQueue::NextTicket() const {
  // Fair between callers first: the one that runs least; then by deadline.
  const auto key = [this](const std::pair<const uint64_t, Waiter>& item) {
    const auto running = running_by_caller_.find(item.second.caller_);
    const uint32_t count =
        running == running_by_caller_.end() ? 0 : running->second;
    return std::make_pair(count, item.second.deadline_);
  };
  const auto best = std::min_element(
      waiting_.begin(), waiting_.end(),
      [&key](const auto& a, const auto& b) { return key(a) < key(b); });
  return best->first;
}

std::vector<AdmissionQueue::Released> AdmissionQueue::TakeReleased(
    base::MonoTime now) {
  std::vector<Released> released;
  std::erase_if(waiting_, [&](const auto& item) {
    const bool late = !CanFinish(item.second.deadline_, now);
    if (late) {
      released.push_back({item.first, false});
    }
    return late;
  });
  while (!waiting_.empty() && HasRoom()) {
    const uint64_t ticket = NextTicket();
    Admit(ticket, waiting_[ticket].caller_);
    waiting_.erase(ticket);
    released.push_back({ticket, true});
  }
  return released;
}

}  // namespace buckthorngate::request
