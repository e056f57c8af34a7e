// Counts calls on the path of a request, until the control side takes them.
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

// A call that was sent to an endpoint.
struct CallBegin {
  std::string service_;
  std::string version_;
  std::string route_;
  // Step of the service's move.
  uint64_t step_ = 0;
  base::MonoTime began_;
  // The call is reported then, whatever has become of it: reported as they end,
  // quick answers of a share that has just risen or fallen would make up more
  // or less of the calls than they are. Not set: as it ends.
  std::optional<base::MonoTime> report_at_;
};

enum class CallEnd : uint8_t {
  kAnswered,
  kFailed,
  // The caller left early: all that is known is how long it had waited.
  kUnanswered,
  // Says nothing of the version; for example, the call did not run.
  kIgnored,
};

struct CallOutcome {
  CallEnd end_ = CallEnd::kAnswered;
  base::MonoTime ended_;
  bool crashed_ = false;
  // The endpoint is still warming up: its latency says little.
  bool cold_ = false;
};

// How a call ended whose caller is gone: one that has used up its time was not
// answered in time, which is a failure.
//   used: of the caller's whole time, by this call and those before it.
//   own: by this call.
CallEnd ClassifyCancelledCall(base::Duration used,
                              base::Duration own,
                              base::Duration whole);

// Safe for concurrent use. Sharded, so that calls seldom meet at a lock; only
// calls of services with an open move are counted.
class EvidenceCollector {
 public:
  // Returns the id of the call for End, which must follow.
  uint64_t Begin(const CallBegin& call);
  void End(uint64_t id, const CallOutcome& outcome);
  std::vector<rpc::RouteEvidence> TakeSums(base::MonoTime now);

 private:
  static constexpr size_t kShards = 8;

  // A call that has not been reported.
  struct Open {
    // Names only.
    rpc::RouteEvidence names_;
    base::MonoTime began_;
    std::optional<base::MonoTime> report_at_;
    std::optional<CallOutcome> outcome_;
  };

  struct Shard {
    std::mutex mutex_;
    std::map<uint64_t, Open> open_;
    std::map<std::string, rpc::RouteEvidence> sums_;
  };

  static void Report(Shard& shard, const Open& call, base::MonoTime now);

  std::atomic<uint64_t> next_id_{0};
  std::array<Shard, kShards> shards_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_
