// Consensus of the sources: a deterministic step function.
//
// Input: messages, ticks, proposals. Output: records to sync, messages to
// send after that sync, and committed entries. There is no thread, clock,
// socket or file inside, so that tests can drive thousands of schedules.
//
// Safety rests on these rules:
//  - A vote or an acknowledgement leaves only after its record is synced.
//  - An entry is committed once a majority of voters has synced it and it is
//    of the leader's term.
//  - The membership changes by one member at a time; a learner has no vote.
//  - A first-time voter joins only if no other first member has worked with
//    its identity before, so a lost disk cannot lead to a second vote. First
//    members whose own disks are lost need not be asked, unless so many are
//    lost that what had been committed could be gone.
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
// A leader that no majority answers for this long steps down. Longer than an
// election, so that a cluster that has just started, whose connections are
// still being made, doesn't elect twice.
inline constexpr base::Duration kQuorumTimeout = 2 * kElectionTimeout;
inline constexpr base::Duration kHeartbeatInterval =
    std::chrono::milliseconds(100);
inline constexpr size_t kMaxEntriesPerMessage = 256;
inline constexpr size_t kMaxEntryBytesPerMessage = size_t{1024} * 1024;

enum class Role : uint8_t {
  kProbation,  // First start: not yet known to be new.
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  kHalted,  // Storage fails or identity retired: takes no part.
};

// What a restart finds in the journal.
struct PersistentState {
  rpc::HardState hard_state_;
  rpc::LogSnapshot snapshot_;
  std::vector<rpc::LogEntry> entries_;
  bool confirmed_ = false;
};

