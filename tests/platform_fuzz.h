// Fuzz targets for the documents of the platform.
#ifndef TESTS_PLATFORM_FUZZ_H_
#define TESTS_PLATFORM_FUZZ_H_

#include <vector>

#include "fuzz_targets.h"

namespace buckthorngate::tests {

std::vector<fuzz::FuzzTarget> PlatformFuzzTargets();

}  // namespace buckthorngate::tests

#endif  // TESTS_PLATFORM_FUZZ_H_
