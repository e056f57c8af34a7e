// Model of a tree of calls whose daemons retry as the request path does.
#ifndef BENCHMARK_CALL_TREE_MODEL_H_
#define BENCHMARK_CALL_TREE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "config/service_file.h"
#include "request/retry.h"

namespace buckthorngate::benchmark {

enum class RetryMode : uint8_t { kBudgeted, kNaive };

// Each level calls the next; each call fails by itself at `failure_rate`.
class CallTreeModel {
 public:
  CallTreeModel(int depth, double failure_rate, uint64_t seed, RetryMode mode)
      : tree_(static_cast<size_t>(depth), 1.0),
        failure_rate_(failure_rate),
        random_(seed),
        mode_(mode) {
    for (int i = 0; i < depth; ++i) {
      budgets_.emplace_back(random_.Unit(), now_);
    }
  }

  // Time between two calls from outside.
  void Wait(base::Duration time) { now_ += time; }
  // One call at `level`; returns whether it succeeded and the calls it made.
  std::pair<bool, uint32_t> Call(size_t level, bool below_retry) {
    if (below_retry) {
      budgets_[level].Charge(now_, 1.0);
    } else {
      ++first_tries_;
      budgets_[level].RecordFirstTry(now_, config::kMaxRetryPercent);
    }
    uint32_t calls = 0;
    bool retrying = below_retry;
    for (int attempt = 1;; ++attempt) {
      const auto [ok, below] = TryOnce(level, retrying);
      calls += below;
      tree_[level] += 0.1 * (below - tree_[level]);
      if (ok || !MayRetry(level, attempt, below_retry)) {
        return {ok, calls};
      }
      retrying = true;
    }
  }

  double Amplification() const {
    return static_cast<double>(sent_) / static_cast<double>(first_tries_);
  }
  uint64_t Sent() const { return sent_; }

 private:
  std::pair<bool, uint32_t> TryOnce(size_t level, bool below_retry) {
    ++sent_;
    uint32_t below = 1;
    bool ok = random_.Unit() >= failure_rate_;
    if (ok && level + 1 < budgets_.size()) {
      const auto [nested_ok, nested] = Call(level + 1, below_retry);
      ok = nested_ok;
      below += nested;
    }
    return {ok, below};
  }

  bool MayRetry(size_t level, int attempt, bool below_retry) {
    if (mode_ == RetryMode::kNaive) {
      return attempt < kNaiveAttempts;
    }
    request::AttemptOutcome outcome;
    outcome.status_ = 503;
    request::RetryContext context;
    context.attempts_ = attempt;
    context.repeatable_ = true;
    context.below_retry_ = below_retry;
    context.time_left_ = std::chrono::seconds(1);
    return request::IsRetryable(outcome, context) &&
           budgets_[level].TrySpend(now_, tree_[level], kDaemons);
  }

  static constexpr int kNaiveAttempts = 2;
  static constexpr size_t kDaemons = 1;

  base::MonoTime now_{std::chrono::hours(1)};
  std::deque<request::RetryBudget> budgets_;
  std::vector<double> tree_;
  const double failure_rate_;
  base::Random random_;
  const RetryMode mode_;
  uint64_t first_tries_ = 0;
  uint64_t sent_ = 0;
};

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_CALL_TREE_MODEL_H_
