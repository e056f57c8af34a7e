// A relay: journal sync and compaction, and recovery after a disk failure.
#include "base/events.h"
#include "distribution/relay_node.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

constexpr size_t kCompactBytes = size_t{8} * 1024 * 1024;

}  // namespace

ResultCode RelayNode::SyncAndCompact() {
  if (!journal_dirty_ && !claims_.Dirty()) {
    return ResultCode::kOk;
  }
  const ResultCode synced = journal_.Sync();
  if (synced != ResultCode::kOk) {
    return synced;
  }
  journal_dirty_ = false;
  claims_.MarkSynced();
  if (journal_.Size() < size_after_compaction_ + kCompactBytes) {
    return ResultCode::kOk;
  }
  return RewriteJournal();
}

ResultCode RelayNode::RewriteJournal() {
  std::vector<rpc::JournalRecord> records = config_.AllRecords();
  for (rpc::JournalRecord& record : claims_.AllRecords()) {
    records.push_back(std::move(record));
  }
  for (const auto& [fingerprint, entry] : quarantine_.Entries()) {
    *records.emplace_back().mutable_quarantine() = entry;
  }
  for (rpc::Departure& departure : departures_.All()) {
    *records.emplace_back().mutable_departure() = std::move(departure);
  }
  const ResultCode replaced = journal_.Replace(records);
  size_after_compaction_ = journal_.Size();
  return replaced;
}

void RelayNode::RepairStorage(const base::Now& now) {
  next_storage_repair_ = now.mono_ + storage::kRepairInterval;
  // Flush sends nothing while storage is failed, so state that is held only in
  // memory has not been announced to any node and may be journaled now.
  if (RewriteJournal() != ResultCode::kOk) {
    return;
  }
  storage_failed_ = false;
  journal_dirty_ = false;
  claims_.MarkSynced();
  claims_.SetGroup(config_.State().Claims());
  claims_.FinishTransfer();
  quarantine_.Lift(config_.State().LiftedFingerprints());
  LogEvent(EventId::kStorageBack, {{"node", options_.id_}});
}

}  // namespace buckthorngate::distribution
