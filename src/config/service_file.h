// Service files: the TOML that operators keep beside each service's code.
#ifndef SRC_CONFIG_SERVICE_FILE_H_
#define SRC_CONFIG_SERVICE_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/problem.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// Limits of a service file.
inline constexpr int64_t kMaxTimeoutMs = 3'600'000;
inline constexpr int64_t kDefaultTimeoutMs = 10'000;
inline constexpr int64_t kMaxConcurrency = 100'000;
inline constexpr uint32_t kDefaultRetryPercent = 18;
inline constexpr uint32_t kMaxRetryPercent = 18;
inline constexpr uint32_t kDefaultUnprovenPermille = 50;
inline constexpr uint32_t kMaxUnprovenPermille = 500;

// Parses one service file. Whatever does not fit is added to `problems`; the
// result is of use only if nothing was added.
rpc::Service ParseServiceFile(std::string_view text,
                              const std::string& file,
                              Problems& problems);

// A publication's services with the files that they came from.
struct LoadedServices {
  std::vector<rpc::Service> services_;
  std::vector<std::string> files_;  // Parallel to services_.
};

// Reads all *.toml files below `folder`, sorted by path.
LoadedServices LoadServiceFolder(const std::string& folder, Problems& problems);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_SERVICE_FILE_H_
