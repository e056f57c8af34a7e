// Revocation that holds on partitioned hosts: the lease on the authority to
// accept keys of client accounts, over real nodes on a simulated network.
#define BOOST_TEST_MODULE authority
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/sha256.h"
#include "distribution/authority_questions.h"
#include "request/account_table.h"
#include "request/authority_lease.h"
#include "test_mesh.h"

namespace buckthorngate::tests {
namespace {

constexpr uint64_t kSeeds = 10;
constexpr base::Duration kBound = std::chrono::seconds(5);
constexpr base::Duration kStep = std::chrono::milliseconds(10);
constexpr char kKept[] = "kept-key";
constexpr char kRevoked[] = "revoked-key";

rpc::ClientAccount MakeAccount(const std::string& name,
                               const std::string& key) {
  rpc::ClientAccount account;
  account.set_name(name);
  account.add_key_digests(base::Sha256(key));
  return account;
}

rpc::RoutingCommand MakeCommand(uint64_t base, uint64_t number, bool revoked) {
  rpc::RoutingCommand command;
  command.set_base_number(base);
  command.set_digest(number);
  rpc::Routing& routing = *command.mutable_routing();
  routing.mutable_header()->set_number(number);
  *routing.add_accounts() = MakeAccount("kept", kKept);
  if (!revoked) {
    *routing.add_accounts() = MakeAccount("revoked", kRevoked);
  }
  return command;
}

// Three sources; a zone with two relays and the proxies "p1" and "p2", and a
// zone with one relay and the proxy "p3". Checks in each step that no proxy
// accepts the revoked key later than the bound after the acknowledgement.
class KeyMesh : public TestMesh {
 public:
  explicit KeyMesh(uint64_t seed) : TestMesh(seed) {
    SetRevocationBound(kBound);
    AddSources(3);
    AddRelay("relay-1", "z1");
    AddRelay("relay-2", "z1");
    AddRelay("relay-3", "z2");
    AddProxy("p1", "z1");
    AddProxy("p2", "z1");
    AddProxy("p3", "z2");
    BOOST_REQUIRE(AwaitLeader());
    BOOST_REQUIRE(Order(MakeCommand(0, 1, /*revoked=*/false)));
    BOOST_REQUIRE(Await(
        [this] {
          return std::all_of(ProxyIds().begin(), ProxyIds().end(),
                             [this](const std::string& proxy) {
                               return Accepts(proxy, kRevoked);
                             });
        },
        std::chrono::seconds(10)));
  }

  // Publishes at a leader; false unless it acknowledges.
  bool Order(const rpc::RoutingCommand& command) {
    return !Leader().empty() && OrderAt(Leader(), command);
  }

  bool OrderAt(const std::string& leader, const rpc::RoutingCommand& command) {
    const uint64_t ticket =
        Source(leader).PublishRouting(command, Net().NowFor(leader));
    Net().Flush(leader);
    for (int i = 0; i < 300; ++i) {
      for (const distribution::PublishResult& result :
           Source(leader).TakePublishResults()) {
        if (result.ticket_ == ticket) {
          return result.reply_.result_code() == 0;
        }
      }
      Run(kStep);
    }
    return false;
  }

  void Revoke() { BOOST_REQUIRE(TryRevoke(Leader())); }

  bool TryRevoke(const std::string& leader) {
    const bool acknowledged =
        !leader.empty() && OrderAt(leader, MakeCommand(1, 2, /*revoked=*/true));
    if (acknowledged) {
      revoked_at_ = Net().Now().mono_;
    }
    return acknowledged;
  }

  // As the entry decides: first the lease, then the key.
  bool Accepts(const std::string& proxy, const std::string& key) {
    return Alive(proxy) && HoldsLease(proxy) &&
           request::AccountTable::Build(Proxy(proxy).Config().Accounts(),
                                        /*in_use=*/true)
                   ->FindByKey(key) != nullptr;
  }

  bool HoldsLease(const std::string& proxy) {
    return Proxy(proxy).Authority().IsValid(Net().NowFor(proxy).boot_);
  }

