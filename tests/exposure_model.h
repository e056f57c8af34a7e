// Simulation of one ordered move on virtual time: callers, proxies, endpoints
// of two versions, the sources' state and the move controller.
//
// The decisions are made by the production code. Simulated are the answers of
// the versions, the transport of the reports and the disturbances.
#ifndef TESTS_EXPOSURE_MODEL_H_
#define TESTS_EXPOSURE_MODEL_H_

#include <cstdint>
#include <ostream>

#include "base/time.h"

namespace buckthorngate::tests {

// Defect of the new version.
enum class Defect : uint8_t {
  kNone,
  kErrors,
  kSlow,
  kErrorsUnderLoad,
  kSlowUnderLoad,
  kErrorsOnOneRoute,
  kErrorsLate,
  kSlowLate,
};

inline constexpr Defect kAllDefects[] = {
    Defect::kErrors,           Defect::kSlow,
    Defect::kErrorsUnderLoad,  Defect::kSlowUnderLoad,
    Defect::kErrorsOnOneRoute, Defect::kErrorsLate,
    Defect::kSlowLate,
};

// Disturbance during the move.
enum class Disturbance : uint8_t {
  kNone,
  kClocksAhead,
  kClocksBack,
  kAllSlow,
  kAllFail,
  kAnswersLost,
  kReportsLost,
  kReportsLate,
  kNewLeaders,
  kProxiesRestart,
  kOrderResent,
  kBurst,
  kCallersLeave,
};

inline constexpr Disturbance kAllDisturbances[] = {
    Disturbance::kNone,         Disturbance::kClocksAhead,
    Disturbance::kClocksBack,   Disturbance::kAllSlow,
    Disturbance::kAllFail,      Disturbance::kAnswersLost,
    Disturbance::kReportsLost,  Disturbance::kReportsLate,
    Disturbance::kNewLeaders,   Disturbance::kProxiesRestart,
    Disturbance::kOrderResent,  Disturbance::kBurst,
    Disturbance::kCallersLeave,
};

const char* NameOf(Defect defect);
const char* NameOf(Disturbance disturbance);

struct ExposureScenario {
  Defect defect_ = Defect::kNone;
  Disturbance disturbance_ = Disturbance::kNone;
  uint64_t seed_ = 1;
  int proxies_ = 11;
  double calls_per_second_ = 400.0;
  // Time from the order to the deadline.
  base::Duration time_to_deadline_ = std::chrono::seconds(15);
};

struct ExposureResult {
  // Calls that reached endpoints between the order and its deadline: in total,
  // and those of the new version.
  uint64_t calls_ = 0;
  uint64_t new_calls_ = 0;
  // Time from the 50th bad answer of the new version to its last call; zero if
  // it gave fewer bad answers.
  base::Duration after_bad_limit_{0};
  bool done_ = false;
  bool done_in_time_ = false;
  bool taken_back_ = false;
};

// Runs the simulation until some time after the deadline.
ExposureResult RunOrderedMove(const ExposureScenario& scenario);

std::ostream& operator<<(std::ostream& out, const ExposureScenario& scenario);

}  // namespace buckthorngate::tests

#endif  // TESTS_EXPOSURE_MODEL_H_
