// Disks that refuse writes for some seconds and take them again.
#define BOOST_TEST_MODULE full_disk
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include "power_cluster.h"
#include "storage/file_journal.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Starts all hosts and publishes a change; returns the hosts in some order.
std::vector<int> StartHosts(PowerCluster& cluster) {
  std::vector<int> hosts;
  for (int host = 1; host <= cluster.Hosts(); ++host) {
    cluster.Start(host, true);
    hosts.push_back(host);
  }
  BOOST_REQUIRE(cluster.Run(seconds(10), [&] { return cluster.Repaired(); }));
  BOOST_REQUIRE(cluster.Publish());
  std::shuffle(hosts.begin(), hosts.end(), cluster.Rng().Engine());
  return hosts;
}

// Sends a change each half of a second.
void SendChanges(PowerCluster& cluster, uint64_t halves) {
  for (uint64_t i = 0; i < halves; ++i) {
    cluster.SendChange();
    cluster.Run(milliseconds(500));
  }
}

void FillDisk(PowerCluster& cluster, int host, uint64_t halves) {
  cluster.Disk(host).SetFull(true);
  SendChanges(cluster, halves);
  cluster.Disk(host).SetFull(false);
}

// Guards against hosts that take no part any more after their disks were full,
// so that one lost disk later ends the quorum for good.
BOOST_AUTO_TEST_CASE(EachHostIsOfUseAgainAfterItsDiskWasFull) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    PowerCluster cluster(seed);
    const std::vector<int> hosts = StartHosts(cluster);
    const size_t full = 1 + cluster.Rng().Below(hosts.size());
    for (size_t i = 0; i < full; ++i) {
      FillDisk(cluster, hosts[i], 2 + cluster.Rng().Below(10));
      cluster.Run(kCatchUp);
    }
    BOOST_TEST(cluster.Publish(), "seed " << seed << cluster.View());
    const int lost = hosts.back();
    cluster.Wipe(lost);
    cluster.Run(milliseconds(cluster.Rng().Below(1000)));
    cluster.Start(lost, /*first=*/false);
    (void)cluster.ReadsBack();
    BOOST_TEST(cluster.Run(kRecovery, [&] { return cluster.ReadsBack(); }),
               "seed " << seed << cluster.View());
    BOOST_TEST(cluster.Run(kRecovery, [&] { return cluster.Repaired(); }),
               "seed " << seed << cluster.View());
    BOOST_TEST(cluster.Broken() == "", "seed " << seed);
  }
}

// Guards against changes that are refused or stay unanswered for good after the
// disks of all hosts were full for a few seconds each, one after another.
BOOST_AUTO_TEST_CASE(ChangesAreTakenAfterAllDisksWereFullOneAfterAnother) {
  constexpr base::Duration kAckTime = seconds(4);
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    PowerCluster cluster(seed, seed % 2 == 0 ? 3 : 4);
    const std::vector<int> hosts = StartHosts(cluster);
    for (const int host : hosts) {
      FillDisk(cluster, host, 4 + cluster.Rng().Below(6));
      cluster.Run(milliseconds(cluster.Rng().Below(800)));
    }
    // The first second is for the last disk to be found well again.
    cluster.Run(seconds(1));
    const uint64_t before = cluster.AckedNumber();
    SendChanges(cluster, kAckTime / milliseconds(500));
    BOOST_TEST(cluster.AckedNumber() > before,
               "seed " << seed << cluster.View());
    BOOST_TEST(cluster.Publish(), "seed " << seed << cluster.View());
    BOOST_TEST(cluster.Run(kRecovery, [&] { return cluster.ReadsBack(); }),
               "seed " << seed << cluster.View());
    BOOST_TEST(cluster.Broken() == "", "seed " << seed);
  }
}

// Guards against a relay that serves no proxy any more after its disk was full.
BOOST_AUTO_TEST_CASE(ARelayServesAgainAfterItsDiskWasFull) {
  TestMesh mesh(11);
  mesh.AddSources(3);
  mesh.AddRelay("relay", "zone");
  mesh.AddProxy("proxy", "zone");
  BOOST_REQUIRE(mesh.AwaitLeader());
  BOOST_REQUIRE(
      mesh.Publish(MakePublication(1, {MakeService("a")})).result_code() == 0);
  mesh.Net().Run(seconds(2));
  BOOST_REQUIRE(mesh.Proxy("proxy").Config().Find("a") != nullptr);
  mesh.Journal("relay").SetFailing(true);
  BOOST_REQUIRE(
      mesh.Publish(MakePublication(2, {MakeService("b")})).result_code() == 0);
  mesh.Net().Run(seconds(5));
  BOOST_TEST(mesh.Proxy("proxy").Config().Find("b") == nullptr);
  mesh.Journal("relay").SetFailing(false);
  mesh.Net().Run(seconds(5));
  BOOST_TEST(mesh.Proxy("proxy").Config().Find("b") != nullptr);
  BOOST_TEST(mesh.Relay("relay").Claims().Ready());
  // What it has said since lasts.
  mesh.Crash("relay");
  mesh.Restart("relay");
  BOOST_TEST(mesh.Relay("relay").Config().Find("b") != nullptr);
}

rpc::JournalRecord Record(uint64_t index) {
  rpc::JournalRecord record;
  record.mutable_entry()->set_index(index);
  return record;
}

// The kernel refuses writes that make a file longer.
class LimitFiles {
 public:
  explicit LimitFiles(rlim_t bytes) {
    getrlimit(RLIMIT_FSIZE, &before_);
    const struct rlimit limit = {bytes, before_.rlim_max};
    (void)std::signal(SIGXFSZ, SIG_IGN);
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~LimitFiles() { setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  struct rlimit before_ = {};
};

BOOST_AUTO_TEST_CASE(AReplacementBringsAFailedJournalBack) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "journal-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(folder.data()) != nullptr);
  {
    storage::FileJournal journal(folder + "/a.journal");
    // Before it is loaded nothing may take the place of what it holds.
    BOOST_TEST((journal.Replace({Record(9)}) == ResultCode::kStorageFailed));
    BOOST_REQUIRE(journal.Load().has_value());
    (void)journal.Append(Record(1));
    BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
    {
      const LimitFiles limit(std::filesystem::file_size(folder + "/a.journal"));
      (void)journal.Append(Record(2));
      BOOST_TEST((journal.Sync() != ResultCode::kOk));
      BOOST_TEST((journal.Replace({Record(1), Record(2), Record(3)}) !=
                  ResultCode::kOk));
    }
    BOOST_TEST((journal.Append(Record(2)) == ResultCode::kStorageFailed));
    BOOST_TEST((journal.Replace({Record(1), Record(2)}) == ResultCode::kOk));
    (void)journal.Append(Record(3));
    BOOST_TEST((journal.Sync() == ResultCode::kOk));
  }
  storage::FileJournal journal(folder + "/a.journal");
  const auto records = journal.Load();
  BOOST_REQUIRE(records.has_value());
  BOOST_REQUIRE(records->size() == 3u);
  for (uint64_t i = 1; i <= 3; ++i) {
    BOOST_TEST(records->at(i - 1).entry().index() == i);
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace buckthorngate::tests