  void Run(base::Duration length, const std::function<void()>& check = {}) {
    Net().Run(length, [this, &check] {
      CheckRevoked();
      if (check) {
        check();
      }
    });
  }

  void CheckRevoked() {
    if (!revoked_at_ || Net().Now().mono_ <= *revoked_at_ + kBound) {
      return;
    }
    for (const std::string& proxy : ProxyIds()) {
      BOOST_REQUIRE_MESSAGE(!Accepts(proxy, kRevoked),
                            proxy << " accepts a revoked key");
    }
  }

  // Runs until the condition holds; false if it does not within `most`.
  bool Await(const std::function<bool()>& condition, base::Duration most) {
    for (base::Duration waited{0}; waited < most && !condition();
         waited += kStep) {
      Run(kStep);
    }
    return condition();
  }

  // Runs until the proxy has sent a question.
  void AwaitQuestion(const std::string& proxy) {
    bool asked = false;
    Net().SetTap([&](const rpc::Envelope& envelope) {
      asked = asked ||
              (envelope.from() == proxy && envelope.ack().lease_nonce() != 0);
    });
    BOOST_REQUIRE(Await([&asked] { return asked; }, std::chrono::seconds(2)));
    Net().SetTap(nullptr);
  }

  // Whether the proxy accepts keys again, the revoked one not among them.
  void ExpectRecovery(const std::string& proxy) {
    BOOST_TEST(Await([this, &proxy] { return Accepts(proxy, kKept); },
                     std::chrono::seconds(15)),
               proxy << " does not accept keys again");
    BOOST_TEST(!Accepts(proxy, kRevoked));
  }

 private:
  std::optional<base::MonoTime> revoked_at_;
};

void ForEachSeed(const std::function<void(uint64_t seed)>& run) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      run(seed);
    }
  }
}

// Stops p1 right after a question and cuts it off before the revocation. The
// reply waits in its socket when it continues.
void StopBetweenQuestionAndReply(KeyMesh& mesh, bool host_suspended) {
  constexpr base::Duration kStopped = std::chrono::seconds(6);
  mesh.AwaitQuestion("p1");
  mesh.Net().Freeze("p1");
  mesh.Run(std::chrono::milliseconds(700));
  mesh.Net().Isolate("p1");
  mesh.Revoke();
  mesh.Run(kStopped);
  if (host_suspended) {
    mesh.Net().Suspend("p1", kStopped + std::chrono::seconds(1));
  }
  mesh.Net().Thaw("p1");
  mesh.Run(std::chrono::seconds(3),
           [&mesh] { BOOST_REQUIRE(!mesh.HoldsLease("p1")); });
  mesh.Net().Heal();
  mesh.ExpectRecovery("p1");
}

// Guards against a lease that counts on the monotonic clock, which stands still
// while a host is suspended.
BOOST_AUTO_TEST_CASE(SuspensionBetweenQuestionAndReply) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    StopBetweenQuestionAndReply(mesh, /*host_suspended=*/true);
  });
}

// Guards against a lease that counts from the arrival of the reply.
BOOST_AUTO_TEST_CASE(ProcessStoppedByASignal) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    StopBetweenQuestionAndReply(mesh, /*host_suspended=*/false);
  });
}

// Guards against a daemon that accepts keys of its stored configuration, or on
// the reply to a question of its earlier start.
BOOST_AUTO_TEST_CASE(RestartWithStoredState) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    mesh.AwaitQuestion("p1");
    mesh.Crash("p1");
    mesh.Restart("p1");
    BOOST_TEST(mesh.Proxy("p1").Config().Accounts().size() == 2u);
    BOOST_TEST(!mesh.HoldsLease("p1"));
    mesh.Run(std::chrono::milliseconds(10));
    BOOST_TEST(!mesh.HoldsLease("p1"));
    mesh.Crash("p1");
    mesh.Revoke();
    mesh.Restart("p1");
    mesh.Net().Isolate("p1");
    mesh.Run(std::chrono::seconds(7),
             [&mesh] { BOOST_REQUIRE(!mesh.HoldsLease("p1")); });
    mesh.Net().Heal();
    mesh.ExpectRecovery("p1");
  });
}

