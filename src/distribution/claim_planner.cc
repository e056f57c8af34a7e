// Plans the claim group: forms it, adds members and replaces unresponsive ones.
#include "distribution/claim_planner.h"

#include <algorithm>

namespace buckthorngate::distribution {
namespace {

// Minimum time between proposals: lets a change commit and the new member copy
// the ledgers before the next one.
constexpr base::Duration kPlanInterval = std::chrono::seconds(1);
// Only relays in contact within this time may join the group.
constexpr base::Duration kCandidateTimeout = std::chrono::seconds(5);

}  // namespace

void ClaimPlanner::Reset() {
  relays_.clear();
  first_contact_.reset();
}

void ClaimPlanner::RecordRelay(const std::string& relay,
                               const std::string& zone,
                               base::MonoTime now) {
  if (!first_contact_) {
    first_contact_ = now;
  }
  relays_[relay].zone_ = zone;
  relays_[relay].last_contact_ = now;
}

void ClaimPlanner::RecordReadyEpoch(const std::string& relay,
                                    uint64_t epoch,
                                    base::MonoTime now) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.last_contact_ = now;
    found->second.ready_epoch_ = epoch;
  }
}

bool ClaimPlanner::Responsive(const std::string& relay,
                              base::MonoTime now,
                              base::Duration timeout) const {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) {
    // No contact since this source became leader.
    return first_contact_ && now - *first_contact_ < timeout;
  }
  return now - found->second.last_contact_ < timeout;
}

std::optional<rpc::ClaimMember> ClaimPlanner::FindCandidate(
    const google::protobuf::RepeatedPtrField<rpc::ClaimMember>& members,
    base::MonoTime now) const {
  for (const auto& [id, relay] : relays_) {
    const bool zone_taken =
        std::any_of(members.begin(), members.end(),
                    [&relay = relay](const rpc::ClaimMember& member) {
                      return member.zone() == relay.zone_;
                    });
    if (!zone_taken && now - relay.last_contact_ < kCandidateTimeout) {
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
  if (now.mono_ < next_plan_ || !first_contact_ ||
      now.mono_ - *first_contact_ < kClaimFormationDelay) {
    return std::nullopt;
  }
  next_plan_ = now.mono_ + kPlanInterval;
  rpc::ClaimGroupChange change;
  change.set_expected_epoch(group.epoch());
  change.set_at_ms(base::ToUnixMs(now.wall_));
  if (group.epoch() == 0) {
    while (change.members_size() < kClaimGroupSize) {
      const std::optional<rpc::ClaimMember> member =
          FindCandidate(change.members(), now.mono_);
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
  const auto unresponsive = std::find_if(
      group.members().begin(), group.members().end(),
      [this, &now](const rpc::ClaimMember& member) {
        return !Responsive(member.relay(), now.mono_, kClaimMemberTimeout);
      });
  const bool full = group.members_size() >= kClaimGroupSize;
  if (unresponsive == group.members().end() && full) {
    return std::nullopt;
  }
  for (const rpc::ClaimMember& member : group.members()) {
    if (unresponsive == group.members().end() ||
        member.relay() != unresponsive->relay()) {
      *change.add_members() = member;
    }
  }
  const std::optional<rpc::ClaimMember> joining =
      FindCandidate(change.members(), now.mono_);
  if (!joining) {
    return std::nullopt;
  }
  *change.add_members() = *joining;
  return change;
}

}  // namespace buckthorngate::distribution
