// What a control host tells on its metrics page.
//
// The source's loop publishes its figures after each flush, and the page reads
// them without waiting for that loop: a loop that hangs in a sync is seen by
// the growing age of its figures.
#ifndef SRC_DAEMON_CONTROL_METRICS_H_
#define SRC_DAEMON_CONTROL_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "distribution/relay_node.h"
#include "distribution/source_node.h"
#include "storage/timed_journal.h"

namespace buckthorngate::daemon {

// Safe for concurrent use, but for the two SetJournal functions.
class ControlMetrics {
 public:
  // Before the page is served; null if the host has no such role.
  void SetSourceJournal(const storage::TimedJournal* journal) {
    source_journal_ = journal;
  }
  void SetRelayJournal(const storage::TimedJournal* journal) {
    relay_journal_ = journal;
  }

  // Each on its node's loop, after a flush.
  void NoteSource(const distribution::SourceNode& node, const base::Now& now);
  void NoteRelay(const distribution::RelayNode& node, const base::Now& now);
  // A linearizable read that was answered.
  void CountRead(ResultCode code);

  // Time since the source last had contact with a majority, as a leader, or
  // with its leader.
  base::Duration ContactAge(base::MonoTime now) const;

  // Prometheus text exposition format.
  std::string Render(base::MonoTime now) const;

 private:
  std::string RenderSource(base::MonoTime now) const;
  std::string RenderRelay(base::MonoTime now) const;

  const storage::TimedJournal* source_journal_ = nullptr;
  const storage::TimedJournal* relay_journal_ = nullptr;
  std::atomic<bool> leads_{false};
  std::atomic<uint64_t> term_{0};
  std::atomic<uint64_t> commit_{0};
  std::atomic<uint64_t> last_index_{0};
  std::atomic<uint64_t> source_revision_{0};
  std::atomic<uint64_t> in_force_{0};
  std::atomic<uint64_t> voters_{0};
  std::atomic<uint64_t> learners_{0};
  std::atomic<uint64_t> relay_revision_{0};
  std::atomic<uint64_t> proxies_{0};
  // Steady clock, in microseconds; 0: never.
  std::atomic<int64_t> contact_us_{0};
  std::atomic<int64_t> source_flush_us_{0};
  std::atomic<int64_t> relay_flush_us_{0};
  std::array<std::atomic<uint64_t>, kResultCodeCount> reads_ = {};
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_CONTROL_METRICS_H_
