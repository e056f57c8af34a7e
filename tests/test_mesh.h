// A mesh of sources, relays and proxies with in-memory journals on a FakeMesh.
// Nodes can crash, restart and lose their disks.
#ifndef TESTS_TEST_MESH_H_
#define TESTS_TEST_MESH_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "distribution/proxy_node.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "fake_mesh.h"
#include "storage/memory_journal.h"

namespace buckthorngate::tests {

// Makes a service with one route, the versions v1 and v2, and v1 serving.
// `detail` is appended to the route's path, so that content can differ.
rpc::Service MakeService(const std::string& name,
                         const std::string& detail = "");
rpc::Publication MakePublication(uint64_t number,
                                 const std::vector<rpc::Service>& services);

class TestMesh {
 public:
  explicit TestMesh(uint64_t seed);

  // To be called before AddProxy; see ProxyOptions.
  void SetRevocationBound(base::Duration bound) { revocation_bound_ = bound; }
  void SetApplyBound(base::Duration bound) { apply_bound_ = bound; }
  // Adds the initial members; each lists all of them in its settings.
  void AddSources(int count);
  // Adds a source that joins later, as a learner with a new identity.
  void AddJoiningSource(const std::string& id);
  void AddRelay(const std::string& id, const std::string& zone);
  void AddProxy(const std::string& id, const std::string& zone);

  // Crashes a node as by SIGKILL: unsynced records are lost. Restart creates
  // the node anew from its journal.
  void Crash(const std::string& id);
  void Restart(const std::string& id);
  // Erases the node's journal.
  void LoseDisk(const std::string& id);

  bool Alive(const std::string& id) const;
  distribution::SourceNode& Source(const std::string& id) {
    return *sources_.at(id);
  }
  distribution::RelayNode& Relay(const std::string& id) {
    return *relays_.at(id);
  }
  distribution::ProxyNode& Proxy(const std::string& id) {
    return *proxies_.at(id);
  }
  storage::MemoryJournal& Journal(const std::string& id) {
    return *journals_.at(id);
  }
  const std::vector<std::string>& SourceIds() const { return source_ids_; }
  const std::vector<std::string>& ProxyIds() const { return proxy_ids_; }

  // The source that leads, can serve and is not isolated; empty if there is
  // none.
  std::string Leader() const;
  // Publishes at the leader and runs until the reply arrives. The reply's code
  // is kNotLeader if there is no leader, kTimedOut if none arrives within
  // `timeout`.
  rpc::PublishReply Publish(const rpc::Publication& publication,
                            base::Duration timeout = std::chrono::seconds(3));
  // Runs until there is a leader; false if there is none within `timeout`.
  bool AwaitLeader(base::Duration timeout = std::chrono::seconds(10));

  FakeMesh& Net() { return net_; }

 private:
  void CreateSource(const std::string& id);
  void CreateRelay(const std::string& id);
  void CreateProxy(const std::string& id);

  FakeMesh net_;
  uint64_t next_seed_;
  base::Duration revocation_bound_{0};
  base::Duration apply_bound_{0};
  std::vector<std::string> source_ids_;
  std::vector<std::string> proxy_ids_;
  std::map<std::string, std::string> zones_;  // Of relays and proxies.
  std::map<std::string, bool> is_learner_;
  std::map<std::string, std::unique_ptr<storage::MemoryJournal>> journals_;
  std::map<std::string, std::unique_ptr<distribution::SourceNode>> sources_;
  std::map<std::string, std::unique_ptr<distribution::RelayNode>> relays_;
  std::map<std::string, std::unique_ptr<distribution::ProxyNode>> proxies_;
  std::map<std::string, uint64_t> incarnations_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_TEST_MESH_H_
