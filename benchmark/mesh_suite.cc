// The control path on virtual time. All figures repeat exactly.
#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "call_tree_model.h"
#include "move_experiment.h"
#include "suites.h"
#include "test_mesh.h"

namespace buckthorngate::benchmark {
namespace {

using tests::TestMesh;

constexpr double kChangesPerDay = 14'000.0;
constexpr double kSecondsPerDay = 86'400.0;
constexpr double kConvergenceBoundS = 12.0;
constexpr double kControlBytesBound = 7.0 * 1024.0;
constexpr double kAmplificationBound = 1.2;
constexpr int kTreeDepth = 30;

// Five regions: delays up to that between far ones.
tests::NetworkFaults Wan() {
  tests::NetworkFaults faults;
  faults.min_delay_ = std::chrono::milliseconds(1);
  faults.max_delay_ = std::chrono::milliseconds(80);
  return faults;
}

struct Size {
  int zones_ = 0;
  int proxies_ = 0;
  int services_ = 0;
};

// A mesh with a published configuration; publishes single changes.
class BenchMesh {
 public:
  BenchMesh(const Size& size, uint64_t seed) : mesh_(seed), size_(size) {
    mesh_.AddSources(5);
    for (int zone = 1; zone <= size.zones_; ++zone) {
      mesh_.AddRelay("relay-" + std::to_string(zone),
                     "zone-" + std::to_string(zone));
    }
    for (int i = 0; i < size.proxies_; ++i) {
      const int zone = i % size.zones_ + 1;
      mesh_.AddProxy("proxy-" + std::to_string(i),
                     "zone-" + std::to_string(zone));
    }
    for (int i = 0; i < size.services_; ++i) {
      services_.push_back(tests::MakeService("service-" + std::to_string(i)));
    }
    mesh_.Net().SetFaults(Wan());
    mesh_.AwaitLeader();
    mesh_.Net().Run(std::chrono::seconds(4));
    AwaitInForce(PublishChange());
  }

  TestMesh& Mesh() { return mesh_; }

  // Publishes one changed service until it is accepted; returns the revision.
  uint64_t PublishChange() {
    ++number_;
    services_[number_ % services_.size()].set_retry_percent(number_ % 18);
    const rpc::Publication publication =
        tests::MakePublication(number_, services_);
    while (true) {
      const rpc::PublishReply reply = mesh_.Publish(publication);
      if (reply.result_code() == 0) {
        return reply.revision();
      }
      mesh_.Net().Run(std::chrono::milliseconds(50));
    }
  }

  bool InForce(uint64_t revision) {
    const std::vector<std::string>& ids = mesh_.ProxyIds();
    return std::all_of(ids.begin(), ids.end(), [&](const std::string& id) {
      return mesh_.Alive(id) && mesh_.Proxy(id).MayServe() &&
             mesh_.Proxy(id).Config().Revision() >= revision;
    });
  }

  double AwaitInForce(uint64_t revision) {
    base::Duration waited{0};
    while (!InForce(revision) && waited < std::chrono::seconds(60)) {
      mesh_.Net().Run(std::chrono::milliseconds(10));
      waited += std::chrono::milliseconds(10);
    }
    return std::chrono::duration<double>(waited).count();
  }

  uint64_t ProxyBytes() {
    uint64_t bytes = 0;
    for (const std::string& id : mesh_.ProxyIds()) {
      bytes += mesh_.Proxy(id).BytesIn() + mesh_.Proxy(id).BytesOut();
    }
    return bytes;
  }

  // Bytes per second and proxy over `length`, with changes at `per_second`.
  double MeasureBytes(base::Duration length, double per_second) {
    const uint64_t before = ProxyBytes();
    const double seconds = std::chrono::duration<double>(length).count();
    const int changes = static_cast<int>(seconds * per_second);
    const base::Duration gap = changes == 0 ? length : length / changes;
    for (int i = 0; i < std::max(changes, 1); ++i) {
      if (changes > 0) {
        PublishChange();
      }
      mesh_.Net().Run(gap);
    }
    return static_cast<double>(ProxyBytes() - before) / seconds /
           size_.proxies_;
  }