rpc::Envelope From(const std::string& sender) {
  rpc::Envelope envelope;
  envelope.set_from(sender);
  return envelope;
}

// The questions in a node's messages, by receiver.
std::map<std::string, uint64_t> QuestionsIn(
    const std::vector<rpc::Envelope>& messages) {
  std::map<std::string, uint64_t> questions;
  for (const rpc::Envelope& message : messages) {
    if (message.ack().lease_nonce() != 0) {
      questions[message.to()] = message.ack().lease_nonce();
    }
  }
  return questions;
}

// Guards against replies to an earlier start, which may have held another
// configuration, and against replies that are counted twice or late.
BOOST_AUTO_TEST_CASE(OnlyRepliesToOpenQuestionsOfThisStartCount) {
  const base::BootTime start(std::chrono::hours(2));
  request::AuthorityLease earlier(kBound, 1);
  request::AuthorityLease lease(kBound, 2);
  rpc::AuthorityLease reply;
  reply.set_nonce(earlier.Ask(start));
  reply.set_revision(7);
  const uint64_t first = lease.Ask(start);
  const uint64_t second = lease.Ask(start + std::chrono::seconds(1));
  BOOST_TEST(!lease.OnReply(reply, 7));
  BOOST_TEST(!lease.IsValid(start));
  reply.set_nonce(second);
  BOOST_TEST(!lease.OnReply(reply, 6));
  BOOST_TEST(lease.OnReply(reply, 7));
  BOOST_TEST(lease.IsValid(start + std::chrono::milliseconds(5749)));
  BOOST_TEST(!lease.IsValid(start + std::chrono::milliseconds(5750)));
  BOOST_TEST(!lease.OnReply(reply, 7));
  reply.set_nonce(first);
  BOOST_TEST(!lease.OnReply(reply, 7));
}

// Guards against a relay that answers a question which the leader has not
// confirmed, and against one nonce for each proxy.
BOOST_AUTO_TEST_CASE(QuestionsShareNoncesAndWaitForTheirConfirmation) {
  const base::MonoTime now(std::chrono::hours(1));
  distribution::AuthorityQuestions questions;
  questions.Add("p1", 11, now);
  questions.Add("p2", 21, now);
  questions.Add("p1", 12, now);
  BOOST_TEST(questions.NeedNonce());
  questions.AssignNonce(5);
  BOOST_TEST(!questions.NeedNonce());
  questions.Add("p1", 13, now);
  const auto up_to_five = [](uint64_t nonce) { return nonce <= 5; };
  const std::vector<distribution::ConfirmedQuestion> confirmed =
      questions.TakeConfirmed(up_to_five);
  BOOST_REQUIRE(confirmed.size() == 2u);
  BOOST_TEST(confirmed[0].proxy_ == "p1");
  BOOST_TEST(confirmed[0].lease_nonce_ == 12u);
  BOOST_TEST(confirmed[1].lease_nonce_ == 21u);
  BOOST_TEST(questions.TakeConfirmed(up_to_five).empty());
  BOOST_TEST(questions.NeedNonce());
  questions.Expire(now + std::chrono::seconds(6));
  BOOST_TEST(!questions.Open());
}

