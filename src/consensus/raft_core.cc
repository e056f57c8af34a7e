// Roles, terms and elections of the sources.
#include "consensus/raft_core.h"

#include <algorithm>

namespace buckthorngate::consensus {
namespace {

constexpr base::Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

RaftCore::RaftCore(std::string id,
                   rpc::Membership initial_membership,
                   PersistentState state,
                   uint64_t seed,
                   const base::Now& now)
    : id_(std::move(id)),
      initial_membership_(std::move(initial_membership)),
      random_(seed),
      hard_state_(std::move(state.hard_state_)),
      snapshot_(std::move(state.snapshot_)),
      entries_(state.entries_.begin(), state.entries_.end()),
      confirmed_(state.confirmed_) {
  commit_index_ = snapshot_.index();
  delivered_index_ = snapshot_.index();
  persisted_index_ = LastIndex();
  last_leader_contact_ = now.mono_ - kElectionTimeout;
  RecomputeMembership();
  ResetElectionTimer(now);
  next_probe_ = now.mono_;
  if (!confirmed_) {
    role_ = Role::kProbation;
    // The only voter has no other voter to ask for confirmation.
    if (OtherMembers(true).empty()) {
      confirmed_ = true;
      records_.confirmed_ = true;
      role_ = Role::kFollower;
    }
  }
}

rpc::RaftMessage& RaftCore::QueueMessage(const std::string& to,
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
  persisted_index_ = LastIndex();
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
      if (role_ == Role::kLeader && !auto_promotion_disabled_) {
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
    rpc::RaftMessage& request = QueueMessage(peer, type, term);
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
    peer.next_index_ = LastIndex() + 1;
    peer.last_reply_ = now.mono_;
    peer.acked_send_time_ = now.mono_;
    peer.last_sent_ = now.mono_ - kHeartbeatInterval;
    peer.snapshot_sent_ = now.mono_ - kElectionTimeout;
  }
  AppendAsLeader(rpc::ENTRY_KIND_NOOP, "");
}

bool RaftCore::LogIsUpToDate(const rpc::RaftMessage& message) const {
  const uint64_t last_term = TermAt(LastIndex()).value_or(0);
  if (message.log_term() != last_term) {
    return message.log_term() > last_term;
  }
  return message.log_index() >= LastIndex();
}

bool RaftCore::HasRecentLeaderContact(const base::Now& now) const {
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
  // A member that lost contact must not depose a leader that is still in
  // contact with others.
  if (HasRecentLeaderContact(now) && from != leader_) {
    if (pre_vote) {
      QueueMessage(from, rpc::RAFT_TYPE_PRE_VOTE_REPLY, hard_state_.term())
          .set_reject(true);
    }
    return;
  }
  if (pre_vote) {
    const bool grant =
        message.term() > hard_state_.term() && LogIsUpToDate(message);
    QueueMessage(from, rpc::RAFT_TYPE_PRE_VOTE_REPLY,
                 grant ? message.term() : hard_state_.term())
        .set_reject(!grant);
    return;
  }
  if (message.term() > hard_state_.term()) {
    BecomeFollower(message.term(), "");
  }
  const bool vote_available =
      hard_state_.voted_for().empty() || hard_state_.voted_for() == from;
  // A learner grants votes too: the candidate may hold the entry that promotes
  // it, and counts its vote only in that case.
  const bool grant = message.term() == hard_state_.term() && vote_available &&
                     LogIsUpToDate(message);
  if (grant) {
    hard_state_.set_voted_for(from);
    hard_state_changed_ = true;
    ResetElectionTimer(now);
  }
  QueueMessage(from, rpc::RAFT_TYPE_VOTE_REPLY, hard_state_.term())
      .set_reject(!grant);
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
  const Role expected = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const uint64_t term = hard_state_.term() + (pre_vote ? 1 : 0);
  if (role_ != expected || message.term() != term || !IsVoter(from)) {
    return;
  }
  RecordParticipation(from);
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
    QueueMessage(peer, rpc::RAFT_TYPE_PROBE, 0);
  }
}

void RaftCore::RecordParticipation(const std::string& id) {
  const auto& ids = hard_state_.worked_with();
  if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
    hard_state_.add_worked_with(id);
    hard_state_changed_ = true;
  }
}

bool RaftCore::HasParticipated(const std::string& id) const {
  const auto& ids = hard_state_.worked_with();
  const bool recorded = std::find(ids.begin(), ids.end(), id) != ids.end();
  // A voter of a logged membership was promoted, so it acknowledged entries.
  return recorded || (membership_index_ > 0 && IsVoter(id));
}

void RaftCore::OnProbe(const std::string& from, const rpc::RaftMessage&) {
  const bool participated = HasParticipated(from);
  const bool counting = role_ == Role::kCandidate || role_ == Role::kLeader;
  if (!participated && counting && IsVoter(from)) {
    // A reply that `from` sent before it lost its disk may still be in flight;
    // it must not be counted in this term.
    BecomeFollower(hard_state_.term(), "");
  }
  QueueMessage(from, rpc::RAFT_TYPE_PROBE_REPLY, hard_state_.term())
      .set_reject(participated);
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
  probe_replies_.insert(from);
  ConfirmIfEnoughReplies(now);
}

void RaftCore::RecordReplacement(const rpc::Member& replacement,
                                 const base::Now& now) {
  if (role_ != Role::kProbation || !IsVoter(id_)) {
    return;
  }
  for (const rpc::Member& member : membership_.members()) {
    const bool lost = member.address() == replacement.address() &&
                      member.id() != replacement.id() && member.id() != id_;
    if (lost && !member.learner()) {
      lost_initial_voters_.insert(member.id());
    }
  }
  ConfirmIfEnoughReplies(now);
}

void RaftCore::ConfirmIfEnoughReplies(const base::Now& now) {
  // A majority must remain: one of its members holds each committed entry.
  if (VoterCount() - lost_initial_voters_.size() < Majority()) {
    return;
  }
  std::set<std::string> accounted = probe_replies_;
  accounted.insert(lost_initial_voters_.begin(), lost_initial_voters_.end());
  // A joining source can only have voted after a committed entry made it a
  // voter, and a majority holds that entry. A vote of an initial voter may have
  // been recorded by a single candidate only, so all others must reply.
  const size_t others = OtherMembers(true).size();
  const size_t needed = IsVoter(id_) ? others : others / 2 + 1;
  if (accounted.size() >= needed) {
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

PendingRecords RaftCore::TakePendingRecords() {
  if (hard_state_changed_) {
    records_.hard_state_ = hard_state_;
    hard_state_changed_ = false;
  }
  return std::exchange(records_, {});
}

void RaftCore::OnPersisted(const base::Now&) {
  if (role_ == Role::kHalted) {
    return;
  }
  persisted_index_ = LastIndex();
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
