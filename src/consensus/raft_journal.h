// Persistence of RaftCore in a journal: recovery, syncing, repair and
// compaction.
#ifndef SRC_CONSENSUS_RAFT_JOURNAL_H_
#define SRC_CONSENSUS_RAFT_JOURNAL_H_

#include <string>

#include <tl/expected.hpp>

#include "consensus/raft_core.h"
#include "storage/journal.h"

namespace buckthorngate::consensus {

// Recovers the state at startup. Errors: those of Journal::Load, and
// kStorageCorrupt if the records are inconsistent.
tl::expected<PersistentState, ResultCode> LoadPersistentState(
    storage::Journal& journal);

// Syncs the pending records of `core` and reports that to it; halts it if that
// fails.
ResultCode SyncPending(RaftCore& core,
                       storage::Journal& journal,
                       const base::Now& now);

// After a failed sync: writes the whole state of `core` durably and lets it
// participate again. That is safe because votes and entries that were not
// synced had not been sent to anyone. If writing fails, it stays halted.
ResultCode RepairStorage(RaftCore& core,
                         storage::Journal& journal,
                         const base::Now& now);

// Compacts the log up to `index`; `state` is the state machine as of that
// index. Halts `core` if writing the journal fails.
ResultCode CompactJournal(RaftCore& core,
                          storage::Journal& journal,
                          uint64_t index,
                          std::string state);

}  // namespace buckthorngate::consensus

#endif  // SRC_CONSENSUS_RAFT_JOURNAL_H_
