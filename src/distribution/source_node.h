// A source: one replica of the log, and what its leader does besides.
//
// Composition of consensus, the state machine, the feeding of relays, the
// controller of moves and the planning of the claim group.
#ifndef SRC_DISTRIBUTION_SOURCE_NODE_H_
#define SRC_DISTRIBUTION_SOURCE_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/node.h"
#include "consensus/raft_core.h"
#include "distribution/claim_planner.h"
#include "distribution/config_distributor.h"
#include "distribution/control_hosts.h"
#include "distribution/source_state.h"
#include "membership/planner.h"
#include "registry/endpoint_registry.h"
#include "rollout/move_controller.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

struct SourceOptions {
  std::string id_;
  // First members of the sources; a joining source lists itself as learner.
  rpc::Membership members_;
  uint64_t seed_ = 0;
  // Addresses of control hosts; not empty: the leader keeps the membership at
  // its fault tolerance, and hosts join by themselves.
  std::vector<std::string> seeds_;
  std::string address_;
  std::string zone_;
  rollout::PolicyKind policy_ = rollout::PolicyKind::kSequential;
};

// Publications that wait for their commit; more are shed with kOverloaded.
inline constexpr size_t kMaxPendingPublications = 256;
// The journal is compacted when it has grown by this much.
inline constexpr size_t kCompactBytes = size_t{16} * 1024 * 1024;

struct PublishResult {
  uint64_t ticket_ = 0;
  rpc::PublishReply reply_;
};

class SourceNode : public base::Node, private rollout::EndpointPresence {
 public:
  // Errors: those of consensus::LoadPersistentState. `journal` must outlive
  // the node.
  static tl::expected<std::unique_ptr<SourceNode>, ResultCode> Create(
      SourceOptions options,
      storage::Journal& journal,
      const base::Now& now);

  void OnMessage(const rpc::Envelope& envelope, const base::Now& now) override;
  void OnTimer(const base::Now& now) override;
  std::vector<rpc::Envelope> Flush(const base::Now& now) override;

  // Each starts an operator's command; its result comes out of
  // TakePublishResults.
  uint64_t Publish(const rpc::Publication& publication, const base::Now& now);
  uint64_t PublishRouting(rpc::RoutingCommand command, const base::Now& now);
  uint64_t OrderMove(rpc::MoveOrder order, const base::Now& now);
  // Starts a linearizable read: kOk once a majority has confirmed this leader
  // later than `now`. State() is then as new as any acknowledged command.
  uint64_t ConfirmRead(const base::Now& now);
  std::vector<PublishResult> TakePublishResults();

  rpc::PublishReply ChangeMember(const rpc::MemberRequest& request,
                                 const base::Now& now);
  rpc::QueryReply Query(const rpc::QueryRequest& request,
                        const base::Now& now) const;

  const consensus::RaftCore& Raft() const { return *raft_; }
  const SourceState& State() const { return state_; }
  // The lowest revision in force over all zones' connected proxies.
  uint64_t RevisionInForce() const;

 private:
  struct Pending {
    uint64_t ticket_ = 0;
    uint64_t term_ = 0;
  };
  struct Read {
    uint64_t ticket_ = 0;
    base::MonoTime came_;
  };
  struct Zone {
    rpc::ZoneAck ack_;
    base::MonoTime heard_;
  };

  struct Nonce {
    uint64_t waiting_ = 0;
    base::MonoTime came_;
    uint64_t confirmed_ = 0;
  };

  SourceNode(SourceOptions options, storage::Journal& journal);

  void LogRestored(const consensus::PersistentState& persistent) const;
  bool HasEndpoints(const std::string& service,
                    const std::string& version) const override;
  void OnResume(const rpc::Envelope& envelope, const base::Now& now);
  void OnZoneAck(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistry(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistryDigest(const rpc::Envelope& envelope);
  void ForwardToLeader(const rpc::Envelope& envelope);
  void Propose(const rpc::Command& command);
  // Some of what is committed; the rest in later turns.
  void ApplyCommitted();
  // Whether the state is that of all that is committed.
  bool HasApplied() const {
    return state_.AppliedIndex() == raft_->CommitIndex();
  }
  void ApplyEntry(const rpc::LogEntry& entry);
  // Whether commands are taken; if not, `ticket` gets its refusal.
  bool TakesCommands(uint64_t ticket);
  uint64_t ProposeFor(uint64_t ticket, const rpc::Command& command);
  void AnswerPublication(const rpc::LogEntry& entry, const Applied& applied);
  void AnswerRouting(const rpc::LogEntry& entry, const CommandOutcome& outcome);
  void AnswerOrder(const rpc::LogEntry& entry, const CommandOutcome& outcome);
  void AnswerPending(const rpc::LogEntry& entry, const CommandOutcome& outcome);
  void AnswerReads(const base::Now& now);
  // The version that most endpoints of the service announce, but `to`.
  std::string CurrentVersion(const std::string& service,
                             const std::string& to) const;
  void LogMove(const rpc::Move& move);
  void FailPending(ResultCode code);
  void WatchLeadership();
  void RunController(const base::Now& now);
  void OnAck(const rpc::Envelope& envelope, const base::Now& now);
  // Confirms a relay's nonce once a majority was heard after it came.
  uint64_t ConfirmNonce(const std::string& relay, const base::Now& now);
  void SendHeartbeats(const base::Now& now);
  // source_members.cc: joining and repair.
  void AskToJoin(const base::Now& now);
  void OnJoin(const rpc::Envelope& envelope, const base::Now& now);
  void RepairMembership(const base::Now& now);
  std::vector<membership::MemberStatus> MemberStatuses(
      const base::Now& now) const;
  void NoteInForce();

  // source_storage.cc: the journal.
  void MaybeCompact();
  // Once a failed disk takes writes again.
  void RepairStorage(const base::Now& now);

  std::string AddressOf(const std::string& member) const;
  void Audit(const std::string& author,
             const std::string& action,
             const std::string& detail,
             ResultCode code,
             const base::Now& now);

  const SourceOptions options_;
  storage::Journal& journal_;
  std::unique_ptr<consensus::RaftCore> raft_;
  SourceState state_;
  ConfigDistributor distributor_;
  rollout::MoveController controller_;
  ClaimPlanner claims_;
  registry::EndpointRegistry endpoints_;
  std::map<std::string, Zone> zones_;    // By relay.
  std::map<std::string, Nonce> nonces_;  // By relay.
  base::Outbox outbox_;

  bool leading_ = false;
  bool storage_failed_ = false;
  base::MonoTime next_storage_repair_;
  uint64_t next_ticket_ = 1;
  // Publications by log index.
  std::map<uint64_t, Pending> pending_;
  std::vector<Read> reads_;
  std::vector<PublishResult> results_;
  ControlHosts hosts_;
  membership::MembershipPlanner planner_;
  base::MonoTime next_heartbeat_;
  base::MonoTime next_join_;
  base::MonoTime next_repair_;
  uint64_t reported_in_force_ = 0;
  size_t size_after_compaction_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_SOURCE_NODE_H_
