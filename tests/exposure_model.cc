// Simulation of one ordered move.
#include "exposure_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "distribution/source_state.h"
#include "request/version_choice.h"
#include "rollout/brake.h"
#include "rollout/evidence_collector.h"
#include "rollout/exposure_cap.h"
#include "rollout/move_controller.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kService[] = "a";
constexpr char kOldVersion[] = "v1";
constexpr char kNewVersion[] = "v2";

constexpr base::Duration kTick = milliseconds(10);
constexpr base::Duration kReportInterval = milliseconds(250);
// Delay of a report from a proxy to the leader by way of a relay.
constexpr base::Duration kReportDelay = milliseconds(270);
constexpr base::Duration kStepDelay = milliseconds(100);
constexpr base::Duration kOrderTime = seconds(2);
constexpr base::Duration kNewEndpointsStart = milliseconds(3500);
constexpr base::Duration kDisturbanceStart = seconds(4);
constexpr base::Duration kDisturbanceDuration = seconds(20);
constexpr base::Duration kRunAfterDeadline = seconds(12);
// Defects that set in late begin this long after the start of the new
// endpoints.
constexpr base::Duration kLateDefectDelay = seconds(3);
constexpr base::Duration kWarmUpTime = seconds(3);

constexpr double kMedianMs = 130.0;
constexpr double kLatencySigma = 0.35;
constexpr double kWarmUpFactor = 2.0;
constexpr double kCallerTimeoutMs = 1200.0;
constexpr double kBaseFailureRate = 0.002;
constexpr double kDefectiveFraction = 0.5;
constexpr double kSlowFactor = 8.0;
constexpr double kCommonSlowFactor = 4.0;
constexpr double kCommonFailureRate = 0.3;
constexpr double kLostAnswerFraction = 0.3;
constexpr double kSecondRouteFraction = 0.3;
constexpr double kBurstFactor = 2.5;
constexpr double kCancelAfterMs = 250.0;
constexpr double kCancellingFraction = 0.3;
// Fraction of all calls in flight from which on the new version is under load.
constexpr double kLoadedFraction = 0.35;
// Same values as in the daemon's handling of outgoing calls.
constexpr double kOverdueFactor = 3.0;
constexpr double kLatencyWeight = 0.1;
constexpr uint64_t kBadAnswerLimit = 50;
constexpr base::WallTime kWallStart{milliseconds(1'800'000'000'000)};

struct ProxyModel {
  std::unique_ptr<rollout::Brake> brake_ = std::make_unique<rollout::Brake>();
  std::unique_ptr<rollout::EvidenceCollector> collector_ =
      std::make_unique<rollout::EvidenceCollector>();
  std::unique_ptr<rollout::ExposureCap> cap_ =
      std::make_unique<rollout::ExposureCap>();
  // Moving average of the old version's latency.
  double old_latency_us_ = 0.0;
  uint64_t incarnation_ = 1;
  uint64_t sequence_ = 0;
};

struct Call {
  size_t proxy_ = 0;
  uint64_t proxy_incarnation_ = 0;
  int route_ = 0;
  bool new_version_ = false;
  bool failed_ = false;
  // The caller cancelled, at its deadline or before.
  bool caller_left_ = false;
  bool bad_ = false;
  bool cold_ = false;
  // Id in the evidence collector; not set for calls before the order was known.
  std::optional<uint64_t> evidence_;
  base::Duration latency_{0};
};

class ModelEndpointPresence : public rollout::EndpointPresence {
 public:
  bool HasEndpoints(const std::string&,
                    const std::string& version) const override {
    return version == kOldVersion || has_new_;
  }
  bool has_new_ = false;
};

class Model {
 public:
  explicit Model(const ExposureScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed_),
        proxies_(static_cast<size_t>(scenario.proxies_)) {
    ReplaceLeader();
  }

