// The packed snapshot that a distributor sends to all subscribers that lack
// everything. Packing takes processor time, and many subscribers start at once.
#ifndef SRC_DISTRIBUTION_SNAPSHOT_CACHE_H_
#define SRC_DISTRIBUTION_SNAPSHOT_CACHE_H_

#include <cstdint>

#include "base/time.h"
#include "config/config_state.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// A snapshot is reused for this long while deltas lead from it to the present
// revision, so that changes in quick succession don't cost a snapshot each.
inline constexpr base::Duration kSnapshotReuse = std::chrono::seconds(1);

class SnapshotCache {
 public:
  // Returns the packed snapshot of `state`, or that of an earlier revision from
  // which `deltas` lead to it. Valid until the next call.
  const rpc::ConfigSnapshot& Get(const config::ConfigState& state,
                                 const config::DeltaWindow& deltas,
                                 const base::Now& now);
  // Snapshots that were packed so far.
  uint64_t Packed() const { return packed_; }

 private:
  bool Usable(const config::ConfigState& state,
              const config::DeltaWindow& deltas,
              const base::Now& now) const;

  rpc::ConfigSnapshot snapshot_;
  base::MonoTime made_;
  uint64_t packed_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_SNAPSHOT_CACHE_H_
