// Cluster of control hosts on a FakeMesh, whose disks can lose unsynced data,
// and an operator who checks each reply for lost or stale changes.
#ifndef TESTS_POWER_CLUSTER_H_
#define TESTS_POWER_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "disk_model.h"
#include "distribution/source_node.h"
#include "fake_mesh.h"

namespace buckthorngate::tests {

// Number of seeds that a test runs unless BUCKTHORNGATE_SEEDS is set.
inline constexpr uint64_t kDefaultSeeds = 400;

// The number in an environment variable, or `default_value` if it is not set.
uint64_t FromEnvironment(const char* name, uint64_t default_value);

// Recovery time that the users require, counted from the start of the last
// host.
inline constexpr base::Duration kRecovery = std::chrono::seconds(15);
// A lost machine still counts as lost for this long after its return.
inline constexpr base::Duration kCatchUp = std::chrono::seconds(6);

// Uniform in [least_ms, most_ms].
std::chrono::milliseconds Between(base::Random& random,
                                  uint64_t least_ms,
                                  uint64_t most_ms);

class PowerCluster {
 public:
  explicit PowerCluster(uint64_t seed, int hosts = 4);

  // Starts a host. With an empty disk it gets a new identity; on a `first`
  // start, a seed host gets that of an initial voter.
  void Start(int host, bool first);
  // Ends the process; `power_loss` may also lose or tear unsynced writes.
  void Stop(int host, bool power_loss);
  // Stops the host and empties its disk.
  void Wipe(int host);
  bool Running(int host) const { return nodes_.count(host) != 0; }
  void Freeze(int host) { net_.Freeze(ids_.at(host)); }
  void Thaw(int host) { net_.Thaw(ids_.at(host)); }
  void Cut(int a, int b);
  DiskJournal& Disk(int host) { return *journals_.at(host); }
  Power& GetPower() { return power_; }

  // Running for at most `max` while checking reads of all hosts; ends early
  // once `until` holds. Returns whether it holds at the end.
  bool Run(base::Duration max, const std::function<bool()>& until = nullptr);

  // The leader, if it is ready to serve, or 0.
  int Leader() const;
  // Numbers of voters and learners.
  std::pair<int, int> VoterAndLearnerCounts() const;
  // Whether all hosts are members under their current identities and the voters
  // tolerate the loss of one. There may be a fourth voter: it remains one if
  // all voters are healthy again before one of them was removed.
  bool Repaired() const;
  distribution::SourceNode& Node(int host) { return *nodes_.at(host); }

  // The operator sends the next change, or resends the one without a reply, to
  // the leader. False if there is no leader.
  bool SendChange();
  bool SendMove();
  // Calls `send` every 500 ms, as an operator would, until `done` holds or the
  // recovery time is over. Returns whether `done` holds.
  bool SendUntil(const std::function<void()>& send,
                 const std::function<bool()>& done);
  // Sends changes until one more is acknowledged.
  bool Publish();
  bool Acknowledged() const { return !change_.has_value(); }
  bool MoveAcknowledged() const { return move_acknowledged_; }
  uint64_t AckedNumber() const { return acked_number_; }
  // Whether a confirmed read was answered since the last call. Run checks that
  // each such read returns all changes acknowledged before it was sent.
  bool TakeReadSucceeded();
  // Whether the last acknowledged change, resent, is acknowledged again.
  bool ResendIsAcknowledged();
  // The first violated guarantee, or empty.
  const std::string& Violation() const { return violation_; }

  // State of each host, for failure messages.
  std::string DescribeHosts() const;

  FakeMesh& Net() { return net_; }
  base::Random& Rng() { return random_; }
  int Hosts() const { return hosts_; }
  int AnyHost() {
    return static_cast<int>(random_.Below(static_cast<uint64_t>(hosts_))) + 1;
  }

 private:
  struct Change {
    uint64_t base_ = 0;
    uint64_t number_ = 0;
    std::string text_;
  };
  enum class Kind : uint8_t { kChange, kMove, kRead, kResend };
  struct PendingRequest {
    Kind kind_ = Kind::kRead;
    // Highest number acknowledged before the request was sent.
    uint64_t acked_before_ = 0;
    Change change_;
  };

  uint64_t Send(int host, const Change& change);
  void Announce(int host);
  void SendReads();
  void TakeResults();
  void OnResult(int host,
                const PendingRequest& request,
                const rpc::PublishReply& reply);
  void OnAcknowledged(const Change& change);
  void OnRead(int host, uint64_t acked_before);
  void ReportViolation(const std::string& what);

  const int hosts_;
  base::Random random_;
  FakeMesh net_;
  Power power_;
  uint64_t next_seed_;
  std::map<int, std::string> ids_;
  std::map<int, bool> voters_;
  std::map<int, std::unique_ptr<DiskJournal>> journals_;
  std::map<int, std::unique_ptr<distribution::SourceNode>> nodes_;
  std::map<int, std::unique_ptr<base::Node>> aliases_;

  std::map<int, std::map<uint64_t, PendingRequest>> pending_requests_;
  base::MonoTime next_read_;
  // The change without a reply; it may or may not be in force.
  std::optional<Change> change_;
  Change last_acked_;
  std::map<uint64_t, std::string> acked_by_base_;
  uint64_t acked_number_ = 0;
  bool move_acknowledged_ = false;
  bool read_succeeded_ = false;
  bool resend_acked_ = false;
  uint64_t text_count_ = 0;
  std::string violation_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_POWER_CLUSTER_H_
