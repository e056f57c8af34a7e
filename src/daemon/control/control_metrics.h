// Metrics of a control host (source and relay).
//
// Each node's loop records its values after a flush, and a scrape reads them
// without waiting for that loop. A loop that hangs in a disk sync shows up as a
// growing age of its values.
#ifndef SRC_DAEMON_CONTROL_CONTROL_METRICS_H_
#define SRC_DAEMON_CONTROL_CONTROL_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "storage/timed_journal.h"

namespace buckthorngate::daemon::control {

// Safe for concurrent use, but for the two SetJournal functions.
class ControlMetrics {
 public:
  // To be called before metrics are served; null if the host does not have the
  // role.
  void SetSourceJournal(const storage::TimedJournal* journal) {
    source_journal_ = journal;
  }
  void SetRelayJournal(const storage::TimedJournal* journal) {
    relay_journal_ = journal;
  }

  // Record the state of a node. Called on that node's loop after a flush.
  void RecordSource(const distribution::SourceNode& node, const base::Now& now);
  void RecordRelay(const distribution::RelayNode& node, const base::Now& now);
  // Counts a linearizable read by its result.
  void CountRead(ResultCode code);

  // Time since the source was last in contact with a majority (as leader) or
  // with its leader (as follower).
  base::Duration ContactAge(base::MonoTime now) const;

  // Prometheus text exposition format.
  std::string Render(base::MonoTime now) const;

 private:
  std::string RenderSource(base::MonoTime now) const;
  std::string RenderRelay(base::MonoTime now) const;

  const storage::TimedJournal* source_journal_ = nullptr;
  const storage::TimedJournal* relay_journal_ = nullptr;
  std::atomic<bool> is_leader_{false};
  std::atomic<uint64_t> term_{0};
  std::atomic<uint64_t> commit_index_{0};
  std::atomic<uint64_t> last_index_{0};
  std::atomic<uint64_t> source_revision_{0};
  std::atomic<uint64_t> revision_in_force_{0};
  std::atomic<uint64_t> voters_{0};
  std::atomic<uint64_t> learners_{0};
  std::atomic<double> quota_shares_rate_{0.0};
  std::atomic<uint64_t> quota_tokens_granted_{0};
  std::atomic<uint64_t> quota_tokens_refused_{0};
  std::atomic<uint64_t> relay_revision_{0};
  std::atomic<uint64_t> relay_proxies_{0};
  // Times on the steady clock in microseconds; 0: never.
  std::atomic<int64_t> last_contact_us_{0};
  std::atomic<int64_t> source_recorded_us_{0};
  std::atomic<int64_t> relay_recorded_us_{0};
  std::array<std::atomic<uint64_t>, kResultCodeCount> reads_by_code_ = {};
};

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_CONTROL_METRICS_H_
