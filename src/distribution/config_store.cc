// Applies and journals configuration updates.
#include "distribution/config_store.h"

#include <algorithm>

#include "config/snapshot_codec.h"

namespace buckthorngate::distribution {

ConfigStore::ConfigStore(storage::Journal& journal) : journal_(journal) {}

void ConfigStore::Restore(const rpc::JournalRecord& record) {
  if (record.has_config()) {
    (void)state_.ApplySnapshot(record.config());
  } else if (record.has_delta()) {
    (void)state_.ApplyDelta(record.delta());
  } else if (record.has_floor()) {
    floor_ = std::max(floor_, record.floor().revision());
  }
  floor_ = std::max(floor_, state_.Revision());
}

ResultCode ConfigStore::RecordResult(ResultCode code) {
  // A revision that is already known needs no new snapshot.
  needs_resync_ = code != ResultCode::kOk && code != ResultCode::kRevisionOld;
  was_refused_ = code == ResultCode::kSnapshotDigestWrong ||
                 code == ResultCode::kDanglingRoute;
  return code;
}

ResultCode ConfigStore::OnSnapshot(const rpc::ConfigSnapshot& snapshot) {
  if (snapshot.revision() < floor_) {
    return RecordResult(ResultCode::kRevisionOld);
  }
  const tl::expected<rpc::ConfigSnapshot, ResultCode> unpacked =
      config::UnpackSnapshot(snapshot);
  return unpacked ? ApplyUnpacked(*unpacked) : RecordResult(unpacked.error());
}

ResultCode ConfigStore::ApplyUnpacked(const rpc::ConfigSnapshot& snapshot) {
  const ResultCode applied = state_.ApplySnapshot(snapshot);
  if (applied != ResultCode::kOk) {
    return RecordResult(applied);
  }
  deltas_.Clear();
  rpc::JournalRecord record;
  *record.mutable_config() = snapshot;
  return RecordResult(journal_.Append(record));
}

ResultCode ConfigStore::OnDelta(const rpc::ConfigDelta& delta) {
  const ResultCode applied = state_.ApplyDelta(delta);
  if (applied != ResultCode::kOk) {
    return RecordResult(applied);
  }
  deltas_.Add(delta);
  rpc::JournalRecord record;
  *record.mutable_delta() = delta;
  return RecordResult(journal_.Append(record));
}

void ConfigStore::RaiseFloor(uint64_t revision) {
  if (revision <= floor_) {
    return;
  }
  floor_ = revision;
  if (revision > state_.Revision()) {
    rpc::JournalRecord record;
    record.mutable_floor()->set_revision(revision);
    (void)journal_.Append(record);
  }
}

bool ConfigStore::MayServe() const {
  return state_.Revision() > 0 && state_.Revision() >= floor_;
}

std::vector<rpc::JournalRecord> ConfigStore::AllRecords() const {
  std::vector<rpc::JournalRecord> records(2);
  *records[0].mutable_config() = state_.ToSnapshot();
  records[1].mutable_floor()->set_revision(floor_);
  return records;
}

}  // namespace buckthorngate::distribution
