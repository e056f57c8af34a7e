// The configuration that a relay or proxy has received, kept in a journal.
//
// Snapshots and deltas are applied atomically: whole, or not at all.
#ifndef SRC_DISTRIBUTION_CONFIG_STORE_H_
#define SRC_DISTRIBUTION_CONFIG_STORE_H_

#include <cstdint>
#include <vector>

#include "config/config_state.h"
#include "distribution/source_state.h"
#include "mesh.pb.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

class ConfigStore {
 public:
  // `journal` must outlive the store.
  explicit ConfigStore(storage::Journal& journal);

  // Restores one journal record. Records of other kinds are ignored.
  void Restore(const rpc::JournalRecord& record);

  // Each applies the update and appends it to the journal. The caller must sync
  // the journal before it announces the revision to other nodes. Errors: those
  // of ConfigState, kStorageFailed.
  ResultCode OnSnapshot(const rpc::ConfigSnapshot& snapshot);
  ResultCode OnDelta(const rpc::ConfigDelta& delta);

  // Raises the floor, the lowest revision that may be served or accepted.
  void RaiseFloor(uint64_t revision);
  uint64_t Floor() const { return floor_; }

  // Whether there is a configuration and it is not below the floor.
  bool MayServe() const;

  // Whether a new snapshot is needed because the last update left a gap, was
  // refused or could not be journaled.
  bool NeedsResync() const { return needs_resync_; }
  void ClearResync() { needs_resync_ = false; }
  // Whether the last update was refused for its content: the updates after it
  // would be, too, and only a snapshot helps.
  bool WasRefused() const { return was_refused_; }

  const config::ConfigState& State() const { return state_; }
  const config::DeltaWindow& Deltas() const { return deltas_; }

  // Returns the records that a compacted journal must hold.
  std::vector<rpc::JournalRecord> AllRecords() const;

 private:
  // Applies and journals a snapshot that is not packed.
  ResultCode ApplyUnpacked(const rpc::ConfigSnapshot& snapshot);
  // Sets needs_resync_ and was_refused_ according to `code` and returns `code`.
  ResultCode RecordResult(ResultCode code);

  storage::Journal& journal_;
  config::ConfigState state_;
  config::DeltaWindow deltas_{kMaxDeltas};
  uint64_t floor_ = 0;
  bool needs_resync_ = false;
  bool was_refused_ = false;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_CONFIG_STORE_H_
