// Costs of single decisions at growing sizes.
#include <benchmark/benchmark.h>

#include <map>
#include <string>

#include "base/random.h"
#include "config/config_state.h"
#include "distribution/config_distributor.h"
#include "distribution/source_state.h"
#include "registry/endpoint_registry.h"
#include "request/endpoint_picker.h"
#include "request/mesh_view.h"
#include "suites.h"
#include "test_mesh.h"

namespace buckthorngate::benchmark {
namespace {

constexpr int kTargetServices = 1400;
constexpr int kTargetEndpoints = 11'000;
constexpr int kTargetProxiesPerZone = 786;

config::ConfigState MakeConfig(int services) {
  config::ConfigState state;
  for (int i = 0; i < services; ++i) {
    rpc::ServiceState service;
    *service.mutable_service() =
        tests::MakeService("service-" + std::to_string(i));
    state.Put(std::move(service));
  }
  state.SetRevision(1);
  return state;
}

rpc::Endpoint MakeEndpoint(int i, uint64_t sequence) {
  rpc::Endpoint endpoint;
  endpoint.set_host("host-" + std::to_string(i));
  endpoint.set_id(endpoint.host() + "/127.0.0.1:8080");
  endpoint.set_zone("zone-" + std::to_string(i % 14));
  endpoint.set_service("service-" + std::to_string(i % kTargetServices));
  endpoint.set_version("v1");
  endpoint.set_incarnation(1);
  endpoint.set_sequence(sequence);
  endpoint.set_slots(20);
  endpoint.set_peer_address("10.0.0.1:7402");
  endpoint.set_control_address("10.0.0.1:7400");
  return endpoint;
}

registry::EndpointRegistry MakeRegistry(int endpoints) {
  registry::EndpointRegistry registry;
  for (int i = 0; i < endpoints; ++i) {
    registry.Merge(MakeEndpoint(i, 1), base::MonoTime());
  }
  return registry;
}

void SnapshotBuild(::benchmark::State& run) {
  const config::ConfigState state = MakeConfig(static_cast<int>(run.range(0)));
  for (auto _ : run) {
    ::benchmark::DoNotOptimize(state.ToSnapshot());
  }
}

void DeltaApply(::benchmark::State& run) {
  config::ConfigState older = MakeConfig(static_cast<int>(run.range(0)));
  config::ConfigState newer = older;
  rpc::ServiceState changed = *newer.Find("service-0");
  changed.mutable_service()->set_retry_percent(7);
  newer.Put(std::move(changed));
  newer.SetRevision(2);
  const rpc::ConfigDelta delta = config::MakeDelta(older, newer);
  for (auto _ : run) {
    run.PauseTiming();
    config::ConfigState subscriber = older;
    run.ResumeTiming();
    ::benchmark::DoNotOptimize(subscriber.ApplyDelta(delta));
  }
}

void RouteMatch(::benchmark::State& run) {
  const config::ConfigState state = MakeConfig(static_cast<int>(run.range(0)));
  const auto table = request::RouteTable::Build(state.Services());
  for (auto _ : run) {
    ::benchmark::DoNotOptimize(
        table->Match("shop.ge:80", "/service-3/orders/17", "GET"));
  }
}

void Pick(::benchmark::State& run) {
  request::VersionView view;
  for (int i = 0; i < run.range(0); ++i) {
    request::EndpointView endpoint;
    endpoint.endpoint_ = MakeEndpoint(i, 1);
    endpoint.stats_ =
        std::make_shared<request::EndpointStats>(base::MonoTime());
    view.endpoints_.push_back(std::move(endpoint));
  }
  view.own_zone_count_ = view.endpoints_.size() / 4;
  base::Random random(1);
  for (auto _ : run) {
    ::benchmark::DoNotOptimize(request::PickEndpoint(
        view, {}, base::MonoTime(std::chrono::minutes(5)), random));
  }
}

void RegistryMerge(::benchmark::State& run) {
  registry::EndpointRegistry registry =
      MakeRegistry(static_cast<int>(run.range(0)));
  uint64_t sequence = 1;
  for (auto _ : run) {
    ::benchmark::DoNotOptimize(
        registry.Merge(MakeEndpoint(7, ++sequence), base::MonoTime()));
  }
}

void RegistryDigest(::benchmark::State& run) {
  const registry::EndpointRegistry registry =
      MakeRegistry(static_cast<int>(run.range(0)));
  for (auto _ : run) {
    ::benchmark::DoNotOptimize(registry.Digest());
  }
}

// The view after one endpoint has changed.
void ViewBuild(::benchmark::State& run) {
  const config::ConfigState state = MakeConfig(kTargetServices);
  registry::EndpointRegistry registry =
      MakeRegistry(static_cast<int>(run.range(0)));
  request::MeshViewBuilder builder("zone-1");
  builder.Build(true, state, registry, {}, base::MonoTime());
  uint64_t sequence = 1;
  for (auto _ : run) {
    registry.Merge(MakeEndpoint(7, ++sequence), base::MonoTime());
    ::benchmark::DoNotOptimize(
        builder.Build(true, state, registry, {}, base::MonoTime()));
  }
}

void RelayFanOut(::benchmark::State& run) {
  config::ConfigState state = MakeConfig(kTargetServices);
  config::DeltaWindow window(64);
  distribution::ConfigDistributor distributor("relay", 1);
  base::Outbox outbox;
  base::Now now;
  for (int i = 0; i < run.range(0); ++i) {
    rpc::Resume resume;
    resume.set_revision(1);
    resume.set_digest(state.Digest());
    distributor.OnResume("proxy-" + std::to_string(i), resume, state, window,
                         now, outbox);
  }
  uint64_t revision = 1;
  for (auto _ : run) {
    run.PauseTiming();
    config::ConfigState next = state;
    rpc::ServiceState changed = *next.Find("service-0");
    changed.mutable_service()->set_retry_percent(++revision % 18);
    next.Put(std::move(changed));
    next.SetRevision(revision);
    window.Add(config::MakeDelta(state, next));
    state = std::move(next);
    run.ResumeTiming();
    distributor.Push(state, window, now, outbox);
    ::benchmark::DoNotOptimize(outbox.Take());
  }
}

// One publication of the whole configuration with one changed service.
void SourceLog(::benchmark::State& run) {
  distribution::SourceState state;
  std::vector<rpc::Service> services;
  services.reserve(static_cast<size_t>(run.range(0)));
  for (int i = 0; i < run.range(0); ++i) {
    services.push_back(tests::MakeService("service-" + std::to_string(i)));
  }
  uint64_t number = 0;
  for (auto _ : run) {
    run.PauseTiming();
    services[0].set_retry_percent(++number % 18);
    rpc::Command command;
    *command.mutable_publish()->mutable_publication() =
        tests::MakePublication(number, services);
    rpc::LogEntry entry;
    entry.set_index(number);
    entry.set_kind(rpc::ENTRY_KIND_COMMAND);
    entry.set_payload(command.SerializeAsString());
    run.ResumeTiming();
    ::benchmark::DoNotOptimize(state.Apply(entry));
  }
}

// Collects run times by benchmark and size.
class Collector : public ::benchmark::BenchmarkReporter {
 public:
  bool ReportContext(const Context&) override { return true; }
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& run : runs) {
      const std::string name = run.run_name.function_name;
      const double size = std::stod(run.run_name.args);
      slopes_[name].emplace_back(size, run.GetAdjustedRealTime());
    }
  }
  std::map<std::string, std::vector<std::pair<double, double>>> slopes_;
};

