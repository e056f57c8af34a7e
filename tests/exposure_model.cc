// Model of one ordered move.
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
constexpr char kOld[] = "v1";
constexpr char kNew[] = "v2";

constexpr base::Duration kTick = milliseconds(10);
constexpr base::Duration kReportInterval = milliseconds(250);
// From a proxy to the leader, by way of a relay.
constexpr base::Duration kReportTime = milliseconds(270);
constexpr base::Duration kStepTime = milliseconds(100);
constexpr base::Duration kOrderAt = seconds(2);
constexpr base::Duration kEndpointsAt = milliseconds(3500);
constexpr base::Duration kTroubleFrom = seconds(4);
constexpr base::Duration kTroubleFor = seconds(20);
constexpr base::Duration kAfterDeadline = seconds(12);
// A version is bad "late" from so long after its start.
constexpr base::Duration kLateFrom = seconds(3);
constexpr base::Duration kColdTime = seconds(3);

constexpr double kMedianMs = 130.0;
constexpr double kSigma = 0.35;
constexpr double kColdFactor = 2.0;
constexpr double kCallerDeadlineMs = 1200.0;
constexpr double kBaseFailures = 0.002;
constexpr double kBadPart = 0.5;
constexpr double kSlowFactor = 8.0;
constexpr double kCommonSlowFactor = 4.0;
constexpr double kCommonFailures = 0.3;
constexpr double kLostAnswers = 0.3;
constexpr double kSecondRoutePart = 0.3;
constexpr double kBurstFactor = 2.5;
constexpr double kLeaveMs = 250.0;
constexpr double kLeavingPart = 0.3;
// Part of all calls in flight from which on a version is under load.
constexpr double kLoadedPart = 0.35;
// As in the entry side of a daemon.
constexpr double kOverdueFactor = 3.0;
constexpr double kLatencyWeight = 0.1;
constexpr uint64_t kBadAnswers = 50;
constexpr base::WallTime kWallStart{milliseconds(1'800'000'000'000)};

struct ProxyModel {
  std::unique_ptr<rollout::Brake> brake_ = std::make_unique<rollout::Brake>();
  std::unique_ptr<rollout::EvidenceCollector> collector_ =
      std::make_unique<rollout::EvidenceCollector>();
  std::unique_ptr<rollout::ExposureCap> cap_ =
      std::make_unique<rollout::ExposureCap>();
  // Of calls to the old version.
  double usual_us_ = 0.0;
  uint64_t incarnation_ = 1;
  uint64_t sequence_ = 0;
};

struct Call {
  size_t proxy_ = 0;
  uint64_t proxy_incarnation_ = 0;
  int route_ = 0;
  bool new_ = false;
  bool failed_ = false;
  // The caller left, at its deadline or before.
  bool gone_ = false;
  bool bad_ = false;
  bool cold_ = false;
  // Of the step at which it began; none before the order was known.
  std::optional<uint64_t> evidence_;
  base::Duration latency_{0};
};

class Present : public rollout::EndpointPresence {
 public:
  bool HasEndpoints(const std::string&,
                    const std::string& version) const override {
    return version == kOld || new_;
  }
  bool new_ = false;
};

class Model {
 public:
  explicit Model(const ExposureScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed_),
        proxies_(static_cast<size_t>(scenario.proxies_)) {
    NewLeader();
  }

  ExposureResult Run() {
    const base::Duration deadline = kOrderAt + scenario_.time_;
    for (at_ = base::Duration(0); at_ < deadline + kAfterDeadline;
         at_ += kTick) {
      Orders();
      Disturb();
      present_.new_ = at_ >= kEndpointsAt;
      FinishCalls();
      StartCalls();
      SendReports();
      DeliverReports();
      Decide();
    }
    result_.after_bad_ = bad_at_.count() == 0
                             ? base::Duration(0)
                             : std::max(base::Duration(0), last_new_ - bad_at_);
    return result_;
  }

 private:
  bool InTrouble(Trouble trouble) const {
    return scenario_.trouble_ == trouble && at_ >= kTroubleFrom &&
           at_ < kTroubleFrom + kTroubleFor;
  }

  void NewLeader() {
    controller_ = std::make_unique<rollout::MoveController>(
        rollout::MakeMovePolicy(rollout::PolicyKind::kSequential));
  }

