// Raft consensus among the sources, as a deterministic state machine.
//
// Inputs are messages, ticks and proposals. Outputs are records to sync,
// messages to send after that sync, and committed entries. There is no thread,
// clock, socket or file inside, so that tests can run thousands of schedules.
//
// Safety rests on these rules:
//  - A vote or an acknowledgement is sent only after its record is synced.
//  - An entry is committed once a majority of voters has synced it and it is
//    of the leader's term.
//  - The membership changes by one member at a time; a learner's vote does not
//    count.
//  - An initial voter that starts without state participates only after every
//    other initial voter has confirmed that it never counted a reply of this
//    identity, so a lost disk cannot lead to a second vote. Initial voters
//    whose own disks are lost need not confirm, unless so many are lost that
//    committed entries could be lost with them.
#ifndef SRC_CONSENSUS_RAFT_CORE_H_
#define SRC_CONSENSUS_RAFT_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/random.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::consensus {

inline constexpr base::Duration kElectionTimeout =
    std::chrono::milliseconds(600);
// A leader without replies from a majority for this long steps down. Longer
// than an election, so that a cluster that has just started, whose connections
// are still being established, doesn't hold a second election.
inline constexpr base::Duration kQuorumTimeout = 2 * kElectionTimeout;
inline constexpr base::Duration kHeartbeatInterval =
    std::chrono::milliseconds(100);
inline constexpr size_t kMaxEntriesPerMessage = 256;
inline constexpr size_t kMaxEntryBytesPerMessage = size_t{1024} * 1024;

enum class Role : uint8_t {
  // First start: other voters have yet to confirm that the identity is new.
  kProbation,
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  // Storage failed or the identity is retired: ignores all messages.
  kHalted,
};

// State recovered from the journal at startup.
struct PersistentState {
  rpc::HardState hard_state_;
  rpc::LogSnapshot snapshot_;
  std::vector<rpc::LogEntry> entries_;
  // Whether the identity is confirmed: probation was passed or not needed.
  bool confirmed_ = false;
};

// Records that must be synced, in this order, before messages are sent.
struct PendingRecords {
  std::optional<rpc::LogSnapshot> snapshot_;
  std::vector<rpc::LogEntry> entries_;
  std::optional<rpc::HardState> hard_state_;
  bool confirmed_ = false;

  bool Empty() const {
    return !snapshot_ && entries_.empty() && !hard_state_ && !confirmed_;
  }
};

struct AddressedMessage {
  std::string to_;
  rpc::RaftMessage message_;
};

class RaftCore {
 public:
  // `initial_membership` applies until the log or a snapshot contains one.
  RaftCore(std::string id,
           rpc::Membership initial_membership,
           PersistentState state,
           uint64_t seed,
           const base::Now& now);

  void Step(const std::string& from,
            const rpc::RaftMessage& message,
            const base::Now& now);
  void Tick(const base::Now& now);

  // Appends a command; returns its index. Errors: kNotLeader.
  tl::expected<uint64_t, ResultCode> Propose(std::string payload);

  // Errors: kNotLeader, kMembershipBusy, kUnknownMember.
  ResultCode AddLearner(const rpc::Member& member);
  ResultCode RemoveMember(const std::string& id);
  ResultCode PromoteLearner(const std::string& id);
  // Sets the zone of a member.
  ResultCode DescribeMember(const std::string& id, const std::string& zone);
  // Learners are promoted by PromoteLearner only, instead of as soon as they
  // have caught up with the log.
  void DisableAutoPromotion() { auto_promotion_disabled_ = true; }

  // Returns the records to sync. The caller then calls OnPersisted, or Halt if
  // the sync failed.
  PendingRecords TakePendingRecords();
  void OnPersisted(const base::Now& now);
  // Stops participating and discards unsent messages and pending records.
  void Halt();
  // `replacement` runs at its address under a new identity: an initial voter
  // with that address has lost its disk and will not reply any more.
  void RecordReplacement(const rpc::Member& replacement, const base::Now& now);

