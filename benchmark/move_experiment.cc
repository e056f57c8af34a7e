// Experiment with moves.
#include "move_experiment.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <thread>

#include "base/random.h"
#include "config/config_state.h"
#include "rollout/brake.h"
#include "rollout/evidence.h"
#include "rollout/move_controller.h"

namespace buckthorngate::benchmark {
namespace {

using rollout::PolicyKind;

constexpr base::Duration kWindow = std::chrono::milliseconds(250);
// Reports pass two hops before the controller sees them.
constexpr size_t kReportWindows = 2;
constexpr base::Duration kBadnessBegins = std::chrono::seconds(60);
constexpr base::Duration kWatchAfterDone = std::chrono::seconds(90);
constexpr base::Duration kColdTime = std::chrono::seconds(10);
constexpr base::Duration kCrashOutage = std::chrono::seconds(3);
constexpr double kBaseFailures = 0.001;
constexpr double kMedianLatencyMs = 8.0;
constexpr double kLatencySigma = 0.5;
constexpr double kThinCallsPerSecond = 0.2;
constexpr double kSecondRouteShare = 0.3;
constexpr base::WallTime kWallStart{
    std::chrono::milliseconds(1'800'000'000'000)};

struct Outcome {
  bool failed_ = false;
  bool crashed_ = false;
  base::Duration latency_{0};
};

// How a version answers a call.
class StandInVersion {
 public:
  StandInVersion(VersionKind kind, bool is_new) : kind_(kind), new_(is_new) {}

  Outcome Call(int route,
               base::Duration since_start,
               uint32_t share,
               base::Random& random) {
    broken_ = broken_ || share >= rollout::kFullSharePermille;
    const double failures = FailureRate(route, since_start, share);
    const double slowdown = Slowdown(since_start);
    Outcome outcome;
    const bool down = since_start < down_until_;
    outcome.crashed_ =
        new_ && kind_ == VersionKind::kCrashes && !down && random.Unit() < 0.02;
    if (outcome.crashed_) {
      down_until_ = since_start + kCrashOutage;
    }
    outcome.failed_ = outcome.crashed_ || down || random.Unit() < failures;
    const double latency_ms =
        kMedianLatencyMs * slowdown *
        std::exp(kLatencySigma *
                 std::normal_distribution<double>(0.0, 1.0)(random.Engine()));
    outcome.latency_ =
        base::Duration(static_cast<int64_t>(latency_ms * 1000.0));
    return outcome;
  }

 private:
  double FailureRate(int route, base::Duration at, uint32_t share) const {
    // Trouble that is common to both versions.
    const bool common = kind_ == VersionKind::kGoodOldFails &&
                        at > std::chrono::seconds(10) &&
                        at < std::chrono::seconds(40);
    if (common) {
      return 0.15;
    }
    if (!new_) {
      return kBaseFailures;
    }
    switch (kind_) {
      case VersionKind::kFailsAtOnce:
        return 0.2;
      case VersionKind::kFailsLater:
        return at >= kBadnessBegins ? 0.2 : kBaseFailures;
      case VersionKind::kFailsAfterDone:
        return broken_ ? 0.2 : kBaseFailures;
      case VersionKind::kBadUnderLoad:
        return share >= 300 ? 0.15 : kBaseFailures;
      case VersionKind::kBadOnOneRoute:
        return route == 1 ? 0.2 : kBaseFailures;
      case VersionKind::kFailsRarely:
        return 0.01 + kBaseFailures;
      default:
        return kBaseFailures;
    }
  }

  double Slowdown(base::Duration at) const {
    if (!new_) {
      return 1.0;
    }
    switch (kind_) {
      case VersionKind::kSlowAtOnce:
        return 2.0;
      case VersionKind::kSlowLater:
        return at >= kBadnessBegins ? 2.0 : 1.0;
      case VersionKind::kGoodColdStart:
        return at < kColdTime ? 4.0 : 1.0;
      default:
        return 1.0;
    }
  }

