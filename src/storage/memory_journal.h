// Journal in memory, for proxies without a data folder and for tests.
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
    if (!(forget_hard_state_ && record.has_hard_state())) {
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
  size_t Size() const override { return synced_.size() + pending_.size(); }

  // Faults for tests: a crash loses what is not synced; a lost disk, all.
  void Crash() { pending_.clear(); }
  void LoseDisk() {
    pending_.clear();
    synced_.clear();
  }
  void SetFailing(bool failing) { failing_ = failing; }
  // A broken journal, to show that checks of votes find it.
  void SetForgetHardState(bool forget) { forget_hard_state_ = forget; }

 private:
  std::vector<rpc::JournalRecord> synced_;
  std::vector<rpc::JournalRecord> pending_;
  bool failing_ = false;
  bool forget_hard_state_ = false;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_MEMORY_JOURNAL_H_
