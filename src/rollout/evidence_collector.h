// Collects the outcomes of calls on the request path until the control plane
// picks up the sums.
#ifndef SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_
#define SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::rollout {

// Start of a call that was sent to an endpoint.
struct CallBegin {
  std::string service_;
  std::string version_;
  std::string route_;
  // Step of the service's move.
  uint64_t step_ = 0;
  base::MonoTime began_;
  // Time at which the call is reported, whether it has ended by then or not. If
  // calls were reported as they end, fast answers would be over-represented
  // right after the share has risen and under-represented right after it has
  // fallen. Not set: the call is reported when it ends. A call that crashed its
  // endpoint is reported when it ends in either case.
  std::optional<base::MonoTime> report_at_;
};

enum class CallEnd : uint8_t {
  kAnswered,
  kFailed,
  // No answer was received, for example because the caller cancelled early.
  // Only the time waited so far is known (a censored latency).
  kUnanswered,
  // Not attributable to the version; for example, the call did not run.
  kIgnored,
};

struct CallOutcome {
  CallEnd end_ = CallEnd::kAnswered;
  base::MonoTime ended_;
  bool crashed_ = false;
  // The endpoint was still warming up, so that the latency is not counted.
  bool cold_ = false;
};

// Classifies a call whose caller disconnected. If the caller had nearly used up
// its timeout and this attempt had enough of it, the call was not answered in
// time and counts as failed; otherwise it counts as unanswered.
//   total_elapsed: time used by all attempts of the caller's request.
//   attempt_elapsed: time used by this attempt.
//   timeout: the caller's whole timeout.
CallEnd ClassifyCancelledCall(base::Duration total_elapsed,
                              base::Duration attempt_elapsed,
                              base::Duration timeout);

// Safe for concurrent use. Sharded, so that calls seldom contend for a lock.
// Callers pass only calls of services that have a move.
class EvidenceCollector {
 public:
  // Returns the id of the call to pass to End, which must be called once.
  uint64_t Begin(const CallBegin& call);
  void End(uint64_t id, const CallOutcome& outcome);
  // Adds the calls that are due to the sums, then returns and clears all sums.
  std::vector<rpc::RouteEvidence> TakeSums(base::MonoTime now);

 private:
  static constexpr size_t kShards = 8;

  // A call that has not been added to the sums yet.
  struct PendingCall {
    // Service, version, route and step of the call; the counts stay empty.
    rpc::RouteEvidence labels_;
    base::MonoTime began_;
    std::optional<base::MonoTime> report_at_;
    std::optional<CallOutcome> outcome_;
  };

  struct Shard {
    std::mutex mutex_;
    std::map<uint64_t, PendingCall> pending_;  // By call id.
    std::map<std::string, rpc::RouteEvidence> sums_;
  };

  // Adds a call to the sums of its shard, as unanswered if it has not ended.
  static void AddToSums(Shard& shard,
                        const PendingCall& call,
                        base::MonoTime now);

  std::atomic<uint64_t> next_id_{0};
  std::array<Shard, kShards> shards_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_
