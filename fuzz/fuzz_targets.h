// Fuzz targets for each outer input. Each takes any bytes and must neither
// crash nor break the invariant that it names.
#ifndef FUZZ_FUZZ_TARGETS_H_
#define FUZZ_FUZZ_TARGETS_H_

#include <string>
#include <string_view>
#include <vector>

namespace buckthorngate::fuzz {

struct FuzzTarget {
  const char* name_;
  // Returns false if an invariant is broken.
  bool (*run_)(std::string_view input);
  // Valid inputs that mutations start from.
  std::vector<std::string> (*seeds_)();
};

const std::vector<FuzzTarget>& FuzzTargets();

}  // namespace buckthorngate::fuzz

#endif  // FUZZ_FUZZ_TARGETS_H_
