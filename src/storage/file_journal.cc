// Record format: u32 payload length, u32 length check, u64 xxHash of the
// payload, payload; integers are little-endian.
//
// The length check (length xor a constant) distinguishes a torn length field
// from a large length, and the first record of a batch from subsequent ones. A
// batch is written only after all earlier ones are synced. A crash can damage
// any part of the last batch, so damage is a torn write unless another batch
// starts after it.
#include "storage/file_journal.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>

#include "base/events.h"
#include "base/hash.h"

namespace buckthorngate::storage {
namespace {

constexpr uint32_t kFirstLengthCheck = 0x5a17b6c3;
constexpr uint32_t kSubsequentLengthCheck = 0x2e90d47b;
constexpr size_t kHeaderBytes = 16;

void PutLittleEndian(uint64_t value, int bytes, std::string& out) {
  for (int i = 0; i < bytes; ++i) {
    out += static_cast<char>(value >> (8 * i));
  }
}

uint64_t GetLittleEndian(std::string_view bytes) {
  uint64_t value = 0;
  for (size_t i = bytes.size(); i-- > 0;) {
    value = value << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

uint32_t LengthCheckOf(BatchPosition position) {
  return position == BatchPosition::kFirst ? kFirstLengthCheck
                                           : kSubsequentLengthCheck;
}

// Decodes the record at the start of `bytes`; returns its size in the file.
std::optional<size_t> DecodeRecord(std::string_view bytes,
                                   BatchPosition position,
                                   rpc::JournalRecord& record) {
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const uint64_t length = GetLittleEndian(bytes.substr(0, 4));
  const uint64_t check = GetLittleEndian(bytes.substr(4, 4));
  if ((length ^ LengthCheckOf(position)) != check || length > kMaxRecordBytes ||
      bytes.size() - kHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view payload = bytes.substr(kHeaderBytes, length);
  if (base::Hash(payload) != GetLittleEndian(bytes.substr(8, 8))) {
    return std::nullopt;
  }
  if (!record.ParseFromArray(payload.data(), static_cast<int>(length))) {
    return std::nullopt;
  }
  return kHeaderBytes + length;
}

bool ContainsBatchStart(std::string_view bytes) {
  rpc::JournalRecord record;
  for (size_t offset = 1; offset + kHeaderBytes <= bytes.size(); ++offset) {
    if (DecodeRecord(bytes.substr(offset), BatchPosition::kFirst, record)) {
      return true;
    }
  }
  return false;
}

}  // namespace

void EncodeRecord(const rpc::JournalRecord& record,
                  BatchPosition position,
                  std::string& bytes) {
  const std::string payload = record.SerializeAsString();
  PutLittleEndian(payload.size(), 4, bytes);
  PutLittleEndian(payload.size() ^ LengthCheckOf(position), 4, bytes);
  PutLittleEndian(base::Hash(payload), 8, bytes);
  bytes += payload;
}

tl::expected<DecodedJournal, ResultCode> DecodeJournal(std::string_view bytes) {
  DecodedJournal decoded;
  while (decoded.valid_bytes_ < bytes.size()) {
    const std::string_view remaining = bytes.substr(decoded.valid_bytes_);
    rpc::JournalRecord record;
    std::optional<size_t> size =
        DecodeRecord(remaining, BatchPosition::kFirst, record);
    if (!size) {
      size = DecodeRecord(remaining, BatchPosition::kSubsequent, record);
    }
    if (!size) {
      if (ContainsBatchStart(remaining)) {
        return tl::unexpected(ResultCode::kStorageCorrupt);
      }
      return decoded;
    }
    decoded.valid_bytes_ += *size;
    decoded.records_.push_back(std::move(record));
  }
  return decoded;
}

FileJournal::FileJournal(std::string path) : path_(std::move(path)) {}

FileJournal::~FileJournal() {
  if (file_ >= 0) {
    close(file_);
  }
}

tl::expected<std::vector<rpc::JournalRecord>, ResultCode> FileJournal::Load() {
  file_ = open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (file_ < 0) {
    return tl::unexpected(Fail(errno));
  }
  struct stat status = {};
  if (fstat(file_, &status) != 0) {
    return tl::unexpected(Fail(errno));
  }
  std::string bytes(static_cast<size_t>(status.st_size), '\0');
  const ssize_t bytes_read = pread(file_, bytes.data(), bytes.size(), 0);
  if (bytes_read != status.st_size) {
    return tl::unexpected(Fail(errno));
  }
  tl::expected<DecodedJournal, ResultCode> decoded = DecodeJournal(bytes);
  if (!decoded) {
    base::LogEvent(base::EventId::kStorageCorrupt, {{"file", path_}});
    close(std::exchange(file_, -1));
    return tl::unexpected(decoded.error());
  }
  size_ = decoded->valid_bytes_;
  tail_truncated_ = size_ != bytes.size();
  if (tail_truncated_) {
    base::LogEvent(base::EventId::kStorageRepaired, {{"file", path_}});
    if (ftruncate(file_, static_cast<off_t>(size_)) != 0) {
      return tl::unexpected(Fail(errno));
    }
  }
  if (lseek(file_, 0, SEEK_END) < 0 || fsync(file_) != 0) {
    return tl::unexpected(Fail(errno));
  }
  const ResultCode synced = SyncFolder();
  if (synced != ResultCode::kOk) {
    return tl::unexpected(synced);
  }
  loaded_ = true;
  return std::move(decoded->records_);
}

ResultCode FileJournal::Append(const rpc::JournalRecord& record) {
  if (file_ < 0) {
    return ResultCode::kStorageFailed;
  }
  EncodeRecord(
      record,
      pending_.empty() ? BatchPosition::kFirst : BatchPosition::kSubsequent,
      pending_);
  return ResultCode::kOk;
}

ResultCode FileJournal::Sync() {
  if (file_ < 0) {
    return ResultCode::kStorageFailed;
  }
  if (pending_.empty()) {
    return ResultCode::kOk;
  }
  const ResultCode written = WriteAll(file_, pending_);
  if (written != ResultCode::kOk) {
    return written;
  }
  // A failed fdatasync may drop dirty pages, so it must not be retried.
  if (fdatasync(file_) != 0) {
    return Fail(errno);
  }
  size_ += pending_.size();
  pending_.clear();
  return ResultCode::kOk;
}

ResultCode FileJournal::Replace(
    const std::vector<rpc::JournalRecord>& records) {
  if (!loaded_) {
    return ResultCode::kStorageFailed;
  }
  std::string bytes;
  // The new file is synced before it is renamed into place, so none of its
  // records can be torn: each counts as a batch of its own.
  for (const rpc::JournalRecord& record : records) {
    EncodeRecord(record, BatchPosition::kFirst, bytes);
  }
  const std::string temporary = path_ + ".new";
  const int file =
      open(temporary.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (file < 0) {
    return Fail(errno);
  }
  const int old_file = std::exchange(file_, file);
  if (old_file >= 0) {
    close(old_file);
  }
  const ResultCode written = WriteAll(file_, bytes);
  if (written != ResultCode::kOk) {
    return written;
  }
  if (fsync(file_) != 0 || rename(temporary.c_str(), path_.c_str()) != 0) {
    return Fail(errno);
  }
  size_ = bytes.size();
  pending_.clear();
  return SyncFolder();
}

ResultCode FileJournal::WriteAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return Fail(errno);
    }
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return ResultCode::kOk;
}

ResultCode FileJournal::SyncFolder() {
  const std::filesystem::path folder =
      std::filesystem::path(path_).parent_path();
  const int file = open(folder.empty() ? "." : folder.c_str(),
                        O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return Fail(errno);
  }
  const int result = fsync(file);
  const int error_number = errno;
  close(file);
  return result == 0 ? ResultCode::kOk : Fail(error_number);
}

ResultCode FileJournal::Fail(int error_number) {
  if (file_ >= 0) {
    close(std::exchange(file_, -1));
  }
  base::LogEvent(base::EventId::kStorageFailed,
                 {{"file", path_}, {"error", std::strerror(error_number)}});
  return error_number == ENOSPC ? ResultCode::kStorageFull
                                : ResultCode::kStorageFailed;
}

}  // namespace buckthorngate::storage
