// Roles, terms and elections of the sources.
#include "consensus/raft_core.h"

#include <algorithm>

namespace buckthorngate::consensus {
namespace {

constexpr base::Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

RaftCore::RaftCore(std::string id,
                   rpc::Membership first_membership,
                   PersistentState state,
                   uint64_t seed,
                   const base::Now& now)
    : id_(std::move(id)),
      first_membership_(std::move(first_membership)),
      random_(seed),
      hard_state_(std::move(state.hard_state_)),
      snapshot_(std::move(state.snapshot_)),
      entries_(state.entries_.begin(), state.entries_.end()),
      confirmed_(state.confirmed_) {
  commit_ = snapshot_.index();
  delivered_ = snapshot_.index();
  persisted_ = LastIndex();
  last_leader_contact_ = now.mono_ - kElectionTimeout;
  RecomputeMembership();
  ResetElectionTimer(now);
  next_probe_ = now.mono_;
  if (!confirmed_) {
    role_ = Role::kProbation;
    // A lone first member has nobody to ask.
    if (OtherMembers(true).empty()) {
      confirmed_ = true;
      records_.confirmed_ = true;
      role_ = Role::kFollower;
    }
  }
}

rpc::RaftMessage& RaftCore::Queue(const std::string& to,
                                  rpc::RaftType type,
                                  uint64_t term) {
  AddressedMessage& message = messages_.emplace_back();
  message.to_ = to;
  message.message_.set_type(type);
  message.message_.set_term(term);
  return message.message_;
}

void RaftCore::Halt() {
  role_ = Role::kHalted;
  leader_.clear();
  messages_.clear();
  records_ = {};
}

void RaftCore::Resume(const base::Now& now) {
  if (role_ != Role::kHalted || retired_) {
    return;
  }
  role_ = confirmed_ ? Role::kFollower : Role::kProbation;
  hard_state_changed_ = false;
  persisted_ = LastIndex();
  votes_.clear();
  ResetElectionTimer(now);
}

void RaftCore::ResetElectionTimer(const base::Now& now) {
  election_deadline_ =
      now.mono_ + kElectionTimeout + random_.Jitter(kElectionTimeout);
}

void RaftCore::AdoptTerm(uint64_t term) {
  if (term <= hard_state_.term()) {
    return;
  }
  hard_state_.set_term(term);
  hard_state_.clear_voted_for();
  hard_state_changed_ = true;
}

void RaftCore::BecomeFollower(uint64_t term, const std::string& leader) {
  AdoptTerm(term);
  if (role_ != Role::kProbation && role_ != Role::kHalted) {
    role_ = Role::kFollower;
  }
  leader_ = leader;
  votes_.clear();
}

void RaftCore::Tick(const base::Now& now) {
  switch (role_) {
    case Role::kHalted:
      return;
    case Role::kProbation:
      if (now.mono_ >= next_probe_) {
        next_probe_ = now.mono_ + kProbeInterval;
        SendProbes();
      }
      return;
    case Role::kLeader:
      CheckQuorum(now);
      if (role_ == Role::kLeader && !hold_learners_) {
        PromoteCaughtUpLearner();
      }
      return;
    case Role::kFollower:
    case Role::kPreCandidate:
    case Role::kCandidate:
      if (now.mono_ >= election_deadline_ && IsVoter(id_)) {
        StartPreVote(now);
      }
      return;
  }
}

void RaftCore::StartPreVote(const base::Now& now) {
  role_ = Role::kPreCandidate;
  leader_.clear();
  votes_ = {id_};
  ResetElectionTimer(now);
  if (votes_.size() >= Majority()) {
    StartElection(now);
    return;
  }
  SendVoteRequests(rpc::RAFT_TYPE_PRE_VOTE, hard_state_.term() + 1);
}

void RaftCore::StartElection(const base::Now& now) {
  role_ = Role::kCandidate;
  AdoptTerm(hard_state_.term() + 1);
  hard_state_.set_voted_for(id_);
  hard_state_changed_ = true;
  votes_ = {id_};
  ResetElectionTimer(now);
  if (votes_.size() >= Majority()) {
    BecomeLeader(now);
    return;
  }
  SendVoteRequests(rpc::RAFT_TYPE_VOTE, hard_state_.term());
}

void RaftCore::SendVoteRequests(rpc::RaftType type, uint64_t term) {
  for (const std::string& peer : OtherMembers(true)) {
    rpc::RaftMessage& request = Queue(peer, type, term);
    request.set_log_index(LastIndex());
    request.set_log_term(TermAt(LastIndex()).value_or(0));
  }
}

void RaftCore::BecomeLeader(const base::Now& now) {
  role_ = Role::kLeader;
  leader_ = id_;
  peers_.clear();
  for (const std::string& id : OtherMembers(false)) {
    Peer& peer = peers_[id];
    peer.next_ = LastIndex() + 1;
    peer.last_heard_ = now.mono_;
    peer.acked_sent_ = now.mono_;
    peer.last_sent_ = now.mono_ - kHeartbeatInterval;
    peer.snapshot_sent_ = now.mono_ - kElectionTimeout;
  }
  AppendOwn(rpc::ENTRY_KIND_NOOP, "");
}

bool RaftCore::LogIsUpToDate(const rpc::RaftMessage& message) const {
  const uint64_t last_term = TermAt(LastIndex()).value_or(0);
  if (message.log_term() != last_term) {
    return message.log_term() > last_term;
  }
  return message.log_index() >= LastIndex();
}

bool RaftCore::HeardLeaderLately(const base::Now& now) const {
  if (role_ == Role::kLeader) {
    return true;
  }
  return !leader_.empty() &&
         now.mono_ - last_leader_contact_ < kElectionTimeout;
}

void RaftCore::OnVoteRequest(const std::string& from,
                             const rpc::RaftMessage& message,
                             const base::Now& now) {
  const bool pre_vote = message.type() == rpc::RAFT_TYPE_PRE_VOTE;
  // A member that lost contact must not depose a leader that others hear.
  if (HeardLeaderLately(now) && from != leader_) {
    if (pre_vote) {
      Queue(from, rpc::RAFT_TYPE_PRE_VOTE_REPLY, hard_state_.term())
          .set_reject(true);
    }
    return;
  }
  if (pre_vote) {
    const bool grant =
        message.term() > hard_state_.term() && LogIsUpToDate(message);
    Queue(from, rpc::RAFT_TYPE_PRE_VOTE_REPLY,
          grant ? message.term() : hard_state_.term())
        .set_reject(!grant);
    return;
  }
  if (message.term() > hard_state_.term()) {
    BecomeFollower(message.term(), "");
  }
  const bool free =
      hard_state_.voted_for().empty() || hard_state_.voted_for() == from;
  // A learner votes too: the candidate may hold the entry that promotes it,
  // and counts its vote only then.
  const bool grant =
      message.term() == hard_state_.term() && free && LogIsUpToDate(message);
  if (grant) {
    hard_state_.set_voted_for(from);
    hard_state_changed_ = true;
    ResetElectionTimer(now);
  }
  Queue(from, rpc::RAFT_TYPE_VOTE_REPLY, hard_state_.term()).set_reject(!grant);
}

void RaftCore::OnVoteReply(const std::string& from,
                           const rpc::RaftMessage& message,
                           const base::Now& now) {
  if (message.reject()) {
    if (message.term() > hard_state_.term()) {
      BecomeFollower(message.term(), "");
    }
    return;
  }
  const bool pre_vote = message.type() == rpc::RAFT_TYPE_PRE_VOTE_REPLY;
  const Role wanted = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const uint64_t term = hard_state_.term() + (pre_vote ? 1 : 0);
  if (role_ != wanted || message.term() != term || !IsVoter(from)) {
    return;
  }
  NoteWorkedWith(from);
  votes_.insert(from);
  if (votes_.size() < Majority()) {
    return;
  }
  if (pre_vote) {
    StartElection(now);
  } else {
    BecomeLeader(now);
  }
}

void RaftCore::SendProbes() {
  for (const std::string& peer : OtherMembers(true)) {
    Queue(peer, rpc::RAFT_TYPE_PROBE, 0);
  }
}

void RaftCore::NoteWorkedWith(const std::string& id) {
  const auto& known = hard_state_.worked_with();
  if (std::find(known.begin(), known.end(), id) == known.end()) {
    hard_state_.add_worked_with(id);
    hard_state_changed_ = true;
  }
}

bool RaftCore::HasWorkedWith(const std::string& id) const {
  const auto& known = hard_state_.worked_with();
  const bool counted = std::find(known.begin(), known.end(), id) != known.end();
  // A voter by the log has been promoted, so it has acknowledged entries.
  return counted || (membership_index_ > 0 && IsVoter(id));
}

void RaftCore::OnProbe(const std::string& from, const rpc::RaftMessage&) {
  const bool known = HasWorkedWith(from);
  const bool counting = role_ == Role::kCandidate || role_ == Role::kLeader;
  if (!known && counting && IsVoter(from)) {
    // An answer from an earlier life of `from` may still be under way: it
    // must not be counted in this term.
    BecomeFollower(hard_state_.term(), "");
  }
  Queue(from, rpc::RAFT_TYPE_PROBE_REPLY, hard_state_.term()).set_reject(known);
}

void RaftCore::OnProbeReply(const std::string& from,
                            const rpc::RaftMessage& message,
                            const base::Now& now) {
  if (role_ != Role::kProbation) {
    return;
  }
  if (message.reject()) {
    retired_ = true;
    Halt();
    return;
  }
  probe_answers_.insert(from);
  ConfirmOnceAnswered(now);
}

void RaftCore::RecordReplacement(const rpc::Member& successor,
                                 const base::Now& now) {
  if (role_ != Role::kProbation || !IsVoter(id_)) {
    return;
  }
  for (const rpc::Member& member : membership_.members()) {
    const bool lost = member.address() == successor.address() &&
                      member.id() != successor.id() && member.id() != id_;
    if (lost && !member.learner()) {
      lost_first_members_.insert(member.id());
    }
  }
  ConfirmOnceAnswered(now);
}

void RaftCore::ConfirmOnceAnswered(const base::Now& now) {
  // A majority must be left: what was committed is then known to one of it.
  if (VoterCount() - lost_first_members_.size() < Majority()) {
    return;
  }
  std::set<std::string> known = probe_answers_;
  known.insert(lost_first_members_.begin(), lost_first_members_.end());
  // A joining source would be a voter by a committed entry, which a majority
  // knows. A first member's vote may be known to one other only.
  const size_t others = OtherMembers(true).size();
  const size_t needed = IsVoter(id_) ? others : others / 2 + 1;
  if (known.size() >= needed) {
    confirmed_ = true;
    records_.confirmed_ = true;
    role_ = Role::kFollower;
    ResetElectionTimer(now);
  }
}

void RaftCore::Step(const std::string& from,
                    const rpc::RaftMessage& message,
                    const base::Now& now) {
  if (role_ == Role::kHalted || from == id_) {
    return;
  }
  if (message.type() == rpc::RAFT_TYPE_PROBE) {
    OnProbe(from, message);
    return;
  }
  if (message.type() == rpc::RAFT_TYPE_PROBE_REPLY) {
    OnProbeReply(from, message, now);
    return;
  }
  if (role_ == Role::kProbation) {
    return;
  }
  switch (message.type()) {
    case rpc::RAFT_TYPE_PRE_VOTE:
    case rpc::RAFT_TYPE_VOTE:
      OnVoteRequest(from, message, now);
      return;
    case rpc::RAFT_TYPE_PRE_VOTE_REPLY:
    case rpc::RAFT_TYPE_VOTE_REPLY:
      OnVoteReply(from, message, now);
      return;
    case rpc::RAFT_TYPE_APPEND:
      OnAppend(from, message, now);
      return;
    case rpc::RAFT_TYPE_APPEND_REPLY:
      OnAppendReply(from, message, now);
      return;
    case rpc::RAFT_TYPE_SNAPSHOT:
      OnSnapshot(from, message, now);
      return;
    default:
      return;
  }
}

PendingRecords RaftCore::TakeRecords() {
  if (hard_state_changed_) {
    records_.hard_state_ = hard_state_;
    hard_state_changed_ = false;
  }
  return std::exchange(records_, {});
}

void RaftCore::Persisted(const base::Now&) {
  if (role_ == Role::kHalted) {
    return;
  }
  persisted_ = LastIndex();
  if (role_ == Role::kLeader) {
    AdvanceCommit();
  }
}

std::vector<AddressedMessage> RaftCore::TakeMessages(const base::Now& now) {
  if (role_ == Role::kLeader) {
    SendAppends(now);
  }
  return std::exchange(messages_, {});
}

}  // namespace buckthorngate::consensus
