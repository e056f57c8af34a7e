// Case: after two upstreams have crashed by themselves, a route that was added
// later is refused, because its requests were running at both crashes.
#include <array>
#include <memory>

#include "../harness.h"

namespace buckthorngate::review {
namespace {

constexpr char kHost[] = "jepu9.example";
constexpr char kCatalogue[] = "huvo11a";
constexpr char kOrders[] = "wuno96b";
constexpr char kFirstTarget[] = "/lepu270/index";
constexpr char kAddedTarget[] = "/vona31/index";
constexpr std::chrono::seconds kGrace{6};
constexpr std::chrono::seconds kStartTimeout{30};
constexpr Milliseconds kDeadline{1000};
constexpr Milliseconds kWork{120};
constexpr int kUpstreams = 7;
// Indices of the upstreams that crash: those in the zone of the callers, which
// get most of their requests.
constexpr std::array<size_t, 2> kCrashes = {2, 5};
// Requests on each route: 100 a second.
constexpr Milliseconds kInterval{10};
constexpr Milliseconds kCalm{4000};
constexpr Milliseconds kDown{3000};
// From the return of the upstream to the next step: `contact_s`, the interval
// of heartbeats, and the time in which a new upstream is slow.
constexpr Milliseconds kSettles{6000};
constexpr Milliseconds kJudged{5000};
// The rule: from this many requests on, and a share of the first routes'.
constexpr int kLeastRequests = 20;
constexpr double kLeastShare = 0.25;

// Sends requests on both routes at a steady rate.
void SendFor(Callers& callers, Milliseconds time) {
  const Time until = Clock::now() + time;
  for (Time next = Clock::now(); next < until; next += kInterval) {
    std::this_thread::sleep_until(next);
    callers.SendInBackground(kHost, "GET", kFirstTarget, "", kDeadline);
    callers.SendInBackground(kHost, "GET", kAddedTarget, "", kDeadline);
  }
}

struct Share {
  int sent_ = 0;
  int served_ = 0;

  double Served() const {
    return sent_ == 0 ? 0.0 : static_cast<double>(served_) / sent_;
  }
};

Share ShareOf(const Callers& callers, const std::string& target, Time since) {
  Share share;
  for (const Sent& sent : callers.Requests()) {
    if (sent.target_ == target && sent.at_ >= since) {
      ++share.sent_;
      share.served_ += sent.status_ == 200 ? 1 : 0;
    }
  }
  return share;
}

int Run(const CaseOptions& options, Record& record) {
  std::vector<MachineOptions> sidecars;
  for (int i = 1; i <= kUpstreams; ++i) {
    sidecars.push_back({"side-" + std::to_string(i),
                        std::string("zone-") + "abc"[i % 3], kCatalogue});
  }
  sidecars.push_back({"side-orders", "zone-a", kOrders});
  Deployment deployment(options.program_,
                        {{"core-a", "zone-a", ""},
                         {"core-b", "zone-b", ""},
                         {"core-c", "zone-c", ""}},
                        sidecars, kGrace, record);
  const auto start = [&](const MachineOptions& machine, const std::string& id) {
    std::unique_ptr<Upstream> upstream = std::make_unique<Upstream>(
        UpstreamOptions{id, machine.service_, "v1", machine.zone_,
                        deployment.At(machine.name_, &Ports::upstream_),
                        deployment.At(machine.name_, &Ports::control_)},
        record);
    upstream->SetWork(kWork);
    upstream->StartHeartbeats();
    return upstream;
  };
  deployment.StartAll();
  const RouteOptions first{kHost, "/lepu270/", kOrders, "safe", 0.4, 1.0};
  const RouteOptions added{kHost, "/vona31/", kCatalogue, "safe", 0.4, 1.0};
  const std::vector<std::string> services = {kCatalogue, kOrders};
  if (!deployment.Publish(Configuration(3, {first}, services), 0,
                          kStartTimeout) ||
      !deployment.AwaitReady(kStartTimeout)) {
    return kNotRun;
  }
  std::vector<std::unique_ptr<Upstream>> upstreams;
  upstreams.reserve(sidecars.size());
  for (const MachineOptions& machine : sidecars) {
    upstreams.push_back(start(machine, "i-" + machine.name_ + "-1"));
  }
  if (!deployment.Publish(Configuration(5, {first, added}, services), 3,
                          kStartTimeout)) {
    return kNotRun;
  }
  Callers callers(deployment, "side-orders", record);
  SendFor(callers, kCalm);
  const Share before = ShareOf(callers, kAddedTarget, Time());
  if (before.served_ == 0) {
    return kNotRun;
  }
  for (const size_t crashed : kCrashes) {
    if (options.trouble_) {
      record.Write("upstream " + upstreams[crashed]->Options().id_ +
                   " crashes");
      upstreams[crashed]->End();
    }
    SendFor(callers, kDown);
    if (options.trouble_) {
      const MachineOptions& machine = sidecars[crashed];
      upstreams[crashed] = start(machine, "i-" + machine.name_ + "-2");
      record.Write("it is back as " + upstreams[crashed]->Options().id_);
    }
    SendFor(callers, kSettles);
  }
  record.Write("judged from here on");
  const Time since = Clock::now();
  SendFor(callers, kJudged);
  callers.AwaitAll();
  const Share on_first = ShareOf(callers, kFirstTarget, since);
  const Share on_added = ShareOf(callers, kAddedTarget, since);
  record.Write("first route: " + std::to_string(on_first.served_) + " of " +
               std::to_string(on_first.sent_) +
               " served, added route: " + std::to_string(on_added.served_) +
               " of " + std::to_string(on_added.sent_));
  if (on_first.Served() == 0.0) {
    return kNotRun;
  }
  const bool broken = on_added.sent_ >= kLeastRequests &&
                      on_added.Served() < kLeastShare * on_first.Served();
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace buckthorngate::review

int main(int argc, char** argv) {
  return buckthorngate::review::RunCase(argc, argv, buckthorngate::review::Run);
}
