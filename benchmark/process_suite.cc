// The project's own processes on loopback.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <unistd.h>

#include "buckthorngate/control_client.h"
#include "config/check.h"
#include "load.h"
#include "process_harness.h"
#include "registry/endpoint_registry.h"
#include "request/mesh_view.h"
#include "suites.h"
#include "test_mesh.h"

namespace buckthorngate::benchmark {
namespace {

using tests::ProcessMesh;

constexpr double kAddedLatencyBoundMs = 1.1;
constexpr double kTargetCallsPerSecond = 340.0;
constexpr double kGoodputBound = 0.9;
constexpr double kDrainBoundS = 2.0;
constexpr double kCpuBoundPercent = 2.3;
constexpr double kRssBoundMb = 64.0;
constexpr double kConvergenceBoundS = 12.0;
constexpr int kTargetServices = 1400;
constexpr int kTargetEndpoints = 11'000;
constexpr double kMegabyte = 1024.0 * 1024.0;

constexpr char kService[] = R"(service = "shop"
versions = ["v1"]
version = "v1"
[[route]]
name = "read"
path = "/shop"
methods = ["GET"]
timeout_ms = 3000
repeatable = true
[[route]]
name = "write"
path = "/shop"
methods = ["POST"]
timeout_ms = 5000
[[route]]
name = "pay"
path = "/shop/pay"
methods = ["POST"]
timeout_ms = 3000
at_most_once = true
)";

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// One zone; the upstream stands beside proxy 1, callers enter at proxy 2.
void AddedLatency(bool quick, Report& report) {
  ProcessMesh mesh(1, 2);
  mesh.StartAll();
  const std::string upstream = mesh.StartUpstream("proxy-1-1", "shop");
  mesh.Publish(1, kService);
  mesh.AwaitServed("/shop/x");
  LoadOptions load;
  load.path_ = "/shop/x";
  load.length_ = quick ? std::chrono::seconds(5) : std::chrono::seconds(15);
  Slope knee{"added_latency_p99", "calls per second", "ms", {}};
  const std::vector<double> rates =
      quick
          ? std::vector<double>{kTargetCallsPerSecond, 1000.0}
          : std::vector<double>{kTargetCallsPerSecond, 1000.0, 2000.0, 4000.0};
  for (const double rate : rates) {
    load.calls_per_second_ = rate;
    load.connections_ = 16;
    load.ports_ = {mesh.UpstreamPort(upstream)};
    RunLoad(load);  // Warm-up of connections and caches.
    const LoadResult direct = RunLoad(load);
    load.ports_ = {mesh.Ports("proxy-1-2").callers_};
    const LoadResult through = RunLoad(load);
    const auto added = [&](double quantile) {
      return (through.Quantile(quantile) - direct.Quantile(quantile)) / 1000.0;
    };
    knee.points_.emplace_back(rate, added(0.99));
    if (rate == kTargetCallsPerSecond) {
      report.Add(Metric{"added_latency_p50_ms", added(0.5), "ms", std::nullopt,
                        Better::kLower});
      report.Add(Metric{"added_latency_p99_ms", added(0.99), "ms",
                        kAddedLatencyBoundMs, Better::kLower});
      report.Add(Metric{"added_latency_p999_ms", added(0.999), "ms",
                        std::nullopt, Better::kLower});
    }
  }
  report.Add(std::move(knee));
}

void Goodput(bool quick, Report& report) {
  ProcessMesh mesh(1, 2);
  mesh.StartAll();
  // 20 slots of 50 ms each: 400 calls per second.
  mesh.StartUpstream("proxy-1-1", "shop", "v1", {"--work-us", "50000"});
  mesh.Publish(1, kService);
  mesh.AwaitServed("/shop/x");
  constexpr double kCapacity = 400.0;
  LoadOptions load;
  load.path_ = "/shop/x";
  load.ports_ = {mesh.Ports("proxy-1-2").callers_};
  load.connections_ = 200;
  load.length_ = quick ? std::chrono::seconds(4) : std::chrono::seconds(12);
  load.timeout_ = std::chrono::seconds(3);
  std::map<int, double> goodput;
  for (const int times : {1, 2, 4}) {
    load.calls_per_second_ = kCapacity * times;
    const LoadResult result = RunLoad(load);
    goodput[times] = static_cast<double>(result.ok_) /
                     std::chrono::duration<double>(load.length_).count();
    report.Add(Metric{"goodput_" + std::to_string(times) + "x", goodput[times],
                      "calls/s", std::nullopt, Better::kHigher});
  }
  report.Add(Metric{"goodput_ratio_4x", goodput[4] / goodput[1], "ratio",
                    kGoodputBound, Better::kHigher});
}

void Drain(Report& report) {
  ProcessMesh mesh(1, 2);
  mesh.StartAll();
  const std::string leaving = mesh.StartUpstream("proxy-1-1", "shop");
  mesh.StartUpstream("proxy-1-2", "shop");
  mesh.Publish(1, kService);
  mesh.AwaitServed("/shop/x");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const std::string address =
      "127.0.0.1:" + std::to_string(mesh.UpstreamPort(leaving));
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::chrono::steady_clock::time_point last;
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        const std::chrono::steady_clock::time_point begin =
            std::chrono::steady_clock::now();
        const tests::HttpAnswer answer = mesh.Call(
            mesh.Proxies()[static_cast<size_t>(i) % 2], "GET", "/shop/x");
        if (answer.body_.find(address) != std::string::npos) {
          const std::lock_guard<std::mutex> lock(mutex);
          last = std::max(last, begin);
        }
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const std::chrono::steady_clock::time_point drained =
      std::chrono::steady_clock::now();
  mesh.Signal(leaving, SIGTERM);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  report.Add(Metric{"drain_to_last_new_work_s",
                    std::max(0.0, Seconds(last - drained)), "s", kDrainBoundS,
                    Better::kLower});
}

// Freezes proxies and kills control hosts in turn, until it is stopped.
class FaultInjector {
 public:
  explicit FaultInjector(ProcessMesh& mesh)
      : mesh_(mesh), thread_([this] { Run(); }) {}

