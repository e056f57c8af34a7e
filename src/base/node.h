// Common interface of the deterministic nodes (SourceNode, RelayNode,
// ProxyNode): messages in, messages out.
//
// A node holds decision logic only and has no thread, socket or clock. Its
// adapter calls OnMessage and OnTimer, then Flush, which syncs pending records
// to the journal before it returns the outgoing messages.
#ifndef SRC_BASE_NODE_H_
#define SRC_BASE_NODE_H_

#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::base {

// Collects outgoing messages until the adapter fetches them.
class Outbox {
 public:
  // Adds an envelope and returns it to be filled; the reference is valid until
  // the next call.
  rpc::Envelope& Add(const std::string& from, const std::string& to) {
    rpc::Envelope& envelope = messages_.emplace_back();
    envelope.set_from(from);
    envelope.set_to(to);
    return envelope;
  }
  std::vector<rpc::Envelope> Take() { return std::exchange(messages_, {}); }

 private:
  std::vector<rpc::Envelope> messages_;
};

class Node {
 public:
  virtual ~Node() = default;

  virtual void OnMessage(const rpc::Envelope& envelope, const Now& now) = 0;

  // Called at least every kTimerInterval.
  virtual void OnTimer(const Now& now) = 0;

  // Syncs pending records, then returns the messages that may be sent.
  virtual std::vector<rpc::Envelope> Flush(const Now& now) = 0;
};

inline constexpr Duration kTimerInterval = std::chrono::milliseconds(20);

}  // namespace buckthorngate::base

#endif  // SRC_BASE_NODE_H_
