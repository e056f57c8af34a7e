// When a request is sent again, and how much of that is allowed.
//
// Each first try of a call earns a fraction of a token; sending again costs as
// many tokens as calls it causes: one if it did not run, else the size of the
// call tree below it, which answers report. What runs below a retry neither
// earns nor retries. So the calls that retries add stay below the fraction of
// the first tries, however deep the tree is.
#ifndef SRC_REQUEST_RETRY_H_
#define SRC_REQUEST_RETRY_H_

#include <atomic>
#include <cstdint>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

inline constexpr int kMaxAttempts = 4;
// Attempts that daemons turned away before any upstream was asked.
inline constexpr int kMaxTurnedAway = 4;
// Of these, the ones for lack of room: where two are full, most are.
inline constexpr int kMaxOverloaded = 2;
// Tokens that a service's budget starts with, and the most that it holds.
inline constexpr int64_t kFirstBudgetTokens = 4;
inline constexpr int64_t kMaxBudgetTokens = 20;

// Safe for concurrent use.
class RetryBudget {
 public:
  // `percent` of first tries.
  void NoteFirstTry(uint32_t percent);
  // Takes `calls` tokens, or nothing and returns false.
  bool Spend(double calls);

 private:
  static constexpr int64_t kMilli = 1000;

  // Thousandths of tokens.
  std::atomic<int64_t> tokens_{kFirstBudgetTokens * kMilli};
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
  int most_reached_ = kMaxAttempts;
  bool repeatable_ = false;      // Safe method or declared.
  bool body_replayable_ = true;  // Small enough to have been kept.
  bool below_retry_ = false;     // Part of a call tree that is a retry.
  bool suspect_ = false;         // May have crashed an upstream.
  // Errors of application code are worth a second try, too.
  bool retries_errors_ = false;
  base::Duration left_{0};  // Until the deadline.
};

// Whether the outcome is worth another attempt, apart from the budget.
bool WorthRetry(const AttemptOutcome& outcome, const RetryContext& context);

bool IsSafeMethod(const std::string& method);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_RETRY_H_
