// Claims on the path of a request: waits for the control side's outcome.
#ifndef SRC_DAEMON_CLAIM_CLIENT_H_
#define SRC_DAEMON_CLAIM_CLIENT_H_

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "daemon/node_loop.h"
#include "distribution/proxy_node.h"
#include "request/claim_coordinator.h"

namespace buckthorngate::daemon {

// Safe for concurrent use.
class ClaimClient {
 public:
  // Both must outlive the client.
  ClaimClient(NodeLoop& loop, distribution::ProxyNode& node);

  // Waits for the outcome; kClaimNoQuorum if it does not come in time.
  request::ClaimOutcome Run(rpc::ClaimRequest::Action action,
                            const rpc::ClaimRecord& record);

  // Hands over what the node has decided. Runs on the loop's thread.
  void Complete(std::vector<request::ClaimOutcome> outcomes);

 private:
  using Key = std::pair<std::string, rpc::ClaimRequest::Action>;

  NodeLoop& loop_;
  distribution::ProxyNode& node_;
  std::mutex mutex_;
  std::map<Key, std::shared_ptr<std::promise<request::ClaimOutcome>>> waiting_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_CLAIM_CLIENT_H_
