// Measures the duration of syncs and replacements, and logs slow ones.
#include "storage/timed_journal.h"

#include <utility>

#include "base/events.h"

namespace buckthorngate::storage {

TimedJournal::TimedJournal(std::string name, std::unique_ptr<Journal> journal)
    : name_(std::move(name)), journal_(std::move(journal)) {}

ResultCode TimedJournal::Append(const rpc::JournalRecord& record) {
  pending_ = true;
  return journal_->Append(record);
}

ResultCode TimedJournal::Sync() {
  if (!std::exchange(pending_, false)) {
    return journal_->Sync();
  }
  const base::MonoTime began = base::MonoNow();
  const ResultCode code = journal_->Sync();
  RecordSync(began, "sync", code);
  return code;
}

ResultCode TimedJournal::Replace(
    const std::vector<rpc::JournalRecord>& records) {
  pending_ = false;
  const base::MonoTime began = base::MonoNow();
  const ResultCode code = journal_->Replace(records);
  RecordSync(began, "replace", code);
  return code;
}

void TimedJournal::RecordSync(base::MonoTime began,
                              std::string_view what,
                              ResultCode code) {
  const base::Duration took = base::MonoNow() - began;
  sync_times_.Record(took);
  if (took <= kSlowSyncThreshold) {
    return;
  }
  base::LogEvent(base::EventId::kSyncSlow,
                 {{"journal", name_},
                  {"what", std::string(what)},
                  {"us", std::to_string(took.count())},
                  {"bytes", std::to_string(journal_->Size())},
                  {"code", std::string(Describe(code).name_)}});
}

}  // namespace buckthorngate::storage
