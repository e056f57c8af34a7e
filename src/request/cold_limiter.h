// Limits the requests that a cold upstream gets. An upstream is cold after its
// start, and whenever it reports that; while cold it crashes if it gets clearly
// more requests than it tolerates.
//
// A token bucket that counts each request when it is sent. Within any second a
// bucket lets capacity + refill requests pass, so both are chosen to sum up to
// one less than the bound. Requests to the warm upstream take tokens, too, but
// need none: an upstream that becomes cold unnoticed has then used up what it
// tolerates already. The bucket starts empty, since a daemon that was restarted
// does not know what it has sent within the last second.
//
// A request reserves a token first, waiting for one if needed, and takes it
// when it is sent. Without threads, clocks and sockets; not safe for concurrent
// use.
#ifndef SRC_REQUEST_COLD_LIMITER_H_
#define SRC_REQUEST_COLD_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/time.h"

namespace buckthorngate::request {

struct ColdLimits {
  // Time for which an upstream is cold after its start.
  base::Duration cold_start_{0};
  // Requests per second that a cold upstream tolerates; 0: no limit.
  double rate_per_s_ = 0.0;
  // Bound on the requests in any second: rate_per_s_ * over_ + slack_.
  double over_ = 1.0;
  double slack_ = 0.0;

  bool operator==(const ColdLimits& other) const = default;
};

struct ColdRequest {
  uint64_t ticket_ = 0;  // Unique among those that wait or are reserved.
  uint32_t rank_ = 0;    // See RankOf; lower ranks go first.
  // The request waits only if its turn is expected by then.
  base::MonoTime latest_turn_;
};

enum class ColdVerdict : uint8_t { kAdmitted, kQueued, kRefused };

class ColdLimiter {
 public:
  explicit ColdLimiter(base::MonoTime now) : refilled_(now) {}

  // Limits of the service; without a rate, every request is admitted.
  void Configure(const ColdLimits& limits, base::MonoTime now);
  bool Limited() const { return limits_.rate_per_s_ > 0.0; }

  // A start of the upstream whose temperature is not known: it is cold for the
  // cold start time.
  void NoteStart(base::MonoTime now);
  // The upstream reports that it stays cold for this long; 0: it is warm.
  void NoteReport(base::Duration cold_left, base::MonoTime now);
  // A report that says nothing of the temperature. After a crash it is that of
  // a new start.
  void NoteReportWithoutTemperature(base::MonoTime now) {
    if (crashed_) {
      NoteStart(now);
    }
  }
  // The upstream was seen to crash or restart: it is cold until it reports
  // otherwise.
  void NoteCrash() { crashed_ = true; }
  // An evacuation of the upstream's zone has ended: it is cold for the cold
  // start time, whatever it reports.
  void NoteReturn(base::MonoTime now) { returned_ = now; }

  bool IsCold(base::MonoTime now) const;

  // Reserves a token, or queues or refuses the request. A queued request is
  // decided by a later TakeDecisions or removed by Release.
  ColdVerdict Enter(const ColdRequest& request, base::MonoTime now);
  // Tickets of waiting requests that have got a token, and of those that can no
  // longer wait.
  struct Decision {
    uint64_t ticket_ = 0;
    bool admitted_ = false;
  };
  std::vector<Decision> TakeDecisions(base::MonoTime now);
  // To be called when the request is sent. Returns false if it must not be
  // sent: the upstream is cold and there is no token for it.
  bool Send(uint64_t ticket, base::MonoTime now);
  // Gives up a reservation or a place in the queue. Does nothing after Send.
  void Release(uint64_t ticket);

  size_t Waiting() const { return waiting_.size(); }
  // When the next waiting request may get a token; none waits: nothing.
  std::optional<base::MonoTime> NextTurn(base::MonoTime now) const;
  // Requests beyond those here that the upstream may take within a second;
  // nothing while it is not limited.
  std::optional<uint32_t> Room(base::MonoTime now) const;

 private:
  void Refill(base::MonoTime now);
  double TokensAt(base::MonoTime now) const;
  // Time until `tokens` are in the bucket.
  base::Duration TimeUntil(double tokens, base::MonoTime now) const;

  ColdLimits limits_;
  // Derived from limits_: see Configure.
  double capacity_ = 0.0;
  double refill_per_s_ = 0.0;
  double tokens_ = 0.0;
  base::MonoTime refilled_;

  std::optional<base::MonoTime> started_;
  std::optional<base::MonoTime> reported_until_;
  std::optional<base::MonoTime> returned_;
  bool crashed_ = false;

  // Invariant: while the upstream is cold and reservations were made since
  // then, there are at least as many tokens as reservations.
  std::set<uint64_t> reserved_;
  // By rank and ticket, which grows: the order of service.
  std::map<std::pair<uint32_t, uint64_t>, ColdRequest> waiting_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_COLD_LIMITER_H_