 private:
  TestMesh mesh_;
  const Size size_;
  std::vector<rpc::Service> services_;
  uint64_t number_ = 0;
};

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const size_t index = static_cast<size_t>(
      std::lround(quantile * static_cast<double>(values.size() - 1)));
  return values[index];
}

void Convergence(bool quick, Report& report) {
  const Size size = {14, quick ? 56 : 280, quick ? 100 : 400};
  BenchMesh bench(size, 1);
  std::vector<double> seconds;
  seconds.reserve(100);
  for (int i = 0; i < (quick ? 20 : 100); ++i) {
    seconds.push_back(bench.AwaitInForce(bench.PublishChange()));
  }
  report.Add(Metric{"convergence_p99_s", Quantile(seconds, 0.99), "s",
                    kConvergenceBoundS, Better::kLower});
  // The leader is lost right before each change.
  double worst = Quantile(seconds, 1.0);
  for (int i = 0; i < 3; ++i) {
    const std::string leader = bench.Mesh().Leader();
    bench.Mesh().Crash(leader);
    const base::MonoTime begin = bench.Mesh().Net().Now().mono_;
    bench.AwaitInForce(bench.PublishChange());
    worst = std::max(worst, std::chrono::duration<double>(
                                bench.Mesh().Net().Now().mono_ - begin)
                                .count());
    bench.Mesh().Restart(leader);
    bench.Mesh().Net().Run(std::chrono::seconds(3));
  }
  // A change in the middle of the reconnect herd of all proxies.
  const std::vector<std::string> proxies = bench.Mesh().ProxyIds();
  for (const std::string& id : proxies) {
    bench.Mesh().Crash(id);
    bench.Mesh().LoseDisk(id);
    bench.Mesh().Restart(id);
  }
  const double herd = bench.AwaitInForce(bench.PublishChange());
  report.Add(Metric{"convergence_max_s", std::max(worst, herd), "s",
                    kConvergenceBoundS, Better::kLower});
}

// All proxies of one zone at its target size restart at once.
void Herd(bool quick, Report& report) {
  Slope slope{"herd_recovery", "proxies of a zone", "s", {}};
  const std::vector<int> sizes =
      quick ? std::vector<int>{50, 100, 200} : std::vector<int>{100, 300, 786};
  for (const int proxies : sizes) {
    BenchMesh bench({1, proxies, 50}, 2);
    for (const std::string& id : bench.Mesh().ProxyIds()) {
      bench.Mesh().Crash(id);
      bench.Mesh().LoseDisk(id);
    }
    for (const std::string& id : bench.Mesh().ProxyIds()) {
      bench.Mesh().Restart(id);
    }
    slope.points_.emplace_back(proxies, bench.AwaitInForce(1));
  }
  report.Add(Metric{"herd_recovery_s", slope.points_.back().second, "s",
                    kConvergenceBoundS, Better::kLower});
  report.Add(std::move(slope));
}

void ControlBytes(bool quick, Report& report) {
  const base::Duration length =
      quick ? std::chrono::seconds(60) : std::chrono::seconds(300);
  const int services = quick ? 100 : 1400;
  Slope slope{"control_bytes", "services", "B/s per daemon", {}};
  for (const int size : {services / 14, services / 4, services}) {
    BenchMesh bench({2, 10, std::max(size, 10)}, 3);
    slope.points_.emplace_back(
        size, bench.MeasureBytes(length, kChangesPerDay / kSecondsPerDay));
  }
  BenchMesh idle({2, 10, services}, 3);
  report.Add(Metric{"control_bytes_idle", idle.MeasureBytes(length, 0.0),
                    "B/s per daemon", kControlBytesBound, Better::kLower});
  report.Add(Metric{"control_bytes_per_s_per_daemon",
                    slope.points_.back().second, "B/s per daemon",
                    kControlBytesBound, Better::kLower});
  report.Add(std::move(slope));
  // Baseline: a full snapshot for each change.
  rpc::Envelope snapshot;
  *snapshot.mutable_snapshot() =
      idle.Mesh().Proxy("proxy-0").Config().ToSnapshot();
  report.Add(Metric{"baseline_full_snapshot_push",
                    static_cast<double>(snapshot.ByteSizeLong()) *
                        kChangesPerDay / kSecondsPerDay,
                    "B/s per daemon", std::nullopt, Better::kLower});
}

void Retries(bool quick, Report& report) {
  const int calls = quick ? 20'000 : 100'000;
  double worst = 0.0;
  for (const double rate : {0.05, 0.2, 0.5}) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      CallTreeModel model(kTreeDepth, rate, seed, RetryMode::kBudgeted);
      for (int i = 0; i < calls; ++i) {
        model.Wait(std::chrono::milliseconds(1));
        model.Call(0, false);
      }
      worst = std::max(worst, model.Amplification());
    }
  }
  report.Add(Metric{"retry_amplification", worst, "sends per first try",
                    kAmplificationBound, Better::kLower});
  // Baseline: each level sends again once, whatever happens below it.
  CallTreeModel naive(kTreeDepth, 0.5, 1, RetryMode::kNaive);
  int tries = 0;
  while (naive.Sent() < 5'000'000 && tries < calls / 100) {
    naive.Call(0, false);
    ++tries;
  }
  report.Add(Metric{"baseline_naive_retries",
                    static_cast<double>(naive.Sent()) / tries, "sends per call",
                    std::nullopt, Better::kLower});
}

void Moves(bool quick, Report& report) {
  const std::vector<MoveSummary> summaries =
      RunExperiment(quick ? 20 : 200, {rollout::PolicyKind::kSequential});
  double good = 0;
  double in_time = 0;
  double wrongly_back = 0;
  double bad = 0;
  double bad_back = 0;
  double exposure = 0.0;
  base::Duration after{0};
  for (const MoveSummary& summary : summaries) {
    if (IsGood(summary.kind_)) {
      good += summary.runs_;
      in_time += summary.done_in_time_;
      wrongly_back += summary.taken_back_;
    }
    if (IsVisiblyBad(summary.kind_)) {
      bad += summary.runs_;
      bad_back += summary.taken_back_;
      after = std::max(after, summary.most_after_evidence_);
    }
    if (IsBadFromTheStart(summary.kind_)) {
      exposure = std::max(exposure, summary.most_exposure_);
    }
  }
  report.Add(Metric{"moves_good_in_time_percent", 100.0 * in_time / good, "%",
                    99.5, Better::kHigher});
  report.Add(Metric{"moves_good_taken_back_percent",
                    100.0 * wrongly_back / good, "%", 0.5, Better::kLower});
  report.Add(Metric{"moves_bad_taken_back_percent", 100.0 * bad_back / bad, "%",
                    100.0, Better::kHigher});
  report.Add(Metric{"moves_bad_exposure_percent", 100.0 * exposure, "%", 5.0,
                    Better::kLower});
  report.Add(Metric{"moves_stop_after_evidence_s",
                    std::chrono::duration<double>(after).count(), "s", 3.0,
                    Better::kLower});
}

}  // namespace

void RunMesh(bool quick, Report& report) {
  Convergence(quick, report);
  Herd(quick, report);
  ControlBytes(quick, report);
  Retries(quick, report);
  Moves(quick, report);
}

}  // namespace buckthorngate::benchmark
