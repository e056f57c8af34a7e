// Queue state and selection of overload policies.
#include "request/overload_policy.h"

#include <algorithm>
#include <cmath>

#include "request/precedence_policy.h"
#include "request/value_policy.h"

namespace buckthorngate::request {
namespace {

// Nested calls have a queue bound larger by this factor: they are short, and
// refusing one wastes the slot that its parent request holds.
constexpr double kNestedQueueFactor = 4.0;
// Each priority is worth this share of the next higher one.
constexpr double kPriorityRatio = 0.5;
constexpr uint32_t kLeastPriority = 8;
// Ratio of the densities of successive classes.
constexpr double kClassRatio = 1.5;
// Density of the first class: the highest priority with 1 ms of work.
constexpr double kHighestDensity = 1000.0;
constexpr double kMostClasses = 64.0;

}  // namespace

uint32_t QueueState::RunningOf(const std::string& caller) const {
  const auto found = running_by_caller_.find(caller);
  return found == running_by_caller_.end() ? 0 : found->second;
}

double QueueState::QueueBound(const AdmissionRequest& request) const {
  return queue_per_slot_ * limit_ *
         (request.nested_ ? kNestedQueueFactor : 1.0);
}

double PriorityWeight(uint32_t priority) {
  return std::pow(kPriorityRatio, std::min(priority, kLeastPriority));
}

uint32_t DensityClass(double density) {
  const double steps = std::log(kHighestDensity / std::max(density, 1e-9)) /
                       std::log(kClassRatio);
  return static_cast<uint32_t>(std::clamp(steps, 0.0, kMostClasses));
}

std::unique_ptr<OverloadPolicy> MakeOverloadPolicy(OverloadPolicyKind kind) {
  if (kind == OverloadPolicyKind::kValue) {
    return std::make_unique<ValuePolicy>();
  }
  return std::make_unique<PrecedencePolicy>();
}

}  // namespace buckthorngate::request
