// Services under load, simulated in virtual time. Each case names the overload
// pattern that it guards against.
#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

#include "overload_model.h"

namespace buckthorngate::tests {
namespace {

using benchmark::KindReport;
using benchmark::ModelKind;
using benchmark::ModelOptions;
using benchmark::ModelService;
using benchmark::OverloadModel;
using std::chrono::milliseconds;

// Two services: requests of a catalogue call an order service, as on the users'
// sheets.
ModelOptions TwoServices(double load) {
  ModelOptions options;
  options.zones_ = 2;
  options.services_ = {{{{0, 0.7}, {0, 1.6}, {1, 0.7}, {1, 1.0}, {1, 1.4}}, 18},
                       {{{0, 0.7}, {1, 0.7}, {1, 1.6}}, 18}};
  ModelKind read;
  read.name_ = "read";
  read.per_second_ = {230 * load, 230 * load};
  read.work_ = milliseconds(120);
  read.objective_ = milliseconds(400);
  read.deadline_ = milliseconds(1000);
  read.calls_kind_ = 2;
  read.calls_share_ = 0.7;
  ModelKind order;
  order.name_ = "order";
  order.service_ = 1;
  order.per_second_ = {70 * load, 70 * load};
  order.work_ = milliseconds(160);
  order.objective_ = milliseconds(500);
  order.deadline_ = milliseconds(1200);
  order.priority_ = 1;
  ModelKind status;
  status.name_ = "status";
  status.service_ = 1;
  status.work_ = milliseconds(30);
  status.spread_ = 0.5;
  status.objective_ = milliseconds(120);
  status.deadline_ = milliseconds(400);
  status.priority_ = 1;
  status.returns_ = 0;
  options.kinds_ = {read, order, status};
  return options;
}

void LogReports(const char* what, const std::vector<KindReport>& reports) {
  for (size_t i = 0; i < reports.size(); ++i) {
    const KindReport& report = reports[i];
    BOOST_TEST_MESSAGE(what << " kind " << i << ": asked " << report.asked_
                            << " in time " << report.in_time_ << " late "
                            << report.late_ << " refused " << report.refused_
                            << " failed " << report.failed_
                            << " slowest refusal "
                            << report.slowest_refusal_.count() / 1000 << " ms");
  }
}

BOOST_AUTO_TEST_CASE(AllAreServedInTimeBelowCapacity) {
  const std::vector<KindReport> reports =
      OverloadModel(TwoServices(0.7), 1).Run();
  LogReports("load 0.7", reports);
  BOOST_TEST(reports[0].InTimeShare() > 0.98);
  BOOST_TEST(reports[1].InTimeShare() > 0.98);
}

// Number of seeds that each case below runs with.
constexpr uint64_t kSeeds = 5;

// Requests per second that an endpoint of this speed can serve, if a share of
// them also holds its slot during a nested call.
double RateOf(double speed,
              uint32_t slots,
              const ModelKind& kind,
              base::Duration call) {
  const double work = static_cast<double>(kind.work_.count()) / speed;
  const double held =
      work + kind.calls_share_ * static_cast<double>(call.count());
  return static_cast<double>(slots) * 1e6 / held;
}

// Requests of a kind per second that all endpoints of its service can serve.
double CapacityOf(const ModelOptions& options, size_t kind) {
  const ModelKind& info = options.kinds_[kind];
  const ModelService& service = options.services_[info.service_];
  const base::Duration call =
      info.calls_kind_ < 0
          ? base::Duration(0)
          : options.kinds_[static_cast<size_t>(info.calls_kind_)].work_;
  double rate = 0.0;
  for (const ModelService::Endpoint& endpoint : service.endpoints_) {
    rate += RateOf(endpoint.speed_, service.slots_, info, call);
  }
  return rate;
}

// Pattern: all zones offer 1.3 to 1.7 times the load that the endpoints can
// serve. At least four fifths of the capacity must go to requests that are
// answered in time; with first come, first served it was a third.
BOOST_AUTO_TEST_CASE(UnderOverloadCapacityGoesToRequestsInTime) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const double load : {1.7, 2.2}) {
      const ModelOptions options = TwoServices(load);
      const std::vector<KindReport> reports =
          OverloadModel(options, seed).Run();
      LogReports("overload", reports);
      const double seconds =
          std::chrono::duration<double>(options.length_ - options.warm_up_)
              .count();
      BOOST_TEST(static_cast<double>(reports[0].in_time_) >
                     0.8 * seconds * CapacityOf(options, 0),
                 "load " << load << " seed " << seed);
    }
  }
}

