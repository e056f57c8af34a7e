// Journal in one file: length, checksum and payload of each record.
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
  // Bytes up to the end of the last whole record.
  size_t valid_bytes_ = 0;
};

// Records that are written at once form a batch.
enum class BatchPosition : uint8_t { kFirst, kSubsequent };

// Decodes a file's contents. Damage in the last batch (its sync was cut off)
// ends what is decoded; damage followed by the start of another batch is
// kStorageCorrupt.
tl::expected<DecodedJournal, ResultCode> DecodeJournal(std::string_view bytes);

// Appends the encoding of `record` to `bytes`.
void EncodeRecord(const rpc::JournalRecord& record,
                  BatchPosition place,
                  std::string& bytes);

// Not safe for concurrent use.
class FileJournal : public Journal {
 public:
  // `path` is created by Load if it is missing; its folder must exist.
  explicit FileJournal(std::string path);
  ~FileJournal() override;
  FileJournal(const FileJournal&) = delete;
  FileJournal& operator=(const FileJournal&) = delete;

  tl::expected<std::vector<rpc::JournalRecord>, ResultCode> Load() override;
  ResultCode Append(const rpc::JournalRecord& record) override;
  ResultCode Sync() override;
  ResultCode Replace(const std::vector<rpc::JournalRecord>& records) override;
  size_t Size() const override { return size_; }
  bool TailTruncated() const override { return tail_cut_; }

 private:
  ResultCode Fail(int error_number);
  ResultCode WriteAll(int file, std::string_view bytes);
  ResultCode SyncFolder();

  const std::string path_;
  // Invariant: open exactly while Load has succeeded and nothing failed since
  // then or since the last Replace.
  int file_ = -1;
  // What was not read must not be replaced.
  bool loaded_ = false;
  // Appended but not yet written.
  std::string pending_;
  size_t size_ = 0;
  bool tail_cut_ = false;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_FILE_JOURNAL_H_
