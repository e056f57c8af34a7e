// Binds RaftCore to its journal: recovery, syncing and compaction.
#ifndef SRC_CONSENSUS_RAFT_JOURNAL_H_
#define SRC_CONSENSUS_RAFT_JOURNAL_H_

#include <string>

#include <tl/expected.hpp>

#include "consensus/raft_core.h"
#include "storage/journal.h"

namespace buckthorngate::consensus {

// Reads what a restart needs. Errors: those of Journal::Load, and
// kStorageCorrupt if the records do not fit together.
tl::expected<PersistentState, ResultCode> LoadPersistentState(
    storage::Journal& journal);

// Syncs what `core` has pending and tells it so; halts it on a failure.
ResultCode SyncPending(RaftCore& core,
                       storage::Journal& journal,
                       const base::Now& now);

// After a failed sync: makes all that `core` holds durable, and lets it take
// part again. Its votes and entries that were not synced had been told to
// nobody. On a failure it stays halted.
ResultCode RepairStorage(RaftCore& core,
                         storage::Journal& journal,
                         const base::Now& now);

// Compacts the log up to `index`, of which `state` is the state machine.
ResultCode CompactJournal(RaftCore& core,
                          storage::Journal& journal,
                          uint64_t index,
                          std::string state);

}  // namespace buckthorngate::consensus

#endif  // SRC_CONSENSUS_RAFT_JOURNAL_H_