  void Stop() {
    stop_ = true;
    thread_.join();
  }

 private:
  void Run() {
    for (int round = 0; !stop_; ++round) {
      const std::string& proxy =
          mesh_.Proxies()[static_cast<size_t>(round) % 3];
      const std::string control = "control-" + std::to_string(round % 3 + 1);
      std::this_thread::sleep_for(std::chrono::milliseconds(700));
      mesh_.Freeze(proxy);
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      mesh_.Signal(proxy, SIGCONT);
      std::this_thread::sleep_for(std::chrono::milliseconds(700));
      mesh_.Kill(control);
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      mesh_.Start(control);
    }
  }

  ProcessMesh& mesh_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Lines of the file that stand in it more than once.
int CountRepeated(const std::string& file) {
  std::ifstream stream(file);
  std::set<std::string> seen;
  int repeated = 0;
  for (std::string line; std::getline(stream, line);) {
    repeated += seen.insert(line).second ? 0 : 1;
  }
  return repeated;
}

// Payments and echoes through three daemons while processes are frozen and
// killed; each run of a payment is recorded by the stand-in.
void Faults(bool quick, Report& report) {
  ProcessMesh mesh(3, 1);
  mesh.StartAll();
  const std::string record = mesh.Folder() + "/runs";
  for (const std::string& proxy : mesh.Proxies()) {
    mesh.StartUpstream(proxy, "shop", "v1", {"--record", record});
  }
  mesh.Publish(1, kService);
  mesh.AwaitServed("/shop/x");
  ProcessMesh::Await([&mesh] {
    return mesh.Call("proxy-1-1", "POST", "/shop/pay", "x",
                     {{"Idempotency-Key", "warm-up"}})
               .status_ == 200;
  });
  LoadOptions pay;
  pay.method_ = "POST";
  pay.path_ = "/shop/pay";
  pay.connections_ = 64;
  pay.calls_per_second_ = 5000.0;
  pay.length_ = std::chrono::seconds(4);
  for (const std::string& proxy : mesh.Proxies()) {
    pay.ports_.push_back(mesh.Ports(proxy).callers_);
  }
  pay.body_of_ = [](uint64_t) { return std::string("amount=5"); };
  pay.headers_ = [](uint64_t i) {
    return std::multimap<std::string, std::string>{
        {"Idempotency-Key", "speed-" + std::to_string(i)}};
  };
  std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  const LoadResult claims = RunLoad(pay);
  report.Add(Metric{"claims_per_s",
                    static_cast<double>(claims.ok_) /
                        Seconds(std::chrono::steady_clock::now() - begin),
                    "1/s", std::nullopt, Better::kHigher});
  // Each key is sent about three times, through different daemons.
  pay.calls_per_second_ = 400.0;
  pay.length_ = quick ? std::chrono::seconds(8) : std::chrono::seconds(50);
  pay.headers_ = [](uint64_t i) {
    return std::multimap<std::string, std::string>{
        {"Idempotency-Key", "key-" + std::to_string(i / 3)}};
  };
  LoadOptions echo;
  echo.method_ = "POST";
  echo.path_ = "/shop/echo";
  echo.ports_ = pay.ports_;
  echo.connections_ = 32;
  echo.calls_per_second_ = quick ? 600.0 : 1800.0;
  echo.length_ = pay.length_;
  echo.expect_echo_ = true;
  echo.body_of_ = [](uint64_t i) {
    return "body " + std::to_string(i) + std::string(i % 3000, '.');
  };
  FaultInjector faults(mesh);
  LoadResult echoed;
  std::thread echoes([&] { echoed = RunLoad(echo); });
  const LoadResult paid = RunLoad(pay);
  echoes.join();
  faults.Stop();
  report.Add(Metric{"requests_run_twice",
                    static_cast<double>(CountRepeated(record)), "requests", 0.0,
                    Better::kLower});
  report.Add(Metric{"answers_cut_or_crossed",
                    static_cast<double>(echoed.crossed_), "answers", 0.0,
                    Better::kLower});
  report.Add(Metric{"calls_with_faults",
                    static_cast<double>(echoed.sent_ + paid.sent_), "calls",
                    std::nullopt, Better::kHigher});
  report.Add(Metric{"calls_with_faults_answered",
                    100.0 * static_cast<double>(echoed.ok_ + paid.ok_) /
                        static_cast<double>(echoed.sent_ + paid.sent_),
                    "%", std::nullopt, Better::kHigher});
}

// Memory of the registry and view of the target's endpoints, beyond what a
// daemon holds otherwise.
double EndpointMemoryMb() {
  const auto resident = [] {
    std::ifstream file("/proc/self/statm");
    double whole = 0.0;
    double pages = 0.0;
    file >> whole >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMegabyte;
  };
  const double before = resident();
  registry::EndpointRegistry registry;
  for (int i = 0; i < kTargetEndpoints; ++i) {
    rpc::Endpoint endpoint;
    endpoint.set_host("host-" + std::to_string(i));
    endpoint.set_id(endpoint.host() + "/127.0.0.1:8080");
    endpoint.set_zone("zone-" + std::to_string(i % 14));
    endpoint.set_service("service-" + std::to_string(i % kTargetServices));
    endpoint.set_version("v1");
    endpoint.set_incarnation(1'800'000'000'000);
    endpoint.set_sequence(1);
    endpoint.set_peer_address("10.100.100.100:7402");
    endpoint.set_control_address("10.100.100.100:7400");
    registry.Merge(endpoint, base::MonoTime());
  }
  request::MeshViewBuilder builder("zone-1");
  // While a view is replaced, two of them exist.
  const auto first =
      builder.Build(true, config::ConfigState(), registry, {}, {});
  const auto second =
      builder.Build(true, config::ConfigState(), registry, {}, {});
  return resident() - before;
}

void ControlCost(bool quick, Report& report) {
  ProcessMesh mesh(1, 2);
  mesh.StartAll();
  mesh.StartUpstream("proxy-1-1", "shop");
  const int services = quick ? 200 : kTargetServices;
  std::string address =
      "127.0.0.1:" + std::to_string(mesh.Ports("control-1").control_);
  ControlClient client({address}, ClientTls(), std::chrono::seconds(15));
  std::vector<rpc::Service> all;
  all.reserve(static_cast<size_t>(services));
  for (int i = 0; i < services; ++i) {
    all.push_back(tests::MakeService("service-" + std::to_string(i)));
  }
  std::vector<double> commit_ms;
  const int publications = quick ? 30 : 100;
  for (int number = 1; number <= publications; ++number) {
    all[static_cast<size_t>(number) % all.size()].set_retry_percent(
        static_cast<uint32_t>(number % 18));
    const rpc::Publication publication =
        tests::MakePublication(static_cast<uint64_t>(number), all);
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    const auto reply = client.Publish(publication);
    if (reply && reply->result_code() == 0) {
      commit_ms.push_back(Seconds(std::chrono::steady_clock::now() - begin) *
                          1000.0);
    }
  }
  // The first has to wait for the election.
  commit_ms.erase(commit_ms.begin());
  std::sort(commit_ms.begin(), commit_ms.end());
  report.Add(Metric{"publish_commit_p99_ms",
                    commit_ms[commit_ms.size() * 99 / 100], "ms", std::nullopt,
                    Better::kLower});
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::chrono::milliseconds before = mesh.CpuTime("proxy-1-2");
  const std::chrono::seconds length(quick ? 6 : 20);
  std::this_thread::sleep_for(length);
  const std::chrono::milliseconds used = mesh.CpuTime("proxy-1-2") - before;
  report.Add(Metric{"control_cpu_percent_per_daemon",
                    100.0 * std::chrono::duration<double>(used) / length, "%",
                    kCpuBoundPercent, Better::kLower});
  const double daemon_mb =
      static_cast<double>(mesh.RssBytes("proxy-1-2")) / kMegabyte;
  report.Add(Metric{"daemon_rss_mb", daemon_mb + EndpointMemoryMb(), "MB",
                    kRssBoundMb, Better::kLower});
}

void ProcessSlope(bool quick, Report& report) {
  Slope convergence{"process_convergence", "proxies", "s", {}};
  const std::vector<int> sizes =
      quick ? std::vector<int>{5, 10, 20} : std::vector<int>{25, 100, 250};
  for (const int proxies : sizes) {
    ProcessMesh mesh(1, proxies);
    mesh.SetHttpThreads(4);
    mesh.StartAll();
    mesh.Publish(1, kService);
    std::vector<double> seconds;
    for (uint64_t number = 2; number <= 6; ++number) {
      const std::chrono::steady_clock::time_point begin =
          std::chrono::steady_clock::now();
      const std::string text = std::string(kService) +
                               "[[route]]\nname = \"r\"\npath = \"/r" +
                               std::to_string(number) + "\"\n";
      if (mesh.Publish(number, text) == 0) {
        seconds.push_back(Seconds(std::chrono::steady_clock::now() - begin));
      }
    }
    std::sort(seconds.begin(), seconds.end());
    convergence.points_.emplace_back(
        proxies,
        seconds.empty() ? kConvergenceBoundS * 2 : seconds[seconds.size() / 2]);
  }
  report.Add(Metric{"process_convergence_s", convergence.points_.back().second,
                    "s", kConvergenceBoundS, Better::kLower});
  report.Add(std::move(convergence));
}

}  // namespace

void RunProcesses(bool quick, Report& report) {
  AddedLatency(quick, report);
  Goodput(quick, report);
  Drain(report);
  Faults(quick, report);
  ControlCost(quick, report);
  ProcessSlope(quick, report);
}

}  // namespace buckthorngate::benchmark
