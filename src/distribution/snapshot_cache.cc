// Packs a snapshot once for all subscribers.
#include "distribution/snapshot_cache.h"

#include "config/snapshot_codec.h"

namespace buckthorngate::distribution {

bool SnapshotCache::Usable(const config::ConfigState& state,
                           const config::DeltaWindow& deltas,
                           const base::Now& now) const {
  if (snapshot_.revision() == 0) {
    return false;
  }
  if (snapshot_.revision() == state.Revision()) {
    return snapshot_.digest() == state.Digest();
  }
  return now.mono_ - made_ < kSnapshotReuse &&
         deltas.Reaches(snapshot_.revision());
}

const rpc::ConfigSnapshot& SnapshotCache::Get(const config::ConfigState& state,
                                              const config::DeltaWindow& deltas,
                                              const base::Now& now) {
  if (!Usable(state, deltas, now)) {
    snapshot_ = config::PackSnapshot(state.ToSnapshot());
    made_ = now.mono_;
    ++packed_;
  }
  return snapshot_;
}

}  // namespace buckthorngate::distribution
