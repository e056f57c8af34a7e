// In-memory disks of control hosts: torn writes and lost renames at a power
// loss.
#include "disk_model.h"

#include <algorithm>
#include <utility>

#include "storage/file_journal.h"

namespace buckthorngate::tests {

bool Power::SurvivesSync() {
  if (syncs_left_ && !off_) {
    off_ = *syncs_left_ == 0;
    syncs_left_ = *syncs_left_ == 0 ? 0 : *syncs_left_ - 1;
  }
  return !off_;
}

ResultCode DiskJournal::Fail(ResultCode code) {
  failed_ = true;
  return code;
}

tl::expected<std::vector<rpc::JournalRecord>, ResultCode> DiskJournal::Load() {
  pending_.clear();
  const std::string bytes = synced_ + written_;
  tl::expected<storage::DecodedJournal, ResultCode> decoded =
      storage::DecodeJournal(bytes);
  if (!decoded) {
    return tl::unexpected(Fail(decoded.error()));
  }
  const bool torn = decoded->valid_bytes_ != bytes.size();
  if (torn && full_) {
    return tl::unexpected(Fail(ResultCode::kStorageFull));
  }
  synced_ = bytes.substr(0, decoded->valid_bytes_);
  written_.clear();
  failed_ = false;
  return std::move(decoded->records_);
}

ResultCode DiskJournal::Append(const rpc::JournalRecord& record) {
  if (failed_) {
    return ResultCode::kStorageFailed;
  }
  storage::EncodeRecord(record,
                        pending_.empty() ? storage::BatchPosition::kFirst
                                         : storage::BatchPosition::kSubsequent,
                        pending_);
  return ResultCode::kOk;
}

ResultCode DiskJournal::Sync() {
  if (failed_) {
    return ResultCode::kStorageFailed;
  }
  if (pending_.empty()) {
    return ResultCode::kOk;
  }
  if (full_) {
    return Fail(ResultCode::kStorageFull);
  }
  if (!power_.SurvivesSync()) {
    written_ = std::exchange(pending_, {});
    return Fail(ResultCode::kStorageFailed);
  }
  synced_ += std::exchange(pending_, {});
  return ResultCode::kOk;
}

ResultCode DiskJournal::Replace(
    const std::vector<rpc::JournalRecord>& records) {
  if (full_) {
    return Fail(ResultCode::kStorageFull);
  }
  std::string bytes;
  for (const rpc::JournalRecord& record : records) {
    storage::EncodeRecord(record, storage::BatchPosition::kFirst, bytes);
  }
  if (!power_.SurvivesSync()) {
    renamed_ = std::move(bytes);
    return Fail(ResultCode::kStorageFailed);
  }
  synced_ = std::move(bytes);
  written_.clear();
  pending_.clear();
  failed_ = false;
  return ResultCode::kOk;
}

void DiskJournal::Kill() {
  pending_.clear();
  failed_ = false;
  if (renamed_) {
    synced_ = *std::exchange(renamed_, std::nullopt);
  }
}

void DiskJournal::LosePower() {
  pending_.clear();
  failed_ = false;
  if (renamed_ && random_.Below(2) == 0) {
    synced_ = *renamed_;
  }
  renamed_.reset();
  switch (random_.Below(4)) {
    case 0:
      written_.clear();
      break;
    case 1:
      break;
    case 2:
      written_.resize(random_.Below(written_.size() + 1));
      break;
    default: {
      // A range in the middle did not reach the disk.
      const size_t from = random_.Below(written_.size() + 1);
      const size_t to = from + random_.Below(written_.size() + 1 - from);
      std::fill(written_.begin() + static_cast<std::ptrdiff_t>(from),
                written_.begin() + static_cast<std::ptrdiff_t>(to), '\0');
      break;
    }
  }
}

}  // namespace buckthorngate::tests