  const VersionKind kind_;
  const bool new_;
  base::Duration down_until_{0};
  // Has had all traffic once.
  bool broken_ = false;
};

class AllPresent : public rollout::EndpointPresence {
 public:
  bool HasEndpoints(const std::string&, const std::string&) const override {
    return true;
  }
};

// One service with a move, its proxies and its controller.
class Simulation {
 public:
  Simulation(VersionKind kind,
             PolicyKind policy,
             const Deployment& deployment,
             uint64_t seed)
      : kind_(kind),
        deployment_(deployment),
        random_(seed),
        controller_(rollout::MakeMovePolicy(policy)),
        old_version_(kind, false),
        new_version_(kind, true) {
    for (int i = 0; i < deployment.proxies_; ++i) {
      brakes_.push_back(std::make_unique<rollout::Brake>());
    }
    calls_per_second_ = kind == VersionKind::kGoodThin
                            ? kThinCallsPerSecond
                            : deployment.calls_per_second_;
    Declare();
  }

  MoveResult Run() {
    MoveResult result;
    base::Duration done_at{0};
    base::Duration evidence_at{0};
    base::Duration last_new{0};
    const base::Duration end = deployment_.deadline_ + kWatchAfterDone;
    for (base::Duration at{0}; at < end; at += kWindow) {
      RunWindow(at);
      if (observed_ && evidence_at.count() == 0) {
        evidence_at = at + kWindow;
      }
      last_new = new_in_window_ > 0 ? at : last_new;
      Decide(at);
      const rpc::Move& move = Move();
      result.most_share_permille_ =
          std::max(result.most_share_permille_, move.share_permille());
      const bool done = move.phase() == rpc::MOVE_PHASE_DONE;
      if (done && done_at.count() == 0) {
        done_at = at;
        result.done_in_time_ = at <= deployment_.deadline_;
      }
      if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK) {
        result.taken_back_ = true;
        result.done_in_time_ = false;
        if (evidence_at.count() != 0) {
          result.after_evidence_ =
              std::max(base::Duration(0), last_new + kWindow - evidence_at);
        }
        break;
      }
      if (done && at - done_at > kWatchAfterDone) {
        break;
      }
    }
    result.exposure_ = calls_ == 0 ? 0.0
                                   : static_cast<double>(new_calls_) /
                                         static_cast<double>(calls_);
    return result;
  }

 private:
  static constexpr char kService[] = "service";

  void Declare() {
    rpc::ServiceState state;
    state.mutable_service()->set_name(kService);
    rpc::Move& move = *state.mutable_move();
    move.set_service(kService);
    move.set_from("v1");
    move.set_to("v2");
    move.set_unproven_share_permille(50);
    move.set_declared_ms(base::ToUnixMs(kWallStart));
    move.set_deadline_ms(base::ToUnixMs(
        kWallStart + std::chrono::duration_cast<std::chrono::milliseconds>(
                         deployment_.deadline_)));
    state.mutable_service()->set_version("v1");
    config_.Put(std::move(state));
    config_.SetRevision(1);
  }

  const rpc::Move& Move() const { return config_.Find(kService)->move(); }

  void RunWindow(base::Duration at) {
    const rpc::Move move = Move();
    const double mean =
        calls_per_second_ * std::chrono::duration<double>(kWindow).count();
    const int calls = std::poisson_distribution<int>(mean)(random_.Engine());
    std::array<rpc::RouteEvidence, 4> sums;
    new_in_window_ = 0;
    for (int i = 0; i < calls; ++i) {
      const int route = random_.Unit() < kSecondRouteShare ? 1 : 0;
      rollout::Brake& brake = *brakes_[random_.Below(brakes_.size())];
      const bool is_new = !brake.IsEngaged(move.step()) &&
                          random_.Below(1000) < move.share_permille();
      const Outcome outcome =
          (is_new ? new_version_ : old_version_)
              .Call(route, at, move.share_permille(), random_);
      Count(outcome, is_new, route, at, sums);
      const bool has_share = move.share_permille() > 0;
      if (has_share &&
          brake.RecordOutcome(move.step(), is_new, outcome.failed_)) {
        rpc::BrakeNotice notice;
        notice.set_service(kService);
        notice.set_version("v2");
        notice.set_step(move.step());
        notices_.push_back({std::to_string(random_.Below(1'000'000)), notice});
      }
    }
    Report(sums);
  }

