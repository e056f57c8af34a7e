// Case: requests that wait in the destination's admission queue are sent to an
// upstream long after its `draining` was acknowledged.
#include "../harness.h"

namespace buckthorngate::review {
namespace {

constexpr char kHost[] = "hulo84.example";
constexpr char kCatalogue[] = "huvo11a";
constexpr char kOrders[] = "wuno96b";
// Figures of the large site: the route of `order-place`, and the bounds.
constexpr double kTargetLatencySeconds = 2.0;
constexpr double kTimeoutSeconds = 5.0;
constexpr Milliseconds kDeadline{5000};
constexpr Milliseconds kWork{710};
constexpr int kSlots = 14;
constexpr Milliseconds kDrainPeriod{2500};
constexpr std::chrono::seconds kGrace{10};
// Of `srv_slow`; the sheet has up to 12.
constexpr int kSlowFactor = 12;

constexpr std::chrono::seconds kStartTimeout{30};
// Two thirds of what the two upstreams of the service can do.
constexpr Milliseconds kInterval{38};
constexpr Milliseconds kCalm{7000};
// From the slow-down to `draining`, and the traffic after it.
constexpr Milliseconds kUntilDraining{2000};
constexpr Milliseconds kAfterDraining{2000};

// Sends requests at a steady rate.
void SendFor(Callers& callers, Milliseconds time) {
  const Time until = Clock::now() + time;
  for (Time next = Clock::now(); next < until; next += kInterval) {
    std::this_thread::sleep_until(next);
    callers.SendInBackground(kHost, "POST", "/xapu221/1", "a", kDeadline);
  }
}

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
                  deployment.At("side-a", &Ports::control_), kSlots},
                 record);
  Upstream second({"i-orders-2", kOrders, "v1", "zone-b",
                   deployment.At("side-b", &Ports::upstream_),
                   deployment.At("side-b", &Ports::control_), kSlots},
                  record);
  Upstream catalogue({"i-catalogue-1", kCatalogue, "v1", "zone-c",
                      deployment.At("side-c", &Ports::upstream_),
                      deployment.At("side-c", &Ports::control_), kSlots},
                     record);
  deployment.StartAll();
  const std::string document =
      Configuration(7,
                    {{kHost, "/xapu221/", kOrders, "unsafe",
                      kTargetLatencySeconds, kTimeoutSeconds}},
                    {kCatalogue, kOrders});
  if (!deployment.Publish(document, 0, kStartTimeout) ||
      !deployment.AwaitReady(kStartTimeout)) {
    return kNotRun;
  }
  first.SetWork(kWork);
  second.SetWork(kWork);
  first.StartHeartbeats();
  second.StartHeartbeats();
  catalogue.StartHeartbeats();
  Callers callers(deployment, "side-c", record);
  SendFor(callers, kCalm);
  if (first.Arrivals().empty() || second.Arrivals().empty()) {
    return kNotRun;
  }
  if (options.trouble_) {
    first.SetWork(kWork * kSlowFactor);
    record.Write("i-orders-1 turns slow");
  }
  SendFor(callers, kUntilDraining);
  // The upstream leaves: planned work.
  const std::optional<Time> acknowledged = first.ReportDraining();
  SendFor(callers, kAfterDraining);
  callers.AwaitAll();
  if (!acknowledged) {
    return kNotRun;
  }
  int late = 0;
  for (const Arrival& arrival : first.Arrivals()) {
    late += !arrival.rejected_ && arrival.at_ > *acknowledged + kDrainPeriod;
  }
  record.Write(std::to_string(late) +
               " requests reached i-orders-1 later than drain_period_s after "
               "the acknowledgement at " +
               std::to_string(record.Since(*acknowledged).count()) + " ms");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace buckthorngate::review

int main(int argc, char** argv) {
  return buckthorngate::review::RunCase(argc, argv, buckthorngate::review::Run);
}
