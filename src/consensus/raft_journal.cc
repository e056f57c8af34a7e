// Recovery, syncing, repair and compaction of the sources' journal.
//
// An entry record replaces the entries at and after its index, so that a
// truncation of the log needs no record of its own.
#include "consensus/raft_journal.h"

#include <utility>
#include <vector>

namespace buckthorngate::consensus {
namespace {

bool ReplayEntry(const rpc::LogEntry& entry, PersistentState& state) {
  const uint64_t first = state.snapshot_.index() + 1;
  if (entry.index() < first) {
    return true;
  }
  const uint64_t offset = entry.index() - first;
  if (offset > state.entries_.size()) {
    return false;
  }
  state.entries_.resize(offset);
  state.entries_.push_back(entry);
  return true;
}

bool Replay(const rpc::JournalRecord& record, PersistentState& state) {
  switch (record.body_case()) {
    case rpc::JournalRecord::kHardState:
      state.hard_state_ = record.hard_state();
      return true;
    case rpc::JournalRecord::kEntry:
      return ReplayEntry(record.entry(), state);
    case rpc::JournalRecord::kLogSnapshot:
      state.snapshot_ = record.log_snapshot();
      state.entries_.clear();
      return true;
    case rpc::JournalRecord::kBootstrap:
      state.confirmed_ = record.bootstrap().confirmed();
      return true;
    default:
      return false;
  }
}

rpc::JournalRecord ConfirmedRecord(const std::string& id) {
  rpc::JournalRecord record;
  record.mutable_bootstrap()->set_id(id);
  record.mutable_bootstrap()->set_confirmed(true);
  return record;
}

rpc::JournalRecord EntryRecord(const rpc::LogEntry& entry) {
  rpc::JournalRecord record;
  *record.mutable_entry() = entry;
  return record;
}

rpc::JournalRecord HardStateRecord(const rpc::HardState& hard_state) {
  rpc::JournalRecord record;
  *record.mutable_hard_state() = hard_state;
  return record;
}

rpc::JournalRecord SnapshotRecord(const rpc::LogSnapshot& snapshot) {
  rpc::JournalRecord record;
  *record.mutable_log_snapshot() = snapshot;
  return record;
}

std::vector<rpc::JournalRecord> FullState(const RaftCore& core) {
  std::vector<rpc::JournalRecord> records;
  if (core.Confirmed()) {
    records.push_back(ConfirmedRecord(core.Id()));
  }
  records.push_back(HardStateRecord(core.CurrentHardState()));
  records.push_back(SnapshotRecord(core.Snapshot()));
  for (const rpc::LogEntry& entry : core.Entries()) {
    records.push_back(EntryRecord(entry));
  }
  return records;
}

ResultCode AppendPending(const RaftCore& core,
                         const PendingRecords& pending,
                         storage::Journal& journal) {
  if (pending.snapshot_) {
    // An installed snapshot replaces the whole log.
    return journal.Replace(FullState(core));
  }
  std::vector<rpc::JournalRecord> records;
  if (pending.confirmed_) {
    records.push_back(ConfirmedRecord(core.Id()));
  }
  for (const rpc::LogEntry& entry : pending.entries_) {
    records.push_back(EntryRecord(entry));
  }
  if (pending.hard_state_) {
    records.push_back(HardStateRecord(*pending.hard_state_));
  }
  for (const rpc::JournalRecord& record : records) {
    const ResultCode appended = journal.Append(record);
    if (appended != ResultCode::kOk) {
      return appended;
    }
  }
  return journal.Sync();
}

}  // namespace

tl::expected<PersistentState, ResultCode> LoadPersistentState(
    storage::Journal& journal) {
  const tl::expected<std::vector<rpc::JournalRecord>, ResultCode> records =
      journal.Load();
  if (!records) {
    return tl::unexpected(records.error());
  }
  PersistentState state;
  for (const rpc::JournalRecord& record : *records) {
    if (!Replay(record, state)) {
      return tl::unexpected(ResultCode::kStorageCorrupt);
    }
  }
  return state;
}

ResultCode SyncPending(RaftCore& core,
                       storage::Journal& journal,
                       const base::Now& now) {
  const PendingRecords pending = core.TakePendingRecords();
  if (!pending.Empty()) {
    const ResultCode synced = AppendPending(core, pending, journal);
    if (synced != ResultCode::kOk) {
      core.Halt();
      return synced;
    }
  }
  core.OnPersisted(now);
  return ResultCode::kOk;
}

ResultCode RepairStorage(RaftCore& core,
                         storage::Journal& journal,
                         const base::Now& now) {
  const ResultCode replaced = journal.Replace(FullState(core));
  if (replaced == ResultCode::kOk) {
    core.Resume(now);
  }
  return replaced;
}

ResultCode CompactJournal(RaftCore& core,
                          storage::Journal& journal,
                          uint64_t index,
                          std::string state) {
  core.Compact(index, std::move(state));
  const ResultCode replaced = journal.Replace(FullState(core));
  if (replaced != ResultCode::kOk) {
    core.Halt();
  }
  return replaced;
}

}  // namespace buckthorngate::consensus