  void Count(const Outcome& outcome,
             bool is_new,
             int route,
             base::Duration at,
             std::array<rpc::RouteEvidence, 4>& sums) {
    rpc::RouteEvidence& sum =
        sums.at(static_cast<size_t>(route) * 2 + (is_new ? 1 : 0));
    sum.set_service(kService);
    sum.set_version(is_new ? "v2" : "v1");
    sum.set_route(route == 0 ? "first" : "second");
    sum.set_calls(sum.calls() + 1);
    sum.set_failures(sum.failures() + (outcome.failed_ ? 1 : 0));
    sum.set_crashes(sum.crashes() + (outcome.crashed_ ? 1 : 0));
    const bool cold = is_new && at < kColdTime;
    if (!outcome.failed_ && !cold) {
      const int bucket =
          static_cast<int>(rollout::LatencyBucket(outcome.latency_));
      while (sum.latency_buckets_size() <= bucket) {
        sum.add_latency_buckets(0);
      }
      sum.set_latency_buckets(bucket, sum.latency_buckets(bucket) + 1);
    }
    const bool moving = Move().share_permille() > 0;
    calls_ += moving ? 1 : 0;
    new_calls_ += is_new ? 1 : 0;
    new_in_window_ += is_new ? 1 : 0;
  }

  void Report(const std::array<rpc::RouteEvidence, 4>& sums) {
    rpc::Evidence report;
    report.set_origin("zone");
    report.set_incarnation(1);
    report.set_sequence(++sequence_);
    for (const rpc::RouteEvidence& sum : sums) {
      if (sum.calls() > 0) {
        *report.add_routes() = sum;
      }
    }
    Observe(sums);
    reports_.push_back(std::move(report));
    if (reports_.size() > kReportWindows) {
      controller_.OnEvidence(reports_.front());
      reports_.pop_front();
    }
  }

  // The same test on the calls as they happen, without any hop.
  void Observe(const std::array<rpc::RouteEvidence, 4>& sums) {
    for (size_t route = 0; route < observers_.size(); ++route) {
      observers_[route].Add(sums[route * 2 + 1], sums[route * 2]);
      observed_ = observed_ || observers_[route].Harmful();
    }
  }

  void Decide(base::Duration at) {
    for (const auto& [proxy, notice] : notices_) {
      controller_.OnBrake(proxy, notice);
    }
    notices_.clear();
    const base::MonoTime now(std::chrono::hours(1) + at);
    const base::WallTime wall =
        kWallStart + std::chrono::duration_cast<std::chrono::milliseconds>(at);
    for (const rpc::MoveStep& step :
         controller_.Tick(config_, presence_, now, wall)) {
      rpc::ServiceState state = *config_.Find(kService);
      rpc::Move& move = *state.mutable_move();
      move.set_phase(step.phase());
      move.set_share_permille(step.share_permille());
      move.set_watch_open(step.watch_open());
      move.set_step(move.step() + 1);
      config_.Put(std::move(state));
    }
  }

  const VersionKind kind_;
  const Deployment deployment_;
  base::Random random_;
  rollout::MoveController controller_;
  StandInVersion old_version_;
  StandInVersion new_version_;
  AllPresent presence_;
  config::ConfigState config_;
  std::vector<std::unique_ptr<rollout::Brake>> brakes_;
  std::deque<rpc::Evidence> reports_;
  std::vector<std::pair<std::string, rpc::BrakeNotice>> notices_;
  double calls_per_second_ = 0.0;
  uint64_t sequence_ = 0;
  uint64_t calls_ = 0;
  uint64_t new_calls_ = 0;
  int new_in_window_ = 0;
  std::array<rollout::HarmTest, 2> observers_;
  bool observed_ = false;
};

}  // namespace

