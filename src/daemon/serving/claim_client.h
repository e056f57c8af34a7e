// Connects the request path to the claim protocol, which makes requests of
// at-most-once routes run at most once: passes claim requests to the node loop
// and waits for their outcomes on the event loop.
#ifndef SRC_DAEMON_SERVING_CLAIM_CLIENT_H_
#define SRC_DAEMON_SERVING_CLAIM_CLIENT_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "daemon/control/node_loop.h"
#include "distribution/proxy_node.h"
#include "http/event_loop.h"
#include "request/claim_coordinator.h"

namespace buckthorngate::daemon::serving {

class ClaimClient {
 public:
  // All must outlive the client.
  ClaimClient(const base::Clock& clock,
              http::EventLoop& loop,
              control::NodeLoop& node_loop,
              distribution::ProxyNode& node);

  // Starts a claim request and waits for its outcome. On a timeout the outcome
  // is kClaimNoQuorum, and a CLAIM is followed by a RELEASE, since it may still
  // be granted. Called on the event loop's thread.
  http::Task<request::ClaimOutcome> Run(rpc::ClaimRequest::Action action,
                                        rpc::ClaimRecord record);

  // Passes outcomes from the node to the coroutines that wait for them. Called
  // on the node loop's thread.
  void DeliverOutcomes(std::vector<request::ClaimOutcome> outcomes);

 private:
  // Owner and action of a claim request.
  using Key = std::pair<std::string, rpc::ClaimRequest::Action>;

  struct PendingClaim {
    explicit PendingClaim(http::EventLoop& loop) : completed_(loop) {}

    http::Notifier completed_;
    std::optional<request::ClaimOutcome> outcome_;
  };

  void StartRequest(rpc::ClaimRequest::Action action,
                    const rpc::ClaimRecord& record);

  const base::Clock& clock_;
  http::EventLoop& loop_;
  control::NodeLoop& node_loop_;
  distribution::ProxyNode& node_;
  // Claim requests that wait for their outcome. Used on the event loop's thread
  // only.
  std::map<Key, std::shared_ptr<PendingClaim>> pending_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_CLAIM_CLIENT_H_