// Pattern: a request holds its slot while its nested call waits. Refusing the
// call would waste the slot and fail the request.
BOOST_AUTO_TEST_CASE(NestedCallsAreNotRefusedWhileFirstRequestsAreServed) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<KindReport> reports =
        OverloadModel(TwoServices(2.2), seed).Run();
    BOOST_TEST(reports[2].refused_ * 200 < reports[2].asked_, "seed " << seed);
    BOOST_TEST(reports[0].failed_ * 200 < reports[0].asked_, "seed " << seed);
  }
}

// Pattern: requests were refused after waiting for most of their time. A
// request that cannot be served in time must be refused early enough for the
// caller to retry.
BOOST_AUTO_TEST_CASE(RefusalsComeWithinTheObjective) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ModelOptions options = TwoServices(1.7);
    const std::vector<KindReport> reports = OverloadModel(options, seed).Run();
    for (const size_t kind : {size_t{0}, size_t{1}}) {
      BOOST_TEST(
          (reports[kind].slowest_refusal_ <= options.kinds_[kind].objective_),
          "seed " << seed);
    }
  }
}

// Only one endpoint is left of a service that serves downloads and nested
// calls.
ModelOptions OneEndpointLeft() {
  ModelOptions options = TwoServices(0.6);
  options.services_[1].endpoints_ = {{0, 0.7}};
  ModelKind& download = options.kinds_[1];
  download.name_ = "download";
  download.per_second_ = {40, 40};
  download.objective_ = milliseconds(400);
  download.deadline_ = milliseconds(1000);
  download.large_ = true;
  download.priority_ = 2;
  return options;
}

// Pattern: after a scale-in one endpoint was left. A refused download marked
// the endpoint as full for the nested calls of work orders too, and the orders
// failed.
BOOST_AUTO_TEST_CASE(RefusedDownloadsDoNotBlockNestedCalls) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<KindReport> reports =
        OverloadModel(OneEndpointLeft(), seed).Run();
    LogReports("one endpoint", reports);
    BOOST_TEST(reports[1].refused_ > 0u);
    BOOST_TEST(reports[2].refused_ * 200 < reports[2].asked_, "seed " << seed);
    BOOST_TEST(reports[0].failed_ * 200 < reports[0].asked_, "seed " << seed);
  }
}

// Pattern: one endpoint in five is six times slower than the others.
ModelOptions OneSlowEndpoint(double load) {
  ModelOptions options = TwoServices(load);
  options.services_[0].endpoints_[3].speed_ = 0.17;
  return options;
}

// The other endpoints have capacity for all requests, so the slow one is tried
// only occasionally.
BOOST_AUTO_TEST_CASE(ASlowEndpointGetsFewRequests) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<KindReport> reports =
        OverloadModel(OneSlowEndpoint(0.7), seed).Run();
    LogReports("slow endpoint", reports);
    BOOST_TEST(reports[0].InTimeShare() > 0.95, "seed " << seed);
  }
}

// Pattern: an upstream had been slow for a long time, so that each request was
// refused as unable to finish, and no request could show its recovery.
BOOST_AUTO_TEST_CASE(AnIdleUpstreamIsTriedHoweverSlowItWas) {
  request::AdmissionQueue queue({2, 1.0, false});
  const auto at = [](int64_t ms) {
    return base::MonoTime(std::chrono::hours(1) + milliseconds(ms));
  };
  BOOST_TEST((queue.Enter(1, "c", at(2000), at(0)) ==
              request::AdmissionVerdict::kAdmitted));
  queue.Leave(1, milliseconds(1900), /*failed=*/false, at(1900));
  BOOST_TEST((queue.Enter(2, "c", at(3000), at(2000)) ==
              request::AdmissionVerdict::kAdmitted));
  BOOST_TEST((queue.Enter(3, "c", at(3000), at(2000)) ==
              request::AdmissionVerdict::kRefused));
}

}  // namespace
}  // namespace buckthorngate::tests
