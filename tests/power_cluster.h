// Control hosts on a FakeMesh with disks that lose what was not synced,
// and an operator who checks each answer.
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

// Seeds that a test plays unless BUCKTHORNGATE_SEEDS says otherwise.
inline constexpr uint64_t kDefaultSeeds = 400;

// The number in this variable of the environment, or `otherwise`.
uint64_t FromEnvironment(const char* name, uint64_t otherwise);

// As the users state it, counted from the start of the last host.
inline constexpr base::Duration kRecovery = std::chrono::seconds(15);
// A lost machine counts as lost for this long after it is back.
inline constexpr base::Duration kCatchUp = std::chrono::seconds(6);

std::chrono::milliseconds Between(base::Random& random,
                                  uint64_t least_ms,
                                  uint64_t most_ms);

class PowerCluster {
 public:
  explicit PowerCluster(uint64_t seed, int hosts = 4);

  // An empty disk gets an identity: that of a first voter on a first start.
  void Start(int host, bool first);
  // The process ends; `power` also takes what was not synced.
  void Stop(int host, bool power);
  // The disk comes back empty.
  void Wipe(int host);
  bool Runs(int host) const { return nodes_.count(host) != 0; }
  void Freeze(int host) { net_.Freeze(ids_.at(host)); }
  void Thaw(int host) { net_.Thaw(ids_.at(host)); }
  void Cut(int a, int b);
  DiskJournal& Disk(int host) { return *journals_.at(host); }
  Power& GetPower() { return power_; }

  // Runs and checks reads of all hosts; ends early if `until` holds.
  bool Run(base::Duration most, const std::function<bool()>& until = nullptr);

  // The host that leads and serves, or 0.
  int Leader() const;
  std::pair<int, int> Counts() const;
  // Whether all hosts are members under the identities that run, and the
  // voters bear the loss of one. A fourth voter stays one if all of them are
  // well again before one was removed.
  bool Repaired() const;
  distribution::SourceNode& Node(int host) { return *nodes_.at(host); }

  // The operator: sends the next change, or the one without an answer again,
  // to the leader. False if there is none.
  bool SendChange();
  bool SendMove();
  // As an operator does: again every 500 ms, within the recovery time. Whether
  // `done` holds then.
  bool SendUntil(const std::function<void()>& send,
                 const std::function<bool()>& done);
  // Sends changes until one more is acknowledged.
  bool Publish();
  bool Acknowledged() const { return !change_.has_value(); }
  bool MoveAcknowledged() const { return move_acknowledged_; }
  uint64_t AckedNumber() const { return acked_number_; }
  // A read that came after `host` answered holds all that was acknowledged.
  bool ReadsBack();
  // The last acknowledged change, sent again, is acknowledged again.
  bool ResendIsAcknowledged();
  // Broken promises, if any.
  const std::string& Broken() const { return broken_; }

  // What each host holds, for a failure's message.
  std::string View() const;

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
  struct Asked {
    Kind kind_ = Kind::kRead;
    // What had been acknowledged when it was asked.
    uint64_t floor_ = 0;
    Change change_;
  };

  uint64_t Send(int host, const Change& change);
  void Announce(int host);
  void AskToRead();
  void TakeResults();
  void OnResult(int host, const Asked& asked, const rpc::PublishReply& reply);
  void OnAcknowledged(const Change& change);
  void OnRead(int host, uint64_t floor);
  void Break(const std::string& what);

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

  std::map<int, std::map<uint64_t, Asked>> asked_;
  base::MonoTime next_read_;
  // The change without an answer; it may or may not be in force.
  std::optional<Change> change_;
  Change last_acked_;
  std::map<uint64_t, std::string> acked_by_base_;
  uint64_t acked_number_ = 0;
  bool move_acknowledged_ = false;
  bool read_back_ = false;
  bool resend_acked_ = false;
  uint64_t texts_ = 0;
  std::string broken_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_POWER_CLUSTER_H_
