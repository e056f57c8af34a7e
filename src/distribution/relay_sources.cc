// A relay: the configuration from the sources, and what their leader confirms.
#include <algorithm>

#include "distribution/relay_node.h"
#include "distribution/update_log.h"

namespace buckthorngate::distribution {
namespace {

// Whether a confirmation of `confirmed` includes `nonce`: both are of the same
// start of this relay, and `nonce` is not newer.
bool NonceCovered(uint64_t confirmed, uint64_t nonce) {
  const bool same_start =
      confirmed >> kRelayNonceCounterBits == nonce >> kRelayNonceCounterBits;
  return same_start && confirmed >= nonce;
}

}  // namespace

void RelayNode::OnConfig(const rpc::Envelope& envelope, const base::Now& now) {
  if (!parents_.AnswersLastResume(envelope)) {
    LogUpdateIgnored(envelope, parents_.ResumeNumber(envelope.from()));
    return;
  }
  const ResultCode code = envelope.has_snapshot()
                              ? config_.OnSnapshot(envelope.snapshot())
                              : config_.OnDelta(envelope.delta());
  parents_.RecordContact(envelope.from(), config_.State().Revision(),
                         base::Duration(0), now.mono_);
  if (code == ResultCode::kStorageFailed) {
    storage_failed_ = true;
    return;
  }
  if (code != ResultCode::kOk) {
    if (config_.NeedsResync() && envelope.from() == parents_.Active()) {
      parents_.ForceResume();
    }
    return;
  }
  journal_dirty_ = true;
  claims_.SetGroup(config_.State().Claims());
  UpdateQuotaLimits();
  quarantine_.Lift(config_.State().LiftedFingerprints());
  rpc::Ack& ack = *outbox_.Add(options_.id_, envelope.from()).mutable_ack();
  ack.set_revision(config_.State().Revision());
  ack.set_resume_number(parents_.ResumeNumber(envelope.from()));
}

void RelayNode::OnSourceHeartbeat(const rpc::Envelope& envelope,
                                  const base::Now& now) {
  const rpc::SourceHeartbeat& heartbeat = envelope.heartbeat();
  parents_.RecordContact(envelope.from(), heartbeat.revision(),
                         std::chrono::milliseconds(heartbeat.contact_age_ms()),
                         now.mono_);
  if (parents_.RecordSentUpdates(envelope.from(), heartbeat,
                                 config_.State().Revision(), now.mono_)) {
    LogUpdateLost(envelope, config_.State().Revision());
  }
  ConfirmFloors(heartbeat);
  ConfirmAuthority(heartbeat);
  if (hosts_.Update(heartbeat.members(), heartbeat.members_index())) {
    UpdateTopology();
  }
}

void RelayNode::ConfirmFloors(const rpc::SourceHeartbeat& heartbeat) {
  if (config_.State().Revision() < heartbeat.revision()) {
    return;
  }
  std::erase_if(unconfirmed_floors_, [&](const auto& item) {
    if (!NonceCovered(heartbeat.confirmed_nonce(), item.second)) {
      return false;
    }
    rpc::Floor& floor = *outbox_.Add(options_.id_, item.first).mutable_floor();
    floor.set_revision(config_.Floor());
    floor.set_relay_revision(config_.State().Revision());
    floor.set_confirmed(true);
    return true;
  });
}

void RelayNode::ConfirmAuthority(const rpc::SourceHeartbeat& heartbeat) {
  if (config_.State().Revision() < heartbeat.revision()) {
    return;
  }
  const auto covered = [&heartbeat](uint64_t nonce) {
    return NonceCovered(heartbeat.confirmed_nonce(), nonce);
  };
  for (const ConfirmedQuestion& question :
       authority_questions_.TakeConfirmed(covered)) {
    rpc::AuthorityLease& lease =
        *outbox_.Add(options_.id_, question.proxy_).mutable_authority_lease();
    lease.set_nonce(question.lease_nonce_);
    lease.set_revision(heartbeat.revision());
  }
}

void RelayNode::SendResumes(const base::Now& now) {
  const uint64_t revision = config_.State().Revision();
  for (const std::string& source : parents_.DueResumes(revision, now.mono_)) {
    rpc::Resume& resume = *outbox_.Add(options_.id_, source).mutable_resume();
    resume.set_role(rpc::NODE_ROLE_RELAY);
    resume.set_zone(options_.zone_);
    resume.set_revision(revision);
    resume.set_digest(config_.State().Digest());
    resume.set_has_disk(options_.has_disk_);
    resume.set_standby(source != parents_.Active());
    resume.set_number(parents_.ResumeNumber(source));
    resume.set_needs_snapshot(config_.WasRefused());
    if (!resume.standby()) {
      LogResume(source, resume);
    }
  }
  if (now.mono_ < next_keepalive_) {
    return;
  }
  authority_questions_.Expire(now.mono_);
  if (authority_questions_.NeedNonce()) {
    authority_questions_.AssignNonce(++nonce_);
  }
  last_source_ack_ = now.mono_;
  // While questions are open, the nonce is sent again, in case it was lost.
  next_keepalive_ =
      now.mono_ +
      (authority_questions_.Open() ? kQuestionAckInterval : kKeepaliveInterval);
  for (const std::string& source : sources_) {
    rpc::Ack& ack = *outbox_.Add(options_.id_, source).mutable_ack();
    ack.set_revision(revision);
    ack.set_nonce(nonce_);
    ack.set_standby(source != parents_.Active());
    ack.set_resume_number(parents_.ResumeNumber(source));
    ack.set_members_digest(hosts_.Digest());
  }
}

}  // namespace buckthorngate::distribution