// Guards against a lease on a configuration that is older than the confirmed
// one: by a relay that lacks it, and by a proxy that lacks it.
BOOST_AUTO_TEST_CASE(LaggingRelay) {
  KeyMesh mesh(1);
  distribution::RelayNode& relay = mesh.Relay("relay-1");
  const base::Now now = mesh.Net().NowFor("relay-1");
  rpc::Envelope question = From("p1");
  question.mutable_ack()->set_revision(relay.Config().Revision());
  question.mutable_ack()->set_lease_nonce(77);
  relay.OnMessage(question, now);
  relay.OnTimer({now.mono_ + std::chrono::seconds(1), now.wall_});
  uint64_t nonce = 0;
  for (const rpc::Envelope& message : relay.Flush(now)) {
    nonce = std::max(nonce, message.ack().nonce());
  }
  BOOST_REQUIRE(nonce != 0);
  const auto leases = [&](uint64_t revision) {
    rpc::Envelope heartbeat = From("source-1");
    heartbeat.mutable_heartbeat()->set_revision(revision);
    heartbeat.mutable_heartbeat()->set_confirmed_nonce(nonce);
    relay.OnMessage(heartbeat, now);
    std::vector<rpc::AuthorityLease> sent;
    for (const rpc::Envelope& message : relay.Flush(now)) {
      if (message.has_authority_lease()) {
        sent.push_back(message.authority_lease());
      }
    }
    return sent;
  };
  const uint64_t held = relay.Config().Revision();
  BOOST_TEST(leases(held + 1).empty());
  const std::vector<rpc::AuthorityLease> sent = leases(held);
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(sent.back().revision() == held);

  // The proxy: a restart without a lease, and a reply with a newer revision.
  mesh.Crash("p3");
  mesh.Restart("p3");
  distribution::ProxyNode& proxy = mesh.Proxy("p3");
  base::Now then = mesh.Net().NowFor("p3");
  const auto asked = QuestionsIn(proxy.Flush(then));
  BOOST_REQUIRE(asked.count("relay-3") == 1);
  rpc::Envelope reply = From("relay-3");
  reply.mutable_authority_lease()->set_nonce(asked.at("relay-3"));
  reply.mutable_authority_lease()->set_revision(held + 1);
  proxy.OnMessage(reply, then);
  BOOST_TEST(!proxy.Authority().IsValid(then.boot_));
  BOOST_TEST(QuestionsIn(proxy.Flush(then)).empty());
  // Caught up: it asks again at once.
  config::ConfigState newer = proxy.Config();
  newer.SetRevision(held + 1);
  rpc::Envelope delta = From("relay-3");
  *delta.mutable_delta() = config::MakeDelta(proxy.Config(), newer);
  proxy.OnMessage(delta, then);
  const auto again = QuestionsIn(proxy.Flush(then));
  BOOST_REQUIRE(again.count("relay-3") == 1);
  reply.mutable_authority_lease()->set_nonce(again.at("relay-3"));
  proxy.OnMessage(reply, then);
  BOOST_TEST(proxy.Authority().IsValid(then.boot_));
  // A nonce that was never sent.
  reply.mutable_authority_lease()->set_nonce(again.at("relay-3") + 1);
  then.boot_ += kBound;
  proxy.OnMessage(reply, then);
  BOOST_TEST(!proxy.Authority().IsValid(then.boot_));
}

// Guards against leases that end with the last account: the proxies would
// answer each key with 503 instead of 401, and without end.
BOOST_AUTO_TEST_CASE(TheLeaseOutlastsTheLastAccount) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    rpc::RoutingCommand command = MakeCommand(1, 2, /*revoked=*/true);
    command.mutable_routing()->clear_accounts();
    BOOST_REQUIRE(mesh.Order(command));
    mesh.Run(std::chrono::seconds(3));
    mesh.Run(std::chrono::seconds(10), [&mesh] {
      for (const std::string& proxy : mesh.ProxyIds()) {
        BOOST_REQUIRE_MESSAGE(mesh.HoldsLease(proxy), proxy << " lost it");
        BOOST_REQUIRE(!mesh.Accepts(proxy, kKept));
      }
    });
  });
}

