// Case 13: an acknowledged deregistration, and kills before it is stored.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "../lab.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kStartTime{20};
constexpr milliseconds kAnswerTime{2000};
constexpr milliseconds kControlTime{1000};
// Bounds of the site: drain_period_s, contact_s.
constexpr milliseconds kDrainPeriod{2000};
constexpr milliseconds kContact{3000};
// The core is back within a second.
constexpr milliseconds kCoreDown{900};
// Since the deregistration was acknowledged: the late heartbeat arrives, and
// the endpoint ends.
constexpr milliseconds kHeartbeatArrives{3000};
constexpr milliseconds kEndpointEnds{9000};
constexpr milliseconds kRequestInterval{50};

// When the endpoint began to run requests.
class Runs {
 public:
  void Add() {
    const std::lock_guard<std::mutex> lock(mutex_);
    times_.push_back(steady_clock::now());
  }
  int CountSince(steady_clock::time_point from) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(std::count_if(
        times_.begin(), times_.end(),
        [from](steady_clock::time_point time) { return time >= from; }));
  }

 private:
  std::mutex mutex_;
  std::vector<steady_clock::time_point> times_;
};

Answer ToControl(const Machine& machine,
                 const std::string& call,
                 const std::string& body) {
  return Call(machine.ip_, kControlPort, "POST", "/instances/i-1/" + call,
              "Content-Type: application/json\r\n", body, kControlTime);
}

int Get(const Machine& machine, const std::string& id) {
  return Call(machine.ip_, kOutboundPort, "GET", "/shop/item",
              "Host: h.example\r\nX-Deadline-Ms: 1500\r\nX-Request-Id: " + id +
                  "\r\n",
              "", kAnswerTime)
      .status_;
}

// Kills the core and the daemon beside the endpoint, as two disruptions, and
// starts them again. The endpoint deregisters in between.
bool DeregisterBetweenKills(Lab& lab,
                            const std::string& body,
                            steady_clock::time_point& acknowledged,
                            Record& record) {
  const bool trouble = WithTrouble();
  for (size_t i = 0; trouble && i < 3; ++i) {
    lab.Kill(lab.Core(i));
  }
  const steady_clock::time_point killed = steady_clock::now();
  const Answer answer = ToControl(lab.Side(0), "deregister", body);
  acknowledged = steady_clock::now();
  record.Add("i-1 deregisters: " + std::to_string(answer.status_));
  if (trouble) {
    lab.Kill(lab.Side(0));
    lab.Start(lab.Side(0));
    std::this_thread::sleep_until(killed + kCoreDown);
    for (size_t i = 0; i < 3; ++i) {
      lab.Start(lab.Core(i));
    }
  }
  return answer.status_ == 200;
}

int Run(const std::string& folder) {
  Record record(folder);
  Lab lab({"shop", "shop"}, record);
  Runs runs;
  const auto serve = [&record](const std::string& id, Runs* counted) {
    return [&record, id, counted](const std::string& request, Socket& socket) {
      if (counted != nullptr) {
        counted->Add();
        record.Add(id + " runs " + HeaderOf(request, "X-Request-Id"));
      }
      return socket.Send(OkAnswer(request, id, "done"));
    };
  };
  Endpoint leaving(lab.Side(0), "i-1", serve("i-1", &runs), record);
  Endpoint staying(lab.Side(1), "i-2", serve("i-2", nullptr), record);
  if (!lab.StartAll()) {
    return kNotRun;
  }
  staying.BeginReports();
  const bool ready =
      lab.Put(0, Configuration(1, {{"safe", "/shop/", "shop"}}), kStartTime) &&
      lab.AwaitReady(lab.Side(0), kStartTime) &&
      lab.AwaitReady(lab.Side(1), kStartTime) &&
      Lab::Await([&leaving] { return leaving.Report("ready") == 200; },
                 kStartTime);
  if (!ready) {
    record.Add("the deployment is not ready");
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(1500));
  for (int i = 0; i < 20; ++i) {
    Get(lab.Side(static_cast<size_t>(i % 2)), "first-" + std::to_string(i));
  }
  if (runs.CountSince({}) == 0) {
    record.Add("i-1 got no request while it was ready");
    return kNotRun;
  }
  // This one is sent now, and arrives seconds late.
  const std::string late = leaving.Heartbeat("ready");
  record.Add("i-1 sends its last heartbeat, which is delayed");
  const std::string born = "{" + late.substr(late.find("\"born\""));
  steady_clock::time_point acknowledged;
  if (!DeregisterBetweenKills(lab, born, acknowledged, record)) {
    record.Add("the deregistration was not acknowledged");
    return kNotRun;
  }
  std::this_thread::sleep_until(acknowledged + kHeartbeatArrives);
  record.Add("the delayed heartbeat arrives: " +
             std::to_string(ToControl(lab.Side(0), "heartbeat", late).status_));
  // All machines are in touch again, and the drain period is over.
  const steady_clock::time_point from =
      acknowledged + kCoreDown + kContact + kDrainPeriod / 2;
  int served = 0;
  for (int i = 0; steady_clock::now() < acknowledged + kEndpointEnds; ++i) {
    served += Get(lab.Side(static_cast<size_t>(i % 2)),
                  "later-" + std::to_string(i)) == 200
                  ? 1
                  : 0;
    std::this_thread::sleep_for(kRequestInterval);
  }
  const int late_runs = runs.CountSince(from);
  record.Add(std::to_string(served) + " requests served, " +
             std::to_string(late_runs) + " reached i-1 more than " +
             std::to_string((from - acknowledged) / milliseconds(1)) +
             " ms after its deregistration was acknowledged");
  lab.EndAll();
  return served == 0 ? kNotRun : (late_runs > 0 ? kRuleBroken : kRuleHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  try {
    return review::Run(argc > 1 ? argv[1] : ".");
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return review::kNotRun;
  }
}
