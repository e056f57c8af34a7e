// A proxy: its configuration, from relays and from other proxies, and whether
// that is current enough to serve.
#include <algorithm>
#include <optional>
#include <utility>

#include "base/events.h"
#include "distribution/proxy_node.h"
#include "distribution/update_log.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

// Control hosts that have all started again may need seconds to elect a leader
// that has applied its log.
constexpr base::Duration kUnconfirmedFloorDelay = std::chrono::seconds(10);
// Part of the bound on changes that passes before a proxy hears of a revision:
// the longest interval between two heartbeats of its active relay, and their
// way.
constexpr base::Duration kHearingTime = std::chrono::milliseconds(750);

}  // namespace

void ProxyNode::OnConfig(const rpc::Envelope& envelope, const base::Now& now) {
  if (!parents_.AnswersLastResume(envelope)) {
    LogUpdateIgnored(envelope, parents_.ResumeNumber(envelope.from()));
    return;
  }
  const ResultCode code = envelope.has_snapshot()
                              ? config_.OnSnapshot(envelope.snapshot())
                              : config_.OnDelta(envelope.delta());
  const bool from_active = envelope.from() == parents_.Active();
  if (from_active) {
    parents_.RecordContact(envelope.from(), config_.State().Revision(),
                           base::Duration(0), now.mono_);
  }
  if (code == ResultCode::kRevisionOld) {
    return;
  }
  last_result_code_ = static_cast<uint32_t>(code);
  if (code != ResultCode::kOk) {
    LogEvent(EventId::kRevisionRefused,
             {{"from", envelope.from()},
              {"kind", UpdateKind(envelope)},
              {"kept", std::to_string(config_.State().Revision())},
              {"code", std::string(Describe(code).name_)}});
    if (from_active) {
      parents_.ForceResume();
    }
    return;
  }
  if (!from_active) {
    LogEvent(EventId::kPeerExchange,
             {{"from", envelope.from()},
              {"revision", std::to_string(config_.State().Revision())}});
  }
  OnRevisionApplied();
  LogApplied(envelope, now);
  UpdateCurrency(now);
}

void ProxyNode::OnRevisionApplied() {
  journal_dirty_ = true;
  ++view_version_;
  claims_.SetGroup(config_.State().Claims());
  UpdateQuotaLimits();
  for (const std::string& lifted : config_.State().LiftedFingerprints()) {
    quarantine_.erase(lifted);
  }
  lag_.Held(config_.State().Revision());
  authority_.OnHeld(config_.State().Revision());
  next_keepalive_ = base::MonoTime();
}

void ProxyNode::LogApplied(const rpc::Envelope& envelope,
                           const base::Now& now) const {
  const base::Duration waited = now.mono_ - last_resume_;
  LogEvent(EventId::kRevisionApplied,
           {{"revision", std::to_string(config_.State().Revision())},
            {"from", envelope.from()},
            {"kind", UpdateKind(envelope)},
            {"bytes", std::to_string(envelope.ByteSizeLong())},
            {"newest_known", std::to_string(parents_.HighestRevision())},
            {"resume", std::to_string(envelope.resume_number())},
            {"since_resume_ms",
             std::to_string(waited / std::chrono::milliseconds(1))}});
}

void ProxyNode::OnFloor(const rpc::Envelope& envelope, const base::Now& now) {
  parents_.RecordContact(envelope.from(), envelope.floor().relay_revision(),
                         base::Duration(0), now.mono_);
  lag_.Heard(envelope.floor().relay_revision(), now.boot_);
  LearnDepartures(envelope, now);
  if (floor_known_) {
    return;
  }
  config_.RaiseFloor(envelope.floor().revision());
  journal_dirty_ = true;
  floors_received_.insert(envelope.from());
  floor_known_ = envelope.floor().confirmed();
  const std::vector<std::string>& relays = parents_.Candidates();
  const bool complete = std::all_of(relays.begin(), relays.end(),
                                    [this](const std::string& relay) {
                                      return floors_received_.count(relay) != 0;
                                    });
  if (!unconfirmed_since_ && complete) {
    unconfirmed_since_ = now.mono_;
  }
}

