// Distributes the configuration to subscribers: a source to relays, a relay to
// proxies.
//
// A subscriber sends a Resume with its revision and gets a merged delta, or a
// snapshot if the delta window does not reach back to that revision. After that
// each change is pushed at once, over the same ordered stream. Updates and
// heartbeats carry the number of the Resume that they answer, and heartbeats
// the revision up to which updates were sent. So the subscriber knows an update
// that is lost from one that is still on its way behind a busy link, and sends
// a new Resume only for the former. Snapshots are rate-limited by a token
// bucket. When many subscribers reconnect at once, those beyond the limit get a
// RetryAfter whose delay grows with the number of deferred snapshots, so that
// they return spread over time.
#ifndef SRC_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
#define SRC_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/node.h"
#include "base/random.h"
#include "base/time.h"
#include "config/config_state.h"
#include "distribution/snapshot_cache.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// A subscriber that sends nothing for longer than this is dropped.
inline constexpr base::Duration kSubscriberTimeout = std::chrono::seconds(6);
// An update that a subscriber without numbers in its Resume does not
// acknowledge within this time is sent again.
inline constexpr base::Duration kResendInterval = std::chrono::seconds(1);
inline constexpr double kSnapshotsPerSecond = 200.0;
inline constexpr double kSnapshotBurst = 50.0;

struct SubscriberSummary {
  uint32_t subscribers_ = 0;
  uint64_t min_revision_ = 0;  // Lowest acknowledged; 0 without subscribers.
  uint32_t refused_ = 0;       // Subscribers that refused their last update.
};

class ConfigDistributor {
 public:
  ConfigDistributor(std::string self, uint64_t seed);

  // Registers the subscriber, or resets its state, and sends what it lacks
  // unless it is on standby. A Resume that repeats the last one changes
  // nothing.
  void OnResume(const std::string& from,
                const rpc::Resume& resume,
                const config::ConfigState& state,
                const config::DeltaWindow& deltas,
                const base::Now& now,
                base::Outbox& outbox);

  // Handles an acknowledgement, which is also a keepalive; asks an unknown
  // subscriber to resume.
  void OnAck(const std::string& from,
             const rpc::Ack& ack,
             const config::ConfigState& state,
             const config::DeltaWindow& deltas,
             const base::Now& now,
             base::Outbox& outbox);

  // Sends the current revision to each active subscriber it was not sent to.
  void Push(const config::ConfigState& state,
            const config::DeltaWindow& deltas,
            const base::Now& now,
            base::Outbox& outbox);

  // Drops subscribers that exceeded kSubscriberTimeout.
  void DropUnresponsive(const base::Now& now);

  bool HasSubscriber(const std::string& subscriber) const {
    return subscribers_.count(subscriber) != 0;
  }
  SubscriberSummary Summary() const;

  // Fills in what the subscriber's heartbeat tells of the updates sent to it.
  void DescribeUpdates(const std::string& subscriber,
                       rpc::SourceHeartbeat& heartbeat) const;

  struct Subscriber {
    rpc::Resume resume_;
    base::MonoTime resumed_;  // When it came.
    uint64_t acked_revision_ = 0;
    uint64_t sent_revision_ = 0;  // 0: the next update is a snapshot.
    uint32_t result_code_ = 0;    // Of the last acknowledgement.
    // Was told to retry later; gets nothing until it resumes or, in case that
    // was lost, acknowledges again after kResendInterval.
    bool deferred_ = false;
    base::MonoTime last_sent_;
    base::MonoTime last_contact_;
    // Digest of the membership that the subscriber holds; 0: none known.
    uint64_t members_digest_ = 0;
    base::MonoTime last_heartbeat_;
  };
  const std::map<std::string, Subscriber>& Subscribers() const {
    return subscribers_;
  }
  std::map<std::string, Subscriber>& MutableSubscribers() {
    return subscribers_;
  }

 private:
  // Sends a delta from the subscriber's sent_revision_, or a snapshot, or a
  // RetryAfter if the snapshot rate is exceeded.
  void SendUpdate(const std::string& to,
                  Subscriber& subscriber,
                  const config::ConfigState& state,
                  const config::DeltaWindow& deltas,
                  const base::Now& now,
                  base::Outbox& outbox);
  // Sends the whole configuration, of the present revision or of one from which
  // deltas lead to it. Returns its revision.
  uint64_t SendSnapshot(const std::string& to,
                        const Subscriber& subscriber,
                        const config::ConfigState& state,
                        const config::DeltaWindow& deltas,
                        const base::Now& now,
                        base::Outbox& outbox);
  // Whether the subscriber's acknowledgement, with nothing of its Resume
  // answered, calls for another update.
  static bool NeedsResend(const Subscriber& subscriber, const base::Now& now);
  static void LogSnapshot(const rpc::Envelope& envelope,
                          const Subscriber& subscriber,
                          const base::Now& now);
  bool AdmitSnapshot(const base::Now& now);
  void DeferSnapshot(const std::string& to,
                     Subscriber& subscriber,
                     const base::Now& now,
                     base::Outbox& outbox);

  const std::string self_;
  base::Random random_;
  std::map<std::string, Subscriber> subscribers_;
  // Token bucket of snapshots.
  double tokens_ = kSnapshotBurst;
  // Estimated number of subscribers that were asked to retry later.
  uint64_t deferred_snapshots_ = 0;
  base::MonoTime last_refill_;
  // Shared by all subscribers that start at the same revision.
  rpc::ConfigDelta cached_delta_;
  SnapshotCache snapshots_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
