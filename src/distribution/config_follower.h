// Follows a configuration: applies what arrives, whole or not at all, and
// keeps it in a journal.
#ifndef SRC_DISTRIBUTION_CONFIG_FOLLOWER_H_
#define SRC_DISTRIBUTION_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <vector>

#include "config/config_state.h"
#include "distribution/source_state.h"
#include "mesh.pb.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

class ConfigFollower {
 public:
  // `journal` must outlive the follower.
  explicit ConfigFollower(storage::Journal& journal);

  // Restores one record of the journal; others are ignored.
  void Restore(const rpc::JournalRecord& record);

  // Each applies what arrived and journals it; the caller syncs before it
  // hands the revision on. Errors: those of ConfigState, kStorageFailed.
  ResultCode OnSnapshot(const rpc::ConfigSnapshot& snapshot);
  ResultCode OnDelta(const rpc::ConfigDelta& delta);

  // Raises the floor: nothing older may be served or accepted.
  void RaiseFloor(uint64_t revision);
  uint64_t Floor() const { return floor_; }

  // Whether the configuration may be served: present and not below the floor.
  bool MayServe() const;

  // Whether a fresh snapshot is needed, after a gap or a refusal.
  bool NeedsResync() const { return needs_resync_; }
  void ClearResync() { needs_resync_ = false; }

  const config::ConfigState& State() const { return state_; }
  const config::DeltaWindow& Deltas() const { return deltas_; }

  // All that a compacted journal must hold.
  std::vector<rpc::JournalRecord> AllRecords() const;

 private:
  ResultCode Note(ResultCode code);

  storage::Journal& journal_;
  config::ConfigState state_;
  config::DeltaWindow deltas_{kMaxDeltas};
  uint64_t floor_ = 0;
  bool needs_resync_ = false;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CONFIG_FOLLOWER_H_
