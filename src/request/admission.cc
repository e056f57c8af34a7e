// Admission queue and adaptive limit.
#include "request/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace buckthorngate::request {
namespace {

constexpr double kUsualWeight = 0.1;
constexpr base::Duration kClearlySooner = std::chrono::milliseconds(100);
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

base::Duration AdmissionQueue::ExpectedWait(uint32_t priority) const {
  const auto ahead = std::count_if(waiting_.begin(), waiting_.end(),
                                   [priority](const auto& item) {
                                     return item.second.priority_ <= priority;
                                   });
  const double turns = static_cast<double>(ahead + 1) / limit_;
  return base::Duration(
      static_cast<int64_t>(turns * static_cast<double>(usual_.count())));
}

bool AdmissionQueue::Displace(const AdmissionRequest& request) {
  const auto least = std::max_element(
      waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.priority_, a.second.objective_) <
               std::tie(b.second.priority_, b.second.objective_);
      });
  if (least == waiting_.end()) {
    return false;
  }
  const Waiter& waiter = least->second;
  // Within a priority, a call that is needed much sooner goes first: mostly
  // one from inside of another request, which holds a slot meanwhile.
  const bool sooner = waiter.priority_ == request.priority_ &&
                      waiter.objective_ > request.objective_ + kClearlySooner;
  if (waiter.priority_ <= request.priority_ && !sooner) {
    return false;
  }
  displaced_.push_back(least->first);
  waiting_.erase(least);
  return true;
}

AdmissionVerdict AdmissionQueue::Enter(const AdmissionRequest& request,
                                       base::MonoTime now) {
  if (draining_ || !CanFinish(request.deadline_, now)) {
    return AdmissionVerdict::kRefused;
  }
  if (waiting_.empty() && HasRoom()) {
    Admit(request.ticket_, request.caller_);
    return AdmissionVerdict::kAdmitted;
  }
  // The wait is known well enough to refuse early what cannot begin in time.
  // Whoever has missed its objective anyway is judged by its deadline.
  const base::MonoTime wanted = CanFinish(request.objective_, now)
                                    ? request.objective_
                                    : request.deadline_;
  if (now + ExpectedWait(request.priority_) + usual_ > wanted) {
    return AdmissionVerdict::kRefused;
  }
  const double room = options_.queue_per_slot_ * limit_;
  if (static_cast<double>(waiting_.size()) >= room && !Displace(request)) {
    return AdmissionVerdict::kRefused;
  }
  waiting_[request.ticket_] = {request.caller_, request.priority_,
                               request.objective_, request.deadline_};
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
  if (!options_.adapts_) {
    return;
  }
  limit_ = congested ? std::max(floor, limit_ * kBackOff)
                     : std::min(slots, limit_ + 1.0 / limit_);
}

bool AdmissionQueue::Cancel(uint64_t ticket) {
  return waiting_.erase(ticket) != 0;
}

uint64_t AdmissionQueue::NextTicket() const {
  // The most urgent first; fair between callers: the one that runs least; then
  // by objective.
  const auto key = [this](const std::pair<const uint64_t, Waiter>& item) {
    const auto running = running_by_caller_.find(item.second.caller_);
    const uint32_t count =
        running == running_by_caller_.end() ? 0 : running->second;
    return std::make_tuple(item.second.priority_, count,
                           item.second.objective_);
  };
  const auto best = std::min_element(
      waiting_.begin(), waiting_.end(),
      [&key](const auto& a, const auto& b) { return key(a) < key(b); });
  return best->first;
}

std::vector<AdmissionQueue::Released> AdmissionQueue::TakeReleased(
    base::MonoTime now) {
  std::vector<Released> released;
  for (const uint64_t ticket : std::exchange(displaced_, {})) {
    released.push_back({ticket, false});
  }
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
