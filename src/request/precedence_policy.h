// Overload policy with precedence classes: nested calls first, then by route
// priority; within a priority, requests that can still meet their latency
// objective first, with callers sharing the slots fairly.
#ifndef SRC_REQUEST_PRECEDENCE_POLICY_H_
#define SRC_REQUEST_PRECEDENCE_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "request/overload_policy.h"

namespace buckthorngate::request {

class PrecedencePolicy : public OverloadPolicy {
 public:
  bool CanFinish(const AdmissionRequest& request,
                 const QueueState& state) const override;
  bool MayWait(const AdmissionRequest& request,
               const QueueState& state,
               std::vector<uint64_t>& preempted) override;
  std::vector<uint64_t> Shed(const QueueState& state) const override;
  uint64_t Next(const QueueState& state) const override;
  void RecordAdmitted(const AdmissionRequest& request,
                      base::MonoTime now) override;
  void RecordServed(const std::string& kind,
                    base::Duration service_time,
                    base::MonoTime now) override;
  base::Duration ForecastRoom(const AdmissionRequest& request,
                              const QueueState& state) override;
  base::Duration UsualServiceTime() const override { return usual_time_; }

 private:
  // Average service time of a kind, or of all requests if the kind is unknown.
  base::Duration UsualTimeOf(const std::string& kind) const;
  // Estimated 80th percentile of the service time of a kind.
  base::Duration P80TimeOf(const std::string& kind) const;
  // Whether the request, started now, is expected to miss its objective.
  bool IsLate(const AdmissionRequest& request, base::MonoTime now) const;
  // Precedence class of a request: its urgency rank, then whether it is late
  // for its objective. Lower values are served first.
  using Precedence = std::pair<uint32_t, bool>;
  Precedence PrecedenceOf(const AdmissionRequest& request,
                          base::MonoTime now) const;
  // Sort order of the queue: whether `a` is served before `b`. Compares the
  // precedence class, then the running requests of the caller, then the
  // objective.
  bool Precedes(const AdmissionRequest& a,
                const AdmissionRequest& b,
                const QueueState& state) const;
  // Whether the request would be answered too late if it was queued.
  bool WouldFinishLate(const AdmissionRequest& request,
                       const QueueState& state) const;
  // Estimated queueing delay of a new request.
  base::Duration ExpectedWait(const AdmissionRequest& request,
                              const QueueState& state) const;
  // The most urgent rank among waiters that can still meet their objective.
  std::optional<uint32_t> MostUrgentOnTimeRank(const QueueState& state) const;
  // Whether to refuse a late request immediately instead of letting it wait
  // behind waiters that can meet their objective, the most urgent of which has
  // rank `on_time_rank`. Nested calls are never refused for this reason.
  bool ShouldShedLate(std::optional<uint32_t> on_time_rank,
                      const AdmissionRequest& request,
                      base::MonoTime now) const;
  // The last waiter in sort order, if it may be refused to make room for a new
  // request: the request has a higher precedence class, or the same one and an
  // objective that is sooner by kPreemptionMargin.
  std::optional<uint64_t> PreemptibleWaiter(const AdmissionRequest& request,
                                            const QueueState& state) const;

  // precedence_accounts.cc: fairness between client accounts.
  // The last waiter of the account with the most requests, if that has at least
  // two more than the request's account and is not more urgent.
  std::optional<uint64_t> WaiterOfLargestAccount(
      const AdmissionRequest& request,
      const QueueState& state) const;
  // Waiters of each caller that are not less urgent than the request.
  std::map<std::string, uint32_t> WaitingByCaller(
      const AdmissionRequest& request,
      const QueueState& state) const;
  // As ExpectedWait, for a request of an account: others get a slot before it
  // only while they have no more running than its account.
  base::Duration ExpectedAccountWait(const AdmissionRequest& request,
                                     const QueueState& state) const;

  // Exponential moving averages of the service time.
  base::Duration usual_time_{0};
  std::map<std::string, base::Duration> usual_time_by_kind_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_PRECEDENCE_POLICY_H_
