// Admission of request bodies to a host's slow incoming link.
//
// The bytes that a link carries are limited like the slots of an upstream. A
// host that receives more bodies than its link carries delays everything behind
// them: calls, answers, connects and control messages. So a sender asks before
// it sends a body. Bodies are granted one after the other, the earliest
// deadline first, so that only a bounded time of the link is due at once; one
// that would come too late is refused before any of its bytes are sent.
#ifndef SRC_REQUEST_LINK_SCHEDULE_H_
#define SRC_REQUEST_LINK_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"

namespace buckthorngate::request {

// Bodies are granted while those in transit need less than this of the link.
// Calls wait behind them for about as long.
inline constexpr base::Duration kMostTimeInTransit =
    std::chrono::milliseconds(50);
// Senders ask for bodies of this size or more: smaller ones are not worth the
// question.
inline constexpr uint64_t kMinAskedBytes = uint64_t{16} * 1024;
// Share of the time left until the objective that a body may wait for the link.
// The rest is for its way, its run, and another host if this one refuses it.
inline constexpr double kMostWaitShare = 0.25;

// A body for which a sender asks.
struct BodyRequest {
  uint64_t ticket_ = 0;  // Unique among waiting and granted bodies.
  uint64_t bytes_ = 0;
  base::MonoTime objective_;
  base::MonoTime deadline_;
};

enum class LinkVerdict : uint8_t { kGranted, kQueued, kRefused };

// Not safe for concurrent use.
class LinkSchedule {
 public:
  // Positive, in bytes.
  explicit LinkSchedule(double bytes_per_second);

  // Grants, queues or refuses a body. A queued one is decided by a later
  // TakeDecisions or removed by Cancel.
  LinkVerdict Enter(const BodyRequest& body, base::MonoTime now);
  // Removes a waiting body; false if it no longer waits.
  bool Cancel(uint64_t ticket);

  struct Decision {
    uint64_t ticket_ = 0;
    bool granted_ = false;
  };
  // Returns each decision on a waiting body once.
  std::vector<Decision> TakeDecisions(base::MonoTime now);

  // Bytes of a granted body have arrived.
  void Received(uint64_t ticket, uint64_t bytes);
  // A granted body has arrived, or will not.
  void Release(uint64_t ticket);
  // A body that arrives without a grant, from a sender that does not ask.
  void AddUnasked(uint64_t ticket, uint64_t bytes, base::MonoTime now);

  // Time that the link needs for all bodies in transit and those that wait.
  base::Duration TimeDue() const;
  // The same for the bodies in transit only.
  base::Duration TimeInTransit() const;
  size_t Waiting() const { return waiting_.size(); }
  // Share of the link that bodies have used lately; may exceed 1.
  double Use(base::MonoTime now) const;

 private:
  struct Transfer {
    uint64_t bytes_left_ = 0;
    base::MonoTime expires_;
  };

  base::Duration TimeOf(uint64_t bytes) const;
  // Whether the body can be on its way early enough if it is granted at `time`.
  bool IsInTime(const BodyRequest& body, base::MonoTime time) const;
  bool HasRoom() const;
  void Grant(const BodyRequest& body, base::MonoTime now);
  // Ends transfers whose senders have stopped.
  void DropExpired(base::MonoTime now);
  void AddUse(uint64_t bytes, base::MonoTime now);

  const double bytes_per_second_;
  std::map<uint64_t, BodyRequest> waiting_;
  std::map<uint64_t, Transfer> transfers_;
  // Invariant: sum of bytes_left_ of transfers_.
  uint64_t bytes_in_transit_ = 0;
  // Invariant: sum of bytes_ of waiting_.
  uint64_t bytes_waiting_ = 0;
  // Link time that bodies have used, decayed since use_at_.
  double used_seconds_ = 0.0;
  base::MonoTime use_at_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_LINK_SCHEDULE_H_