  base::MonoTime Mono() const {
    return base::MonoTime(std::chrono::hours(1)) + at_;
  }

  base::WallTime Wall() const {
    base::WallTime wall =
        kWallStart + std::chrono::duration_cast<milliseconds>(at_);
    if (InTrouble(Trouble::kClocksAhead)) {
      wall += seconds(10);
    } else if (InTrouble(Trouble::kClocksBack)) {
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

  void Orders() {
    const bool first = at_ == kOrderAt;
    const bool again =
        scenario_.trouble_ == Trouble::kOrderResent &&
        (at_ == kOrderAt + seconds(1) || at_ == kOrderAt + milliseconds(3500));
    if (!first && !again) {
      return;
    }
    rpc::Command command;
    rpc::MoveOrder& order = *command.mutable_move_order();
    order.set_service(kService);
    order.set_to(kNew);
    order.set_from(kOld);
    order.set_duration_ms(
        static_cast<uint32_t>(scenario_.time_ / milliseconds(1)));
    order.set_ordered_ms(base::ToUnixMs(Wall()));
    order.set_author("operator");
    Apply(command);
  }

  void Disturb() {
    const base::Duration since = at_ - kTroubleFrom;
    const bool third_second =
        since.count() >= 0 &&
        since.count() % base::Duration(seconds(3)).count() == 0;
    if (InTrouble(Trouble::kNewLeaders) && third_second) {
      NewLeader();
    }
    const bool half_second =
        since.count() >= 0 &&
        since.count() % base::Duration(milliseconds(500)).count() == 0;
    if (InTrouble(Trouble::kProxiesRestart) && half_second) {
      ProxyModel& proxy = proxies_[next_restart_++ % proxies_.size()];
      const uint64_t incarnation = proxy.incarnation_ + 1;
      proxy = ProxyModel();
      proxy.incarnation_ = incarnation;
    }
  }

  // What proxies know of the service: the state of a moment ago.
  config::ServicePtr Known() {
    while (history_.size() > 1 && history_[1].first + kStepTime <= at_) {
      history_.pop_front();
    }
    if (history_.empty() || history_.front().first + kStepTime > at_) {
      return nullptr;
    }
    return history_.front().second;
  }

  void StartCalls() {
    double rate = scenario_.calls_per_second_;
    if (InTrouble(Trouble::kBurst)) {
      rate *= kBurstFactor;
    }
    const double mean = rate * std::chrono::duration<double>(kTick).count();
    const int calls = std::poisson_distribution<int>(mean)(random_.Engine());
    const config::ServicePtr service = Known();
    for (int i = 0; i < calls; ++i) {
      StartCall(service);
    }
  }

  void StartCall(const config::ServicePtr& service) {
    Call call;
    call.proxy_ = random_.Below(proxies_.size());
    ProxyModel& proxy = proxies_[call.proxy_];
    call.proxy_incarnation_ = proxy.incarnation_;
    call.route_ = random_.Unit() < kSecondRoutePart ? 1 : 0;
    if (service != nullptr) {
      const std::string id = std::to_string(random_.Below(1'000'000'000));
      const rpc::Move& move = service->move();
      const bool spent = rollout::ExposureCapApplies(move) &&
                         !proxy.cap_->Allows(rollout::MoveId(move));
      const bool braked = spent || proxy.brake_->IsEngaged(move.step());
      call.new_ = present_.new_ &&
                  request::ChooseVersions(*service, id, braked).first_ == kNew;
    }
    Answer(call);
    Begin(call, service, proxy);
    ++in_flight_;
    new_in_flight_ += call.new_ ? 1 : 0;
    const base::Duration deadline = kOrderAt + scenario_.time_;
    if (at_ >= kOrderAt && at_ < deadline) {
      ++result_.calls_;
      result_.new_calls_ += call.new_ ? 1 : 0;
    }
    last_new_ = call.new_ ? at_ : last_new_;
    running_.emplace(at_ + call.latency_, call);
  }

  // As the entry side of a daemon does.
  void Begin(Call& call,
             const config::ServicePtr& service,
             ProxyModel& proxy) const {
    if (service == nullptr) {
      return;
    }
    const rpc::Move& move = service->move();
    proxy.cap_->Begin(rollout::MoveId(move), call.new_);
    rollout::CallBegin begin;
    begin.service_ = kService;
    begin.version_ = call.new_ ? kNew : kOld;
    begin.route_ = call.route_ == 0 ? "first" : "second";
    begin.step_ = move.step();
    begin.began_ = Mono();
    if (proxy.usual_us_ > 0.0 && !call.cold_) {
      begin.report_at_ = Mono() + base::Duration(static_cast<int64_t>(
                                      kOverdueFactor * proxy.usual_us_));
    }
    call.evidence_ = proxy.collector_->Begin(begin);
  }

  bool Bad(const Call& call) const {
    const base::Duration age = at_ - kEndpointsAt;
    const bool loaded =
        static_cast<double>(new_in_flight_) >= kLoadedPart * in_flight_ &&
        new_in_flight_ > 4;
    switch (scenario_.badness_) {
      case Badness::kNone:
        return false;
      case Badness::kErrors:
      case Badness::kSlow:
        return true;
      case Badness::kErrorsUnderLoad:
      case Badness::kSlowUnderLoad:
        return loaded;
      case Badness::kErrorsOnOneRoute:
        return call.route_ == 1;
      case Badness::kErrorsLate:
      case Badness::kSlowLate:
        return age >= kLateFrom;
    }
    return false;
  }

  void Answer(Call& call) {
    double ms = kMedianMs * std::exp(kSigma * std::normal_distribution<double>(
                                                  0.0, 1.0)(random_.Engine()));
    call.failed_ = random_.Unit() < kBaseFailures;
    call.cold_ = call.new_ && at_ - kEndpointsAt < kColdTime;
    ms *= call.cold_ ? kColdFactor : 1.0;
    call.bad_ = call.new_ && Bad(call) && random_.Unit() < kBadPart;
    const bool slow = scenario_.badness_ == Badness::kSlow ||
                      scenario_.badness_ == Badness::kSlowUnderLoad ||
                      scenario_.badness_ == Badness::kSlowLate;
    if (call.bad_ && slow) {
      ms *= kSlowFactor;
    } else if (call.bad_) {
      call.failed_ = true;
    }
    if (InTrouble(Trouble::kAllSlow)) {
      ms *= kCommonSlowFactor;
    }
    if (InTrouble(Trouble::kAllFail) && random_.Unit() < kCommonFailures) {
      call.failed_ = true;
    }
    double most_ms = kCallerDeadlineMs;
    if (InTrouble(Trouble::kAnswersLost) && random_.Unit() < kLostAnswers) {
      ms = kCallerDeadlineMs;
    }
    if (InTrouble(Trouble::kCallersLeave) && random_.Unit() < kLeavingPart) {
      most_ms = kLeaveMs;
    }
    call.gone_ = ms >= most_ms;
    call.latency_ =
        base::Duration(static_cast<int64_t>(std::min(ms, most_ms) * 1000.0));
  }

  void FinishCalls() {
    while (!running_.empty() && running_.begin()->first <= at_) {
      Finish(running_.begin()->second);
      running_.erase(running_.begin());
    }
  }

  void Finish(const Call& call) {
    --in_flight_;
    new_in_flight_ -= call.new_ ? 1 : 0;
    if (call.bad_ && ++bad_answers_ == kBadAnswers) {
      bad_at_ = at_;
    }
    ProxyModel& proxy = proxies_[call.proxy_];
    const config::ServicePtr service = Known();
    if (proxy.incarnation_ != call.proxy_incarnation_ || service == nullptr) {
      return;
    }
    Note(call, *service, proxy);
  }

  // As the entry side of a daemon does.
  void Note(const Call& call,
            const rpc::ServiceState& service,
            ProxyModel& proxy) {
    if (!call.evidence_) {
      return;
    }
    const base::Duration whole(static_cast<int64_t>(kCallerDeadlineMs * 1000));
    rollout::CallOutcome outcome;
    outcome.ended_ = Mono();
    outcome.cold_ = call.cold_;
    outcome.end_ =
        call.failed_ ? rollout::CallEnd::kFailed : rollout::CallEnd::kAnswered;
    if (call.gone_ && call.cold_) {
      outcome.end_ = rollout::CallEnd::kIgnored;
    } else if (call.gone_) {
      outcome.end_ =
          rollout::ClassifyCancelledCall(call.latency_, call.latency_, whole);
    }
    proxy.collector_->End(*call.evidence_, outcome);
    if (outcome.end_ == rollout::CallEnd::kUnanswered ||
        outcome.end_ == rollout::CallEnd::kIgnored) {
      return;
    }
    const bool failed = outcome.end_ == rollout::CallEnd::kFailed;
    if (!failed && !call.new_) {
      const double latency = static_cast<double>(call.latency_.count());
      proxy.usual_us_ += proxy.usual_us_ == 0.0
                             ? latency
                             : kLatencyWeight * (latency - proxy.usual_us_);
    }
    if (request::MayBrake(service) &&
        proxy.brake_->RecordOutcome(service.move().step(), call.new_, failed)) {
      rpc::BrakeNotice notice;
      notice.set_service(kService);
      notice.set_version(kNew);
      notice.set_step(service.move().step());
      brakes_.emplace_back(
          at_ + kReportTime,
          std::make_pair("proxy-" + std::to_string(call.proxy_), notice));
    }
  }

  void SendReports() {
    if (at_.count() % kReportInterval.count() != 0) {
      return;
    }
    base::Duration time = kReportTime;
    if (InTrouble(Trouble::kReportsLate)) {
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
      if (!InTrouble(Trouble::kReportsLost)) {
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
      if (!InTrouble(Trouble::kReportsLost)) {
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
      result_.done_in_time_ = at_ < kOrderAt + scenario_.time_;
    }
    result_.taken_back_ = phase == rpc::MOVE_PHASE_TAKEN_BACK;
  }

  const ExposureScenario scenario_;
  base::Random random_;
  base::Duration at_{0};
  std::vector<ProxyModel> proxies_;
  std::unique_ptr<rollout::MoveController> controller_;
  distribution::SourceState state_;
  Present present_;
  uint64_t index_ = 0;
  // States of the service, and when they began.
  std::deque<std::pair<base::Duration, config::ServicePtr>> history_;
  // Calls by the time of their end.
  std::multimap<base::Duration, Call> running_;
  std::multimap<base::Duration, rpc::Evidence> reports_;
  std::deque<
      std::pair<base::Duration, std::pair<std::string, rpc::BrakeNotice>>>
      brakes_;
  size_t next_restart_ = 0;
  int in_flight_ = 0;
  int new_in_flight_ = 0;
  uint64_t bad_answers_ = 0;
  base::Duration bad_at_{0};
  base::Duration last_new_{0};
  ExposureResult result_;
};

}  // namespace

const char* NameOf(Badness badness) {
  switch (badness) {
    case Badness::kNone:
      return "good";
    case Badness::kErrors:
      return "errors";
    case Badness::kSlow:
      return "slow";
    case Badness::kErrorsUnderLoad:
      return "errors under load";
    case Badness::kSlowUnderLoad:
      return "slow under load";
    case Badness::kErrorsOnOneRoute:
      return "errors on one route";
    case Badness::kErrorsLate:
      return "errors late";
    case Badness::kSlowLate:
      return "slow late";
  }
  return "";
}

const char* NameOf(Trouble trouble) {
  switch (trouble) {
    case Trouble::kNone:
      return "no trouble";
    case Trouble::kClocksAhead:
      return "clocks ahead";
    case Trouble::kClocksBack:
      return "clocks back";
    case Trouble::kAllSlow:
      return "all endpoints slow";
    case Trouble::kAllFail:
      return "all endpoints fail in part";
    case Trouble::kAnswersLost:
      return "answers lost";
    case Trouble::kReportsLost:
      return "reports lost";
    case Trouble::kReportsLate:
      return "reports late";
    case Trouble::kNewLeaders:
      return "new leaders";
    case Trouble::kProxiesRestart:
      return "proxies restart";
    case Trouble::kOrderResent:
      return "order resent";
    case Trouble::kBurst:
      return "burst";
    case Trouble::kCallersLeave:
      return "callers leave";
  }
  return "";
}

ExposureResult RunOrderedMove(const ExposureScenario& scenario) {
  return Model(scenario).Run();
}

std::ostream& operator<<(std::ostream& out, const ExposureScenario& scenario) {
  return out << NameOf(scenario.badness_) << ", " << NameOf(scenario.trouble_)
             << ", seed " << scenario.seed_;
}

}  // namespace buckthorngate::tests
