// Claims: an at-most-once request never runs twice, whichever members of the
// claim group and daemons fail.
#define BOOST_TEST_MODULE claims
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

#include "request/claim_coordinator.h"
#include "request/claim_ledger.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

// Three zones with one relay and one proxy each.
void BuildMesh(TestMesh& mesh) {
  mesh.AddSources(3);
  for (const char* zone : {"1", "2", "3"}) {
    mesh.AddRelay("relay-" + std::string(zone), "zone-" + std::string(zone));
  }
  for (const char* zone : {"1", "2", "3"}) {
    mesh.AddProxy("proxy-" + std::string(zone), "zone-" + std::string(zone));
  }
}

// Waits until the claim group has this many members, and two seconds more;
// false if that takes too long.
bool AwaitGroup(TestMesh& mesh, int members) {
  for (int i = 0; i < 2000; ++i) {
    mesh.Net().Run(std::chrono::milliseconds(10));
    const std::string leader = mesh.Leader();
    if (leader.empty()) {
      continue;
    }
    const rpc::ClaimGroup& group =
        mesh.Source(leader).State().Config().Claims();
    if (group.members_size() == members) {
      mesh.Net().Run(std::chrono::seconds(2));
      return true;
    }
  }
  return false;
}

std::string DescribeGroup(TestMesh& mesh) {
  const rpc::ClaimGroup& group =
      mesh.Source(mesh.Leader()).State().Config().Claims();
  std::string text = "epoch " + std::to_string(group.epoch());
  for (const rpc::ClaimMember& member : group.members()) {
    const bool alive = mesh.Alive(member.relay());
    const bool ready = alive && mesh.Relay(member.relay()).Claims().Ready();
    text += " " + member.relay() + (alive ? "" : " dead") +
            (ready ? " ready" : " not ready");
  }
  return text;
}

// Sends claims as daemons do and counts the runs that they would allow.
class ClaimDriver {
 public:
  explicit ClaimDriver(TestMesh& mesh) : mesh_(mesh) {}

  std::string Start(const std::string& proxy,
                    const std::string& key,
                    uint64_t content = 1) {
    rpc::ClaimRecord record;
    record.set_key(key);
    record.set_content_digest(content);
    record.set_owner(proxy + "#" + std::to_string(++next_));
    record.set_expires_ms(
        base::ToUnixMs(mesh_.Net().Now().wall_ + std::chrono::hours(24)));
    mesh_.Proxy(proxy).StartClaim(rpc::ClaimRequest::CLAIM, record,
                                  mesh_.Net().Now());
    records_[record.owner()] = record;
    return record.owner();
  }

  void Collect() {
    for (const std::string& id : mesh_.ProxyIds()) {
      if (!mesh_.Alive(id)) {
        continue;
      }
      for (request::ClaimOutcome& outcome :
           mesh_.Proxy(id).TakeClaimOutcomes()) {
        if (outcome.action_ == rpc::ClaimRequest::CLAIM) {
          if (outcome.code_ == ResultCode::kOk) {
            ++runs_[records_[outcome.owner_].key()];
          }
          outcomes_[outcome.owner_] = outcome;
        }
      }
    }
  }

  void Run(base::Duration length) {
    mesh_.Net().Run(length, [this] { Collect(); });
  }

  request::ClaimOutcome Claim(const std::string& proxy,
                              const std::string& key,
                              uint64_t content = 1) {
    const std::string owner = Start(proxy, key, content);
    Run(std::chrono::seconds(1));
    return outcomes_[owner];
  }

  void Answer(const std::string& proxy, const std::string& owner) {
    rpc::ClaimRecord record = records_[owner];
    record.set_state(rpc::CLAIM_STATE_ANSWERED);
    record.mutable_answer()->set_status(200);
    record.mutable_answer()->set_body("done by " + owner);
    mesh_.Proxy(proxy).StartClaim(rpc::ClaimRequest::ANSWER, record,
                                  mesh_.Net().Now());
    Run(std::chrono::milliseconds(300));
  }

  void Release(const std::string& proxy, const std::string& owner) {
    rpc::ClaimRecord record = records_[owner];
    record.set_released(true);
    --runs_[record.key()];
    mesh_.Proxy(proxy).StartClaim(rpc::ClaimRequest::RELEASE, record,
                                  mesh_.Net().Now());
    Run(std::chrono::milliseconds(300));
  }

  int Runs(const std::string& key) { return runs_[key]; }
  const std::map<std::string, int>& AllRuns() const { return runs_; }
  const std::map<std::string, request::ClaimOutcome>& Outcomes() const {
    return outcomes_;
  }

 private:
  TestMesh& mesh_;
  int next_ = 0;
  std::map<std::string, rpc::ClaimRecord> records_;
  std::map<std::string, int> runs_;
  std::map<std::string, request::ClaimOutcome> outcomes_;
};