  // Participates again after a storage failure; the journal must now contain
  // all of this state.
  void Resume(const base::Now& now);

  // Messages that may be sent now that all records are synced.
  std::vector<AddressedMessage> TakeMessages(const base::Now& now);

  // Committed entries that were not returned yet, in order; at most `max`.
  std::vector<rpc::LogEntry> TakeCommitted(size_t max);
  // A snapshot received from the leader, if any. The state machine must be
  // restored from it before further committed entries are applied.
  std::optional<rpc::LogSnapshot> TakeInstalledSnapshot();

  // Replaces the entries up to `index`, which must be committed and applied, by
  // a snapshot with `state`, the state machine as of `index`.
  rpc::LogSnapshot Compact(uint64_t index, std::string state);

  Role CurrentRole() const { return role_; }
  bool IsLeader() const { return role_ == Role::kLeader; }
  // Whether this is the leader and an entry of its own term is committed. Only
  // then does it know which entries are committed and may serve.
  bool CanServe() const;
  bool Retired() const { return retired_; }
  bool Confirmed() const { return confirmed_; }
  const std::string& Id() const { return id_; }
  const std::string& LeaderId() const { return leader_; }
  uint64_t Term() const { return hard_state_.term(); }
  uint64_t CommitIndex() const { return commit_index_; }
  uint64_t LastIndex() const;
  const rpc::Membership& CurrentMembership() const { return membership_; }
  // Log index of the current membership.
  uint64_t MembershipIndex() const { return membership_index_; }
  // Leader only: time since the member's last reply, or since this leader began
  // to replicate to it if that is later; and whether the member holds all
  // committed entries.
  base::Duration TimeSinceLastReply(const std::string& id,
                                    const base::Now& now) const;
  bool CaughtUp(const std::string& id) const;
  const rpc::LogSnapshot& Snapshot() const { return snapshot_; }
  const std::deque<rpc::LogEntry>& Entries() const { return entries_; }
  const rpc::HardState& CurrentHardState() const { return hard_state_; }

  // On the leader, time since the last contact that a majority acknowledged;
  // else time since the last message from a leader.
  base::Duration ContactAge(const base::Now& now) const;

  // Send time of the latest contact that a majority acknowledged. At that time
  // this was the only leader.
  base::MonoTime MajorityContact(const base::Now& now) const;

  // Median of the voters' wall clocks, of those known to this leader.
  base::WallTime MedianClock(const base::Now& now) const;

 private:
  struct Peer {
    uint64_t match_index_ = 0;
    uint64_t next_index_ = 1;
    base::MonoTime last_sent_;
    base::MonoTime last_reply_;
    // Send time of the latest contact that the peer acknowledged.
    base::MonoTime acked_send_time_;
    base::MonoTime snapshot_sent_;
    // The peer's wall clock minus the local one.
    std::optional<std::chrono::milliseconds> clock_offset_;
  };

  // raft_core.cc: roles, terms and elections.
  void BecomeFollower(uint64_t term, const std::string& leader);
  void StartPreVote(const base::Now& now);
  void StartElection(const base::Now& now);
  void BecomeLeader(const base::Now& now);
  void ResetElectionTimer(const base::Now& now);
  void AdoptTerm(uint64_t term);
  void SendVoteRequests(rpc::RaftType type, uint64_t term);
  void OnVoteRequest(const std::string& from,
                     const rpc::RaftMessage& message,
                     const base::Now& now);
  void OnVoteReply(const std::string& from,
                   const rpc::RaftMessage& message,
                   const base::Now& now);
  bool LogIsUpToDate(const rpc::RaftMessage& message) const;
  // Whether this is the leader or had contact with one within the election
  // timeout.
  bool HasRecentLeaderContact(const base::Now& now) const;
  void OnProbe(const std::string& from, const rpc::RaftMessage& message);
  void OnProbeReply(const std::string& from,
                    const rpc::RaftMessage& message,
                    const base::Now& now);
  void SendProbes();
  // Ends probation if enough other voters have confirmed the identity as new.
  void ConfirmIfEnoughReplies(const base::Now& now);
  // Records durably, before a reply of `id` counts, that `id` has participated
  // in elections or replication.
  void RecordParticipation(const std::string& id);
  bool HasParticipated(const std::string& id) const;

