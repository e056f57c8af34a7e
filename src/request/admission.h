// Admission at the destination: who may use an upstream's slots.
//
// The destination's daemon counts the slots itself. Requests beyond the limit
// wait in a bounded queue ordered by deadline, fairly between callers; one
// that cannot begin in time is refused as not run. The limit adapts below the
// slots when the upstream slows down under load.
#ifndef SRC_REQUEST_ADMISSION_H_
#define SRC_REQUEST_ADMISSION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "buckthorngate/result_code.h"

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
  // Until then an answer is worth its full credit; the deadline if none.
  base::MonoTime objective_;
  base::MonoTime deadline_;
};

enum class AdmissionVerdict : uint8_t { kAdmitted, kQueued, kRefused };

// Not safe for concurrent use; adapters hold a lock around it.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  // A queued request is admitted or refused by a later TakeReleased, or ends
  // by Cancel. A more urgent request takes the place of a less urgent one.
  AdmissionVerdict Enter(const AdmissionRequest& request, base::MonoTime now);
  AdmissionVerdict Enter(uint64_t ticket,
                         const std::string& caller,
                         base::MonoTime deadline,
                         base::MonoTime now) {
    return Enter({ticket, caller, 0, deadline, deadline}, now);
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
  struct Released {
    uint64_t ticket_ = 0;
    bool admitted_ = false;
  };
  std::vector<Released> TakeReleased(base::MonoTime now);

  // Refuses everything new from now on.
  void Drain() { draining_ = true; }
  bool Draining() const { return draining_; }

  size_t Running() const { return running_.size(); }
  size_t Waiting() const { return waiting_.size(); }
  double Limit() const { return limit_; }
  base::Duration UsualServiceTime() const { return usual_; }

 private:
  struct Waiter {
    std::string caller_;
    uint32_t priority_ = 0;
    base::MonoTime objective_;
    base::MonoTime deadline_;
  };

  bool CanFinish(base::MonoTime deadline, base::MonoTime now) const;
  bool HasRoom() const;
  // Time until a new request of this priority would begin.
  base::Duration ExpectedWait(uint32_t priority) const;
  // Refuses the least urgent waiter if the request is clearly more urgent.
  bool Displace(const AdmissionRequest& request);
  void Admit(uint64_t ticket, const std::string& caller);
  // The waiting ticket to serve next; the queue must not be empty.
  uint64_t NextTicket() const;
  void AdaptLimit(base::Duration service_time, bool failed);

  const AdmissionOptions options_;
  // Running tickets with their callers. Invariant: running_by_caller_ counts
  // exactly these.
  std::map<uint64_t, std::string> running_;
  std::map<std::string, uint32_t> running_by_caller_;
  std::map<uint64_t, Waiter> waiting_;
  std::vector<uint64_t> displaced_;
  // Invariant: 1 <= limit_ <= slots.
  double limit_;
  base::Duration usual_{0};
  base::Duration least_{0};
  bool draining_ = false;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ADMISSION_H_
