// Journals on disk: torn writes, corruption before the last write, replacement,
// failures, and the timing of syncs.
#define BOOST_TEST_MODULE storage
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "base/random.h"
#include "storage/file_journal.h"
#include "storage/timed_journal.h"

namespace buckthorngate::tests {
namespace {

using storage::FileJournal;

class TempFolder {
 public:
  TempFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "journal-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  std::string File() const { return path_ + "/test.journal"; }

 private:
  std::string path_;
};

rpc::JournalRecord Record(uint64_t index) {
  rpc::JournalRecord record;
  record.mutable_entry()->set_index(index);
  record.mutable_entry()->set_payload("payload " + std::to_string(index));
  return record;
}

// Writes records 1 to `count`, each as a batch of its own.
void WriteRecords(const std::string& file, uint64_t count) {
  FileJournal journal(file);
  BOOST_REQUIRE(journal.Load().has_value());
  for (uint64_t i = 1; i <= count; ++i) {
    BOOST_REQUIRE((journal.Append(Record(i)) == ResultCode::kOk));
    BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
  }
}

// Writes two batches of three records each; returns the offset of the second.
uintmax_t WriteTwoBatches(const std::string& file) {
  FileJournal journal(file);
  BOOST_REQUIRE(journal.Load().has_value());
  uintmax_t second = 0;
  for (uint64_t i = 1; i <= 6; ++i) {
    BOOST_REQUIRE((journal.Append(Record(i)) == ResultCode::kOk));
    if (i % 3 == 0) {
      BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
      second = i == 3 ? std::filesystem::file_size(file) : second;
    }
  }
  return second;
}

void Overwrite(const std::string& file, uintmax_t at, size_t size, char byte) {
  std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
  stream.seekp(static_cast<std::streamoff>(at));
  stream << std::string(size, byte);
}

BOOST_AUTO_TEST_CASE(SyncedRecordsAreLoaded) {
  const TempFolder folder;
  WriteRecords(folder.File(), 10);
  FileJournal journal(folder.File());
  const auto records = journal.Load();
  BOOST_REQUIRE(records.has_value());
  BOOST_REQUIRE(records->size() == 10);
  BOOST_TEST(records->at(9).entry().payload() == "payload 10");
}

BOOST_AUTO_TEST_CASE(UnsyncedRecordsAreNotWritten) {
  const TempFolder folder;
  WriteRecords(folder.File(), 2);
  {
    FileJournal journal(folder.File());
    BOOST_REQUIRE(journal.Load().has_value());
    (void)journal.Append(Record(3));
  }
  FileJournal journal(folder.File());
  BOOST_TEST(journal.Load()->size() == 2u);
}

BOOST_AUTO_TEST_CASE(ATornTailOfAnyLengthIsTruncated) {
  const TempFolder folder;
  WriteRecords(folder.File(), 3);
  const uintmax_t size = std::filesystem::file_size(folder.File());
  std::string last;
  storage::EncodeRecord(Record(3), storage::BatchPosition::kFirst, last);
  for (uintmax_t cut = 1; cut < last.size(); ++cut) {
    WriteRecords(folder.File(), 0);
    std::filesystem::resize_file(folder.File(), size - cut);
    FileJournal journal(folder.File());
    const auto records = journal.Load();
    BOOST_REQUIRE(records.has_value());
    BOOST_TEST(records->size() == 2u);
    (void)journal.Append(Record(3));
    BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
    BOOST_TEST(std::filesystem::file_size(folder.File()) == size);
  }
}

BOOST_AUTO_TEST_CASE(ACorruptMiddleIsRefused) {
  const TempFolder folder;
  WriteRecords(folder.File(), 5);
  {
    std::fstream file(folder.File(),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(30);
    file.put('\xff');
  }
  FileJournal journal(folder.File());
  const auto records = journal.Load();
  BOOST_REQUIRE(!records.has_value());
  BOOST_TEST((records.error() == ResultCode::kStorageCorrupt));
}

// Guards against a host that refuses to start after a power loss, because a
// part of the last write did not reach the disk although a later part did.
BOOST_AUTO_TEST_CASE(AHoleInTheLastWriteIsATornTail) {
  const TempFolder folder;
  const uintmax_t second = WriteTwoBatches(folder.File());
  const uintmax_t end = std::filesystem::file_size(folder.File());
  for (uintmax_t at = second; at < end; ++at) {
    std::filesystem::remove(folder.File());
    WriteTwoBatches(folder.File());
    Overwrite(folder.File(), at, std::min<uintmax_t>(20, end - at), '\0');
    FileJournal journal(folder.File());
    const auto records = journal.Load();
    BOOST_REQUIRE_MESSAGE(records.has_value(), "hole at " << at);
    BOOST_TEST(records->size() >= 3u);
    BOOST_TEST(records->size() < 6u);
    for (size_t i = 0; i < records->size(); ++i) {
      BOOST_TEST(records->at(i).entry().index() == i + 1);
    }
    (void)journal.Append(Record(9));
    BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
    FileJournal again(folder.File());
    BOOST_TEST(again.Load()->size() == records->size() + 1);
  }
}

BOOST_AUTO_TEST_CASE(DamageBeforeTheLastWriteIsRefused) {
  const TempFolder folder;
  const uintmax_t second = WriteTwoBatches(folder.File());
  for (uintmax_t at = 0; at < second; ++at) {
    std::filesystem::remove(folder.File());
    WriteTwoBatches(folder.File());
    Overwrite(folder.File(), at, 1, '\xff');
    FileJournal journal(folder.File());
    const auto records = journal.Load();
    BOOST_REQUIRE_MESSAGE(!records.has_value(), "damage at " << at);
    BOOST_TEST((records.error() == ResultCode::kStorageCorrupt));
  }
}

// A replacement is synced before it is used, so damage in it cannot be a torn
// write.
BOOST_AUTO_TEST_CASE(DamageInAReplacementIsRefused) {
  const TempFolder folder;
  {
    FileJournal journal(folder.File());
    BOOST_REQUIRE(journal.Load().has_value());
    BOOST_REQUIRE((journal.Replace({Record(1), Record(2), Record(3)}) ==
                   ResultCode::kOk));
  }
  Overwrite(folder.File(), 30, 1, '\xff');
  FileJournal journal(folder.File());
  BOOST_TEST(!journal.Load().has_value());
}

BOOST_AUTO_TEST_CASE(ReplaceIsAtomicAndAppendsContinue) {
  const TempFolder folder;
  {
    FileJournal journal(folder.File());
    BOOST_REQUIRE(journal.Load().has_value());
    (void)journal.Append(Record(1));
    (void)journal.Sync();
    BOOST_REQUIRE((journal.Replace({Record(7), Record(8)}) == ResultCode::kOk));
    (void)journal.Append(Record(9));
    BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
  }
  FileJournal journal(folder.File());
  const auto records = journal.Load();
  BOOST_REQUIRE(records.has_value());
  BOOST_REQUIRE(records->size() == 3);
  BOOST_TEST(records->front().entry().index() == 7u);
}

BOOST_AUTO_TEST_CASE(AFullDiskIsReportedAndTheJournalStaysFailed) {
  FileJournal journal("/dev/full");
  const auto loaded = journal.Load();
  // The device can be neither read nor synced like a regular file; in both
  // cases the journal must report a failure.
  if (loaded) {
    (void)journal.Append(Record(1));
    BOOST_TEST((journal.Sync() != ResultCode::kOk));
  }
  BOOST_TEST((journal.Append(Record(2)) == ResultCode::kStorageFailed));
}

BOOST_AUTO_TEST_CASE(RandomDamageIsNeverTakenForOtherRecords) {
  base::Random random(17);
  std::string bytes;
  // The batches hold one, two, one, two, ... records: every third record
  // continues the batch before it.
  for (uint64_t i = 1; i <= 20; ++i) {
    storage::EncodeRecord(Record(i),
                          i % 3 == 0 ? storage::BatchPosition::kSubsequent
                                     : storage::BatchPosition::kFirst,
                          bytes);
  }
  for (int round = 0; round < 2000; ++round) {
    std::string damaged = bytes;
    damaged[random.Below(damaged.size())] ^=
        static_cast<char>(1 + random.Below(255));
    const auto decoded = storage::DecodeJournal(damaged);
    if (!decoded) {
      continue;
    }
    // Decoded records must be an unchanged prefix.
    for (size_t i = 0; i < decoded->records_.size(); ++i) {
      BOOST_REQUIRE(decoded->records_[i].entry().index() == i + 1);
      BOOST_REQUIRE(decoded->records_[i].entry().payload() ==
                    "payload " + std::to_string(i + 1));
    }
  }
}

// Guards against sync times that do not show how long the disk delays commits:
// syncs without records are fast and would hide the slow ones.
BOOST_AUTO_TEST_CASE(OnlySyncsThatWriteAreTimed) {
  const TempFolder folder;
  storage::TimedJournal journal("source",
                                std::make_unique<FileJournal>(folder.File()));
  BOOST_REQUIRE(journal.Load().has_value());
  const auto counted = [&journal](const std::string& count) {
    return journal.SyncTimes().Render("t", "").find("t_count " + count +
                                                    "\n") != std::string::npos;
  };
  BOOST_TEST((journal.Sync() == ResultCode::kOk));
  BOOST_TEST(counted("0"));
  BOOST_TEST((journal.Append(Record(1)) == ResultCode::kOk));
  BOOST_TEST((journal.Sync() == ResultCode::kOk));
  BOOST_TEST((journal.Sync() == ResultCode::kOk));
  BOOST_TEST(counted("1"));
  BOOST_TEST((journal.Replace({Record(2)}) == ResultCode::kOk));
  BOOST_TEST(counted("2"));
}

// Guards against a restart that truncates its journal without reporting that
// along with the restored state.
BOOST_AUTO_TEST_CASE(ATruncatedTailIsReported) {
  const TempFolder folder;
  {
    FileJournal journal(folder.File());
    BOOST_REQUIRE(journal.Load().has_value());
    BOOST_TEST(!journal.TailTruncated());
    BOOST_TEST((journal.Append(Record(1)) == ResultCode::kOk));
    BOOST_TEST((journal.Sync() == ResultCode::kOk));
  }
  std::ofstream(folder.File(), std::ios::app) << "torn";
  storage::TimedJournal journal("source",
                                std::make_unique<FileJournal>(folder.File()));
  BOOST_REQUIRE(journal.Load().has_value());
  BOOST_TEST(journal.TailTruncated());
}

}  // namespace
}  // namespace buckthorngate::tests
