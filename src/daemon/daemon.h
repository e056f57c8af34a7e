// A daemon: the roles that its settings give it, in one process.
#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include <memory>

#include "buckthorngate/result_code.h"
#include "daemon/control_api.h"
#include "daemon/settings.h"
#include "request/dialect.h"

namespace buckthorngate::daemon {

class Daemon {
 public:
  explicit Daemon(Settings settings,
                  request::Dialect dialect = request::Dialect());
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Loads the state and opens the ports. Errors: kStorageCorrupt,
  // kStorageFailed, kBadSettings.
  ResultCode Start();
  // Tells others that this host leaves, and finishes what runs.
  void Drain();
  void Stop();

  // For an adapter to a platform, which must be stopped before the daemon.
  ControlApi& Api();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_DAEMON_H_
