// What a bad version gets of an ordered move's requests, whatever goes wrong.
#define BOOST_TEST_MODULE exposure
#include <boost/test/unit_test.hpp>

#include "exposure_model.h"

namespace buckthorngate::tests {
namespace {

constexpr uint64_t kSeeds = 4;
// The users' bounds: part of all requests, a slack, and the time from the 50th
// bad answer to the last request.
constexpr double kMostShare = 0.1;
constexpr uint64_t kSlack = 50;
constexpr base::Duration kMostAfterBad = std::chrono::seconds(5);

void CheckBadVersion(const ExposureScenario& scenario) {
  const ExposureResult result = RunOrderedMove(scenario);
  const double allowed =
      kMostShare * static_cast<double>(result.calls_) + kSlack;
  BOOST_TEST(static_cast<double>(result.new_calls_) <= allowed,
             scenario << ": " << result.new_calls_ << " of " << result.calls_
                      << " calls, allowed " << allowed);
  BOOST_TEST(result.after_bad_ <= kMostAfterBad,
             scenario << ": a call " << result.after_bad_.count()
                      << " us after the 50th bad answer");
}

void CheckAllBadness(Trouble trouble) {
  for (const Badness badness : kAllBadness) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ExposureScenario scenario;
      scenario.badness_ = badness;
      scenario.trouble_ = trouble;
      scenario.seed_ = seed;
      CheckBadVersion(scenario);
    }
  }
}

// Guards against a share that rises because clocks step, so that the deadline
// seems near.
BOOST_AUTO_TEST_CASE(ABadVersionGetsLittleWhileClocksStep) {
  CheckAllBadness(Trouble::kClocksAhead);
  CheckAllBadness(Trouble::kClocksBack);
}

// Guards against a share that rises while trouble of both versions hides how
// the new one answers.
BOOST_AUTO_TEST_CASE(ABadVersionGetsLittleWhileBothVersionsSuffer) {
  CheckAllBadness(Trouble::kAllSlow);
  CheckAllBadness(Trouble::kAllFail);
  CheckAllBadness(Trouble::kAnswersLost);
}

// Guards against a share that rises on reports that are missing or late.
BOOST_AUTO_TEST_CASE(ABadVersionGetsLittleWhileReportsAreMissing) {
  CheckAllBadness(Trouble::kReportsLost);
  CheckAllBadness(Trouble::kReportsLate);
}

// Guards against a bound that a new leader, a restarted proxy or an order that
// is sent again begins anew.
BOOST_AUTO_TEST_CASE(ABadVersionGetsLittleFromThoseThatForget) {
  CheckAllBadness(Trouble::kNewLeaders);
  CheckAllBadness(Trouble::kProxiesRestart);
  CheckAllBadness(Trouble::kOrderResent);
}

// Guards against calls that end without an answer, which say nothing of a slow
// version.
BOOST_AUTO_TEST_CASE(ABadVersionGetsLittleOnOtherDays) {
  CheckAllBadness(Trouble::kNone);
  CheckAllBadness(Trouble::kBurst);
  CheckAllBadness(Trouble::kCallersLeave);
}

BOOST_AUTO_TEST_CASE(AGoodVersionIsDoneInTime) {
  for (const Trouble trouble : kAllTroubles) {
    uint64_t done = 0;
    uint64_t taken_back = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ExposureScenario scenario;
      scenario.trouble_ = trouble;
      scenario.seed_ = seed;
      const ExposureResult result = RunOrderedMove(scenario);
      done += result.done_in_time_ ? 1 : 0;
      taken_back += result.taken_back_ ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(NameOf(trouble)
                       << ": " << done << " of " << kSeeds << " done in time, "
                       << taken_back << " taken back");
    if (trouble == Trouble::kNone) {
      BOOST_TEST(done == kSeeds);
    }
    BOOST_TEST(taken_back == 0u, NameOf(trouble));
  }
}

}  // namespace
}  // namespace buckthorngate::tests
