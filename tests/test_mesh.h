// Sources, relays and proxies on a FakeMesh, with their journals: crash,
// restart, lose a disk.
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

// A service with one route and one endpoint version, for publications.
rpc::Service MakeService(const std::string& name,
                         const std::string& detail = "");
rpc::Publication MakePublication(uint64_t number,
                                 const std::vector<rpc::Service>& services);

class TestMesh {
 public:
  explicit TestMesh(uint64_t seed);

  // First members; all named in each other's settings.
  void AddSources(int count);
  // A source that joins later, as a learner under a new identity.
  void AddJoiningSource(const std::string& id);
  void AddRelay(const std::string& id, const std::string& zone);
  void AddProxy(const std::string& id, const std::string& zone);

  // kill -9: unsynced records are lost. Restart reads the journal.
  void Crash(const std::string& id);
  void Restart(const std::string& id);
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

  // The source that leads and serves, or empty.
  std::string Leader() const;
  // Publishes at the leader and runs until the answer; kNotLeader if there is
  // none, kTimedOut if no answer comes.
  rpc::PublishReply Publish(const rpc::Publication& publication,
                            base::Duration most = std::chrono::seconds(3));
  // Runs until there is a leader.
  bool AwaitLeader(base::Duration most = std::chrono::seconds(10));

  FakeMesh& Net() { return net_; }

 private:
  void CreateSource(const std::string& id);
  void CreateRelay(const std::string& id);
  void CreateProxy(const std::string& id);

  FakeMesh net_;
  uint64_t next_seed_;
  std::vector<std::string> source_ids_;
  std::vector<std::string> proxy_ids_;
  std::map<std::string, std::string> zones_;  // Of relays and proxies.
  std::map<std::string, bool> joins_;
  std::map<std::string, std::unique_ptr<storage::MemoryJournal>> journals_;
  std::map<std::string, std::unique_ptr<distribution::SourceNode>> sources_;
  std::map<std::string, std::unique_ptr<distribution::RelayNode>> relays_;
  std::map<std::string, std::unique_ptr<distribution::ProxyNode>> proxies_;
  std::map<std::string, uint64_t> incarnations_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_TEST_MESH_H_
