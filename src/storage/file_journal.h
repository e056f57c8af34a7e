// Journal in a single file of length-prefixed, checksummed records.
#ifndef SRC_STORAGE_FILE_JOURNAL_H_
#define SRC_STORAGE_FILE_JOURNAL_H_

#include <string>
#include <string_view>
#include <vector>

#include "storage/journal.h"

namespace buckthorngate::storage {

// Largest payload of a record, in bytes.
inline constexpr size_t kMaxRecordBytes = size_t{64} * 1024 * 1024;

struct DecodedJournal {
  std::vector<rpc::JournalRecord> records_;
  // Bytes up to the end of the last complete record.
  size_t valid_bytes_ = 0;
};

// Position of a record in its batch, the records of one Sync.
enum class BatchPosition : uint8_t { kFirst, kSubsequent };

// Decodes the contents of a file. Damage in the last batch is a torn write,
// whose sync did not complete: decoding ends there. Damage followed by the
// start of another batch is kStorageCorrupt.
tl::expected<DecodedJournal, ResultCode> DecodeJournal(std::string_view bytes);

// Appends the encoding of `record` to `bytes`.
void EncodeRecord(const rpc::JournalRecord& record,
                  BatchPosition position,
                  std::string& bytes);

// Not safe for concurrent use.
class FileJournal : public Journal {
 public:
  // Load creates `path` if it does not exist; its folder must exist.
  explicit FileJournal(std::string path);
  ~FileJournal() override;
  FileJournal(const FileJournal&) = delete;
  FileJournal& operator=(const FileJournal&) = delete;

  tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() override;
  ResultCode Append(const rpc::JournalRecord& record) override;
  ResultCode Sync() override;
  ResultCode Replace(const std::vector<rpc::JournalRecord>& records) override;
  size_t Size() const override { return size_; }
  bool TailTruncated() const override { return tail_truncated_; }

 private:
  // Closes the file, logs the error and returns its result code.
  ResultCode Fail(int error_number);
  ResultCode WriteAll(int file, std::string_view bytes);
  ResultCode SyncFolder();

  const std::string path_;
  // Invariant: open if and only if Load has succeeded and nothing has failed
  // since then or since the last successful Replace.
  int file_ = -1;
  // Contents that were never loaded must not be replaced.
  bool loaded_ = false;
  // Encoded records that are appended but not yet written.
  std::string pending_;
  size_t size_ = 0;
  bool tail_truncated_ = false;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_FILE_JOURNAL_H_
