// What every deterministic node has in common: messages in, messages out.
//
// A node is a composition of decisions (SourceNode, RelayNode, ProxyNode). It
// has no thread, socket or clock. The adapter calls OnMessage and OnTimer,
// then Flush, which syncs what must last before the outbox is handed over.
#ifndef SRC_BASE_NODE_H_
#define SRC_BASE_NODE_H_

#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::base {

// Collects messages until the adapter takes them.
class Outbox {
 public:
  // Returns the body to fill; valid until the next call.
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

  // Syncs pending records; returns the messages that may leave now.
  virtual std::vector<rpc::Envelope> Flush(const Now& now) = 0;
};

inline constexpr Duration kTimerInterval = std::chrono::milliseconds(20);

}  // namespace buckthorngate::base

#endif  // SRC_BASE_NODE_H_