const char* NameOf(VersionKind kind) {
  switch (kind) {
    case VersionKind::kGood:
      return "good";
    case VersionKind::kGoodThin:
      return "good_thin_traffic";
    case VersionKind::kGoodOldFails:
      return "good_old_fails_too";
    case VersionKind::kGoodColdStart:
      return "good_cold_start";
    case VersionKind::kFailsAtOnce:
      return "fails_at_once";
    case VersionKind::kFailsLater:
      return "fails_later";
    case VersionKind::kFailsAfterDone:
      return "fails_after_done";
    case VersionKind::kSlowAtOnce:
      return "slow_at_once";
    case VersionKind::kSlowLater:
      return "slow_later";
    case VersionKind::kBadUnderLoad:
      return "bad_under_load";
    case VersionKind::kBadOnOneRoute:
      return "bad_on_one_route";
    case VersionKind::kFailsRarely:
      return "fails_rarely";
    case VersionKind::kCrashes:
      return "crashes";
  }
  return "";
}

const char* NameOf(PolicyKind policy) {
  switch (policy) {
    case PolicyKind::kTimer:
      return "timer";
    case PolicyKind::kThreshold:
      return "threshold";
    case PolicyKind::kSequential:
      return "sequential";
  }
  return "";
}

bool IsGood(VersionKind kind) {
  return kind == VersionKind::kGood || kind == VersionKind::kGoodThin ||
         kind == VersionKind::kGoodOldFails ||
         kind == VersionKind::kGoodColdStart;
}

bool IsVisiblyBad(VersionKind kind) {
  return !IsGood(kind) && kind != VersionKind::kFailsRarely;
}

bool IsBadFromTheStart(VersionKind kind) {
  return kind == VersionKind::kFailsAtOnce ||
         kind == VersionKind::kSlowAtOnce ||
         kind == VersionKind::kBadOnOneRoute || kind == VersionKind::kCrashes;
}

std::vector<Deployment> Deployments() {
  return {{"kartuli", 100.0, 15, std::chrono::seconds(300)},
          {"merrimack", 40.0, 11, std::chrono::seconds(600)}};
}

MoveResult RunMove(VersionKind kind,
                   PolicyKind policy,
                   const Deployment& deployment,
                   uint64_t seed) {
  return Simulation(kind, policy, deployment, seed).Run();
}

std::vector<MoveSummary> RunExperiment(
    int seeds,
    const std::vector<PolicyKind>& policies) {
  std::vector<MoveSummary> summaries;
  for (const PolicyKind policy : policies) {
    for (const Deployment& deployment : Deployments()) {
      for (const VersionKind kind : kAllKinds) {
        MoveSummary& summary = summaries.emplace_back();
        summary.kind_ = kind;
        summary.policy_ = policy;
        summary.deployment_ = deployment.name_;
      }
    }
  }
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (size_t i = next++; i < summaries.size(); i = next++) {
      MoveSummary& summary = summaries[i];
      for (const Deployment& deployment : Deployments()) {
        if (deployment.name_ != summary.deployment_) {
          continue;
        }
        for (int seed = 1; seed <= seeds; ++seed) {
          const MoveResult result =
              RunMove(summary.kind_, summary.policy_, deployment,
                      static_cast<uint64_t>(seed));
          ++summary.runs_;
          summary.done_in_time_ += result.done_in_time_ ? 1 : 0;
          summary.taken_back_ += result.taken_back_ ? 1 : 0;
          summary.mean_exposure_ += result.exposure_ / seeds;
          summary.most_exposure_ =
              std::max(summary.most_exposure_, result.exposure_);
          summary.most_share_permille_ = std::max(summary.most_share_permille_,
                                                  result.most_share_permille_);
          summary.most_after_evidence_ =
              std::max(summary.most_after_evidence_, result.after_evidence_);
        }
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency());
       ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return summaries;
}

}  // namespace buckthorngate::benchmark
