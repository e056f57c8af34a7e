// Retry policy and retry budget.
//
// The retry budget of a service limits all daemons together: in any
// RetryBudget::kWindow they retry at most `percent` of the first tries of its
// requests, plus kRetrySlack. Each daemon enforces a part of the budget, and
// the parts add up to the whole for any number of daemons: the percentage of
// its own first tries within the window, and an equal share of the slack.
// Unused budget expires with the window, since savings would add up over the
// daemons as well.
//
// A retry costs as many calls as it causes: one if the request did not run,
// else the size of the call tree below it, which answers report. Calls below a
// retry do not add to the budget, are not retried once they may have run, and
// are charged to the budget of the service that they call.
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

// Default limit of attempts that reach an upstream.
inline constexpr int kMaxAttempts = 4;
// Limit of attempts that were refused before the request was sent to an
// upstream.
inline constexpr int kMaxRefusedAttempts = 4;
// The same limit if the last refusal was for lack of a free slot: if two
// endpoints are overloaded, most of the others are as well.
inline constexpr int kMaxOverloadedAttempts = 2;
// Retries that all daemons together may send in a window in addition to the
// percentage, so that services with few requests can retry at all.
inline constexpr double kRetrySlack = 20.0;

// One daemon's part of the retry budget of a service. Safe for concurrent use.
class RetryBudget {
 public:
  static constexpr base::Duration kWindow = std::chrono::seconds(10);

  // `rounding` is a random number in [0, 1), the fraction of a call by which
  // this part of the budget is rounded up. Over many daemons, parts smaller
  // than one call thus add up to the expected total. `started` is the start
  // time of the daemon: since it does not know its retries before a restart, it
  // has only its share of the slack until a window has passed.
  RetryBudget(double rounding, base::MonoTime started)
      : rounding_(rounding), started_(started) {}

  // Counts a first try, which adds `percent` hundredths of a call to the
  // budget.
  void RecordFirstTry(base::MonoTime now, uint32_t percent);
  // Charges the budget with a retry that costs `calls`, if it has that much
  // left; else returns false and charges nothing. `daemons` is the number of
  // daemons that share the slack.
  bool TrySpend(base::MonoTime now, double calls, size_t daemons);
  // Charges the budget with calls that are sent whether or not it allows them.
  void Charge(base::MonoTime now, double calls);

 private:
  static constexpr base::Duration kBucketTime = std::chrono::milliseconds(500);
  static constexpr uint64_t kWindowBuckets = kWindow / kBucketTime;

  // Sliding window of sums, one for each kBucketTime. The buckets form a ring;
  // each holds the low bits of its number beside its sum, and is reset when its
  // place in the ring is used again.
  class BucketSums {
   public:
    void Add(uint64_t bucket, int64_t milli);
    // Sum of the `count` buckets up to and including `bucket`.
    int64_t Sum(uint64_t bucket, uint64_t count) const;

   private:
    std::array<std::atomic<uint64_t>, kWindowBuckets + 1> buckets_ = {};
  };

  const double rounding_;
  const base::MonoTime started_;
  // In thousandths of calls.
  BucketSums earned_;
  BucketSums spent_;
};

// Result of one attempt.
struct AttemptOutcome {
  ResultCode code_ = ResultCode::kOk;
  // It is certain that the request did not run, because the destination states
  // so or because the connection failed.
  bool not_run_ = false;
  // The request was sent to the upstream.
  bool reached_ = true;
  // The upstream crashed while it ran the request, which makes the request a
  // suspect (see quarantine.h).
  bool crashed_ = false;
  // HTTP status of the upstream's answer. For repeatable requests 502, 503 and
  // 504 count as failures, and 500 if RetryContext::retry_server_errors_ is
  // set.
  int status_ = 0;
  // Number of calls in the attempt's call tree, itself included.
  uint32_t calls_ = 1;
};

// State of a request when an attempt has ended.
struct RetryContext {
  int attempts_ = 0;
  // Attempts that were sent to an upstream, and their limit.
  int reached_ = 0;
  int max_reached_ = kMaxAttempts;
  bool repeatable_ = false;      // By its method or its route.
  bool body_replayable_ = true;  // Small enough to have been kept.
  // A nested call whose refusal would waste the work of its parent: it may be
  // refused for lack of a free slot as often as for other causes.
  bool saves_parent_ = false;
  bool below_retry_ = false;  // Part of a call tree that is a retry.
  bool suspect_ = false;      // May have crashed an upstream.
  // Whether status 500, an error of application code, is retried too.
  bool retry_server_errors_ = false;
  base::Duration time_left_{0};  // Until the deadline.
};

// Whether the request may be sent again after this outcome, if the retry budget
// allows it.
bool IsRetryable(const AttemptOutcome& outcome, const RetryContext& context);

// Whether the HTTP method is safe, that is, only reads.
bool IsSafeMethod(const std::string& method);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_RETRY_H_
