// Model of one ordered move: callers, proxies, endpoints of two versions, the
// sources' state and the controller, on virtual time.
//
// The decisions are the real ones; what is modelled is how versions answer, how
// reports travel and what goes wrong meanwhile.
#ifndef TESTS_EXPOSURE_MODEL_H_
#define TESTS_EXPOSURE_MODEL_H_

#include <cstdint>
#include <ostream>

#include "base/time.h"

namespace buckthorngate::tests {

// How the new version answers.
enum class Badness : uint8_t {
  kNone,
  kErrors,
  kSlow,
  kErrorsUnderLoad,
  kSlowUnderLoad,
  kErrorsOnOneRoute,
  kErrorsLate,
  kSlowLate,
};

inline constexpr Badness kAllBadness[] = {
    Badness::kErrors,           Badness::kSlow,
    Badness::kErrorsUnderLoad,  Badness::kSlowUnderLoad,
    Badness::kErrorsOnOneRoute, Badness::kErrorsLate,
    Badness::kSlowLate,
};

// What happens beside the move.
enum class Trouble : uint8_t {
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

inline constexpr Trouble kAllTroubles[] = {
    Trouble::kNone,           Trouble::kClocksAhead, Trouble::kClocksBack,
    Trouble::kAllSlow,        Trouble::kAllFail,     Trouble::kAnswersLost,
    Trouble::kReportsLost,    Trouble::kReportsLate, Trouble::kNewLeaders,
    Trouble::kProxiesRestart, Trouble::kOrderResent, Trouble::kBurst,
    Trouble::kCallersLeave,
};

const char* NameOf(Badness badness);
const char* NameOf(Trouble trouble);

struct ExposureScenario {
  Badness badness_ = Badness::kNone;
  Trouble trouble_ = Trouble::kNone;
  uint64_t seed_ = 1;
  int proxies_ = 11;
  double calls_per_second_ = 400.0;
  base::Duration time_ = std::chrono::seconds(15);
};

struct ExposureResult {
  // Calls that reached endpoints from the order to its deadline.
  uint64_t calls_ = 0;
  uint64_t new_calls_ = 0;
  // From the 50th bad answer of the new version to its last call; zero if it
  // gave fewer.
  base::Duration after_bad_{0};
  bool done_ = false;
  bool done_in_time_ = false;
  bool taken_back_ = false;
};

ExposureResult RunOrderedMove(const ExposureScenario& scenario);

std::ostream& operator<<(std::ostream& out, const ExposureScenario& scenario);

}  // namespace buckthorngate::tests

#endif  // TESTS_EXPOSURE_MODEL_H_
