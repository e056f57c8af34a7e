// A source: journal compaction, and recovery after a disk failure.
#include "base/events.h"
#include "consensus/raft_journal.h"
#include "distribution/source_node.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

}  // namespace

void SourceNode::MaybeCompact() {
  const bool due = journal_.Size() >= size_after_compaction_ + kCompactBytes;
  if (storage_failed_ || !due) {
    return;
  }
  const ResultCode compacted = consensus::CompactJournal(
      *raft_, journal_, state_.AppliedIndex(), state_.Save());
  if (compacted != ResultCode::kOk) {
    storage_failed_ = true;
    return;
  }
  size_after_compaction_ = journal_.Size();
}

void SourceNode::RepairStorage(const base::Now& now) {
  next_storage_repair_ = now.mono_ + storage::kRepairInterval;
  if (consensus::RepairStorage(*raft_, journal_, now) != ResultCode::kOk) {
    return;
  }
  storage_failed_ = false;
  size_after_compaction_ = journal_.Size();
  LogEvent(EventId::kStorageBack, {{"node", options_.id_}});
}

}  // namespace buckthorngate::distribution
