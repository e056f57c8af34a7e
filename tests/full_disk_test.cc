// Disks that are full for a few seconds and then accept writes again.
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

// Starts all hosts and publishes a change; returns the hosts in random order.
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

// Sends a change every half second, `count` times.
void SendChanges(PowerCluster& cluster, uint64_t count) {
  for (uint64_t i = 0; i < count; ++i) {
    cluster.SendChange();
    cluster.Run(milliseconds(500));
  }
}

// Keeps the host's disk full for `count` half seconds, and sends changes.
void FillDisk(PowerCluster& cluster, int host, uint64_t count) {
  cluster.Disk(host).SetFull(true);
  SendChanges(cluster, count);
  cluster.Disk(host).SetFull(false);
}

// Guards against hosts that stop participating for good after their disks were
// full, so that losing one disk later ends the quorum for good.
BOOST_AUTO_TEST_CASE(EachHostParticipatesAgainAfterItsDiskWasFull) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    PowerCluster cluster(seed);
    const std::vector<int> hosts = StartHosts(cluster);
    const size_t full = 1 + cluster.Rng().Below(hosts.size());
    for (size_t i = 0; i < full; ++i) {
      FillDisk(cluster, hosts[i], 2 + cluster.Rng().Below(10));
      cluster.Run(kCatchUp);
    }
    BOOST_TEST(cluster.Publish(), "seed " << seed << cluster.DescribeHosts());
    const int lost = hosts.back();
    cluster.Wipe(lost);
    cluster.Run(milliseconds(cluster.Rng().Below(1000)));
    cluster.Start(lost, /*first=*/false);
    (void)cluster.TakeReadSucceeded();
    BOOST_TEST(
        cluster.Run(kRecovery, [&] { return cluster.TakeReadSucceeded(); }),
        "seed " << seed << cluster.DescribeHosts());
    BOOST_TEST(cluster.Run(kRecovery, [&] { return cluster.Repaired(); }),
               "seed " << seed << cluster.DescribeHosts());
    BOOST_TEST(cluster.Violation() == "", "seed " << seed);
  }
}

// Guards against changes that are refused or get no reply for good after the
// disks of all hosts were full for a few seconds each, one after another.
BOOST_AUTO_TEST_CASE(ChangesAreAcceptedAfterAllDisksWereFullOneAfterAnother) {
  constexpr base::Duration kAckTime = seconds(4);
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    PowerCluster cluster(seed, seed % 2 == 0 ? 3 : 4);
    const std::vector<int> hosts = StartHosts(cluster);
    for (const int host : hosts) {
      FillDisk(cluster, host, 4 + cluster.Rng().Below(6));
      cluster.Run(milliseconds(cluster.Rng().Below(800)));
    }
    // Within the first second the last host detects that its disk is writable
    // again.
    cluster.Run(seconds(1));
    const uint64_t before = cluster.AckedNumber();
    SendChanges(cluster, kAckTime / milliseconds(500));
    BOOST_TEST(cluster.AckedNumber() > before,
               "seed " << seed << cluster.DescribeHosts());
    BOOST_TEST(cluster.Publish(), "seed " << seed << cluster.DescribeHosts());
    BOOST_TEST(
        cluster.Run(kRecovery, [&] { return cluster.TakeReadSucceeded(); }),
        "seed " << seed << cluster.DescribeHosts());
    BOOST_TEST(cluster.Violation() == "", "seed " << seed);
  }
}

// Guards against a relay that no longer serves proxies after its disk was full.
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
  // The changes that it distributed after the repair are durable.
  mesh.Crash("relay");
  mesh.Restart("relay");
  BOOST_TEST(mesh.Relay("relay").Config().Find("b") != nullptr);
}

rpc::JournalRecord Record(uint64_t index) {
  rpc::JournalRecord record;
  record.mutable_entry()->set_index(index);
  return record;
}

// Limits the size of files while it exists: the kernel refuses writes beyond
// `bytes`.
class ScopedFileSizeLimit {
 public:
  explicit ScopedFileSizeLimit(rlim_t bytes) {
    getrlimit(RLIMIT_FSIZE, &before_);
    const struct rlimit limit = {bytes, before_.rlim_max};
    (void)std::signal(SIGXFSZ, SIG_IGN);
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~ScopedFileSizeLimit() { setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  struct rlimit before_ = {};
};

BOOST_AUTO_TEST_CASE(AReplacementRepairsAFailedJournal) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "journal-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(folder.data()) != nullptr);
  {
    storage::FileJournal journal(folder + "/a.journal");
    // Contents that are not loaded yet must not be replaced.
    BOOST_TEST((journal.Replace({Record(9)}) == ResultCode::kStorageFailed));
    BOOST_REQUIRE(journal.Load().has_value());
    (void)journal.Append(Record(1));
    BOOST_REQUIRE((journal.Sync() == ResultCode::kOk));
    {
      const ScopedFileSizeLimit limit(
          std::filesystem::file_size(folder + "/a.journal"));
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
