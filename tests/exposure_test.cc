// Bounds on the requests that a bad version receives during an ordered move,
// under various disturbances.
#define BOOST_TEST_MODULE exposure
#include <boost/test/unit_test.hpp>

#include "exposure_model.h"

namespace buckthorngate::tests {
namespace {

constexpr uint64_t kSeeds = 4;
// Bounds that users require: fraction of all requests, plus a constant number
// of requests, and the time from the 50th bad answer to the last request.
constexpr double kMaxExposure = 0.1;
constexpr uint64_t kExtraCalls = 50;
constexpr base::Duration kMaxTimeAfterBadLimit = std::chrono::seconds(5);

void CheckBadVersion(const ExposureScenario& scenario) {
  const ExposureResult result = RunOrderedMove(scenario);
  const double allowed =
      kMaxExposure * static_cast<double>(result.calls_) + kExtraCalls;
  BOOST_TEST(static_cast<double>(result.new_calls_) <= allowed,
             scenario << ": " << result.new_calls_ << " of " << result.calls_
                      << " calls, allowed " << allowed);
  BOOST_TEST(result.after_bad_limit_ <= kMaxTimeAfterBadLimit,
             scenario << ": a call " << result.after_bad_limit_.count()
                      << " us after the 50th bad answer");
}

void CheckAllDefects(Disturbance disturbance) {
  for (const Defect defect : kAllDefects) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ExposureScenario scenario;
      scenario.defect_ = defect;
      scenario.disturbance_ = disturbance;
      scenario.seed_ = seed;
      CheckBadVersion(scenario);
    }
  }
}

// Guards against a share that rises because a clock step makes the deadline
// seem near.
BOOST_AUTO_TEST_CASE(ExposureIsBoundedWhileClocksStep) {
  CheckAllDefects(Disturbance::kClocksAhead);
  CheckAllDefects(Disturbance::kClocksBack);
}

// Guards against a share that rises while a degradation of both versions hides
// the bad answers of the new one.
BOOST_AUTO_TEST_CASE(ExposureIsBoundedWhileBothVersionsAreDegraded) {
  CheckAllDefects(Disturbance::kAllSlow);
  CheckAllDefects(Disturbance::kAllFail);
  CheckAllDefects(Disturbance::kAnswersLost);
}

// Guards against a share that rises although evidence reports are lost or late.
BOOST_AUTO_TEST_CASE(ExposureIsBoundedWhileReportsAreLostOrLate) {
  CheckAllDefects(Disturbance::kReportsLost);
  CheckAllDefects(Disturbance::kReportsLate);
}

// Guards against an exposure bound that starts over with a new leader, a
// restarted proxy or a repeated order.
BOOST_AUTO_TEST_CASE(
    ExposureIsBoundedAcrossLeaderChangesRestartsAndRepeatedOrders) {
  CheckAllDefects(Disturbance::kNewLeaders);
  CheckAllDefects(Disturbance::kProxiesRestart);
  CheckAllDefects(Disturbance::kOrderResent);
}

// Guards against slow answers that go uncounted because the callers cancel
// first, and checks the bounds without disturbance and under a burst.
BOOST_AUTO_TEST_CASE(ExposureIsBoundedInNormalOperationBurstsAndCancellations) {
  CheckAllDefects(Disturbance::kNone);
  CheckAllDefects(Disturbance::kBurst);
  CheckAllDefects(Disturbance::kCallersLeave);
}

BOOST_AUTO_TEST_CASE(GoodVersionCompletesInTime) {
  for (const Disturbance disturbance : kAllDisturbances) {
    uint64_t done = 0;
    uint64_t taken_back = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ExposureScenario scenario;
      scenario.disturbance_ = disturbance;
      scenario.seed_ = seed;
      const ExposureResult result = RunOrderedMove(scenario);
      done += result.done_in_time_ ? 1 : 0;
      taken_back += result.taken_back_ ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(NameOf(disturbance)
                       << ": " << done << " of " << kSeeds << " done in time, "
                       << taken_back << " taken back");
    if (disturbance == Disturbance::kNone) {
      BOOST_TEST(done == kSeeds);
    }
    BOOST_TEST(taken_back == 0u, NameOf(disturbance));
  }
}

}  // namespace
}  // namespace buckthorngate::tests
