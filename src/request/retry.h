// When a request is sent again, and how much of that is allowed.
//
// The budget of a service is a promise of all daemons together: in any
// RetryBudget::kWindow they send at most `percent` of its first tries again,
// and kRetrySlack more. Each daemon keeps to a part that adds up to that with
// those of the others, however many there are: the percentage of its own first
// tries within the window, and its share of the slack. Nothing is saved for
// longer, since savings would add up over the daemons as well.
//
// Sending again costs as much as the calls that it causes: one if it did not
// run, else the size of the call tree below it, which answers report. What runs
// below a retry earns nothing, is not sent again after it may have run, and is
// charged to the service that it calls.
#ifndef SRC_REQUEST_RETRY_H_
#define SRC_REQUEST_RETRY_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

inline constexpr int kMaxAttempts = 4;
// Attempts that daemons turned away before any upstream was asked.
inline constexpr int kMaxTurnedAway = 4;
// Of these, the ones for lack of room: where two are full, most are.
inline constexpr int kMaxOverloaded = 2;
// Retries that all daemons together may send in a window beyond the percentage,
// so that services with few requests have some.
inline constexpr double kRetrySlack = 20.0;

// One daemon's part of a service's budget. Safe for concurrent use.
class RetryBudget {
 public:
  static constexpr base::Duration kWindow = std::chrono::seconds(10);

  // `rounding`, in [0, 1) and drawn at random, is the fraction of a call that
  // the part is rounded up by: over many daemons, parts that are smaller than
  // one call add up to what they are together. `started` is when the daemon
  // began: it doesn't know what it sent again before, and so has no more than
  // its share of the slack until a window has passed.
  RetryBudget(double rounding, base::MonoTime started)
      : rounding_(rounding), started_(started) {}

  // `percent` of first tries.
  void RecordFirstTry(base::MonoTime now, uint32_t percent);
  // Takes the price of `calls`, or nothing and returns false. `daemons` share
  // the slack.
  bool TrySpend(base::MonoTime now, double calls, size_t daemons);
  // Takes the price of calls that are sent in any case.
  void Charge(base::MonoTime now, double calls);

 private:
  static constexpr base::Duration kSlotTime = std::chrono::milliseconds(500);
  static constexpr uint64_t kWindowSlots = kWindow / kSlotTime;

  // Sums by slot of the recent past. A slot holds the low bits of its number
  // beside its sum, and begins anew when its turn comes again.
  class Slots {
   public:
    void Add(uint64_t slot, int64_t milli);
    // Of the `count` slots up to this one.
    int64_t Sum(uint64_t slot, uint64_t count) const;

   private:
    std::array<std::atomic<uint64_t>, kWindowSlots + 1> slots_ = {};
  };

  const double rounding_;
  const base::MonoTime started_;
  // Thousandths of calls.
  Slots earned_;
  Slots spent_;
};

// How an attempt ended.
struct AttemptOutcome {
  ResultCode code_ = ResultCode::kOk;
  // The destination, or the failed connection, makes certain that it did not
  // run.
  bool not_run_ = false;
  // The upstream was sent the request.
  bool reached_ = true;
  // The upstream died under the request: it is a suspect.
  bool crashed_ = false;
  // 5xx answers of the upstream count as failures of repeatable requests.
  int status_ = 0;
  // Calls that the attempt caused, itself included.
  uint32_t calls_ = 1;
};

// What is known of the request when an attempt has failed.
struct RetryContext {
  int attempts_ = 0;
  // Of these, the ones that reached an upstream, and how many may.
  int reached_ = 0;
  int max_reached_ = kMaxAttempts;
  bool repeatable_ = false;      // Safe method or declared.
  bool body_replayable_ = true;  // Small enough to have been kept.
  bool below_retry_ = false;     // Part of a call tree that is a retry.
  bool suspect_ = false;         // May have crashed an upstream.
  // Errors of application code are worth a second try, too.
  bool retry_server_errors_ = false;
  base::Duration time_left_{0};  // Until the deadline.
};

// Whether the outcome is worth another attempt, apart from the budget.
bool IsRetryable(const AttemptOutcome& outcome, const RetryContext& context);

bool IsSafeMethod(const std::string& method);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_RETRY_H_
