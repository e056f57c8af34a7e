// Consensus under randomized, seeded schedules of message loss, reordering,
// duplicates, crashes, lost disks and isolation.
#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

constexpr int kSchedules = 2000;

// Checks the invariants that must hold for the sources at any time.
class Checker {
 public:
  explicit Checker(TestMesh& mesh) : mesh_(mesh) {}

  // Returns the violated invariant, or empty.
  std::string Check() {
    for (const std::string& id : mesh_.SourceIds()) {
      if (!mesh_.Alive(id)) {
        continue;
      }
      const distribution::SourceNode& source = mesh_.Source(id);
      if (source.Raft().IsLeader()) {
        const std::string& known =
            leaders_.try_emplace(source.Raft().Term(), id).first->second;
        if (known != id) {
          return "two leaders in term " + std::to_string(source.Raft().Term());
        }
      }
      // Equal applied indices must have equal state digests.
      const uint64_t index = source.State().AppliedIndex();
      const uint64_t digest =
          source.State().Config().Digest() + source.State().Audit().size();
      if (index > 0 &&
          digests_.try_emplace(index, digest).first->second != digest) {
        return "two states at index " + std::to_string(index);
      }
    }
    return {};
  }

  // Every accepted publication must be found by its number on `id`.
  std::string CheckAccepted(const std::string& id,
                            const std::map<uint64_t, uint64_t>& accepted) {
    for (const auto& [number, digest] : accepted) {
      const rpc::PublicationOutcome* outcome =
          mesh_.Source(id).State().FindOutcome(number);
      if (outcome == nullptr) {
        return "accepted publication " + std::to_string(number) + " lost";
      }
      if (outcome->digest() != digest) {
        return "publication " + std::to_string(number) + " has other content";
      }
    }
    return {};
  }

 private:
  TestMesh& mesh_;
  std::map<uint64_t, std::string> leaders_;
  std::map<uint64_t, uint64_t> digests_;
};

// Runs one schedule; returns the violated invariant, or empty. `drop_votes`
// makes the journals drop hard-state records, a deliberate bug.
std::string RunSchedule(uint64_t seed, int sources, bool drop_votes) {
  TestMesh mesh(seed);
  mesh.AddSources(sources);
  for (const std::string& id : mesh.SourceIds()) {
    mesh.Journal(id).SetDropHardState(drop_votes);
  }
  Checker checker(mesh);
  base::Random random(seed);
  NetworkFaults faults;
  faults.loss_ = 0.05 * random.Unit();
  faults.duplicate_ = 0.1 * random.Unit();
  faults.max_delay_ = std::chrono::milliseconds(5 + random.Below(300));
  std::map<uint64_t, uint64_t> accepted;
  std::set<std::string> down;
  uint64_t number = 0;
  std::string violated;
  const auto check = [&] {
    if (violated.empty()) {
      violated = checker.Check();
    }
  };
  mesh.Net().Run(std::chrono::seconds(3), check);
  mesh.Net().SetFaults(faults);
  for (int round = 0; round < 20 && violated.empty(); ++round) {
    const std::string& victim =
        mesh.SourceIds()[random.Below(mesh.SourceIds().size())];
    switch (random.Below(6)) {
      case 0:
      case 1:
        if (mesh.Alive(victim)) {
          mesh.Crash(victim);
          down.insert(victim);
        }
        break;
      case 2:
        mesh.Net().Isolate(victim);
        break;
      case 3:
        mesh.Net().Heal();
        break;
      default:
        for (const std::string& id : std::exchange(down, {})) {
          mesh.Restart(id);
        }
        break;
    }
    const std::vector<rpc::Service> services = {
        MakeService("s" + std::to_string(random.Below(3)))};
    const rpc::Publication publication = MakePublication(++number, services);
    const rpc::PublishReply reply =
        mesh.Publish(publication, std::chrono::milliseconds(500));
    if (reply.result_code() == 0) {
      accepted[number] = publication.digest();
    }
    mesh.Net().Run(std::chrono::milliseconds(100 + random.Below(900)), check);
  }
  mesh.Net().Heal();
  mesh.Net().SetFaults(NetworkFaults());
  for (const std::string& id : down) {
    mesh.Restart(id);
  }
  mesh.Net().Run(std::chrono::seconds(5), check);
  for (const std::string& id : mesh.SourceIds()) {
    if (violated.empty()) {
      violated = checker.CheckAccepted(id, accepted);
    }
  }
  return violated;
}

BOOST_AUTO_TEST_CASE(NothingAcceptedIsLostAndOneLeaderPerTerm) {
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const int sources = seed % 3 == 0 ? 5 : 3;
    const std::string violated = RunSchedule(seed, sources, false);
    BOOST_REQUIRE_MESSAGE(violated.empty(),
                          "seed " << seed << ": " << violated);
  }
}

