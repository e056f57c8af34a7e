// A journal that tells how long its syncs take.
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

// A sync or replacement that takes longer has a line in the log: votes and
// acknowledgements wait for it, and elections begin after few of these.
inline constexpr base::Duration kSlowSync = std::chrono::milliseconds(100);

// Not safe for concurrent use, but for SyncTimes.
class TimedJournal : public Journal {
 public:
  // `name` tells the journal in the log.
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
  void Note(base::MonoTime began, std::string_view what, ResultCode code);

  const std::string name_;
  const std::unique_ptr<Journal> journal_;
  // Whether a sync has anything to do; others are not counted.
  bool pending_ = false;
  base::TimeHistogram sync_times_;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_TIMED_JOURNAL_H_
