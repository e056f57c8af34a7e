// Admission at the destination: who may use an upstream's slots.
//
// The destination's daemon counts the slots itself. Requests beyond the limit
// wait in a bounded queue: nested calls first, then by priority; among equals
// those that can meet their objective, fairly between callers. One that cannot
// be answered in time is refused as not run, at once. The limit adapts below
// the slots when the upstream slows down under load.
#ifndef SRC_REQUEST_ADMISSION_H_
#define SRC_REQUEST_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "request/endpoint_stats.h"

namespace buckthorngate::request {

struct AdmissionOptions {
  uint32_t slots_ = 1;
  // Waiting requests per slot.
  double queue_per_slot_ = 1.0;
  // Whether the limit falls below the slots when answers become slow. Not for
  // an upstream that tells its slots and refuses by itself: slow answers then
  // come from its own work, and fewer slots would only lose capacity.
  bool adapts_ = true;
};

struct AdmissionRequest {
  uint64_t ticket_ = 0;  // Unique among present requests.
  std::string caller_;
  uint32_t priority_ = 0;  // 0 is the most urgent.
  // A call of a request that holds a slot elsewhere until it is answered.
  bool nested_ = false;
  // Until then an answer is worth its full credit; the deadline if none.
  base::MonoTime objective_;
  base::MonoTime deadline_;
  // Requests of one kind take about the same time.
  std::string kind_;

  uint32_t Rank() const { return RankOf(nested_, priority_); }
};

enum class AdmissionVerdict : uint8_t { kAdmitted, kQueued, kRefused };

// Not safe for concurrent use; adapters hold a lock around it.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  // A queued request is admitted or refused by a later TakeDecisions, or ends
  // by Cancel. A more urgent request takes the place of a less urgent one.
  AdmissionVerdict Enter(const AdmissionRequest& request, base::MonoTime now);
  AdmissionVerdict Enter(uint64_t ticket,
                         const std::string& caller,
                         base::MonoTime deadline,
                         base::MonoTime now) {
    return Enter({ticket, caller, 0, false, deadline, deadline, ""}, now);
  }

  // Ends an admitted request.
  void Leave(uint64_t ticket,
             base::Duration service_time,
             bool failed,
             base::MonoTime now);

  // Removes a waiting request; false if it was admitted meanwhile.
  bool Cancel(uint64_t ticket);

  // Tickets that left the queue: admitted, or refused because too little
  // time is left for the usual service time.
  struct Decision {
    uint64_t ticket_ = 0;
    bool admitted_ = false;
  };
  std::vector<Decision> TakeDecisions(base::MonoTime now);

  // Refuses everything new from now on.
  void Drain() { draining_ = true; }
  bool Draining() const { return draining_; }

  size_t Running() const { return running_.size(); }
  size_t Waiting() const { return waiting_.size(); }
  double Limit() const { return limit_; }
  base::Duration UsualServiceTime() const { return usual_; }

 private:
  // The usual service time of a kind; of all requests if it is not known.
  base::Duration UsualOf(const std::string& kind) const;
  // With a margin for requests that take longer than usual.
  base::Duration LikelyTime(const std::string& kind) const;
  bool CanFinish(const AdmissionRequest& request, base::MonoTime now) const;
  bool IsLate(const AdmissionRequest& request, base::MonoTime now) const;
  bool HasRoom() const;
  // What sets requests apart first: their rank, then whether they can still
  // meet their objective. Less goes first.
  using Standing = std::pair<uint32_t, bool>;
  Standing StandingOf(const AdmissionRequest& request,
                      base::MonoTime now) const;
  // Whether `a` goes before `b`.
  bool Before(const AdmissionRequest& a,
              const AdmissionRequest& b,
              base::MonoTime now) const;
  // Whether the request would be answered too late if it waited.
  bool WaitsTooLong(const AdmissionRequest& request, base::MonoTime now) const;
  // Time until a new request would begin.
  base::Duration ExpectedWait(const AdmissionRequest& request,
                              base::MonoTime now) const;
  // The most urgent rank among waiters that can meet their objective.
  std::optional<uint32_t> FirstRankInTime(base::MonoTime now) const;
  // Whether the request has missed its objective while others wait that can
  // meet theirs, the first of them at `in_time`: it is told at once instead of
  // waiting behind them.
  bool YieldsTo(std::optional<uint32_t> in_time,
                const AdmissionRequest& request,
                base::MonoTime now) const;
  void RefuseHopeless(base::MonoTime now, std::vector<Decision>& released);
  // Refuses the waiter that goes last if the request clearly goes before it.
  bool Displace(const AdmissionRequest& request, base::MonoTime now);
  void Admit(const AdmissionRequest& request);
  // The waiting ticket to serve next; the queue must not be empty.
  uint64_t NextTicket(base::MonoTime now) const;
  uint32_t RunningOf(const std::string& caller) const;
  void LearnTimes(const std::string& kind, base::Duration service_time);
  void AdaptLimit(base::Duration service_time);

  const AdmissionOptions options_;
  // Invariant: running_by_caller_ counts exactly these.
  std::map<uint64_t, AdmissionRequest> running_;
  std::map<std::string, uint32_t> running_by_caller_;
  std::map<uint64_t, AdmissionRequest> waiting_;
  std::vector<uint64_t> displaced_;
  // Invariant: 1 <= limit_ <= slots.
  double limit_;
  base::Duration usual_{0};
  std::map<std::string, base::Duration> usual_by_kind_;
  base::Duration least_{0};
  bool draining_ = false;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ADMISSION_H_
