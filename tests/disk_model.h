// Disks of control hosts in memory: what a loss of power keeps of a journal.
#ifndef TESTS_DISK_MODEL_H_
#define TESTS_DISK_MODEL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "storage/journal.h"

namespace buckthorngate::tests {

// The power of all hosts. It can fail inside of a chosen sync, so that the
// write has begun and its sync has not returned.
class Power {
 public:
  void FailAtSync(uint64_t syncs) { left_ = syncs; }
  void Restore() {
    off_ = false;
    left_.reset();
  }
  bool Off() const { return off_; }
  // Called by each sync; false if the power is or goes off.
  bool Holds();

 private:
  std::optional<uint64_t> left_;
  bool off_ = false;
};

// A file journal's bytes on a disk. As in the file, a failed journal refuses
// all but a replacement, until that or a load succeeds.
class DiskJournal : public storage::Journal {
 public:
  DiskJournal(Power& power, base::Random& random)
      : power_(power), random_(random) {}

  tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() override;
  ResultCode Append(const rpc::JournalRecord& record) override;
  ResultCode Sync() override;
  ResultCode Replace(const std::vector<rpc::JournalRecord>& records) override;
  size_t Size() const override { return synced_.size(); }

  // The process ends: what it wrote stays.
  void Kill();
  // The write that was not synced is there, missing or torn.
  void LosePower();
  // A full disk refuses each write.
  void SetFull(bool full) { full_ = full; }

 private:
  ResultCode Fail(ResultCode code);

  Power& power_;
  base::Random& random_;
  std::string synced_;
  // Written, but not synced.
  std::string written_;
  // A replacement that was renamed, but whose folder was not synced.
  std::optional<std::string> renamed_;
  // Appended, but not written.
  std::string pending_;
  bool failed_ = false;
  bool full_ = false;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_DISK_MODEL_H_
