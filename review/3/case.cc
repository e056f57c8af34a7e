// Case: after a restart of the daemon beside it, an upstream that had
// deregistered is in use again, because of a heartbeat that arrives late.
#include "../harness.h"

namespace buckthorngate::review {
namespace {

constexpr char kHost[] = "hulo84.example";
constexpr char kCatalogue[] = "huvo11a";
constexpr char kOrders[] = "wuno96b";
constexpr std::chrono::seconds kGrace{6};
constexpr std::chrono::seconds kStartTimeout{30};
constexpr Milliseconds kDeadline{1200};
constexpr std::chrono::seconds kContact{3};
constexpr Milliseconds kDrainPeriod{2000};
constexpr Milliseconds kPause{100};
constexpr int kWarmUpRequests = 50;
// How long the heartbeat is on its way.
constexpr Milliseconds kDelay{2000};
// How long the upstream serves after its deregistration.
constexpr std::chrono::seconds kServesOn{9};

int Run(const CaseOptions& options, Record& record) {
  Deployment deployment(options.program_,
                        {{"core-a", "zone-a", ""},
                         {"core-b", "zone-b", ""},
                         {"core-c", "zone-c", ""}},
                        {{"side-a", "zone-a", kOrders},
                         {"side-b", "zone-b", kOrders},
                         {"side-c", "zone-c", kCatalogue}},
                        kGrace, record);
  Upstream first({"i-orders-1", kOrders, "v1", "zone-a",
                  deployment.At("side-a", &Ports::upstream_),
                  deployment.At("side-a", &Ports::control_)},
                 record);
  Upstream second({"i-orders-2", kOrders, "v1", "zone-b",
                   deployment.At("side-b", &Ports::upstream_),
                   deployment.At("side-b", &Ports::control_)},
                  record);
  Upstream catalogue({"i-catalogue-1", kCatalogue, "v1", "zone-c",
                      deployment.At("side-c", &Ports::upstream_),
                      deployment.At("side-c", &Ports::control_)},
                     record);
  deployment.StartAll();
  const std::string document = Configuration(
      7, {{kHost, "/xapu221/", kOrders, "unsafe"}}, {kCatalogue, kOrders});
  if (!deployment.Publish(document, 0, kStartTimeout) ||
      !deployment.AwaitReady(kStartTimeout)) {
    return kNotRun;
  }
  first.StartHeartbeats();
  second.StartHeartbeats();
  catalogue.StartHeartbeats();
  Callers callers(deployment, "side-c", record);
  for (int i = 0; i < kWarmUpRequests; ++i) {
    (void)callers.Send(kHost, "POST", "/xapu221/1", "a", kDeadline);
    std::this_thread::sleep_for(kPause);
  }
  if (first.Arrivals().empty() || second.Arrivals().empty()) {
    return kNotRun;
  }
  // A heartbeat that is sent now and arrives late.
  first.StopHeartbeats();
  const std::string delayed = first.NextHeartbeat("ready");
  const Time sent = Clock::now();
  record.Write("heartbeat of i-orders-1 is sent: " + delayed);
  std::this_thread::sleep_for(kPause);
  const std::optional<Time> acknowledged = first.Deregister();
  if (!acknowledged) {
    return kNotRun;
  }
  if (options.trouble_) {
    deployment.Kill("side-a");
    deployment.Start("side-a");
  }
  std::this_thread::sleep_until(sent + kDelay);
  const Address control = deployment.At("side-a", &Ports::control_);
  const Answer answer =
      Call(control, "POST", "/instances/i-orders-1/heartbeat",
           {{"Host", control.ip_}, {"Content-Type", "application/json"}},
           delayed, Milliseconds(1000));
  record.Write("the delayed heartbeat of i-orders-1 arrives -> " +
               std::to_string(answer.status_));
  while (Clock::now() < *acknowledged + kServesOn) {
    callers.SendInBackground(kHost, "POST", "/xapu221/2", "a", kDeadline);
    std::this_thread::sleep_for(kPause);
  }
  callers.AwaitAll();
  // The daemon beside the upstream counts as in touch again only then.
  const Time in_touch =
      *acknowledged + std::max<Milliseconds>(kDrainPeriod, kContact + kDelay);
  int late = 0;
  for (const Arrival& arrival : first.Arrivals()) {
    late += !arrival.rejected_ && arrival.at_ > in_touch;
  }
  record.Write(std::to_string(late) +
               " requests reached i-orders-1 later than drain_period_s after "
               "the acknowledgement at " +
               std::to_string(record.Since(*acknowledged).count()) +
               " ms, from machines in touch");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace buckthorngate::review

int main(int argc, char** argv) {
  return buckthorngate::review::RunCase(argc, argv, buckthorngate::review::Run);
}
