// Planning of the claim group's membership.
#include "distribution/claim_planner.h"

#include <algorithm>

namespace buckthorngate::distribution {
namespace {

// Time for a proposed change to commit and be copied.
constexpr base::Duration kPlanInterval = std::chrono::seconds(1);
constexpr base::Duration kRecentlyHeard = std::chrono::seconds(5);

}  // namespace

void ClaimPlanner::Reset() {
  relays_.clear();
  first_seen_.reset();
}

void ClaimPlanner::NoteRelay(const std::string& relay,
                             const std::string& zone,
                             base::MonoTime now) {
  if (!first_seen_) {
    first_seen_ = now;
  }
  relays_[relay].zone_ = zone;
  relays_[relay].heard_ = now;
}

void ClaimPlanner::NoteReady(const std::string& relay,
                             uint64_t epoch,
                             base::MonoTime now) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.heard_ = now;
    found->second.ready_epoch_ = epoch;
  }
}

bool ClaimPlanner::Alive(const std::string& relay,
                         base::MonoTime now,
                         base::Duration patience) const {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) {
    // Not heard since this leader began.
    return first_seen_ && now - *first_seen_ < patience;
  }
  return now - found->second.heard_ < patience;
}

std::optional<rpc::ClaimMember> ClaimPlanner::Candidate(
    const google::protobuf::RepeatedPtrField<rpc::ClaimMember>& members,
    base::MonoTime now) const {
  for (const auto& [id, relay] : relays_) {
    const bool zone_taken =
        std::any_of(members.begin(), members.end(),
                    [&relay = relay](const rpc::ClaimMember& member) {
                      return member.zone() == relay.zone_;
                    });
    if (!zone_taken && now - relay.heard_ < kRecentlyHeard) {
      rpc::ClaimMember member;
      member.set_relay(id);
      member.set_zone(relay.zone_);
      return member;
    }
  }
  return std::nullopt;
}

std::optional<rpc::ClaimGroupChange> ClaimPlanner::Plan(
    const rpc::ClaimGroup& group,
    const base::Now& now) {
  if (now.mono_ < next_plan_ || !first_seen_ ||
      now.mono_ - *first_seen_ < kClaimFormationDelay) {
    return std::nullopt;
  }
  next_plan_ = now.mono_ + kPlanInterval;
  rpc::ClaimGroupChange change;
  change.set_expected_epoch(group.epoch());
  change.set_at_ms(base::ToUnixMs(now.wall_));
  if (group.epoch() == 0) {
    while (change.members_size() < kClaimGroupSize) {
      const std::optional<rpc::ClaimMember> member =
          Candidate(change.members(), now.mono_);
      if (!member) {
        break;
      }
      *change.add_members() = *member;
    }
    return change.members_size() == 0 ? std::nullopt
                                      : std::make_optional(change);
  }
  const int ready = static_cast<int>(
      std::count_if(group.members().begin(), group.members().end(),
                    [this, &group](const rpc::ClaimMember& member) {
                      const auto found = relays_.find(member.relay());
                      return found != relays_.end() &&
                             found->second.ready_epoch_ == group.epoch();
                    }));
  if (ready < group.members_size() / 2 + 1) {
    return std::nullopt;
  }
  const auto lost = std::find_if(group.members().begin(), group.members().end(),
                                 [this, &now](const rpc::ClaimMember& member) {
                                   return !Alive(member.relay(), now.mono_,
                                                 kClaimMemberPatience);
                                 });
  const bool full = group.members_size() >= kClaimGroupSize;
  if (lost == group.members().end() && full) {
    return std::nullopt;
  }
  for (const rpc::ClaimMember& member : group.members()) {
    if (lost == group.members().end() || member.relay() != lost->relay()) {
      *change.add_members() = member;
    }
  }
  const std::optional<rpc::ClaimMember> joining =
      Candidate(change.members(), now.mono_);
  if (!joining) {
    return std::nullopt;
  }
  *change.add_members() = *joining;
  return change;
}

}  // namespace buckthorngate::distribution
