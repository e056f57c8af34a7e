// Log replication: appending entries, snapshots and the commit index.
#include <algorithm>

#include "consensus/raft_core.h"

namespace buckthorngate::consensus {

uint64_t RaftCore::LastIndex() const {
  return snapshot_.index() + entries_.size();
}

const rpc::LogEntry* RaftCore::EntryAt(uint64_t index) const {
  if (index <= snapshot_.index() || index > LastIndex()) {
    return nullptr;
  }
  return &entries_[index - snapshot_.index() - 1];
}

std::optional<uint64_t> RaftCore::TermAt(uint64_t index) const {
  if (index == snapshot_.index()) {
    return snapshot_.term();
  }
  const rpc::LogEntry* entry = EntryAt(index);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return entry->term();
}

bool RaftCore::CanServe() const {
  return role_ == Role::kLeader &&
         TermAt(commit_index_).value_or(0) == hard_state_.term();
}

void RaftCore::AppendAsLeader(rpc::EntryKind kind, std::string payload) {
  rpc::LogEntry entry;
  entry.set_index(LastIndex() + 1);
  entry.set_term(hard_state_.term());
  entry.set_kind(kind);
  entry.set_payload(std::move(payload));
  records_.entries_.push_back(entry);
  entries_.push_back(std::move(entry));
  if (kind == rpc::ENTRY_KIND_MEMBERSHIP) {
    RecomputeMembership();
  }
}

tl::expected<uint64_t, ResultCode> RaftCore::Propose(std::string payload) {
  if (role_ != Role::kLeader) {
    return tl::unexpected(ResultCode::kNotLeader);
  }
  AppendAsLeader(rpc::ENTRY_KIND_COMMAND, std::move(payload));
  return LastIndex();
}

void RaftCore::TruncateFrom(uint64_t index) {
  while (LastIndex() >= index) {
    entries_.pop_back();
  }
  std::vector<rpc::LogEntry>& pending = records_.entries_;
  pending.erase(std::remove_if(pending.begin(), pending.end(),
                               [index](const rpc::LogEntry& entry) {
                                 return entry.index() >= index;
                               }),
                pending.end());
  persisted_index_ = std::min(persisted_index_, LastIndex());
  RecomputeMembership();
}

void RaftCore::AcceptEntries(const rpc::RaftMessage& message) {
  bool membership_changed = false;
  for (const rpc::LogEntry& entry : message.entries()) {
    if (entry.index() <= snapshot_.index()) {
      continue;
    }
    const std::optional<uint64_t> term = TermAt(entry.index());
    if (term == entry.term()) {
      continue;
    }
    if (term) {
      TruncateFrom(entry.index());
    }
    entries_.push_back(entry);
    records_.entries_.push_back(entry);
    membership_changed |= entry.kind() == rpc::ENTRY_KIND_MEMBERSHIP;
  }
  if (membership_changed) {
    RecomputeMembership();
  }
}

void RaftCore::FollowLeader(const std::string& leader,
                            const rpc::RaftMessage& message,
                            const base::Now& now) {
  BecomeFollower(message.term(), leader);
  last_leader_contact_ = now.mono_;
  ResetElectionTimer(now);
  // A follower does not vote for another candidate in its leader's term, even
  // if this identity has lost an earlier vote.
  if (hard_state_.voted_for().empty()) {
    hard_state_.set_voted_for(leader);
    hard_state_changed_ = true;
  }
}

void RaftCore::OnAppend(const std::string& from,
                        const rpc::RaftMessage& message,
                        const base::Now& now) {
  if (message.term() < hard_state_.term()) {
    QueueMessage(from, rpc::RAFT_TYPE_APPEND_REPLY, hard_state_.term())
        .set_reject(true);
    return;
  }
  FollowLeader(from, message, now);
  rpc::RaftMessage& reply =
      QueueMessage(from, rpc::RAFT_TYPE_APPEND_REPLY, hard_state_.term());
  reply.set_round(message.round());
  reply.set_wall_clock_ms(base::ToUnixMs(now.wall_));
  // Entries before the snapshot are committed, so they match.
  const bool matches = message.log_index() < snapshot_.index() ||
                       TermAt(message.log_index()) == message.log_term();
  if (!matches) {
    reply.set_reject(true);
    reply.set_hint(std::min(LastIndex(), message.log_index() - 1));
    return;
  }
  AcceptEntries(message);
  const uint64_t last_new =
      message.log_index() + static_cast<uint64_t>(message.entries_size());
  reply.set_log_index(std::max(last_new, snapshot_.index()));
  commit_index_ = std::max(commit_index_, std::min(message.commit(), last_new));
}

void RaftCore::RecordReply(Peer& peer,
                           const rpc::RaftMessage& message,
                           const base::Now& now) {
  peer.last_reply_ = now.mono_;
  const base::MonoTime sent{
      base::Duration(static_cast<int64_t>(message.round()))};
  if (message.round() != 0) {
    peer.acked_send_time_ = std::max(peer.acked_send_time_, sent);
  }
  if (message.wall_clock_ms() != 0) {
    peer.clock_offset_ = base::FromUnixMs(message.wall_clock_ms()) - now.wall_;
  }
}

void RaftCore::OnAppendReply(const std::string& from,
                             const rpc::RaftMessage& message,
                             const base::Now& now) {
  if (message.term() > hard_state_.term()) {
    BecomeFollower(message.term(), "");
    ResetElectionTimer(now);
    return;
  }
  const auto found = peers_.find(from);
  if (role_ != Role::kLeader || message.term() < hard_state_.term() ||
      found == peers_.end()) {
    return;
  }
  RecordParticipation(from);
  Peer& peer = found->second;
  RecordReply(peer, message, now);
  if (message.reject()) {
    peer.next_index_ =
        std::max(peer.match_index_ + 1,
                 std::min(peer.next_index_ - 1, message.hint() + 1));
    peer.last_sent_ = now.mono_ - kHeartbeatInterval;
    return;
  }
  peer.match_index_ = std::max(peer.match_index_, message.log_index());
  peer.next_index_ = std::max(peer.next_index_, peer.match_index_ + 1);
  AdvanceCommit();
}

void RaftCore::AdvanceCommit() {
  std::vector<uint64_t> matches;
  if (IsVoter(id_)) {
    matches.push_back(persisted_index_);
  }
  for (const std::string& id : OtherMembers(true)) {
    const auto peer = peers_.find(id);
    matches.push_back(peer == peers_.end() ? 0 : peer->second.match_index_);
  }
  if (matches.size() < Majority()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t agreed = matches[Majority() - 1];
  // An entry of an older term is committed only together with one of this
  // term.
  if (agreed > commit_index_ && TermAt(agreed) == hard_state_.term()) {
    commit_index_ = agreed;
    for (auto& [id, peer] : peers_) {
      peer.last_sent_ = base::MonoTime();
    }
  }
}

void RaftCore::SendAppends(const base::Now& now) {
  for (const std::string& id : OtherMembers(false)) {
    const auto [found, added] = peers_.try_emplace(id);
    Peer& peer = found->second;
    if (added) {
      peer.next_index_ = LastIndex() + 1;
      peer.last_reply_ = now.mono_;
      peer.acked_send_time_ = now.mono_;
      peer.snapshot_sent_ = now.mono_ - kElectionTimeout;
    }
    const bool due = now.mono_ - peer.last_sent_ >= kHeartbeatInterval;
    if (due || peer.next_index_ <= LastIndex()) {
      SendAppend(id, peer, now);
    }
  }
}

void RaftCore::FillEntries(uint64_t from, rpc::RaftMessage& message) const {
  size_t bytes = 0;
  for (uint64_t index = from; index <= LastIndex(); ++index) {
    const rpc::LogEntry* entry = EntryAt(index);
    if (message.entries_size() >= static_cast<int>(kMaxEntriesPerMessage) ||
        bytes >= kMaxEntryBytesPerMessage) {
      return;
    }
    bytes += entry->payload().size();
    *message.add_entries() = *entry;
  }
}

void RaftCore::SendAppend(const std::string& to,
                          Peer& peer,
                          const base::Now& now) {
  peer.last_sent_ = now.mono_;
  const std::optional<uint64_t> previous_term = TermAt(peer.next_index_ - 1);
  if (!previous_term) {
    SendSnapshot(to, peer, now);
    return;
  }
  rpc::RaftMessage& message =
      QueueMessage(to, rpc::RAFT_TYPE_APPEND, hard_state_.term());
  message.set_log_index(peer.next_index_ - 1);
  message.set_log_term(*previous_term);
  message.set_commit(commit_index_);
  message.set_round(
      static_cast<uint64_t>(now.mono_.time_since_epoch().count()));
  FillEntries(peer.next_index_, message);
  peer.next_index_ += static_cast<uint64_t>(message.entries_size());
}

void RaftCore::SendSnapshot(const std::string& to,
                            Peer& peer,
                            const base::Now& now) {
  // One snapshot at a time: its transfer may take longer than a heartbeat
  // interval.
  if (now.mono_ - peer.snapshot_sent_ < kElectionTimeout) {
    return;
  }
  peer.snapshot_sent_ = now.mono_;
  rpc::RaftMessage& message =
      QueueMessage(to, rpc::RAFT_TYPE_SNAPSHOT, hard_state_.term());
  *message.mutable_snapshot() = snapshot_;
  message.set_round(
      static_cast<uint64_t>(now.mono_.time_since_epoch().count()));
}

void RaftCore::OnSnapshot(const std::string& from,
                          const rpc::RaftMessage& message,
                          const base::Now& now) {
  if (message.term() < hard_state_.term()) {
    QueueMessage(from, rpc::RAFT_TYPE_APPEND_REPLY, hard_state_.term())
        .set_reject(true);
    return;
  }
  FollowLeader(from, message, now);
  const rpc::LogSnapshot& snapshot = message.snapshot();
  if (snapshot.index() > commit_index_) {
    // Entries after the snapshot may conflict with it, so all are dropped; the
    // leader sends them again.
    snapshot_ = snapshot;
    entries_.clear();
    records_.entries_.clear();
    records_.snapshot_ = snapshot;
    installed_snapshot_ = snapshot;
    commit_index_ = snapshot.index();
    delivered_index_ = snapshot.index();
    RecomputeMembership();
  }
  rpc::RaftMessage& reply =
      QueueMessage(from, rpc::RAFT_TYPE_APPEND_REPLY, hard_state_.term());
  reply.set_round(message.round());
  reply.set_log_index(std::min(commit_index_, snapshot.index()));
  reply.set_wall_clock_ms(base::ToUnixMs(now.wall_));
}

std::vector<rpc::LogEntry> RaftCore::TakeCommitted(size_t max) {
  std::vector<rpc::LogEntry> committed;
  while (delivered_index_ < commit_index_ && committed.size() < max) {
    ++delivered_index_;
    committed.push_back(*EntryAt(delivered_index_));
  }
  return committed;
}

std::optional<rpc::LogSnapshot> RaftCore::TakeInstalledSnapshot() {
  return std::exchange(installed_snapshot_, std::nullopt);
}

rpc::LogSnapshot RaftCore::Compact(uint64_t index, std::string state) {
  if (index <= snapshot_.index() || index > delivered_index_) {
    return snapshot_;
  }
  rpc::LogSnapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(TermAt(index).value_or(0));
  // The membership as of `index`, not the latest one.
  *snapshot.mutable_membership() = membership_;
  if (membership_index_ > index) {
    *snapshot.mutable_membership() =
        snapshot_.index() > 0 ? snapshot_.membership() : initial_membership_;
    for (const rpc::LogEntry& entry : entries_) {
      if (entry.index() <= index &&
          entry.kind() == rpc::ENTRY_KIND_MEMBERSHIP) {
        snapshot.mutable_membership()->ParseFromString(entry.payload());
      }
    }
  }
  snapshot.set_state(std::move(state));
  entries_.erase(entries_.begin(),
                 entries_.begin() +
                     static_cast<std::ptrdiff_t>(index - snapshot_.index()));
  snapshot_ = std::move(snapshot);
  return snapshot_;
}

}  // namespace buckthorngate::consensus