// Guards against leases from a leader that another one has replaced.
BOOST_AUTO_TEST_CASE(LeaderThatWasDeposedWithoutKnowing) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    const std::string old_leader = mesh.Leader();
    // The old leader, relay-3 and its proxy see nobody else.
    for (const std::string& source : mesh.SourceIds()) {
      if (source != old_leader) {
        mesh.Net().Cut(old_leader, source);
        mesh.Net().Cut("relay-3", source);
      }
    }
    for (const std::string& other : {"relay-1", "relay-2", "p1", "p2"}) {
      mesh.Net().Cut("relay-3", other);
      mesh.Net().Cut("p3", other);
    }
    const base::MonoTime stopped = mesh.Net().Now().mono_;
    mesh.Net().Freeze(old_leader);
    std::string leader;
    const auto replaced = [&] {
      for (const std::string& source : mesh.SourceIds()) {
        if (source != old_leader && mesh.Source(source).Raft().CanServe()) {
          leader = source;
        }
      }
      return !leader.empty();
    };
    BOOST_REQUIRE(mesh.Await(replaced, std::chrono::seconds(10)));
    BOOST_REQUIRE(mesh.TryRevoke(leader));
    mesh.Run(std::chrono::seconds(6));
    // Its host was suspended, so that by its clock it has heard the others just
    // now.
    mesh.Net().Suspend(old_leader, mesh.Net().Now().mono_ - stopped);
    mesh.Net().Thaw(old_leader);
    BOOST_TEST(mesh.Source(old_leader).Raft().CanServe());
    mesh.Run(std::chrono::seconds(10));
    BOOST_TEST(!mesh.HoldsLease("p3"));
    BOOST_TEST(mesh.Accepts("p1", kKept));
    mesh.Net().Heal();
    mesh.ExpectRecovery("p3");
  });
}

// Guards against confirmations by a source that has lost what it had
// acknowledged, and against leases that end with one source.
BOOST_AUTO_TEST_CASE(ReplacedSource) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    const std::string lost = mesh.Leader();
    mesh.Crash(lost);
    mesh.LoseDisk(lost);
    BOOST_REQUIRE(mesh.AwaitLeader());
    mesh.Revoke();
    mesh.Restart(lost);
    mesh.Run(std::chrono::seconds(10));
    for (const std::string& proxy : mesh.ProxyIds()) {
      mesh.ExpectRecovery(proxy);
    }
  });
}

// Guards against daemons that take each other's old state for current when
// nobody remembers a lease.
BOOST_AUTO_TEST_CASE(SimultaneousRestartOfAllDaemons) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    // p3 does not learn of the revocation.
    mesh.Net().Isolate("p3");
    mesh.Revoke();
    std::vector<std::string> all = mesh.SourceIds();
    all.insert(all.end(), {"relay-1", "relay-2", "relay-3", "p1", "p2", "p3"});
    for (const std::string& node : all) {
      mesh.Crash(node);
    }
    mesh.Net().Heal();
    for (const std::string& node : all) {
      mesh.Restart(node);
    }
    mesh.Run(kStep);
    for (const std::string& proxy : mesh.ProxyIds()) {
      BOOST_TEST(!mesh.HoldsLease(proxy));
    }
    for (const std::string& proxy : mesh.ProxyIds()) {
      mesh.ExpectRecovery(proxy);
    }
    mesh.Run(std::chrono::seconds(6));
  });
}

// Guards against a lease that one lost message lets run out, and against a key
// that is accepted because messages are lost, doubled and reordered.
BOOST_AUTO_TEST_CASE(LostMessages) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    const auto all_hold = [&mesh] {
      for (const std::string& proxy : mesh.ProxyIds()) {
        BOOST_REQUIRE_MESSAGE(mesh.HoldsLease(proxy), proxy << " lost it");
      }
    };
    // Nothing between the zone's only relay and its proxy.
    for (int i = 0; i < 20; ++i) {
      mesh.Net().Cut("relay-3", "p3");
      mesh.Run(std::chrono::milliseconds(1100), all_hold);
      mesh.Net().Heal();
      mesh.Run(std::chrono::milliseconds(1500), all_hold);
    }
    mesh.Net().SetFaults({.loss_ = 0.3,
                          .duplicate_ = 0.1,
                          .max_delay_ = std::chrono::milliseconds(400)});
    BOOST_REQUIRE(mesh.AwaitLeader());
    // An acknowledgement that is not received may be one, so the order is sent
    // again; the time counts from the first that is.
    BOOST_REQUIRE(mesh.Await([&mesh] { return mesh.TryRevoke(mesh.Leader()); },
                             std::chrono::seconds(60)));
    mesh.Run(std::chrono::seconds(20));
  });
}

