// Durable sequences of records.
//
// A journal holds JournalRecord messages. Appended records last only once
// Sync has returned kOk. After any failure a journal stays failed: its owner
// stops promising anything (no votes, no claims) until a Replace with all that
// it holds has succeeded, or a restart.
#ifndef SRC_STORAGE_JOURNAL_H_
#define SRC_STORAGE_JOURNAL_H_

#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::storage {

// How often an owner tries to bring a failed journal back.
inline constexpr base::Duration kRepairInterval = std::chrono::seconds(1);

class Journal {
 public:
  virtual ~Journal() = default;

  // Returns the records that survived, in order. Called once, first.
  // Errors: kStorageCorrupt, kStorageFailed.
  virtual tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() = 0;

  // Whether Load cut an incomplete record off the end.
  virtual bool TailTruncated() const { return false; }

  virtual ResultCode Append(const rpc::JournalRecord& record) = 0;

  // Errors: kStorageFailed, kStorageFull.
  virtual ResultCode Sync() = 0;

  // Replaces all records atomically and durably: after a crash either the old
  // or the new contents stand. Also brings a failed journal back, whose records
  // since the last Sync are then gone. Errors: kStorageFailed, kStorageFull.
  virtual ResultCode Replace(
      const std::vector<rpc::JournalRecord>& records) = 0;

  // Bytes since the last Replace; decides when to compact.
  virtual size_t Size() const = 0;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_JOURNAL_H_
