// Nodes in one thread on virtual time, with a network that misbehaves by seed.
#ifndef TESTS_FAKE_MESH_H_
#define TESTS_FAKE_MESH_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/node.h"
#include "base/random.h"
#include "base/time.h"

namespace buckthorngate::tests {

struct NetworkFaults {
  double loss_ = 0.0;
  double duplicate_ = 0.0;
  base::Duration min_delay_ = std::chrono::milliseconds(1);
  base::Duration max_delay_ = std::chrono::milliseconds(2);
};

class FakeMesh {
 public:
  explicit FakeMesh(uint64_t seed) : random_(seed) {}

  // The node must outlive its membership in the mesh.
  void Add(const std::string& id, base::Node* node) { nodes_[id] = node; }
  // A crashed node's messages under way to it are lost.
  void Remove(const std::string& id) { nodes_.erase(id); }
  // A frozen node neither runs nor receives; messages wait for it.
  void Freeze(const std::string& id) { frozen_.insert(id); }
  void Thaw(const std::string& id) { frozen_.erase(id); }

  // Cuts both directions between two nodes, or heals.
  void Cut(const std::string& a, const std::string& b) {
    cuts_.insert({a, b});
    cuts_.insert({b, a});
  }
  void Isolate(const std::string& id) { isolated_.insert(id); }
  void Heal() {
    cuts_.clear();
    isolated_.clear();
  }
  bool Isolated(const std::string& id) const {
    return isolated_.count(id) != 0;
  }

  void SetFaults(const NetworkFaults& faults) { faults_ = faults; }
  // Error of a node's wall clock.
  void SetClockError(const std::string& id, std::chrono::milliseconds error) {
    clock_errors_[id] = error;
  }

  // Called for each envelope that is sent, before faults.
  void SetTap(std::function<void(const rpc::Envelope&)> tap) {
    tap_ = std::move(tap);
  }

  base::Now NowFor(const std::string& id) const;
  base::Now Now() const { return NowFor(""); }

  // Nodes take all messages of a step and their timer before they send, as a
  // daemon does with what came while it was busy.
  void SetBatching(bool batching) { batching_ = batching; }

  // Runs in steps of `step`; each delivers what is due and lets each node's
  // timer run. `after_step` runs after each.
  void Run(base::Duration length,
           const std::function<void()>& after_step = nullptr);
  // Flushes one node outside of Run, after a direct call on it.
  void Flush(const std::string& id);

  base::Random& Rng() { return random_; }
  uint64_t Sent() const { return sent_; }
  uint64_t SentBytes() const { return sent_bytes_; }

 private:
  void Send(const rpc::Envelope& envelope);
  bool Blocked(const std::string& from, const std::string& to) const;

  base::Random random_;
  base::Duration elapsed_ = std::chrono::hours(1);
  std::map<std::string, base::Node*> nodes_;
  std::multimap<base::Duration, rpc::Envelope> flying_;
  std::map<std::string, std::vector<rpc::Envelope>> held_;
  std::set<std::string> frozen_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> isolated_;
  std::map<std::string, std::chrono::milliseconds> clock_errors_;
  NetworkFaults faults_;
  bool batching_ = false;
  std::function<void(const rpc::Envelope&)> tap_;
  uint64_t sent_ = 0;
  uint64_t sent_bytes_ = 0;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_FAKE_MESH_H_