  ExposureResult Run() {
    const base::Duration deadline = kOrderTime + scenario_.time_to_deadline_;
    for (at_ = base::Duration(0); at_ < deadline + kRunAfterDeadline;
         at_ += kTick) {
      SendOrders();
      ApplyDisturbances();
      present_.has_new_ = at_ >= kNewEndpointsStart;
      FinishCalls();
      StartCalls();
      SendReports();
      DeliverReports();
      Decide();
    }
    result_.after_bad_limit_ =
        bad_limit_at_.count() == 0
            ? base::Duration(0)
            : std::max(base::Duration(0), last_new_call_at_ - bad_limit_at_);
    return result_;
  }

 private:
  bool IsDisturbed(Disturbance disturbance) const {
    return scenario_.disturbance_ == disturbance && at_ >= kDisturbanceStart &&
           at_ < kDisturbanceStart + kDisturbanceDuration;
  }

  void ReplaceLeader() {
    controller_ = std::make_unique<rollout::MoveController>(
        rollout::MakeMovePolicy(rollout::PolicyKind::kSequential));
  }

  base::MonoTime Mono() const {
    return base::MonoTime(std::chrono::hours(1)) + at_;
  }

  base::WallTime Wall() const {
    base::WallTime wall =
        kWallStart + std::chrono::duration_cast<milliseconds>(at_);
    if (IsDisturbed(Disturbance::kClocksAhead)) {
      wall += seconds(10);
    } else if (IsDisturbed(Disturbance::kClocksBack)) {
      wall -= seconds(10);
    }
    return wall;
  }

  void Apply(const rpc::Command& command) {
    rpc::LogEntry entry;
    entry.set_index(++index_);
    entry.set_kind(rpc::ENTRY_KIND_COMMAND);
    entry.set_payload(command.SerializeAsString());
    state_.Apply(entry);
    history_.emplace_back(at_, state_.Config().Find(kService));
  }

  void SendOrders() {
    const bool first = at_ == kOrderTime;
    const bool again = scenario_.disturbance_ == Disturbance::kOrderResent &&
                       (at_ == kOrderTime + seconds(1) ||
                        at_ == kOrderTime + milliseconds(3500));
    if (!first && !again) {
      return;
    }
    rpc::Command command;
    rpc::MoveOrder& order = *command.mutable_move_order();
    order.set_service(kService);
    order.set_to(kNewVersion);
    order.set_from(kOldVersion);
    order.set_duration_ms(
        static_cast<uint32_t>(scenario_.time_to_deadline_ / milliseconds(1)));
    order.set_ordered_ms(base::ToUnixMs(Wall()));
    order.set_author("operator");
    Apply(command);
  }

  void ApplyDisturbances() {
    const base::Duration since = at_ - kDisturbanceStart;
    const bool third_second =
        since.count() >= 0 &&
        since.count() % base::Duration(seconds(3)).count() == 0;
    if (IsDisturbed(Disturbance::kNewLeaders) && third_second) {
      ReplaceLeader();
    }
    const bool half_second =
        since.count() >= 0 &&
        since.count() % base::Duration(milliseconds(500)).count() == 0;
    if (IsDisturbed(Disturbance::kProxiesRestart) && half_second) {
      ProxyModel& proxy = proxies_[next_restart_++ % proxies_.size()];
      const uint64_t incarnation = proxy.incarnation_ + 1;
      proxy = ProxyModel();
      proxy.incarnation_ = incarnation;
    }
  }

  // Returns the state of the service that has reached the proxies (kStepDelay
  // old).
  config::ServicePtr VisibleToProxies() {
    while (history_.size() > 1 && history_[1].first + kStepDelay <= at_) {
      history_.pop_front();
    }
    if (history_.empty() || history_.front().first + kStepDelay > at_) {
      return nullptr;
    }
    return history_.front().second;
  }

  void StartCalls() {
    double rate = scenario_.calls_per_second_;
    if (IsDisturbed(Disturbance::kBurst)) {
      rate *= kBurstFactor;
    }
    const double mean = rate * std::chrono::duration<double>(kTick).count();
    const int calls = std::poisson_distribution<int>(mean)(random_.Engine());
    const config::ServicePtr service = VisibleToProxies();
    for (int i = 0; i < calls; ++i) {
      StartCall(service);
    }
  }

