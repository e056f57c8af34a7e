// Case: a heartbeat from another writer, with a service that no configuration
// names, changes the caller's service of all requests of the machine.
#include "../harness.h"

namespace buckthorngate::review {
namespace {

constexpr char kHost[] = "hulo84.example";
constexpr char kCatalogue[] = "huvo11a";
constexpr char kOrders[] = "wuno96b";
constexpr char kUnknownService[] = "zz-other";
constexpr std::chrono::seconds kGrace{6};
constexpr std::chrono::seconds kStartTimeout{30};
constexpr Milliseconds kDeadline{1200};
// Length of a machine's calm before it counts as in touch.
constexpr std::chrono::seconds kContact{3};
constexpr int kRequests = 50;
constexpr Milliseconds kPause{100};

int Run(const CaseOptions& options, Record& record) {
  Deployment deployment(
      options.program_,
      {{"core-a", "zone-a", ""},
       {"core-b", "zone-b", ""},
       {"core-c", "zone-c", ""}},
      {{"side-a", "zone-a", kOrders}, {"side-b", "zone-b", kCatalogue}}, kGrace,
      record);
  Upstream orders({"i-orders-1", kOrders, "v1", "zone-a",
                   deployment.At("side-a", &Ports::upstream_),
                   deployment.At("side-a", &Ports::control_)},
                  record);
  Upstream catalogue({"i-catalogue-1", kCatalogue, "v1", "zone-b",
                      deployment.At("side-b", &Ports::upstream_),
                      deployment.At("side-b", &Ports::control_)},
                     record);
  deployment.StartAll();
  const std::string document = Configuration(
      7, {{kHost, "/xapu221/", kOrders, "unsafe"}}, {kCatalogue, kOrders});
  if (!deployment.Publish(document, 0, kStartTimeout) ||
      !deployment.AwaitReady(kStartTimeout)) {
    return kNotRun;
  }
  orders.StartHeartbeats();
  catalogue.StartHeartbeats();
  Callers callers(deployment, "side-b", record);
  int served = 0;
  for (int i = 0; i < kRequests && served == 0; ++i) {
    std::this_thread::sleep_for(kPause);
    served +=
        callers.Send(kHost, "POST", "/xapu221/1", "a", kDeadline).status_ ==
        200;
  }
  if (served == 0) {
    return kNotRun;
  }
  std::this_thread::sleep_for(kContact);
  if (options.trouble_) {
    const Address control = deployment.At("side-b", &Ports::control_);
    const Address stray = deployment.At("side-b", &Ports::upstream_);
    const std::string body =
        R"({"service":")" + std::string(kUnknownService) + R"(","address":")" +
        stray.ip_ + ":" + std::to_string(stray.port_ + 1) +
        R"(","zone":"zone-b","version":"v1","slots":18,"state":"ready",)"
        R"("cold_remaining_s":0,"sequence":1})";
    const Answer answer =
        Call(control, "POST", "/instances/i-other-1/heartbeat",
             {{"Host", control.ip_}, {"Content-Type", "application/json"}},
             body, Milliseconds(1000));
    record.Write("heartbeat from another writer " + body + " -> " +
                 std::to_string(answer.status_));
  }
  for (int i = 0; i < kRequests; ++i) {
    std::this_thread::sleep_for(kPause);
    (void)callers.Send(kHost, "POST", "/xapu221/2", "a", kDeadline);
  }
  int ran = 0;
  int wrong = 0;
  for (const Arrival& arrival : orders.Arrivals()) {
    ran += arrival.rejected_ ? 0 : 1;
    wrong += !arrival.rejected_ && arrival.caller_service_ != kCatalogue;
  }
  record.Write(std::to_string(ran) + " requests from the machine of " +
               kCatalogue + " ran, " + std::to_string(wrong) +
               " of them with another X-Caller-Service");
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace buckthorngate::review

int main(int argc, char** argv) {
  return buckthorngate::review::RunCase(argc, argv, buckthorngate::review::Run);
}
