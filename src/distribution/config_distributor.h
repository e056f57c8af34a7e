// Feeds configuration to followers: source to relays, relay to proxies.
//
// A follower resumes from its revision and gets a merged delta, or a snapshot
// if the delta window has passed. Afterwards each change is pushed at once.
// Whatever is lost on the way shows in the follower's next acknowledgement
// and is sent again. Snapshots are admitted at a bounded rate: a herd that
// reconnects is told when to come back and so returns as a queue.
#ifndef SRC_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
#define SRC_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/node.h"
#include "base/random.h"
#include "base/time.h"
#include "config/config_state.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// A follower that is silent for longer is forgotten.
inline constexpr base::Duration kFollowerTimeout = std::chrono::seconds(6);
// A delta that is not acknowledged is sent again after this time.
inline constexpr base::Duration kResendInterval = std::chrono::seconds(1);
inline constexpr double kSnapshotsPerSecond = 200.0;
inline constexpr double kSnapshotBurst = 50.0;

struct SubscriberSummary {
  uint32_t subscribers_ = 0;
  uint64_t min_revision_ = 0;  // 0 without followers.
  uint32_t refused_ = 0;
};

class ConfigDistributor {
 public:
  ConfigDistributor(std::string self, uint64_t seed);

  void OnResume(const std::string& from,
                const rpc::Resume& resume,
                const config::ConfigState& state,
                const config::DeltaWindow& deltas,
                const base::Now& now,
                base::Outbox& outbox);

  // Also a keep-alive. Resends what the follower lacks.
  void OnAck(const std::string& from,
             const rpc::Ack& ack,
             const config::ConfigState& state,
             const config::DeltaWindow& deltas,
             const base::Now& now,
             base::Outbox& outbox);

  // Pushes the newest revision to each follower that has not been sent it.
  void Push(const config::ConfigState& state,
            const config::DeltaWindow& deltas,
            const base::Now& now,
            base::Outbox& outbox);

  void DropSilent(const base::Now& now);

  bool Knows(const std::string& follower) const {
    return subscribers_.count(follower) != 0;
  }
  SubscriberSummary Summary() const;

  struct Follower {
    rpc::Resume resume_;
    uint64_t acked_ = 0;
    uint64_t sent_ = 0;
    uint32_t result_code_ = 0;
    base::MonoTime last_sent_;
    base::MonoTime last_heard_;
  };
  const std::map<std::string, Follower>& Followers() const {
    return subscribers_;
  }

 private:
  void SendFrom(const std::string& to,
                Follower& follower,
                const config::ConfigState& state,
                const config::DeltaWindow& deltas,
                const base::Now& now,
                base::Outbox& outbox);
  bool AdmitSnapshot(const base::Now& now);
  void RefuseSnapshot(const std::string& to, base::Outbox& outbox);

  const std::string self_;
  base::Random random_;
  std::map<std::string, Follower> subscribers_;
  // Token bucket of snapshots; negative tokens are promised in the future.
  double tokens_ = kSnapshotBurst;
  uint64_t waiting_ = 0;
  base::MonoTime refilled_;
  // One delta serves many followers that start at the same revision.
  rpc::ConfigDelta cached_delta_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
