// The entry side: retries and their budget.
#include "base/events.h"
#include "config/service_file.h"
#include "daemon/serving/entry_call.h"

namespace buckthorngate::daemon::serving {
namespace {

using request::AttemptOutcome;

constexpr double kMilli = 1000.0;
// Application errors are retried only if the service refused no request as
// overloaded for this long, and thus has capacity for retries.
constexpr base::Duration kMinTimeSinceOverload = std::chrono::seconds(2);

}  // namespace

void Entry::Call::RecordFirstAttempt() {
  const base::MonoTime now = entry_.clock_.Read().mono_;
  if (below_retry_) {
    service_->retry_budget_.Charge(now, 1.0);
    service_->retry_counts_.below_retry_.fetch_add(1);
    return;
  }
  const uint32_t percent = service_state_ == nullptr
                               ? config::kDefaultRetryPercent
                               : service_state_->service().retry_percent();
  service_->retry_budget_.RecordFirstTry(now, percent);
  service_->retry_counts_.first_tries_.fetch_add(1);
}

bool Entry::Call::SpendRetryBudget(const AttemptOutcome& outcome) {
  blackboard::RetryCounts& counts = service_->retry_counts_;
  // A request that reached no upstream adds no load there, so retrying it is
  // free.
  if (outcome.not_run_ && !outcome.reached_) {
    counts.unsent_.fetch_add(1);
    return true;
  }
  const double tree = service_->tree_size_milli_.load() / kMilli;
  if (service_->retry_budget_.TrySpend(entry_.clock_.Read().mono_,
                                       outcome.not_run_ ? 1.0 : tree,
                                       view_->daemon_count_)) {
    (outcome.not_run_ ? counts.after_refusal_ : counts.after_run_).fetch_add(1);
    return true;
  }
  counts.denied_.fetch_add(1);
  base::LogEvent(base::EventId::kRetryDenied,
                 {{"request", request_id_},
                  {"service", service_name_},
                  {"code", std::string(Describe(outcome.code_).name_)},
                  {"not_run", outcome.not_run_ ? "true" : "false"},
                  {"denied", std::to_string(counts.denied_.load())}});
  return false;
}

bool Entry::Call::MayRetry(const AttemptOutcome& outcome) {
  const rpc::Route& route = *match_.route_;
  request::RetryContext context;
  context.attempts_ = attempts_;
  context.reached_ = reached_;
  if (route.max_attempts() != 0) {
    context.max_reached_ = static_cast<int>(route.max_attempts());
  }
  context.repeatable_ = Repeatable();
  context.body_replayable_ = !streamed_;
  context.below_retry_ = below_retry_;
  context.saves_parent_ = entry_.options_.by_value_ && nested_;
  context.suspect_ =
      view_->suspects_.count(fingerprint_) != 0 || outcome.crashed_;
  context.time_left_ = RemainingTime();
  const base::MonoTime last_overload{
      base::Duration(service_->last_overload_us_.load())};
  context.retry_server_errors_ =
      IsMeshRoute() &&
      entry_.clock_.Read().mono_ - last_overload > kMinTimeSinceOverload;
  if (!request::IsRetryable(outcome, context)) {
    return false;
  }
  if (!SpendRetryBudget(outcome)) {
    return false;
  }
  entry_.board_.DaemonMetrics().CountRetry();
  retrying_ = retrying_ || !outcome.not_run_;
  base::LogEvent(base::EventId::kRequestRetried,
                 {{"request", request_id_},
                  {"endpoint", last_endpoint_},
                  {"code", std::string(Describe(outcome.code_).name_)},
                  {"status", std::to_string(outcome.status_)},
                  {"not_run", outcome.not_run_ ? "true" : "false"},
                  {"reached", std::to_string(reached_)}});
  return true;
}

}  // namespace buckthorngate::daemon::serving
