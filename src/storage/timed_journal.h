// Journal decorator that measures the duration of syncs and replacements.
#ifndef SRC_STORAGE_TIMED_JOURNAL_H_
#define SRC_STORAGE_TIMED_JOURNAL_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/histogram.h"
#include "base/time.h"
#include "storage/journal.h"

namespace buckthorngate::storage {

// Longer syncs and replacements are logged: votes and acknowledgements wait for
// them, and after a few times this delay followers start an election.
inline constexpr base::Duration kSlowSyncThreshold =
    std::chrono::milliseconds(100);

// Not safe for concurrent use, except for SyncTimes.
class TimedJournal : public Journal {
 public:
  // `name` identifies the journal in the log.
  TimedJournal(std::string name, std::unique_ptr<Journal> journal);

  tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() override {
    return journal_->Load();
  }
  bool TailTruncated() const override { return journal_->TailTruncated(); }
  ResultCode Append(const rpc::JournalRecord& record) override;
  ResultCode Sync() override;
  ResultCode Replace(const std::vector<rpc::JournalRecord>& records) override;
  size_t Size() const override { return journal_->Size(); }

  const base::TimeHistogram& SyncTimes() const { return sync_times_; }

 private:
  void RecordSync(base::MonoTime began, std::string_view what, ResultCode code);

  const std::string name_;
  const std::unique_ptr<Journal> journal_;
  // Whether records were appended since the last sync. Syncs without any are
  // not counted, as they would hide the slow ones.
  bool pending_ = false;
  base::TimeHistogram sync_times_;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_TIMED_JOURNAL_H_