struct Small {
  const char* name_;
  void (*run_)(::benchmark::State&);
  std::vector<int64_t> sizes_;
  const char* size_unit_;
};

}  // namespace

void RunSmall(bool quick, Report& report) {
  const std::vector<int64_t> services = {50, 350, kTargetServices};
  const std::vector<int64_t> endpoints = {500, 2500, kTargetEndpoints};
  const std::vector<Small> all = {
      {"snapshot_build", SnapshotBuild, services, "services"},
      {"delta_apply", DeltaApply, services, "services"},
      {"route_match", RouteMatch, services, "services"},
      {"pick", Pick, {4, 32, 256}, "endpoints of a version"},
      {"registry_merge", RegistryMerge, endpoints, "endpoints"},
      {"registry_digest", RegistryDigest, endpoints, "endpoints"},
      {"view_build", ViewBuild, endpoints, "endpoints"},
      {"relay_fan_out",
       RelayFanOut,
       {50, 250, kTargetProxiesPerZone},
       "proxies"},
      {"source_log", SourceLog, services, "services"},
  };
  for (const Small& small : all) {
    ::benchmark::internal::Benchmark* const registered =
        ::benchmark::RegisterBenchmark(small.name_, small.run_);
    registered->Unit(::benchmark::kMicrosecond);
    registered->MinTime(quick ? 0.02 : 0.2);
    for (const int64_t size : small.sizes_) {
      registered->Arg(size);
    }
  }
  Collector collector;
  ::benchmark::RunSpecifiedBenchmarks(&collector);
  for (const Small& small : all) {
    Slope slope;
    slope.name_ = small.name_;
    slope.size_unit_ = small.size_unit_;
    slope.value_unit_ = "us";
    slope.points_ = collector.slopes_[small.name_];
    report.Add(std::move(slope));
  }
}

}  // namespace buckthorngate::benchmark
