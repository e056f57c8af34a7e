// The entry side: evidence on the versions of a move, from attempts.
#include <algorithm>

#include "base/http_status.h"
#include "daemon/serving/entry_call.h"
#include "rollout/exposure_cap.h"

namespace buckthorngate::daemon::serving {
namespace {

using request::AttemptOutcome;

// A call is reported before it ends if it takes this many times the average
// latency of calls to the old version.
constexpr int kOverdueFactor = 3;
constexpr base::Duration kMinOverdueTime = std::chrono::milliseconds(50);
// Weight of a new sample in the moving average of the old version's latency.
constexpr double kLatencyEwmaWeight = 0.1;

}  // namespace

void Entry::Call::BeginEvidence(Attempt& attempt) {
  if (service_state_ == nullptr || !service_state_->has_move()) {
    return;
  }
  const rpc::Move& move = service_state_->move();
  attempt.move_id_ = rollout::MoveId(move);
  attempt.new_version_ = attempt.version_ == move.to();
  service_->exposure_.Begin(*attempt.move_id_, attempt.new_version_);
  rollout::CallBegin begin;
  begin.service_ = service_name_;
  begin.version_ = attempt.version_;
  begin.route_ = RouteName();
  begin.step_ = move.step();
  begin.began_ = attempt.began_;
  const base::Duration usual(service_->old_version_latency_us_.load());
  const bool cold = attempt.endpoint_->stats_->IsWarmingUp(attempt.began_);
  if (usual.count() > 0 && !cold) {
    begin.report_at_ =
        attempt.began_ + std::max(usual * kOverdueFactor, kMinOverdueTime);
  }
  attempt.evidence_id_ = entry_.board_.Evidence().Begin(begin);
}

rollout::CallEnd Entry::Call::ClassifyEnd(const Attempt& attempt,
                                          const AttemptOutcome& outcome,
                                          bool failed,
                                          base::MonoTime now) const {
  if (outcome.not_run_) {
    return rollout::CallEnd::kIgnored;
  }
  const bool caller_left = outcome.code_ == ResultCode::kCallerGone;
  const bool late = caller_left ||
                    outcome.code_ == ResultCode::kDeadlineExceeded ||
                    outcome.status_ == base::kStatusGatewayTimeout;
  if (late && attempt.endpoint_->stats_->IsWarmingUp(now)) {
    // An endpoint that warms up is slow only temporarily.
    return rollout::CallEnd::kIgnored;
  }
  if (caller_left) {
    return rollout::ClassifyCancelledCall(now - began_, now - attempt.began_,
                                          deadline_ - began_);
  }
  return failed ? rollout::CallEnd::kFailed : rollout::CallEnd::kAnswered;
}

void Entry::Call::EndEvidence(const Attempt& attempt,
                              const AttemptOutcome& outcome,
                              bool failed) {
  if (!attempt.move_id_) {
    return;
  }
  if (!outcome.reached_ && outcome.not_run_) {
    service_->exposure_.Cancel(*attempt.move_id_, attempt.new_version_);
  }
  const base::MonoTime now = entry_.clock_.Read().mono_;
  rollout::CallOutcome ended;
  ended.end_ = ClassifyEnd(attempt, outcome, failed, now);
  ended.ended_ = now;
  ended.crashed_ = outcome.crashed_;
  ended.cold_ = attempt.endpoint_->stats_->IsWarmingUp(now);
  entry_.board_.Evidence().End(attempt.evidence_id_, ended);
  const bool answered = ended.end_ == rollout::CallEnd::kAnswered;
  if (answered && !attempt.new_version_ && !ended.cold_) {
    const double usual =
        static_cast<double>(service_->old_version_latency_us_.load());
    const double latency = static_cast<double>((now - attempt.began_).count());
    service_->old_version_latency_us_ = static_cast<int64_t>(
        usual == 0.0 ? latency
                     : usual + kLatencyEwmaWeight * (latency - usual));
  }
  if (answered || ended.end_ == rollout::CallEnd::kFailed) {
    UpdateBrake(attempt, !answered);
  }
}

void Entry::Call::UpdateBrake(const Attempt& attempt, bool failed) {
  if (!request::MayBrake(*service_state_)) {
    return;
  }
  const uint64_t step = service_state_->move().step();
  if (!service_->brake_.RecordOutcome(step, attempt.new_version_, failed)) {
    return;
  }
  rpc::BrakeNotice notice;
  notice.set_service(service_name_);
  notice.set_version(attempt.version_);
  notice.set_step(step);
  notice.set_reason("failures in a row on route " + RouteName());
  entry_.on_brake_(notice);
}

}  // namespace buckthorngate::daemon::serving
