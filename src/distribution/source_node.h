// A source: one Raft replica of the control plane's log.
//
// Combines consensus, the replicated state machine and the distribution of
// configuration to relays. On the leader it also runs the controller of moves,
// the planner of the claim group and the repair of the sources' membership.
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
#include "request/quota_share_allocator.h"
#include "rollout/move_controller.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

struct SourceOptions {
  std::string id_;
  // Initial membership of the sources; a joining source is listed in it as a
  // learner.
  rpc::Membership members_;
  uint64_t seed_ = 0;
  // Addresses of control hosts. If not empty, hosts join by themselves and the
  // leader replaces lost members to restore fault tolerance.
  std::vector<std::string> seeds_;
  std::string address_;
  std::string zone_;
  // All availability zones; empty: not known. Orders for another zone are
  // refused.
  std::vector<std::string> zones_;
  // Sources that may be lost at the same time; decides the number of voters.
  size_t tolerated_losses_ = 1;
  rollout::PolicyKind policy_ = rollout::PolicyKind::kSequential;
};

// Commands that wait for their commit; more are refused with kOverloaded.
inline constexpr size_t kMaxPendingCommands = 256;
// The journal is compacted when it has grown by this many bytes.
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

  // Each starts an operator's command and returns its ticket. The result with
  // that ticket is returned by a later TakePublishResults.
  uint64_t Publish(const rpc::Publication& publication, const base::Now& now);
  uint64_t PublishRouting(rpc::RoutingCommand command, const base::Now& now);
  uint64_t OrderMove(rpc::MoveOrder order, const base::Now& now);
  uint64_t OrderEvacuation(rpc::EvacuationOrder order, const base::Now& now);
  // Starts a linearizable read (ReadIndex). Its result is kOk once a majority
  // has confirmed this leader after `now`; State() then reflects every command
  // acknowledged before.
  uint64_t ConfirmRead(const base::Now& now);
  std::vector<PublishResult> TakePublishResults();

  rpc::PublishReply ChangeMember(const rpc::MemberRequest& request,
                                 const base::Now& now);
  rpc::QueryReply Query(const rpc::QueryRequest& request,
                        const base::Now& now) const;

  const consensus::RaftCore& Raft() const { return *raft_; }
  const SourceState& State() const { return state_; }
  // The lowest revision in force at any connected proxy, over all zones.
  uint64_t RevisionInForce() const;
  // Sum of the shares of client accounts' quotas that this leader counts as
  // valid, in requests per second; 0 on other sources.
  double QuotaSharesRate(const base::Now& now) const;
  request::QuotaShareAllocator& Quota() { return quota_; }

 private:
  struct PendingCommand {
    uint64_t ticket_ = 0;
    uint64_t term_ = 0;
  };
  struct PendingRead {
    uint64_t ticket_ = 0;
    base::MonoTime arrived_;
  };
  struct ZoneReport {
    rpc::ZoneAck ack_;
    base::MonoTime received_at_;
  };

  // A nonce is confirmed by a majority contact later than its arrival; see
  // rpc::SourceHeartbeat.
  struct RelayNonce {
    uint64_t requested_ = 0;
    base::MonoTime arrived_;
    uint64_t confirmed_ = 0;
  };

  // Waits until a majority has answered after its arrival.
  struct QuotaRequest {
    rpc::QuotaShareRequest request_;
    base::MonoTime arrived_;
  };

  SourceNode(SourceOptions options, storage::Journal& journal);

  void LogRestoredState(const consensus::PersistentState& persistent) const;
  bool HasEndpoints(const std::string& service,
                    const std::string& version) const override;
  void OnResume(const rpc::Envelope& envelope, const base::Now& now);
  void OnZoneAck(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistry(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistryDigest(const rpc::Envelope& envelope);
  void ForwardToLeader(const rpc::Envelope& envelope);
  void Propose(const rpc::Command& command);
  // Applies up to kMaxAppliedPerFlush committed entries.
  void ApplyCommitted();
  // Whether all committed entries have been applied to state_.
  bool AppliedAll() const {
    return state_.AppliedIndex() == raft_->CommitIndex();
  }
  void ApplyEntry(const rpc::LogEntry& entry);
  // Returns whether commands are accepted; if not, adds a refusal for `ticket`
  // to the results.
  bool AcceptOrRefuse(uint64_t ticket);
  uint64_t ProposeFor(uint64_t ticket, const rpc::Command& command);
  void AnswerPublication(const rpc::LogEntry& entry,
                         const ApplyResult& applied);
  void AnswerRouting(const rpc::LogEntry& entry, const CommandOutcome& outcome);
  void AnswerOrder(const rpc::LogEntry& entry, const CommandOutcome& outcome);
  // source_evacuation.cc
  void AnswerEvacuation(const rpc::LogEntry& entry,
                        const CommandOutcome& outcome);
  void AnswerPending(const rpc::LogEntry& entry, const CommandOutcome& outcome);
  void AnswerReads(const base::Now& now);
  // The version, other than `to`, with the most live endpoints of the service.
  std::string CurrentVersion(const std::string& service,
                             const std::string& to) const;
  void LogMove(const rpc::Move& move);
  void FailPending(ResultCode code);
  void UpdateLeadership();
  void RunController(const base::Now& now);
  void OnAck(const rpc::Envelope& envelope, const base::Now& now);
  // Confirms the relay's nonce once a majority has answered after its arrival.
  // Returns the latest confirmed nonce, or 0 unless this source serves.
  uint64_t ConfirmNonce(const std::string& relay, const base::Now& now);
  // source_heartbeats.cc: heartbeats and the confirmation of nonces.
  void SendHeartbeats(const base::Now& now);
  void SendHeartbeat(const std::string& relay,
                     uint64_t held_members_digest,
                     const base::Now& now);
  // Whether the authority to accept keys of client accounts depends on
  // confirmed nonces.
  bool ConfirmsAuthority() const;
  // Sends a heartbeat as soon as a nonce is confirmed, without waiting for the
  // next regular one: proxies refuse callers while their leases run out.
  void SendConfirmations(const base::Now& now);
  // source_members.cc: joining and membership repair.
  // Asks the other sources to be added, while there is no contact with a
  // leader.
  void RequestJoin(const base::Now& now);
  void OnJoin(const rpc::Envelope& envelope, const base::Now& now);
  void RepairMembership(const base::Now& now);
  // Zone of a source, as reported by the relay on its host; empty if unknown.
  std::string ReportedZone(const std::string& source) const;
  std::vector<membership::MemberStatus> MemberStatuses(
      const base::Now& now) const;
  // Logs, on the leader, that the newest revision is in force at all proxies.
  void LogRevisionInForce();

  // source_quota.cc: quotas of client accounts.
  void OnQuotaShareRequest(const rpc::Envelope& envelope, const base::Now& now);
  void AnswerQuotaRequests(const base::Now& now);
  void UpdateQuotaLimits();
  void LogQuotaShares(const base::Now& now);

  // source_storage.cc: the journal.
  void MaybeCompact();
  // Rewrites the journal once the failed disk accepts writes again.
  void RepairStorage(const base::Now& now);

  std::string AddressOf(const std::string& member) const;
  void ProposeAudit(const std::string& author,
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
  ClaimPlanner claim_planner_;
  registry::EndpointRegistry endpoints_;
  std::map<std::string, ZoneReport> zone_reports_;  // By relay.
  std::map<std::string, RelayNonce> relay_nonces_;  // By relay.
  request::QuotaShareAllocator quota_;
  std::map<std::string, QuotaRequest> quota_requests_;  // By relay.
  uint64_t quota_term_ = 0;      // For which quota_ was started.
  uint64_t quota_revision_ = 0;  // Whose limits quota_ has.
  uint64_t quota_changes_logged_ = 0;
  base::MonoTime next_quota_log_;
  base::Outbox outbox_;

  bool leading_ = false;
  bool storage_failed_ = false;
  base::MonoTime next_storage_repair_;
  uint64_t next_ticket_ = 1;
  // Commands that wait for their commit, by log index.
  std::map<uint64_t, PendingCommand> pending_;
  std::vector<PendingRead> reads_;
  std::vector<PublishResult> results_;
  ControlHosts hosts_;
  membership::MembershipPlanner membership_planner_;
  base::MonoTime next_heartbeat_;
  base::MonoTime next_join_;
  base::MonoTime next_repair_;
  uint64_t reported_in_force_ = 0;
  size_t size_after_compaction_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_SOURCE_NODE_H_