void ProxyNode::AcceptUnconfirmedFloors(const base::Now& now) {
  if (floor_known_ || !unconfirmed_since_ ||
      now.mono_ - *unconfirmed_since_ < kUnconfirmedFloorDelay) {
    return;
  }
  floor_known_ = true;
  start_current_ = true;
  LogEvent(EventId::kFloorUnconfirmed,
           {{"floor", std::to_string(config_.Floor())},
            {"relays", std::to_string(floors_received_.size())}});
}

bool ProxyNode::AwaitsCurrency() const {
  return options_.apply_bound_.count() > 0 && !start_current_;
}

base::Duration ProxyNode::BehindFor(const base::Now& now) const {
  const std::optional<base::BootTime> since = lag_.Since();
  const bool reachable = parents_.AnyConnected(now.mono_);
  return since && reachable ? now.boot_ - *since : base::Duration(0);
}

void ProxyNode::UpdateCurrency(const base::Now& now) {
  if (options_.apply_bound_.count() == 0) {
    return;
  }
  const base::Duration tolerated =
      std::max(options_.apply_bound_ - kHearingTime, base::Duration(0));
  if (!start_current_ && floor_known_ && config_.MayServe()) {
    first_servable_ = first_servable_.value_or(now.mono_);
    start_current_ = now.boot_ - authority_.ConfirmedAt() < tolerated ||
                     now.mono_ - *first_servable_ >= kUnconfirmedFloorDelay;
  }
  const bool outdated = BehindFor(now) > tolerated;
  if (outdated == outdated_) {
    return;
  }
  outdated_ = outdated;
  const base::Duration behind = BehindFor(now);
  LogEvent(
      outdated ? EventId::kRevisionOutdated : EventId::kRevisionCurrent,
      {{"revision", std::to_string(config_.State().Revision())},
       {"newest_known", std::to_string(parents_.HighestRevision())},
       {"relay", parents_.Active()},
       {"behind_ms", std::to_string(behind / std::chrono::milliseconds(1))}});
}

void ProxyNode::OnPeerDigest(const rpc::Envelope& envelope,
                             const base::Now& now) {
  const rpc::PeerDigest& digest = envelope.peer_digest();
  if (digest.revision() >= config_.State().Revision()) {
    return;
  }
  rpc::Envelope& reply = outbox_.Add(options_.identity_.host_, envelope.from());
  rpc::ConfigDelta delta;
  if (config_.Deltas().Collect(digest.revision(), delta)) {
    *reply.mutable_delta() = std::move(delta);
  } else if (digest.reads_packed()) {
    *reply.mutable_snapshot() =
        peer_snapshots_.Get(config_.State(), config_.Deltas(), now);
  } else {
    *reply.mutable_snapshot() = config_.State().ToSnapshot();
  }
}

void ProxyNode::SendResumes(const base::Now& now) {
  const uint64_t revision = config_.State().Revision();
  for (const std::string& relay : parents_.DueResumes(revision, now.mono_)) {
    rpc::Resume& resume =
        *outbox_.Add(options_.identity_.host_, relay).mutable_resume();
    resume.set_role(rpc::NODE_ROLE_PROXY);
    resume.set_zone(options_.identity_.zone_);
    resume.set_revision(revision);
    resume.set_digest(config_.State().Digest());
    resume.set_standby(relay != parents_.Active());
    resume.set_number(parents_.ResumeNumber(relay));
    resume.set_needs_snapshot(config_.WasRefused());
    resume.set_registry_digest(registry_received_ ? endpoints_.Digest() : 0);
    if (!resume.standby()) {
      last_resume_ = now.mono_;
      LogResume(relay, resume);
    }
  }
}

}  // namespace buckthorngate::distribution
