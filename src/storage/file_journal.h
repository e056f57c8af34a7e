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

// Decodes a file's contents. A damaged end (the crash cut the last append) is
// left out; damage followed by a whole record is kStorageCorrupt.
tl::expected<DecodedJournal, ResultCode> DecodeJournal(std::string_view bytes);

// Appends the encoding of `record` to `bytes`.
void EncodeRecord(const rpc::JournalRecord& record, std::string& bytes);

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
  bool TailCut() const override { return tail_cut_; }

 private:
  ResultCode Fail(int error_number);
  ResultCode WriteAll(int file, std::string_view bytes);
  ResultCode SyncFolder();

  const std::string path_;
  // Invariant: open exactly while Load has succeeded and nothing failed.
  int file_ = -1;
  // Appended but not yet written.
  std::string pending_;
  size_t size_ = 0;
  bool tail_cut_ = false;
};

}  // namespace buckthorngate::storage

#endif  // SRC_STORAGE_FILE_JOURNAL_H_
