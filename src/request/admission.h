// Admission control at the destination: limits the requests that run on one
// upstream at a time, and queues or refuses the others.
//
// The destination's daemon counts the occupied slots itself. Requests beyond
// the concurrency limit wait in a bounded queue; its OverloadPolicy decides
// which of them is served next and which are refused. A request that cannot be
// answered in time is refused immediately, as not run. The limit falls below
// the number of slots when the upstream slows down under load.
#ifndef SRC_REQUEST_ADMISSION_H_
#define SRC_REQUEST_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "request/admission_request.h"
#include "request/overload_policy.h"

namespace buckthorngate::request {

struct AdmissionOptions {
  uint32_t slots_ = 1;
  // Bound of the queue, in waiting requests per slot of the current limit.
  double queue_per_slot_ = 1.0;
  // Whether the limit falls below `slots_` when answers become slow. False for
  // an upstream that announces its slots and sheds load itself: its slow
  // answers come from its own work, and fewer slots would only lose capacity.
  bool adapts_ = true;
  OverloadPolicyKind policy_ = OverloadPolicyKind::kPrecedence;
};

enum class AdmissionVerdict : uint8_t { kAdmitted, kQueued, kRefused };

// Not safe for concurrent use; callers hold a lock around it.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);
  AdmissionQueue(AdmissionOptions options,
                 std::unique_ptr<OverloadPolicy> policy);

  // Admits, queues or refuses a new request. A queued request is decided by a
  // later TakeDecisions or removed by Cancel. If the queue is full, a more
  // urgent request preempts the least urgent waiter.
  AdmissionVerdict Enter(const AdmissionRequest& request, base::MonoTime now);
  AdmissionVerdict Enter(uint64_t ticket,
                         const std::string& caller,
                         base::MonoTime deadline,
                         base::MonoTime now) {
    return Enter({ticket, caller, 0, false, deadline, deadline, ""}, now);
  }

  // Whether Enter would refuse the request now, as far as that can be told
  // without a change: it can't finish in time, or the queue is full of requests
  // that are as urgent.
  bool WouldRefuse(const AdmissionRequest& request, base::MonoTime now) const;

  // Frees the slot of an admitted request that has ended. The service time of
  // a request that did not fail updates the averages and the limit.
  void Leave(uint64_t ticket,
             base::Duration service_time,
             bool failed,
             base::MonoTime now);

  // Removes a waiting request; false if it no longer waits.
  bool Cancel(uint64_t ticket);

  // Outcome for a request that has left the queue: admitted, or refused because
  // it was preempted, because it can no longer be answered in time, or because
  // the upstream drains.
  struct Decision {
    uint64_t ticket_ = 0;
    bool admitted_ = false;
  };
  // Returns each decision on a waiter once.
  std::vector<Decision> TakeDecisions(base::MonoTime now);

  // Refuses all new requests and those that wait; running ones go on. The
  // upstream may end before a slot becomes free for a waiting request, which
  // other endpoints can still serve.
  void Drain();
  bool Draining() const { return draining_; }
  // Refuses the requests that wait; new ones are accepted again.
  void RefuseWaiting();

  // To be called for a request that was just refused: time after which there is
  // room for it, zero without a forecast. See OverloadPolicy::ForecastRoom.
  base::Duration ForecastRoom(const AdmissionRequest& request,
                              base::MonoTime now) {
    return policy_->ForecastRoom(request, StateAt(now));
  }

  size_t Running() const { return running_.size(); }
  size_t Waiting() const { return waiting_.size(); }
  double Limit() const { return limit_; }
  // Moving average over all requests that did not fail.
  base::Duration UsualServiceTime() const {
    return policy_->UsualServiceTime();
  }

 private:
  // Whether the request cannot be answered before its deadline.
  bool CannotFinish(const AdmissionRequest& request, base::MonoTime now) const;
  QueueState StateAt(base::MonoTime now) const {
    return {running_, running_by_caller_,       waiting_,
            limit_,   options_.queue_per_slot_, now};
  }
  bool HasFreeSlot() const;
  void Admit(const AdmissionRequest& request, base::MonoTime now);
  // Lowers the limit if the upstream is congested, else raises it towards the
  // slots (additive increase, multiplicative decrease).
  void AdaptLimit(base::Duration service_time);

  const AdmissionOptions options_;
  std::unique_ptr<OverloadPolicy> policy_;  // Never null.
  // Invariant: running_by_caller_ counts exactly these.
  std::map<uint64_t, RunningRequest> running_;
  std::map<std::string, uint32_t> running_by_caller_;
  std::map<uint64_t, AdmissionRequest> waiting_;
  // Waiters refused since TakeDecisions: in favour of more urgent requests, or
  // by RefuseWaiting.
  std::vector<uint64_t> refused_;
  // Concurrency limit. Invariant: 1 <= limit_ <= slots.
  double limit_;
  // Lowest recent service time, taken as that of the upstream without load.
  base::Duration unloaded_time_{0};
  // Invariant: while it is set, no request waits.
  bool draining_ = false;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ADMISSION_H_