// Verifies the checker itself: it must detect votes that are not durable.
BOOST_AUTO_TEST_CASE(TheCheckerDetectsVotesThatAreNotSynced) {
  int found = 0;
  for (uint64_t seed = 1; seed <= kSchedules && found == 0; ++seed) {
    found += RunSchedule(seed, 3, true).empty() ? 0 : 1;
  }
  BOOST_TEST(found > 0, "the checker must detect dropped votes");
}

BOOST_AUTO_TEST_CASE(AnIsolatedLeaderStepsDownAndReportsItsContactAge) {
  TestMesh mesh(7);
  mesh.AddSources(3);
  BOOST_REQUIRE(mesh.AwaitLeader());
  const std::string old_leader = mesh.Leader();
  mesh.Net().Isolate(old_leader);
  mesh.Net().Run(std::chrono::seconds(3));
  BOOST_TEST(!mesh.Source(old_leader).Raft().IsLeader());
  rpc::QueryRequest query;
  const rpc::QueryReply reply =
      mesh.Source(old_leader).Query(query, mesh.Net().Now());
  BOOST_TEST(reply.contact_age_ms() >= 2000);
  BOOST_TEST(!mesh.Leader().empty());
  BOOST_TEST(mesh.Leader() != old_leader);
}

BOOST_AUTO_TEST_CASE(ALostDiskNeverVotesAgainUnderItsIdentity) {
  TestMesh mesh(11);
  mesh.AddSources(3);
  BOOST_REQUIRE(mesh.AwaitLeader());
  BOOST_REQUIRE(
      mesh.Publish(MakePublication(1, {MakeService("a")})).result_code() == 0);
  mesh.Net().Run(std::chrono::seconds(1));
  const std::string lost =
      mesh.Leader() == "source-1" ? "source-2" : "source-1";
  mesh.Crash(lost);
  mesh.LoseDisk(lost);
  mesh.Restart(lost);
  mesh.Net().Run(std::chrono::seconds(5));
  BOOST_TEST(mesh.Source(lost).Raft().Retired());
  BOOST_TEST(mesh.Source(lost).Raft().LastIndex() == 0u);
  BOOST_TEST(
      mesh.Publish(MakePublication(2, {MakeService("b")})).result_code() == 0u);
}

BOOST_AUTO_TEST_CASE(ASecondHostMayBeLostRightAfterARepair) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    TestMesh mesh(seed);
    mesh.AddSources(3);
    BOOST_REQUIRE(mesh.AwaitLeader());
    const rpc::Publication first = MakePublication(1, {MakeService("a")});
    BOOST_REQUIRE(mesh.Publish(first).result_code() == 0);
    mesh.Net().Run(std::chrono::seconds(1));
    std::string follower;
    for (const std::string& id : mesh.SourceIds()) {
      follower = id == mesh.Leader() ? follower : id;
    }
    mesh.Crash(follower);
    mesh.AddJoiningSource("source-9");
    rpc::MemberRequest add;
    add.mutable_member()->set_id("source-9");
    const std::string leader = mesh.Leader();
    BOOST_REQUIRE(
        mesh.Source(leader).ChangeMember(add, mesh.Net().Now()).result_code() ==
        0);
    mesh.Net().Run(std::chrono::seconds(3));
    rpc::MemberRequest remove;
    remove.set_action(rpc::MemberRequest::REMOVE);
    remove.mutable_member()->set_id(follower);
    BOOST_REQUIRE(mesh.Source(leader)
                      .ChangeMember(remove, mesh.Net().Now())
                      .result_code() == 0);
    mesh.Net().Run(std::chrono::milliseconds(500));
    // Right after the repair the leader's host is lost for good.
    mesh.Crash(leader);
    BOOST_REQUIRE_MESSAGE(mesh.AwaitLeader(), "seed " << seed);
    const rpc::PublicationOutcome* outcome =
        mesh.Source(mesh.Leader()).State().FindOutcome(1);
    BOOST_REQUIRE(outcome != nullptr);
    BOOST_TEST(outcome->digest() == first.digest());
    BOOST_TEST(
        mesh.Publish(MakePublication(2, {MakeService("b")})).result_code() ==
        0u);
  }
}

