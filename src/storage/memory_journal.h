// Journal in memory, for tests and for proxies without a data folder.
#ifndef SRC_STORAGE_MEMORY_JOURNAL_H_
#define SRC_STORAGE_MEMORY_JOURNAL_H_

#include <vector>

#include "storage/journal.h"

namespace buckthorngate::storage {

class MemoryJournal : public Journal {
 public:
  tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() override {
    return synced_;
  }
  ResultCode Append(const rpc::JournalRecord& record) override {
    if (failing_) {
      return ResultCode::kStorageFailed;
    }
    if (!(drop_hard_state_ && record.has_hard_state())) {
      pending_.push_back(record);
    }
    return ResultCode::kOk;
  }
  ResultCode Sync() override {
    if (failing_) {
      return ResultCode::kStorageFailed;
    }
    synced_.insert(synced_.end(), pending_.begin(), pending_.end());
    pending_.clear();
    return ResultCode::kOk;
  }
  ResultCode Replace(const std::vector<rpc::JournalRecord>& records) override {
    if (failing_) {
      return ResultCode::kStorageFailed;
    }
    synced_ = records;
    pending_.clear();
    return ResultCode::kOk;
  }
  // Counts records instead of bytes.
  size_t Size() const override { return synced_.size() + pending_.size(); }

  // Fault injection for tests. A crash discards the records that are not
  // synced, a lost disk discards all records.
  void Crash() { pending_.clear(); }
  void LoseDisk() {
    pending_.clear();
    synced_.clear();
  }
  void SetFailing(bool failing) { failing_ = failing; }
  // Silently drops hard-state records, to verify that tests detect votes that
  // are not durable.
  void SetDropHardState(bool drop) { drop_hard_state_ = drop; }

 private:
  std::vector<rpc::JournalRecord> synced_;
  std::vector<rpc::JournalRecord> pending_;
  bool failing_ = false;
  bool drop_hard_state_ = false;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_MEMORY_JOURNAL_H_