BOOST_AUTO_TEST_CASE(AResendGetsTheStoredAnswerThroughAnyDaemon) {
  TestMesh mesh(1);
  BuildMesh(mesh);
  BOOST_REQUIRE(AwaitGroup(mesh, 3));
  ClaimDriver driver(mesh);
  const request::ClaimOutcome first = driver.Claim("proxy-1", "k");
  BOOST_REQUIRE((first.code_ == ResultCode::kOk));
  // Not answered yet: the outcome is unknown, and the request must not run
  // again.
  const request::ClaimOutcome early = driver.Claim("proxy-2", "k");
  BOOST_TEST((early.code_ == ResultCode::kClaimOutcomeUnknown));
  BOOST_TEST(!early.answer_.has_value());
  driver.Answer("proxy-1", first.owner_);
  const request::ClaimOutcome late = driver.Claim("proxy-3", "k");
  BOOST_REQUIRE(late.answer_.has_value());
  BOOST_TEST(late.answer_->body() == "done by " + first.owner_);
  BOOST_TEST(driver.Runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(TheSameKeyWithOtherContentIsRefused) {
  TestMesh mesh(2);
  BuildMesh(mesh);
  BOOST_REQUIRE(AwaitGroup(mesh, 3));
  ClaimDriver driver(mesh);
  driver.Claim("proxy-1", "k", 1);
  BOOST_TEST((driver.Claim("proxy-2", "k", 2).code_ == ResultCode::kKeyReused));
}

BOOST_AUTO_TEST_CASE(WithoutAMajorityNothingRuns) {
  TestMesh mesh(3);
  BuildMesh(mesh);
  BOOST_REQUIRE(AwaitGroup(mesh, 3));
  ClaimDriver driver(mesh);
  mesh.Crash("relay-2");
  mesh.Crash("relay-3");
  BOOST_TEST(
      (driver.Claim("proxy-1", "k").code_ == ResultCode::kClaimNoQuorum));
  BOOST_TEST(driver.Runs("k") == 0);
}

BOOST_AUTO_TEST_CASE(AReleasedClaimMayRunElsewhere) {
  TestMesh mesh(4);
  BuildMesh(mesh);
  BOOST_REQUIRE(AwaitGroup(mesh, 3));
  ClaimDriver driver(mesh);
  const request::ClaimOutcome first = driver.Claim("proxy-1", "k");
  driver.Release("proxy-1", first.owner_);
  BOOST_TEST((driver.Claim("proxy-2", "k").code_ == ResultCode::kOk));
  BOOST_TEST(driver.Runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(ClaimsSurviveACrashOfAllNodes) {
  TestMesh mesh(5);
  BuildMesh(mesh);
  BOOST_REQUIRE(AwaitGroup(mesh, 3));
  ClaimDriver driver(mesh);
  BOOST_REQUIRE((driver.Claim("proxy-1", "k").code_ == ResultCode::kOk));
  std::vector<std::string> all = mesh.ProxyIds();
  all.insert(all.end(), mesh.SourceIds().begin(), mesh.SourceIds().end());
  for (const char* relay : {"relay-1", "relay-2", "relay-3"}) {
    all.emplace_back(relay);
  }
  for (const std::string& id : all) {
    mesh.Crash(id);
  }
  for (const std::string& id : all) {
    mesh.Restart(id);
  }
  mesh.Net().Run(std::chrono::seconds(5));
  BOOST_TEST(
      (driver.Claim("proxy-2", "k").code_ == ResultCode::kClaimOutcomeUnknown));
  BOOST_TEST(driver.Runs("k") == 1);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatResumesAfterAFreezeRunsNothingTwice) {
  TestMesh mesh(6);
  BuildMesh(mesh);
  BOOST_REQUIRE(AwaitGroup(mesh, 3));
  ClaimDriver driver(mesh);
  const std::string owner = driver.Start("proxy-1", "k");
  mesh.Net().Flush("proxy-1");
  mesh.Net().Freeze("proxy-1");
  driver.Run(std::chrono::seconds(5));
  const request::ClaimOutcome other = driver.Claim("proxy-2", "k");
  BOOST_TEST((other.code_ == ResultCode::kClaimOutcomeUnknown));
  mesh.Net().Thaw("proxy-1");
  driver.Run(std::chrono::seconds(2));
  BOOST_TEST(driver.Runs("k") <= 1);
}

// Three daemons claim the same keys concurrently while members of the group
// crash, lose their disks and are replaced, a second time right after a repair.
BOOST_AUTO_TEST_CASE(NoKeyRunsTwiceWhileTheGroupIsRepaired) {
  int ran = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    TestMesh mesh(seed);
    BuildMesh(mesh);
    mesh.AddRelay("relay-4", "zone-4");
    mesh.AddRelay("relay-5", "zone-5");
    BOOST_REQUIRE(AwaitGroup(mesh, 3));
    NetworkFaults faults;
    faults.loss_ = 0.02;
    faults.duplicate_ = 0.1;
    faults.max_delay_ = std::chrono::milliseconds(100);
    mesh.Net().SetFaults(faults);
    base::Random random(seed);
    ClaimDriver driver(mesh);
    for (int round = 0; round < 60; ++round) {
      const std::string key = "k" + std::to_string(random.Below(20));
      for (const std::string& proxy : mesh.ProxyIds()) {
        driver.Start(proxy, key);
      }
      driver.Run(std::chrono::milliseconds(300 + random.Below(900)));
      // One member is lost with its disk. After 40 seconds it has been
      // replaced, and another one is lost.
      if (round == 15 || round == 38) {
        const std::string leader = mesh.Leader();
        BOOST_REQUIRE(!leader.empty());
        const rpc::ClaimGroup group =
            mesh.Source(leader).State().Config().Claims();
        const std::string lost = group.members(0).relay();
        mesh.Crash(lost);
        mesh.LoseDisk(lost);
        if (round == 15) {
          driver.Run(std::chrono::seconds(40));
        }
      }
    }
    driver.Run(std::chrono::seconds(40));
    for (const auto& [key, runs] : driver.AllRuns()) {
      BOOST_REQUIRE_MESSAGE(runs <= 1, "seed " << seed << ": " << key << " ran "
                                               << runs << " times");
      ran += runs;
    }
    // A repaired group grants claims again.
    const request::ClaimOutcome after = driver.Claim("proxy-2", "new");
    BOOST_TEST((after.code_ == ResultCode::kOk),
               "seed " << seed << ": " << Describe(after.code_).name_ << " "
                       << DescribeGroup(mesh));
  }
  BOOST_TEST(ran > 40 * 10);
}

// Sends claims as daemons do, and releases those that it does not use and those
// whose outcome it did not wait for.
class ReleasingClaimDriver {
 public:
  ReleasingClaimDriver(TestMesh& mesh, uint64_t seed)
      : mesh_(mesh), random_(seed) {}

  void Claim(const std::string& proxy,
             const std::string& key,
             base::Duration timeout) {
    PendingClaim pending;
    pending.proxy_ = proxy;
    pending.until_ = mesh_.Net().Now().mono_ + timeout;
    pending.record_.set_key(key);
    pending.record_.set_content_digest(1);
    pending.record_.set_owner(proxy + "#" + std::to_string(++next_));
    pending.record_.set_expires_ms(
        base::ToUnixMs(mesh_.Net().Now().wall_ + std::chrono::hours(24)));
    mesh_.Proxy(proxy).StartClaim(rpc::ClaimRequest::CLAIM, pending.record_,
                                  mesh_.Net().Now());
    pending_[pending.record_.owner()] = pending;
  }

  void Run(base::Duration length) {
    mesh_.Net().Run(length, [this] {
      TakeOutcomes();
      ReleaseTimedOut();
    });
  }

  // From now on one in `one_in` granted claims is used, the others are
  // released.
  void SetUse(uint64_t one_in) { use_one_in_ = one_in; }
  int Runs(const std::string& key) { return runs_[key]; }
  int Releases() const { return releases_; }

 private:
  struct PendingClaim {
    std::string proxy_;
    base::MonoTime until_;
    rpc::ClaimRecord record_;
  };

  void TakeOutcomes() {
    for (const std::string& id : mesh_.ProxyIds()) {
      for (const request::ClaimOutcome& outcome :
           mesh_.Proxy(id).TakeClaimOutcomes()) {
        const auto found = pending_.find(outcome.owner_);
        if (outcome.action_ != rpc::ClaimRequest::CLAIM ||
            found == pending_.end()) {
          continue;
        }
        const PendingClaim pending = found->second;
        pending_.erase(found);
        if (outcome.code_ != ResultCode::kOk) {
          continue;
        }
        if (random_.Below(use_one_in_) == 0) {
          ++runs_[pending.record_.key()];
        } else {
          Release(pending);
        }
      }
    }
  }

  void ReleaseTimedOut() {
    std::vector<PendingClaim> late;
    for (const auto& [owner, pending] : pending_) {
      if (mesh_.Net().Now().mono_ >= pending.until_) {
        late.push_back(pending);
      }
    }
    for (const PendingClaim& pending : late) {
      pending_.erase(pending.record_.owner());
      Release(pending);
    }
  }

  void Release(const PendingClaim& pending) {
    ++releases_;
    rpc::ClaimRecord record = pending.record_;
    record.set_released(true);
    mesh_.Proxy(pending.proxy_)
        .StartClaim(rpc::ClaimRequest::RELEASE, record, mesh_.Net().Now());
  }

  TestMesh& mesh_;
  base::Random random_;
  int next_ = 0;
  uint64_t use_one_in_ = 1;
  int releases_ = 0;
  std::map<std::string, PendingClaim> pending_;
  std::map<std::string, int> runs_;
};

constexpr int kKeyCount = 8;

std::string KeyOf(int number) {
  return "k" + std::to_string(number);
}

// Messages are lost, duplicated and delayed while one member is partitioned and
// another one restarts.
void ClaimUnderFaults(TestMesh& mesh,
                      ReleasingClaimDriver& driver,
                      base::Random& random) {
  NetworkFaults faults;
  faults.loss_ = 0.3;
  faults.duplicate_ = 0.3;
  faults.max_delay_ = std::chrono::milliseconds(1200);
  mesh.Net().SetFaults(faults);
  for (int round = 0; round < 40; ++round) {
    const std::string key = KeyOf(static_cast<int>(random.Below(kKeyCount)));
    for (const std::string& proxy : mesh.ProxyIds()) {
      driver.Claim(proxy, key, std::chrono::milliseconds(random.Below(3000)));
    }
    driver.Run(std::chrono::milliseconds(random.Below(900)));
    if (round == 8) {
      mesh.Net().Isolate("relay-2");
    } else if (round == 12) {
      mesh.Net().Heal();
      mesh.Crash("relay-3");
    } else if (round == 14) {
      mesh.Restart("relay-3");
    }
  }
  mesh.Net().SetFaults(NetworkFaults());
}

// Guards against a key that never ran but is refused until its claim expires,
// because the claim was granted after its owner had given up waiting, or
// because its release was lost.
BOOST_AUTO_TEST_CASE(AKeyThatNeverRanMayRunLater) {
  int ran = 0;
  int not_run = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    TestMesh mesh(seed);
    BuildMesh(mesh);
    BOOST_REQUIRE(AwaitGroup(mesh, 3));
    base::Random random(seed);
    ReleasingClaimDriver driver(mesh, seed + 1);
    driver.SetUse(2);
    ClaimUnderFaults(mesh, driver, random);
    driver.Run(std::chrono::seconds(20));
    driver.SetUse(1);
    for (int i = 0; i < kKeyCount; ++i) {
      const int before = driver.Runs(KeyOf(i));
      BOOST_TEST(before <= 1,
                 "seed " << seed << ": " << KeyOf(i) << " ran twice");
      driver.Claim("proxy-" + std::to_string(1 + i % 3), KeyOf(i),
                   std::chrono::seconds(2));
      driver.Run(std::chrono::seconds(2));
      BOOST_TEST(driver.Runs(KeyOf(i)) == 1,
                 "seed " << seed << ": " << KeyOf(i) << " ran "
                         << driver.Runs(KeyOf(i)) << " times, " << before
                         << " of them before");
      ran += before;
      not_run += 1 - before;
    }
    BOOST_TEST(driver.Releases() > 0);
  }
  BOOST_TEST(ran > 60);
  BOOST_TEST(not_run > 60);
}

// Guards against an unbounded number of pending releases while a member is
// down.
BOOST_AUTO_TEST_CASE(UnconfirmedReleasesAreBounded) {
  request::ClaimCoordinator coordinator("proxy-1");
  rpc::ClaimGroup group;
  group.set_epoch(1);
  group.add_members()->set_relay("relay-1");
  coordinator.SetGroup(group);
  base::Now now{base::MonoTime(std::chrono::hours(1)),
                base::WallTime(std::chrono::hours(1))};
  base::Outbox outbox;
  constexpr size_t kReleases = request::kMaxPendingClaims + 1000;
  for (size_t i = 0; i < kReleases; ++i) {
    rpc::ClaimRecord record;
    record.set_key("k" + std::to_string(i));
    record.set_owner("proxy-1#" + std::to_string(i));
    record.set_expires_ms(base::ToUnixMs(now.wall_ + request::kClaimLifetime));
    record.set_released(true);
    coordinator.Start(rpc::ClaimRequest::RELEASE, record, now, outbox);
  }
  BOOST_TEST(outbox.Take().size() == kReleases);
  now.mono_ += request::kClaimTimeout;
  coordinator.OnTimer(now, outbox);
  BOOST_TEST(outbox.Take().size() == request::kMaxPendingClaims);
  // Each release has an outcome, including those that are still being resent.
  BOOST_TEST(coordinator.TakeOutcomes().size() == kReleases);
  now.mono_ += request::kClaimLifetime;
  now.wall_ += request::kClaimLifetime;
  coordinator.OnTimer(now, outbox);
  BOOST_TEST(outbox.Take().empty());
}

}  // namespace
}  // namespace buckthorngate::tests