BOOST_AUTO_TEST_CASE(AFailedSyncStopsVotingAndLosesNothing) {
  TestMesh mesh(5);
  mesh.AddSources(3);
  BOOST_REQUIRE(mesh.AwaitLeader());
  const std::string leader = mesh.Leader();
  BOOST_REQUIRE(
      mesh.Publish(MakePublication(1, {MakeService("a")})).result_code() == 0);
  mesh.Journal(leader).SetFailing(true);
  const rpc::PublishReply reply =
      mesh.Publish(MakePublication(2, {MakeService("b")}));
  BOOST_TEST(reply.result_code() != 0u);
  BOOST_REQUIRE(mesh.AwaitLeader());
  BOOST_TEST(mesh.Leader() != leader);
  BOOST_TEST(
      (mesh.Source(leader).Raft().CurrentRole() == consensus::Role::kHalted));
  BOOST_TEST(mesh.Source(mesh.Leader()).State().FindOutcome(1) != nullptr);
}

BOOST_AUTO_TEST_CASE(EqualNumbersHaveOneContentAndResendsGetTheFirstReply) {
  TestMesh mesh(3);
  mesh.AddSources(3);
  BOOST_REQUIRE(mesh.AwaitLeader());
  const rpc::Publication ours = MakePublication(5, {MakeService("ours")});
  const rpc::Publication theirs = MakePublication(5, {MakeService("theirs")});
  distribution::SourceNode& leader = mesh.Source(mesh.Leader());
  const uint64_t first = leader.Publish(ours, mesh.Net().Now());
  const uint64_t second = leader.Publish(theirs, mesh.Net().Now());
  mesh.Net().Run(std::chrono::seconds(1));
  std::map<uint64_t, rpc::PublishReply> replies;
  for (distribution::PublishResult& result : leader.TakePublishResults()) {
    replies[result.ticket_] = result.reply_;
  }
  BOOST_TEST(replies[first].result_code() == 0u);
  BOOST_TEST(replies[second].result_code() ==
             static_cast<uint32_t>(ResultCode::kNumberConflict));
  const std::string old_leader = mesh.Leader();
  mesh.Crash(old_leader);
  BOOST_REQUIRE(mesh.AwaitLeader());
  const rpc::PublishReply again = mesh.Publish(ours);
  BOOST_TEST(again.result_code() == 0u);
  BOOST_TEST(again.revision() == replies[first].revision());
  BOOST_TEST(
      mesh.Publish(MakePublication(4, {MakeService("late")})).result_code() ==
      static_cast<uint32_t>(ResultCode::kNumberStale));
}

BOOST_AUTO_TEST_CASE(DeadlinesFollowTheMedianClock) {
  TestMesh mesh(13);
  mesh.AddSources(3);
  BOOST_REQUIRE(mesh.AwaitLeader());
  mesh.Net().SetClockError(mesh.Leader(), std::chrono::minutes(30));
  mesh.Net().Run(std::chrono::seconds(1));
  rpc::Service service = MakeService("a");
  service.mutable_move()->set_to("v2");
  service.mutable_move()->set_unproven_share_permille(50);
  service.mutable_move()->set_deadline_ms(
      base::ToUnixMs(mesh.Net().Now().wall_ + std::chrono::minutes(10)));
  // By the leader's own clock the deadline would have passed.
  BOOST_TEST(mesh.Publish(MakePublication(1, {service})).result_code() == 0u);
}

rpc::Member MemberAt(const std::string& address, const std::string& id) {
  rpc::Member member;
  member.set_address(address);
  member.set_id(id);
  return member;
}

// Guards against a second vote of a host that has lost its disk and considers
// itself new, because the hosts that recorded its first vote have lost their
// disks as well.
BOOST_AUTO_TEST_CASE(AnInitialVoterWaitsIfMostOthersLostTheirDisks) {
  rpc::Membership first;
  for (const char* const id : {"a", "b", "c"}) {
    *first.add_members() = MemberAt(id, id);
  }
  const base::Now now;
  rpc::RaftMessage reply;
  reply.set_type(rpc::RAFT_TYPE_PROBE_REPLY);
  consensus::RaftCore core("c", first, {}, 1, now);
  core.RecordReplacement(MemberAt("d", "d#1"), now);
  core.RecordReplacement(MemberAt("a", "a"), now);
  core.Step("b", reply, now);
  BOOST_TEST((core.CurrentRole() == consensus::Role::kProbation));
  core.RecordReplacement(MemberAt("a", "a#1"), now);
  BOOST_TEST((core.CurrentRole() == consensus::Role::kFollower));

  consensus::RaftCore without_majority("c", first, {}, 1, now);
  without_majority.RecordReplacement(MemberAt("a", "a#1"), now);
  without_majority.RecordReplacement(MemberAt("b", "b#1"), now);
  BOOST_TEST((without_majority.CurrentRole() == consensus::Role::kProbation));
  reply.set_reject(true);
  without_majority.Step("b", reply, now);
  BOOST_TEST((without_majority.CurrentRole() == consensus::Role::kHalted));
}

}  // namespace
}  // namespace buckthorngate::tests
