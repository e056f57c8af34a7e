// Counts calls on the path of a request, until the control side takes them.
#ifndef SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_
#define SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::rollout {

struct CallRecord {
  std::string service_;
  std::string version_;
  std::string route_;
  base::Duration latency_{0};
  bool failed_ = false;
  bool crashed_ = false;
  // The endpoint is still warming up: its latency says little.
  bool cold_ = false;
};

// Safe for concurrent use. Sharded by thread, so that calls seldom meet at a
// lock; only calls of services with an open move are recorded.
class EvidenceCollector {
 public:
  void Record(const CallRecord& call);
  std::vector<rpc::RouteEvidence> Take();

 private:
  static constexpr size_t kShards = 8;

  struct Shard {
    std::mutex mutex_;
    std::map<std::string, rpc::RouteEvidence> sums_;
  };

  std::array<Shard, kShards> shards_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EVIDENCE_COLLECTOR_H_
