// Claims on the path of a request: waits for the control side's outcome.
#ifndef SRC_DAEMON_CLAIM_CLIENT_H_
#define SRC_DAEMON_CLAIM_CLIENT_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "daemon/node_loop.h"
#include "distribution/proxy_node.h"
#include "http/event_loop.h"
#include "request/claim_coordinator.h"

namespace buckthorngate::daemon {

class ClaimClient {
 public:
  // All must outlive the client.
  ClaimClient(const base::Clock& clock,
              http::EventLoop& loop,
              NodeLoop& node_loop,
              distribution::ProxyNode& node);

  // Waits for the outcome; kClaimNoQuorum if it does not come in time: then a
  // claim is given back, granted or not. On the event loop's thread.
  http::Task<request::ClaimOutcome> Run(rpc::ClaimRequest::Action action,
                                        rpc::ClaimRecord record);

  // Hands over what the node has decided. On the node loop's thread.
  void Complete(std::vector<request::ClaimOutcome> outcomes);

 private:
  using Key = std::pair<std::string, rpc::ClaimRequest::Action>;

  struct Waiting {
    explicit Waiting(http::EventLoop& loop) : decided_(loop) {}

    http::Notifier decided_;
    std::optional<request::ClaimOutcome> outcome_;
  };

  void Ask(rpc::ClaimRequest::Action action, const rpc::ClaimRecord& record);

  const base::Clock& clock_;
  http::EventLoop& loop_;
  NodeLoop& node_loop_;
  distribution::ProxyNode& node_;
  // Used on the event loop's thread only.
  std::map<Key, std::shared_ptr<Waiting>> waiting_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_CLAIM_CLIENT_H_
