// Interface of the journals: write-ahead logs of JournalRecord messages.
//
// Appended records are durable only once Sync has returned kOk. After any
// failure a journal stays failed: its owner must make no promises (no votes, no
// claims) until a Replace with its whole state has succeeded, or until the next
// restart.
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

// Interval at which an owner retries the repair of a failed journal.
inline constexpr base::Duration kRepairInterval = std::chrono::seconds(1);

class Journal {
 public:
  virtual ~Journal() = default;

  // Returns the durable records, in order. Called once, before all else.
  // Errors: kStorageCorrupt, kStorageFailed.
  virtual tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() = 0;

  // Whether Load truncated an incomplete record at the end.
  virtual bool TailTruncated() const { return false; }

  // Buffers a record, which the next Sync makes durable.
  virtual ResultCode Append(const rpc::JournalRecord& record) = 0;

  // Errors: kStorageFailed, kStorageFull.
  virtual ResultCode Sync() = 0;

  // Replaces all records atomically and durably: after a crash the journal
  // holds either the old or the new contents. Also repairs a failed journal,
  // discarding the records appended since the last Sync. Errors:
  // kStorageFailed, kStorageFull.
  virtual ResultCode Replace(
      const std::vector<rpc::JournalRecord>& records) = 0;

  // Size of the contents, in bytes; decides when to compact.
  virtual size_t Size() const = 0;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_JOURNAL_H_
