// Decides which requests wait and which are refused when an upstream has fewer
// slots than requests. One object for each admission queue, which holds the
// requests and counts the slots.
#ifndef SRC_REQUEST_OVERLOAD_POLICY_H_
#define SRC_REQUEST_OVERLOAD_POLICY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "request/admission_request.h"

namespace buckthorngate::request {

enum class OverloadPolicyKind : uint8_t {
  kPrecedence,  // Precedence classes: urgency rank, then lateness.
  kValue,       // Value per unit of work.
};

struct RunningRequest {
  AdmissionRequest request_;
  base::MonoTime began_;
};

// State of an admission queue at the time of a decision.
struct QueueState {
  const std::map<uint64_t, RunningRequest>& running_;
  const std::map<std::string, uint32_t>& running_by_caller_;
  const std::map<uint64_t, AdmissionRequest>& waiting_;
  const double limit_;  // Concurrency limit, at least 1.
  const double queue_per_slot_;
  const base::MonoTime now_;

  // Number of requests of the caller that are running.
  uint32_t RunningOf(const std::string& caller) const;
  // Bound of the number of waiters for a new request.
  double QueueBound(const AdmissionRequest& request) const;
};

// Not safe for concurrent use.
class OverloadPolicy {
 public:
  virtual ~OverloadPolicy() = default;

  // Whether the request, started now, is expected to meet its deadline.
  virtual bool CanFinish(const AdmissionRequest& request,
                         const QueueState& state) const = 0;
  // Whether a new request may wait. Adds the waiters to `preempted` that are
  // refused in its favour; none if it may not wait.
  virtual bool MayWait(const AdmissionRequest& request,
                       const QueueState& state,
                       std::vector<uint64_t>& preempted) = 0;
  // Waiters that are to be refused now.
  virtual std::vector<uint64_t> Shed(const QueueState& state) const = 0;
  // The waiter to serve next. There must be one.
  virtual uint64_t Next(const QueueState& state) const = 0;

  // A request got a slot.
  virtual void RecordAdmitted(const AdmissionRequest& request,
                              base::MonoTime now) = 0;
  // A request that did not fail has left its slot.
  virtual void RecordServed(const std::string& kind,
                            base::Duration service_time,
                            base::MonoTime now) = 0;
  // Time after which there is room for a request that is refused now; zero
  // without a forecast. The policy remembers the forecast and does not refuse
  // the request by it when it comes back.
  virtual base::Duration ForecastRoom(const AdmissionRequest& request,
                                      const QueueState& state) = 0;
  // Average service time of all requests that did not fail.
  virtual base::Duration UsualServiceTime() const = 0;
};

std::unique_ptr<OverloadPolicy> MakeOverloadPolicy(OverloadPolicyKind kind);

// Weight of a request's value by its priority; 0 is the highest priority.
double PriorityWeight(uint32_t priority);
// Class of a density, a value per second of work; 0 is the highest. Estimates
// differ little from moment to moment, so that requests of one kind stay in one
// class mostly.
uint32_t DensityClass(double density);
// Value of an answer that misses its latency objective but not its deadline, as
// a share of that of an answer in time.
inline constexpr double kLateValue = 0.3;

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_OVERLOAD_POLICY_H_
