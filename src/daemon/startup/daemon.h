// A daemon: runs the roles that are enabled in its settings (source, relay,
// proxy) in one process.
#ifndef SRC_DAEMON_STARTUP_DAEMON_H_
#define SRC_DAEMON_STARTUP_DAEMON_H_

#include <memory>

#include "buckthorngate/result_code.h"
#include "daemon/control/control_api.h"
#include "daemon/startup/settings.h"
#include "request/dialect.h"

namespace buckthorngate::daemon::startup {

class Daemon {
 public:
  explicit Daemon(Settings settings,
                  request::Dialect dialect = request::Dialect());
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Loads the stored state and opens the ports. Errors: kStorageCorrupt,
  // kStorageFailed, kBadSettings.
  ResultCode Start();
  // Announces to other hosts that this one is leaving, and completes the
  // requests in flight.
  void Drain();
  void Stop();

  // For an adapter to a platform. The adapter must be stopped before the daemon
  // is.
  control::ControlApi& Api();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon::startup

#endif  // SRC_DAEMON_STARTUP_DAEMON_H_
