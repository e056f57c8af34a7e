// Runs nodes in one thread on virtual time, over a simulated network whose
// loss, duplication and delays are determined by a seed.
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
  double loss_ = 0.0;       // Probability that a message is lost.
  double duplicate_ = 0.0;  // Probability that a message is delivered twice.
  base::Duration min_delay_ = std::chrono::milliseconds(1);
  base::Duration max_delay_ = std::chrono::milliseconds(2);
};

class FakeMesh {
 public:
  explicit FakeMesh(uint64_t seed) : random_(seed) {}

  // The node must outlive the mesh or be removed before its end.
  void Add(const std::string& id, base::Node* node) { nodes_[id] = node; }
  // Removes a node, as at a crash: messages in flight to it are lost.
  void Remove(const std::string& id) { nodes_.erase(id); }
  // Suspends a node, as by SIGSTOP: messages to it are held until Thaw.
  void Freeze(const std::string& id) { frozen_.insert(id); }
  void Thaw(const std::string& id) { frozen_.erase(id); }

  // Partitions two nodes from each other, in both directions.
  void Cut(const std::string& a, const std::string& b) {
    partitions_.insert({a, b});
    partitions_.insert({b, a});
  }
  // Partitions a node from all others.
  void Isolate(const std::string& id) { isolated_.insert(id); }
  // Removes all partitions.
  void Heal() {
    partitions_.clear();
    isolated_.clear();
  }
  bool Isolated(const std::string& id) const {
    return isolated_.count(id) != 0;
  }

  void SetFaults(const NetworkFaults& faults) { faults_ = faults; }
  // Sets the offset of a node's wall clock from virtual time.
  void SetClockError(const std::string& id, std::chrono::milliseconds error) {
    clock_errors_[id] = error;
  }

  // Sets the monotonic clock of a node back against its boot clock, as a
  // suspension of its host for that time does. To be used with Freeze.
  void Suspend(const std::string& id, base::Duration time) {
    suspended_[id] += time;
  }

  // Sets a function that is called for each sent envelope, before faults apply.
  void SetTap(std::function<void(const rpc::Envelope&)> tap) {
    tap_ = std::move(tap);
  }

  base::Now NowFor(const std::string& id) const;
  base::Now Now() const { return NowFor(""); }

  // Gives a node a link of this rate: messages to it arrive in order, one after
  // the other.
  void SetLink(const std::string& id, double bytes_per_second) {
    links_[id] = {bytes_per_second, elapsed_};
  }

  // With batching a node handles all messages of a step and its timer before it
  // flushes, as a daemon does with messages that queued up while it was busy.
  // Without, it flushes after each message.
  void SetBatching(bool batching) { batching_ = batching; }

  // Advances virtual time by `length` in steps of 10 ms. Each step delivers the
  // messages that are due and runs each node's timer, then calls `after_step`.
  void Run(base::Duration length,
           const std::function<void()>& after_step = nullptr);
  // Flushes one node outside of Run, after a direct call to it.
  void Flush(const std::string& id);

  base::Random& Rng() { return random_; }
  uint64_t Sent() const { return sent_; }
  uint64_t SentBytes() const { return sent_bytes_; }

 private:
  void Send(const rpc::Envelope& envelope);
  // When a message that leaves now arrives.
  base::Duration ArrivalOf(const rpc::Envelope& envelope);
  // Whether a partition separates the two nodes.
  bool Partitioned(const std::string& from, const std::string& to) const;

  base::Random random_;
  base::Duration elapsed_ = std::chrono::hours(1);
  std::map<std::string, base::Node*> nodes_;
  std::multimap<base::Duration, rpc::Envelope> in_flight_;
  std::map<std::string, std::vector<rpc::Envelope>> held_for_frozen_;
  std::set<std::string> frozen_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::set<std::string> isolated_;
  std::map<std::string, std::chrono::milliseconds> clock_errors_;
  std::map<std::string, base::Duration> suspended_;
  struct Link {
    double bytes_per_second_ = 0.0;
    base::Duration free_at_{0};  // When all messages so far have arrived.
  };
  std::map<std::string, Link> links_;
  NetworkFaults faults_;
  bool batching_ = false;
  std::function<void(const rpc::Envelope&)> tap_;
  uint64_t sent_ = 0;
  uint64_t sent_bytes_ = 0;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_FAKE_MESH_H_
