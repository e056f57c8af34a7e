// In-memory disks of control hosts, which model what a power loss leaves of a
// journal.
#ifndef TESTS_DISK_MODEL_H_
#define TESTS_DISK_MODEL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "storage/journal.h"

namespace buckthorngate::tests {

// The power supply shared by all hosts. It can fail during a chosen sync: the
// write has begun, but its sync has not returned.
class Power {
 public:
  // Lets the power fail during a sync, after `syncs` more have succeeded.
  void FailAtSync(uint64_t syncs) { syncs_left_ = syncs; }
  void Restore() {
    off_ = false;
    syncs_left_.reset();
  }
  bool Off() const { return off_; }
  // Called by each sync; false if the power is off or fails during this sync.
  bool SurvivesSync();

 private:
  std::optional<uint64_t> syncs_left_;
  bool off_ = false;
};

// The bytes of a file journal on a disk. Like FileJournal, it refuses all
// operations but Replace after a failure, until a Replace or Load succeeds.
class DiskJournal : public storage::Journal {
 public:
  DiskJournal(Power& power, base::Random& random)
      : power_(power), random_(random) {}

  tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() override;
  ResultCode Append(const rpc::JournalRecord& record) override;
  ResultCode Sync() override;
  ResultCode Replace(const std::vector<rpc::JournalRecord>& records) override;
  size_t Size() const override { return synced_.size(); }

  // The process is killed: the data it has written stays.
  void Kill();
  // The power fails: the data that was written but not synced is intact,
  // missing or torn.
  void LosePower();
  // A full disk refuses every write.
  void SetFull(bool full) { full_ = full; }

 private:
  ResultCode Fail(ResultCode code);

  Power& power_;
  base::Random& random_;
  std::string synced_;
  // Written but not synced.
  std::string written_;
  // A replacement that was renamed into place but whose folder was not synced.
  std::optional<std::string> renamed_;
  // Appended but not written.
  std::string pending_;
  bool failed_ = false;
  bool full_ = false;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_DISK_MODEL_H_
