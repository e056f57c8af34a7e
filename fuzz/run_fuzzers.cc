// Runs each fuzz target on a fixed number of inputs from fixed seeds.
#include <google/protobuf/stubs/logging.h>

#include <cstdio>
#include <cstdlib>

#include "base/random.h"
#include "fuzz_targets.h"
#include "platform_fuzz.h"

namespace {

using buckthorngate::base::Random;

// Changes, inserts, deletes or repeats a few bytes.
std::string Mutate(std::string input, Random& random) {
  const uint64_t changes = 1 + random.Below(6);
  for (uint64_t i = 0; i < changes; ++i) {
    const size_t at = input.empty() ? 0 : random.Below(input.size());
    switch (random.Below(4)) {
      case 0:
        if (!input.empty()) {
          input[at] = static_cast<char>(random.Below(256));
        }
        break;
      case 1:
        input.insert(at, 1, static_cast<char>(random.Below(256)));
        break;
      case 2:
        if (!input.empty()) {
          input.erase(at, 1 + random.Below(8));
        }
        break;
      default:
        input += input.substr(at, 1 + random.Below(32));
        break;
    }
  }
  return input;
}

}  // namespace

int main(int argc, char** argv) {
  // Damaged messages are the point here; protobuf need not tell of each.
  google::protobuf::SetLogHandler(nullptr);
  const int inputs = argc > 1 ? std::atoi(argv[1]) : 20'000;
  int failed = 0;
  std::vector<buckthorngate::fuzz::FuzzTarget> targets =
      buckthorngate::fuzz::FuzzTargets();
  for (const auto& target : buckthorngate::tests::PlatformFuzzTargets()) {
    targets.push_back(target);
  }
  for (const auto& target : targets) {
    Random random(1);
    std::vector<std::string> pool = target.seeds_();
    for (int i = 0; i < inputs; ++i) {
      const std::string& base = pool[random.Below(pool.size())];
      const std::string input = Mutate(base, random);
      if (!target.run_(input)) {
        std::printf("%s: invariant broken at input %d\n", target.name_, i);
        ++failed;
        break;
      }
      // Mutations build on each other.
      if (pool.size() < 200 && random.Below(50) == 0) {
        pool.push_back(input);
      }
    }
    std::printf("fuzz %s: %d inputs\n", target.name_, inputs);
  }
  return failed == 0 ? 0 : 1;
}
