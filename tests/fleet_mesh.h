// A fleet in virtual time: control hosts that discover each other by seeds, and
// daemons with one upstream each, on a FakeMesh. Counts the bytes of each node.
#ifndef TESTS_FLEET_MESH_H_
#define TESTS_FLEET_MESH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_host.h"
#include "distribution/proxy_node.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "fake_mesh.h"
#include "storage/memory_journal.h"

namespace buckthorngate::tests {

struct FleetOptions {
  int zones_ = 6;
  int control_hosts_per_zone_ = 2;
  int daemons_ = 48;
  size_t tolerated_losses_ = 2;
  uint64_t seed_ = 1;
};

class FleetMesh {
 public:
  explicit FleetMesh(FleetOptions options);

  // Runs the mesh while the upstreams repeat their announcements.
  void Run(base::Duration length);
  // Stops a control host and its nodes, and starts it again. With `lose_disk`
  // it comes back under a new identity.
  void StopControlHost(int host);
  void StartControlHost(int host, bool lose_disk);
  // Stops and starts a daemon, which keeps no state.
  void StopDaemon(int daemon);
  void StartDaemon(int daemon);
  // Ends or starts the announcements of a daemon's upstream, without telling
  // the daemon.
  void SetUpstreamUp(int daemon, bool up) { upstream_up_[daemon] = up; }

  // Number of endpoints that the daemon knows as ready.
  size_t ReadyEndpoints(int daemon);
  // Whether each daemon knows `count` ready endpoints.
  bool AllKnow(size_t count);
  distribution::SourceNode* Leader();
  distribution::ProxyNode& Daemon(int daemon) { return *daemons_.at(daemon); }
  distribution::RelayNode& Relay(int host) { return *relays_.at(host); }
  const std::string& RelayId(int host) const { return relay_ids_.at(host); }
  static std::string DaemonId(int daemon);
  // Control hosts of one zone have numbers that differ by the number of zones.
  std::string ZoneOf(int number) const;
  const FleetOptions& Options() const { return options_; }

  // Bytes that nodes sent and received since ResetCounts.
  void ResetCounts() { bytes_.clear(); }
  uint64_t DaemonBytes() const;
  uint64_t ControlBytes() const;
  // Registry entries that daemons received since the start.
  uint64_t EntriesToDaemons() const { return entries_to_daemons_; }
  // Times that a daemon was told to resume later, since the start.
  uint64_t Deferrals() const { return deferrals_; }

  FakeMesh& Net() { return net_; }

 private:
  void Count(const rpc::Envelope& envelope);

  const FleetOptions options_;
  FakeMesh net_;
  uint64_t next_seed_ = 1;
  std::map<int, std::string> host_ids_;
  std::map<int, std::string> relay_ids_;
  std::map<int, std::unique_ptr<storage::MemoryJournal>> source_journals_;
  std::map<int, std::unique_ptr<storage::MemoryJournal>> relay_journals_;
  std::map<int, std::unique_ptr<distribution::SourceNode>> sources_;
  std::map<int, std::unique_ptr<distribution::RelayNode>> relays_;
  std::map<int, std::unique_ptr<AliasNode>> aliases_;
  std::map<int, std::unique_ptr<distribution::ProxyNode>> daemons_;
  std::map<int, std::unique_ptr<storage::MemoryJournal>> daemon_journals_;
  std::map<int, uint64_t> incarnations_;
  std::map<int, bool> upstream_up_;
  std::map<std::string, uint64_t> bytes_;
  uint64_t entries_to_daemons_ = 0;
  uint64_t deferrals_ = 0;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_FLEET_MESH_H_