// Guards against callers who are refused during an election of the sources.
BOOST_AUTO_TEST_CASE(AnElectionOfTwoSecondsAndALostMessage) {
  ForEachSeed([](uint64_t seed) {
    KeyMesh mesh(seed);
    const auto all_hold = [&mesh] {
      for (const std::string& proxy : mesh.ProxyIds()) {
        BOOST_REQUIRE_MESSAGE(mesh.HoldsLease(proxy), proxy << " lost it");
      }
    };
    mesh.Run(std::chrono::seconds(3), all_hold);
    std::vector<std::string> others = mesh.SourceIds();
    const std::string leader = mesh.Leader();
    std::erase(others, leader);
    // The others cannot elect one of them before the cut ends.
    mesh.Net().Cut(others[0], others[1]);
    const base::MonoTime crashed = mesh.Net().Now().mono_;
    mesh.Crash(leader);
    mesh.Run(std::chrono::milliseconds(1500), all_hold);
    mesh.Net().Heal();
    while (mesh.Leader().empty()) {
      mesh.Run(kStep, all_hold);
    }
    const base::Duration election = mesh.Net().Now().mono_ - crashed;
    BOOST_TEST_MESSAGE("seed " << seed << ": no leader for "
                               << election.count() / 1000 << " ms");
    mesh.Net().Cut("relay-3", "p3");
    mesh.Run(std::chrono::milliseconds(300), all_hold);
    mesh.Net().Heal();
    mesh.Run(std::chrono::seconds(5), all_hold);
  });
}

// Guards against a cost that grows beyond the bound of 50 B/s for each daemon,
// and against acknowledgements at the rate of the proxies' questions.
BOOST_AUTO_TEST_CASE(TheLeaseCostsLittle) {
  KeyMesh mesh(1);
  for (int i = 4; i < 30; ++i) {
    mesh.AddProxy("p" + std::to_string(i), "z2");
  }
  mesh.Run(std::chrono::seconds(5));
  uint64_t bytes = 0;
  uint64_t acks = 0;
  mesh.Net().SetTap([&](const rpc::Envelope& envelope) {
    if (envelope.has_authority_lease()) {
      bytes += envelope.ByteSizeLong();
    }
    if (envelope.ack().lease_nonce() != 0) {
      rpc::Envelope without = envelope;
      without.mutable_ack()->clear_lease_nonce();
      bytes += envelope.ByteSizeLong() - without.ByteSizeLong();
    }
    acks += envelope.from() == "relay-3" && envelope.has_ack() &&
                    envelope.to() == "source-1"
                ? 1
                : 0;
  });
  constexpr int kSeconds = 20;
  mesh.Run(std::chrono::seconds(kSeconds));
  const double per_proxy = static_cast<double>(bytes) / kSeconds /
                           static_cast<double>(mesh.ProxyIds().size());
  BOOST_TEST_MESSAGE("bytes per second and proxy: " << per_proxy);
  BOOST_TEST_MESSAGE(
      "acknowledgements per second: " << static_cast<double>(acks) / kSeconds);
  BOOST_TEST(per_proxy <= 50.0);
  BOOST_TEST(acks <= kSeconds * 5u);
}

// Guards against messages and refusals in deployments without the bound, and in
// those without accounts.
BOOST_AUTO_TEST_CASE(WithoutBoundOrAccountsNothingIsAsked) {
  for (const bool bound : {false, true}) {
    TestMesh mesh(1);
    mesh.SetRevocationBound(bound ? kBound : base::Duration(0));
    mesh.AddSources(3);
    mesh.AddRelay("relay-1", "z1");
    mesh.AddProxy("p1", "z1");
    BOOST_REQUIRE(mesh.AwaitLeader());
    mesh.Net().SetTap([](const rpc::Envelope& envelope) {
      BOOST_REQUIRE(envelope.ack().lease_nonce() == 0);
      BOOST_REQUIRE(!envelope.has_authority_lease());
    });
    if (!bound) {
      const std::string leader = mesh.Leader();
      mesh.Source(leader).PublishRouting(MakeCommand(0, 1, false),
                                         mesh.Net().NowFor(leader));
      mesh.Net().Flush(leader);
    }
    mesh.Net().Run(std::chrono::seconds(5));
    BOOST_TEST(mesh.Proxy("p1").Config().Accounts().empty() == bound);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