  // raft_replication.cc: appending, snapshots and commit.
  void OnAppend(const std::string& from,
                const rpc::RaftMessage& message,
                const base::Now& now);
  void OnAppendReply(const std::string& from,
                     const rpc::RaftMessage& message,
                     const base::Now& now);
  void OnSnapshot(const std::string& from,
                  const rpc::RaftMessage& message,
                  const base::Now& now);
  void FollowLeader(const std::string& leader,
                    const rpc::RaftMessage& message,
                    const base::Now& now);
  void AcceptEntries(const rpc::RaftMessage& message);
  // Appends a new entry of the current term; leader only.
  void AppendAsLeader(rpc::EntryKind kind, std::string payload);
  void TruncateFrom(uint64_t index);
  void AdvanceCommit();
  void SendAppends(const base::Now& now);
  void SendAppend(const std::string& to, Peer& peer, const base::Now& now);
  void SendSnapshot(const std::string& to, Peer& peer, const base::Now& now);
  void FillEntries(uint64_t from, rpc::RaftMessage& message) const;
  const rpc::LogEntry* EntryAt(uint64_t index) const;
  std::optional<uint64_t> TermAt(uint64_t index) const;
  void RecordReply(Peer& peer,
                   const rpc::RaftMessage& message,
                   const base::Now& now);

  // raft_membership.cc: voters, learners and quorum checks.
  bool IsVoter(const std::string& id) const;
  bool IsMember(const std::string& id) const;
  size_t VoterCount() const;
  size_t Majority() const { return VoterCount() / 2 + 1; }
  std::vector<std::string> OtherMembers(bool voters_only) const;
  void RecomputeMembership();
  ResultCode CheckMembershipChange() const;
  void PromoteCaughtUpLearner();
  void CheckQuorum(const base::Now& now);
  // Adds an outgoing message and returns it to be filled.
  rpc::RaftMessage& QueueMessage(const std::string& to,
                                 rpc::RaftType type,
                                 uint64_t term);

  const std::string id_;
  const rpc::Membership initial_membership_;
  base::Random random_;
  Role role_ = Role::kFollower;
  bool retired_ = false;
  bool auto_promotion_disabled_ = false;

  // Persistent state. Changes are added to records_ (those of hard_state_ via
  // hard_state_changed_) before any message is sent.
  rpc::HardState hard_state_;
  rpc::LogSnapshot snapshot_;
  // Invariant: entries_[i].index() == snapshot_.index() + 1 + i.
  std::deque<rpc::LogEntry> entries_;
  bool confirmed_ = false;

  // Invariant: the latest membership in the log or snapshot, committed or not;
  // initial_membership_ if there is none.
  rpc::Membership membership_;
  uint64_t membership_index_ = 0;

  std::string leader_;
  // Invariant:
  // snapshot_.index() <= delivered_index_ <= commit_index_ <= LastIndex().
  uint64_t commit_index_ = 0;
  // Last committed entry that TakeCommitted has returned.
  uint64_t delivered_index_ = 0;
  // Last entry that is synced to the local journal.
  uint64_t persisted_index_ = 0;

  base::MonoTime election_deadline_;
  base::MonoTime last_leader_contact_;
  base::MonoTime next_probe_;
  std::set<std::string> votes_;
  // Voters that have confirmed, during probation, that the identity is new.
  std::set<std::string> probe_replies_;
  // Initial voters that have lost their disks; used during probation only.
  std::set<std::string> lost_initial_voters_;
  std::map<std::string, Peer> peers_;

  PendingRecords records_;
  bool hard_state_changed_ = false;
  std::vector<AddressedMessage> messages_;
  std::optional<rpc::LogSnapshot> installed_snapshot_;
};

}  // namespace buckthorngate::consensus

#endif  // SRC_CONSENSUS_RAFT_CORE_H_
