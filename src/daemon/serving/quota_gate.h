// Connects the request path to the quotas of client accounts: requests wait on
// the event loop for tokens that the node receives.
#ifndef SRC_DAEMON_SERVING_QUOTA_GATE_H_
#define SRC_DAEMON_SERVING_QUOTA_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/event_loop.h"
#include "request/quota_client.h"

namespace buckthorngate::daemon::serving {

class QuotaGate {
 public:
  // All must outlive the gate. `wake_node` makes the node send its demands
  // soon.
  QuotaGate(const base::Clock& clock,
            http::EventLoop& loop,
            request::QuotaClient& client,
            std::function<void()> wake_node);

  // Takes a token for a request of the account, waiting for up to `max_wait`.
  // On the event loop's thread.
  http::Task<request::QuotaDecision> Acquire(std::string account,
                                             base::Duration max_wait);
  // Gives back the token of a request that did not run.
  void GiveBack(const std::string& account, base::BootTime token_expires);

  // Wakes the requests that were decided. On the node's thread, after messages
  // were handled.
  void DeliverDecisions();

  // Prometheus text exposition format.
  std::string Render() const;

 private:
  const base::Clock& clock_;
  http::EventLoop& loop_;
  request::QuotaClient& client_;
  const std::function<void()> wake_node_;
  // Waiting requests by ticket. On the event loop's thread only.
  std::map<uint64_t, std::shared_ptr<http::Notifier>> waiting_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_QUOTA_GATE_H_
