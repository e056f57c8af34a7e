// Main program of a daemon: settings, signal handling, startup and shutdown.
#ifndef SRC_DAEMON_STARTUP_PROGRAM_H_
#define SRC_DAEMON_STARTUP_PROGRAM_H_

#include <functional>
#include <memory>
#include <string>

#include "daemon/control/control_api.h"
#include "daemon/startup/settings.h"
#include "request/dialect.h"

namespace buckthorngate::daemon::startup {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

// Reads and validates a settings file. Problems are printed to standard error;
// false if there are any.
bool LoadSettings(const std::string& file, Settings& settings);

struct Program {
  Settings settings_;
  // Validated again on SIGHUP; may be empty.
  std::string settings_file_;
  request::Dialect dialect_;
  // Creates the adapter to a platform; may be null.
  std::function<std::unique_ptr<control::Adapter>(const Settings&,
                                                  control::ControlApi&)>
      make_adapter_;
};

// Runs the daemon until SIGTERM or SIGINT; returns the exit code.
int RunProgram(Program program);

}  // namespace buckthorngate::daemon::startup

#endif  // SRC_DAEMON_STARTUP_PROGRAM_H_
