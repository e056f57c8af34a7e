// Admin HTTP server of a daemon: registration of upstreams, metrics and health
// checks.
#ifndef SRC_DAEMON_CONTROL_ADMIN_SERVER_H_
#define SRC_DAEMON_CONTROL_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "buckthorngate/result_code.h"
#include "registry/local_endpoints.h"

namespace buckthorngate::daemon::control {

// Callbacks behind the admin endpoints; must be safe for concurrent use. The
// first three serve upstreams and are null on a daemon without the proxy role.
struct AdminHandlers {
  std::function<ResultCode(const registry::Announcement&)> announce_;
  std::function<ResultCode(const std::string& address)> drain_;
  std::function<ResultCode(const std::string& address)> leave_;
  std::function<std::string()> metrics_;
  std::function<bool()> ready_;
};

class AdminServer {
 public:
  explicit AdminServer(AdminHandlers handlers);
  ~AdminServer();

  // Binds `address` and starts serving; kBadSettings if the bind fails.
  ResultCode Start(const std::string& address);
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_ADMIN_SERVER_H_