// What must be synced before messages leave, in this order.
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
  // `first_membership` holds until the log has one.
  RaftCore(std::string id,
           rpc::Membership first_membership,
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
  // Learners stay learners until PromoteLearner; else they are promoted as
  // soon as they have caught up.
  void DisableAutoPromotion() { hold_learners_ = true; }

  // The caller syncs these, then calls Persisted; or calls Halt.
  PendingRecords TakeRecords();
  void Persisted(const base::Now& now);
  void Halt();
  // `successor` lives at its address under an identity of its own, so that a
  // first member there has lost its disk and answers no more.
  void RecordReplacement(const rpc::Member& successor, const base::Now& now);

  // Takes part again: storage had failed, and now holds all of this state.
  void Resume(const base::Now& now);

  // Messages that may leave now that all records are synced.
  std::vector<AddressedMessage> TakeMessages(const base::Now& now);

  // Committed entries that were not taken yet, in order; at most so many.
  std::vector<rpc::LogEntry> TakeCommitted(size_t most);
  // A snapshot from the leader to restore the state machine from, first.
  std::optional<rpc::LogSnapshot> TakeInstalledSnapshot();

  // Replaces entries up to `index` (committed and applied) by `state`.
  rpc::LogSnapshot Compact(uint64_t index, std::string state);

  Role CurrentRole() const { return role_; }
  bool IsLeader() const { return role_ == Role::kLeader; }
  // A new leader serves once an entry of its own term is committed.
  bool CanServe() const;
  bool Retired() const { return retired_; }
  bool Confirmed() const { return confirmed_; }
  const std::string& Id() const { return id_; }
  const std::string& LeaderId() const { return leader_; }
  uint64_t Term() const { return hard_state_.term(); }
  uint64_t CommitIndex() const { return commit_; }
  uint64_t LastIndex() const;
  const rpc::Membership& CurrentMembership() const { return membership_; }
  // Log index of the current membership.
  uint64_t MembershipIndex() const { return membership_index_; }
  // Leader only: how long the member has been silent, and whether it holds
  // all that is committed.
  base::Duration TimeSinceLastReply(const std::string& id,
                                    const base::Now& now) const;
  bool CaughtUp(const std::string& id) const;
  const rpc::LogSnapshot& Snapshot() const { return snapshot_; }
  const std::deque<rpc::LogEntry>& Entries() const { return entries_; }
  const rpc::HardState& CurrentHardState() const { return hard_state_; }

  // Time since a majority was last known to agree with this leader, or since
  // this follower last heard from a leader.
  base::Duration ContactAge(const base::Now& now) const;

  // Send time of the latest contact that a majority acknowledged: this leader
  // was the only one then.
  base::MonoTime MajorityContact(const base::Now& now) const;

  // Median of the voters' clocks, as far as they are known to this leader.
  base::WallTime MedianClock(const base::Now& now) const;

 private:
  struct Peer {
    uint64_t match_ = 0;
    uint64_t next_ = 1;
    base::MonoTime last_sent_;
    base::MonoTime last_heard_;
    // Send time of the latest contact that the peer acknowledged.
    base::MonoTime acked_sent_;
    base::MonoTime snapshot_sent_;
    // The peer's wall clock minus this one's.
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
  bool HeardLeaderLately(const base::Now& now) const;
  void OnProbe(const std::string& from, const rpc::RaftMessage& message);
  void OnProbeReply(const std::string& from,
                    const rpc::RaftMessage& message,
                    const base::Now& now);
  void SendProbes();
  void ConfirmOnceAnswered(const base::Now& now);
  // Records durably that `id` has taken part, before its answer counts.
  void NoteWorkedWith(const std::string& id);
  bool HasWorkedWith(const std::string& id) const;

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
  void AppendOwn(rpc::EntryKind kind, std::string payload);
  void TruncateFrom(uint64_t index);
  void AdvanceCommit();
  void SendAppends(const base::Now& now);
  void SendAppend(const std::string& to, Peer& peer, const base::Now& now);
  void SendSnapshot(const std::string& to, Peer& peer, const base::Now& now);
  void FillEntries(uint64_t from, rpc::RaftMessage& message) const;
  const rpc::LogEntry* EntryAt(uint64_t index) const;
  std::optional<uint64_t> TermAt(uint64_t index) const;
  void NoteContact(Peer& peer,
                   const rpc::RaftMessage& message,
                   const base::Now& now);

  // raft_membership.cc.
  bool IsVoter(const std::string& id) const;
  bool IsMember(const std::string& id) const;
  size_t VoterCount() const;
  size_t Majority() const { return VoterCount() / 2 + 1; }
  std::vector<std::string> OtherMembers(bool voters_only) const;
  void RecomputeMembership();
  ResultCode CheckMembershipChange() const;
  void PromoteCaughtUpLearner();
  void CheckQuorum(const base::Now& now);
  rpc::RaftMessage& Queue(const std::string& to,
                          rpc::RaftType type,
                          uint64_t term);

  const std::string id_;
  const rpc::Membership first_membership_;
  base::Random random_;
  Role role_ = Role::kFollower;
  bool retired_ = false;
  bool hold_learners_ = false;

  // Persistent; changes are marked in records_ before any message leaves.
  rpc::HardState hard_state_;
  rpc::LogSnapshot snapshot_;
  // Invariant: entries_[i].index() == snapshot_.index() + 1 + i.
  std::deque<rpc::LogEntry> entries_;
  bool confirmed_ = false;

  // Invariant: the latest membership in the log or snapshot, committed or not.
  rpc::Membership membership_;
  uint64_t membership_index_ = 0;

  std::string leader_;
  // Invariant: snapshot_.index() <= delivered_ <= commit_ <= LastIndex().
  uint64_t commit_ = 0;
  uint64_t delivered_ = 0;
  // Own entries up to here are synced.
  uint64_t persisted_ = 0;

  base::MonoTime election_deadline_;
  base::MonoTime last_leader_contact_;
  base::MonoTime next_probe_;
  std::set<std::string> votes_;
  std::set<std::string> probe_answers_;
  // First members that have lost their disks; kept during probation.
  std::set<std::string> lost_first_members_;
  std::map<std::string, Peer> peers_;

  PendingRecords records_;
  bool hard_state_changed_ = false;
  std::vector<AddressedMessage> messages_;
  std::optional<rpc::LogSnapshot> installed_;
};

}  // namespace buckthorngate::consensus

#endif  // SRC_CONSENSUS_RAFT_CORE_H_
