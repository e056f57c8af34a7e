// Admin pages of a daemon: announcements of upstreams, metrics, health.
#ifndef SRC_DAEMON_ADMIN_SERVER_H_
#define SRC_DAEMON_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "buckthorngate/result_code.h"
#include "registry/local_endpoints.h"

namespace buckthorngate::daemon {

// What the pages call; safe for concurrent use. The first three are for
// upstreams: none of them is set on a daemon without a proxy.
struct AdminHandlers {
  std::function<ResultCode(const registry::Announcement&)> announce_;
  std::function<void(const std::string& address)> drain_;
  std::function<void(const std::string& address)> leave_;
  std::function<std::string()> metrics_;
  std::function<bool()> ready_;
};

class AdminServer {
 public:
  explicit AdminServer(AdminHandlers handlers);
  ~AdminServer();

  // kBadSettings if the address cannot be had.
  ResultCode Start(const std::string& address);
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_ADMIN_SERVER_H_
