// A daemon: the roles that its settings give it, in one process.
#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include <memory>

#include "buckthorngate/result_code.h"
#include "daemon/settings.h"

namespace buckthorngate::daemon {

class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Loads the state and opens the ports. Errors: kStorageCorrupt,
  // kStorageFailed, kBadSettings.
  ResultCode Start();
  // Drains, finishes what runs and stops.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_DAEMON_H_
