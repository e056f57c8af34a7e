// Options that the tool's commands share, and its exit codes.
#ifndef SRC_CLI_OPTIONS_H_
#define SRC_CLI_OPTIONS_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "buckthorngate/control_client.h"

namespace buckthorngate::cli {

inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;    // The system refused.
inline constexpr int kExitBadInput = 2;   // Files or options are wrong.
inline constexpr int kExitUnreached = 3;  // No server answered in time.
inline constexpr int kExitTakenBack = 4;  // `moves`: a move was taken back.

struct Options {
  std::vector<std::string> servers_ = {"127.0.0.1:7400"};
  ClientTls tls_;
  bool json_ = false;
  uint32_t timeout_s_ = 15;
  std::string folder_;
  uint64_t number_ = 0;
  bool wait_ = false;
  bool watch_ = false;
  std::string author_;
  uint64_t revision_ = 0;
  uint32_t limit_ = 100;
  std::string member_id_;
  std::string member_address_;
  std::string evacuated_zone_;
  std::vector<std::string> lifted_;

  std::chrono::milliseconds Timeout() const {
    return std::chrono::seconds(timeout_s_);
  }
  std::unique_ptr<ControlClient> Connect() const {
    return std::make_unique<ControlClient>(servers_, tls_, Timeout());
  }
};

// Prints why a call failed; returns the exit code.
int ReportFailure(ResultCode code);

}  // namespace buckthorngate::cli

#endif  // SRC_CLI_OPTIONS_H_