  void StartCall(const config::ServicePtr& service) {
    Call call;
    call.proxy_ = random_.Below(proxies_.size());
    ProxyModel& proxy = proxies_[call.proxy_];
    call.proxy_incarnation_ = proxy.incarnation_;
    call.route_ = random_.Unit() < kSecondRouteFraction ? 1 : 0;
    if (service != nullptr) {
      const std::string id = std::to_string(random_.Below(1'000'000'000));
      const rpc::Move& move = service->move();
      const bool cap_reached = rollout::ExposureCapApplies(move) &&
                               !proxy.cap_->Allows(rollout::MoveId(move));
      const bool braked = cap_reached || proxy.brake_->IsEngaged(move.step());
      call.new_version_ =
          present_.has_new_ &&
          request::ChooseVersions(*service, id, braked).first_ == kNewVersion;
    }
    SimulateAnswer(call);
    BeginEvidence(call, service, proxy);
    ++in_flight_;
    new_in_flight_ += call.new_version_ ? 1 : 0;
    const base::Duration deadline = kOrderTime + scenario_.time_to_deadline_;
    if (at_ >= kOrderTime && at_ < deadline) {
      ++result_.calls_;
      result_.new_calls_ += call.new_version_ ? 1 : 0;
    }
    last_new_call_at_ = call.new_version_ ? at_ : last_new_call_at_;
    running_.emplace(at_ + call.latency_, call);
  }

  // Mirrors the daemon's handling of evidence for outgoing calls.
  void BeginEvidence(Call& call,
                     const config::ServicePtr& service,
                     ProxyModel& proxy) const {
    if (service == nullptr) {
      return;
    }
    const rpc::Move& move = service->move();
    proxy.cap_->Begin(rollout::MoveId(move), call.new_version_);
    rollout::CallBegin begin;
    begin.service_ = kService;
    begin.version_ = call.new_version_ ? kNewVersion : kOldVersion;
    begin.route_ = call.route_ == 0 ? "first" : "second";
    begin.step_ = move.step();
    begin.began_ = Mono();
    if (proxy.old_latency_us_ > 0.0 && !call.cold_) {
      begin.report_at_ = Mono() + base::Duration(static_cast<int64_t>(
                                      kOverdueFactor * proxy.old_latency_us_));
    }
    call.evidence_ = proxy.collector_->Begin(begin);
  }

  bool HasDefect(const Call& call) const {
    const base::Duration age = at_ - kNewEndpointsStart;
    const bool loaded =
        static_cast<double>(new_in_flight_) >= kLoadedFraction * in_flight_ &&
        new_in_flight_ > 4;
    switch (scenario_.defect_) {
      case Defect::kNone:
        return false;
      case Defect::kErrors:
      case Defect::kSlow:
        return true;
      case Defect::kErrorsUnderLoad:
      case Defect::kSlowUnderLoad:
        return loaded;
      case Defect::kErrorsOnOneRoute:
        return call.route_ == 1;
      case Defect::kErrorsLate:
      case Defect::kSlowLate:
        return age >= kLateDefectDelay;
    }
    return false;
  }

  void SimulateAnswer(Call& call) {
    double ms =
        kMedianMs * std::exp(kLatencySigma * std::normal_distribution<double>(
                                                 0.0, 1.0)(random_.Engine()));
    call.failed_ = random_.Unit() < kBaseFailureRate;
    call.cold_ = call.new_version_ && at_ - kNewEndpointsStart < kWarmUpTime;
    ms *= call.cold_ ? kWarmUpFactor : 1.0;
    call.bad_ = call.new_version_ && HasDefect(call) &&
                random_.Unit() < kDefectiveFraction;
    const bool slow = scenario_.defect_ == Defect::kSlow ||
                      scenario_.defect_ == Defect::kSlowUnderLoad ||
                      scenario_.defect_ == Defect::kSlowLate;
    if (call.bad_ && slow) {
      ms *= kSlowFactor;
    } else if (call.bad_) {
      call.failed_ = true;
    }
    if (IsDisturbed(Disturbance::kAllSlow)) {
      ms *= kCommonSlowFactor;
    }
    if (IsDisturbed(Disturbance::kAllFail) &&
        random_.Unit() < kCommonFailureRate) {
      call.failed_ = true;
    }
    double caller_wait_ms = kCallerTimeoutMs;
    if (IsDisturbed(Disturbance::kAnswersLost) &&
        random_.Unit() < kLostAnswerFraction) {
      ms = kCallerTimeoutMs;
    }
    if (IsDisturbed(Disturbance::kCallersLeave) &&
        random_.Unit() < kCancellingFraction) {
      caller_wait_ms = kCancelAfterMs;
    }
    call.caller_left_ = ms >= caller_wait_ms;
    call.latency_ = base::Duration(
        static_cast<int64_t>(std::min(ms, caller_wait_ms) * 1000.0));
  }

  void FinishCalls() {
    while (!running_.empty() && running_.begin()->first <= at_) {
      FinishCall(running_.begin()->second);
      running_.erase(running_.begin());
    }
  }

  void FinishCall(const Call& call) {
    --in_flight_;
    new_in_flight_ -= call.new_version_ ? 1 : 0;
    if (call.bad_ && ++bad_answers_ == kBadAnswerLimit) {
      bad_limit_at_ = at_;
    }
    ProxyModel& proxy = proxies_[call.proxy_];
    const config::ServicePtr service = VisibleToProxies();
    if (proxy.incarnation_ != call.proxy_incarnation_ || service == nullptr) {
      return;
    }
    RecordOutcome(call, *service, proxy);
  }

  // Mirrors the daemon's handling of evidence for outgoing calls.
  void RecordOutcome(const Call& call,
                     const rpc::ServiceState& service,
                     ProxyModel& proxy) {
    if (!call.evidence_) {
      return;
    }
    const base::Duration timeout(static_cast<int64_t>(kCallerTimeoutMs * 1000));
    rollout::CallOutcome outcome;
    outcome.ended_ = Mono();
    outcome.cold_ = call.cold_;
    outcome.end_ =
        call.failed_ ? rollout::CallEnd::kFailed : rollout::CallEnd::kAnswered;
    if (call.caller_left_ && call.cold_) {
      outcome.end_ = rollout::CallEnd::kIgnored;
    } else if (call.caller_left_) {
      outcome.end_ =
          rollout::ClassifyCancelledCall(call.latency_, call.latency_, timeout);
    }
    proxy.collector_->End(*call.evidence_, outcome);
    if (outcome.end_ == rollout::CallEnd::kUnanswered ||
        outcome.end_ == rollout::CallEnd::kIgnored) {
      return;
    }
    const bool failed = outcome.end_ == rollout::CallEnd::kFailed;
    if (!failed && !call.new_version_) {
      const double latency = static_cast<double>(call.latency_.count());
      proxy.old_latency_us_ +=
          proxy.old_latency_us_ == 0.0
              ? latency
              : kLatencyWeight * (latency - proxy.old_latency_us_);
    }
    if (request::MayBrake(service) &&
        proxy.brake_->RecordOutcome(service.move().step(), call.new_version_,
                                    failed)) {
      rpc::BrakeNotice notice;
      notice.set_service(kService);
      notice.set_version(kNewVersion);
      notice.set_step(service.move().step());
      brakes_.emplace_back(
          at_ + kReportDelay,
          std::make_pair("proxy-" + std::to_string(call.proxy_), notice));
    }
  }

  void SendReports() {
    if (at_.count() % kReportInterval.count() != 0) {
      return;
    }
    base::Duration time = kReportDelay;
    if (IsDisturbed(Disturbance::kReportsLate)) {
      time += seconds(2);
    }
    for (size_t i = 0; i < proxies_.size(); ++i) {
      ProxyModel& proxy = proxies_[i];
      rpc::Evidence report;
      report.set_origin("proxy-" + std::to_string(i));
      report.set_incarnation(proxy.incarnation_);
      report.set_sequence(++proxy.sequence_);
      for (rpc::RouteEvidence& route : proxy.collector_->TakeSums(Mono())) {
        *report.add_routes() = std::move(route);
      }
      if (!IsDisturbed(Disturbance::kReportsLost)) {
        reports_.emplace(at_ + time, std::move(report));
      }
    }
  }

  void DeliverReports() {
    while (!reports_.empty() && reports_.begin()->first <= at_) {
      controller_->OnEvidence(reports_.begin()->second);
      reports_.erase(reports_.begin());
    }
    while (!brakes_.empty() && brakes_.front().first <= at_) {
      if (!IsDisturbed(Disturbance::kReportsLost)) {
        controller_->OnBrake(brakes_.front().second.first,
                             brakes_.front().second.second);
      }
      brakes_.pop_front();
    }
  }

  void Decide() {
    for (const rpc::MoveStep& step :
         controller_->Tick(state_.Config(), present_, Mono(), Wall())) {
      rpc::Command command;
      *command.mutable_move_step() = step;
      Apply(command);
    }
    const config::ServicePtr service = state_.Config().Find(kService);
    if (service == nullptr) {
      return;
    }
    const rpc::MovePhase phase = service->move().phase();
    if (phase == rpc::MOVE_PHASE_DONE && !result_.done_) {
      result_.done_ = true;
      result_.done_in_time_ = at_ < kOrderTime + scenario_.time_to_deadline_;
    }
    result_.taken_back_ = phase == rpc::MOVE_PHASE_TAKEN_BACK;
  }

  const ExposureScenario scenario_;
  base::Random random_;
  base::Duration at_{0};
  std::vector<ProxyModel> proxies_;
  std::unique_ptr<rollout::MoveController> controller_;
  distribution::SourceState state_;
  ModelEndpointPresence present_;
  uint64_t index_ = 0;
  // States of the service with the time at which each began.
  std::deque<std::pair<base::Duration, config::ServicePtr>> history_;
  // Calls in flight by the time at which they end.
  std::multimap<base::Duration, Call> running_;
  std::multimap<base::Duration, rpc::Evidence> reports_;
  std::deque<
      std::pair<base::Duration, std::pair<std::string, rpc::BrakeNotice>>>
      brakes_;
  size_t next_restart_ = 0;
  int in_flight_ = 0;
  int new_in_flight_ = 0;
  uint64_t bad_answers_ = 0;
  base::Duration bad_limit_at_{0};
  base::Duration last_new_call_at_{0};
  ExposureResult result_;
};

}  // namespace

const char* NameOf(Defect defect) {
  switch (defect) {
    case Defect::kNone:
      return "good";
    case Defect::kErrors:
      return "errors";
    case Defect::kSlow:
      return "slow";
    case Defect::kErrorsUnderLoad:
      return "errors under load";
    case Defect::kSlowUnderLoad:
      return "slow under load";
    case Defect::kErrorsOnOneRoute:
      return "errors on one route";
    case Defect::kErrorsLate:
      return "errors late";
    case Defect::kSlowLate:
      return "slow late";
  }
  return "";
}

const char* NameOf(Disturbance disturbance) {
  switch (disturbance) {
    case Disturbance::kNone:
      return "no disturbance";
    case Disturbance::kClocksAhead:
      return "clocks ahead";
    case Disturbance::kClocksBack:
      return "clocks back";
    case Disturbance::kAllSlow:
      return "all endpoints slow";
    case Disturbance::kAllFail:
      return "all endpoints fail in part";
    case Disturbance::kAnswersLost:
      return "answers lost";
    case Disturbance::kReportsLost:
      return "reports lost";
    case Disturbance::kReportsLate:
      return "reports late";
    case Disturbance::kNewLeaders:
      return "new leaders";
    case Disturbance::kProxiesRestart:
      return "proxies restart";
    case Disturbance::kOrderResent:
      return "order resent";
    case Disturbance::kBurst:
      return "burst";
    case Disturbance::kCallersLeave:
      return "callers leave";
  }
  return "";
}

ExposureResult RunOrderedMove(const ExposureScenario& scenario) {
  return Model(scenario).Run();
}

std::ostream& operator<<(std::ostream& out, const ExposureScenario& scenario) {
  return out << NameOf(scenario.defect_) << ", "
             << NameOf(scenario.disturbance_) << ", seed " << scenario.seed_;
}

}  // namespace buckthorngate::tests
