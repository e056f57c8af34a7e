// The proxy role of a daemon: the request path (entry and destination side) on
// an event loop, and the proxy's control node on a loop of its own.
#ifndef SRC_DAEMON_SERVING_PROXY_ROLE_H_
#define SRC_DAEMON_SERVING_PROXY_ROLE_H_

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "daemon/startup/settings.h"
#include "registry/local_endpoints.h"
#include "request/dialect.h"
#include "rpc/mesh_transport.h"

namespace buckthorngate::daemon::serving {

class ProxyRole {
 public:
  // All references must outlive the role. Errors: those of ProxyNode::Create.
  static tl::expected<std::unique_ptr<ProxyRole>, ResultCode> Create(
      const startup::Settings& settings,
      const request::Dialect& dialect,
      uint64_t incarnation,
      const base::Clock& clock,
      rpc::MeshTransport& transport);
  ~ProxyRole();

  // Opens the ports; kBadSettings if one cannot be bound.
  ResultCode Start();
  // Announces that the host's upstreams are leaving, waits until this has
  // propagated, and completes the requests in flight. New requests from callers
  // are still forwarded meanwhile.
  void Drain();
  void Stop();

  rpc::QueryReply Query(const rpc::QueryRequest& request);

  // Registration of the host's upstreams; see ControlApi.
  ResultCode Announce(const registry::Announcement& announcement);
  ResultCode DrainUpstream(const std::string& address);
  ResultCode RemoveUpstream(const std::string& address);
  ResultCode RemoveInstance(const std::string& instance, int64_t started_ms);
  bool Ready();

 private:
  class Impl;
  explicit ProxyRole(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_PROXY_ROLE_H_
