// Applies committed commands to the configuration and the audit trail.
#include "distribution/source_state.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/time.h"
#include "config/check.h"
#include "config/move_order.h"
#include "config/publication.h"
#include "config/routing.h"

namespace buckthorngate::distribution {
namespace {

std::string AuditActionOf(const rpc::MoveStep& step) {
  switch (step.phase()) {
    case rpc::MOVE_PHASE_DONE:
      return "move-done";
    case rpc::MOVE_PHASE_TAKEN_BACK:
      return "move-taken-back";
    default:
      return "move-step";
  }
}

}  // namespace

const rpc::PublicationOutcome* SourceState::FindOutcome(uint64_t number) const {
  const auto found = outcomes_.find(number);
  return found == outcomes_.end() ? nullptr : &found->second;
}

ResultCode SourceState::CheckNumber(const rpc::Publication& publication) const {
  const rpc::PublicationOutcome* earlier = FindOutcome(publication.number());
  if (earlier != nullptr) {
    return earlier->digest() == publication.digest()
               ? ResultCode::kOk
               : ResultCode::kNumberConflict;
  }
  if (publication.number() <= highest_number_) {
    return ResultCode::kNumberStale;
  }
  const std::vector<rpc::Service> services(publication.services().begin(),
                                           publication.services().end());
  const std::vector<std::string> lifted(publication.lift_fingerprints().begin(),
                                        publication.lift_fingerprints().end());
  if (config::PublicationDigest(services, lifted) != publication.digest()) {
    return ResultCode::kDigestMismatch;
  }
  return ResultCode::kOk;
}

ApplyResult SourceState::Apply(const rpc::LogEntry& entry) {
  ApplyResult applied;
  applied_index_ = entry.index();
  rpc::Command command;
  if (entry.kind() != rpc::ENTRY_KIND_COMMAND ||
      !command.ParseFromString(entry.payload())) {
    return applied;
  }
  switch (command.body_case()) {
    case rpc::Command::kPublish:
      ApplyPublish(command.publish(), entry.index(), applied);
      break;
    case rpc::Command::kMoveStep:
      ApplyMoveStep(command.move_step(), entry.index(), applied);
      break;
    case rpc::Command::kAudit:
      command.mutable_audit()->set_index(entry.index());
      AddAudit(std::move(*command.mutable_audit()));
      break;
    case rpc::Command::kClaimGroup:
      ApplyClaimGroup(command.claim_group(), entry.index(), applied);
      break;
    case rpc::Command::kRouting:
      ApplyRouting(command.routing(), entry.index(), applied);
      break;
    case rpc::Command::kMoveOrder:
      ApplyMoveOrder(command.move_order(), entry.index(), applied);
      break;
    case rpc::Command::kEvacuation:
      ApplyEvacuation(command.evacuation(), entry.index(), applied);
      break;
    case rpc::Command::BODY_NOT_SET:
      break;
  }
  return applied;
}

void SourceState::ApplyPublish(const rpc::PublishCommand& command,
                               uint64_t index,
                               ApplyResult& applied) {
  const rpc::Publication& publication = command.publication();
  rpc::PublicationOutcome outcome;
  outcome.set_number(publication.number());
  outcome.set_digest(publication.digest());
  ResultCode code = CheckNumber(publication);
  const rpc::PublicationOutcome* earlier = FindOutcome(publication.number());
  if (code == ResultCode::kOk && earlier != nullptr) {
    // The same publication, resent: return its first outcome.
    applied.outcome_ = *earlier;
    return;
  }
  if (code == ResultCode::kOk) {
    config::ConfigState next = config_;
    const tl::expected<void, config::Refusal> result = config::ApplyPublication(
        publication, base::FromUnixMs(command.proposed_ms()), next);
    if (result) {
      Commit(std::move(next), index, applied);
      outcome.set_revision(index);
      highest_number_ = publication.number();
      outcomes_[publication.number()] = outcome;
    } else {
      code = result.error().code_;
      applied.detail_ = result.error().detail_;
    }
  }
  outcome.set_result_code(static_cast<uint32_t>(code));
  applied.outcome_ = outcome;
  rpc::AuditRecord audit;
  audit.set_index(index);
  audit.set_at_ms(command.proposed_ms());
  audit.set_author(publication.author());
  audit.set_action(code == ResultCode::kOk ? "published" : "publish-refused");
  audit.set_number(publication.number());
  audit.set_digest(publication.digest());
  audit.set_result_code(static_cast<uint32_t>(code));
  audit.set_detail(code == ResultCode::kOk
                       ? std::to_string(publication.services_size()) +
                             " services"
                       : applied.detail_);
  AddAudit(std::move(audit));
  if (outcomes_.size() > kMaxOutcomes) {
    outcomes_.erase(outcomes_.begin());
  }
}

const rpc::RoutingOutcome* SourceState::FindRoutingOutcome(
    uint64_t digest) const {
  const auto found = routing_outcomes_.find(digest);
  return found == routing_outcomes_.end() ? nullptr : &found->second;
}

void SourceState::StoreRoutingOutcome(const rpc::RoutingOutcome& outcome) {
  routing_outcomes_[outcome.digest()] = outcome;
  routing_digests_.push_back(outcome.digest());
  if (routing_digests_.size() > kMaxOutcomes) {
    routing_outcomes_.erase(routing_digests_.front());
    routing_digests_.pop_front();
  }
}

void SourceState::ApplyRouting(const rpc::RoutingCommand& command,
                               uint64_t index,
                               ApplyResult& applied) {
  CommandOutcome& outcome = applied.routing_.emplace();
  // A resend has the same text on the same base. The same text on another base
  // is a new command, which may be stale.
  const uint64_t digest =
      base::Hash(std::to_string(command.base_number()), command.digest());
  const rpc::RoutingOutcome* earlier = FindRoutingOutcome(digest);
  if (earlier != nullptr) {
    // The same publication, resent: return its first outcome.
    outcome.revision_ = earlier->revision();
    return;
  }
  const rpc::Routing& routing = command.routing();
  config::ConfigState next = config_;
  const tl::expected<void, config::Refusal> result =
      config::ApplyRouting(command, next);
  rpc::AuditRecord audit;
  if (result) {
    Commit(std::move(next), index, applied);
    outcome.revision_ = index;
    routing_document_ = routing.document();
    rpc::RoutingOutcome accepted;
    accepted.set_digest(digest);
    accepted.set_number(routing.header().number());
    accepted.set_revision(index);
    StoreRoutingOutcome(accepted);
    audit.set_detail(std::to_string(routing.routes_size()) + " routes");
  } else {
    outcome.code_ = result.error().code_;
    outcome.detail_ = result.error().detail_;
    audit.set_detail(outcome.detail_);
  }
  audit.set_index(index);
  audit.set_at_ms(command.proposed_ms());
  audit.set_author(command.author());
  audit.set_action(result ? "routes-published" : "routes-refused");
  audit.set_number(routing.header().number());
  audit.set_digest(command.digest());
  audit.set_result_code(static_cast<uint32_t>(outcome.code_));
  AddAudit(std::move(audit));
}

void SourceState::ApplyMoveOrder(const rpc::MoveOrder& order,
                                 uint64_t index,
                                 ApplyResult& applied) {
  CommandOutcome& outcome = applied.order_.emplace();
  config::ConfigState next = config_;
  const tl::expected<void, config::Refusal> result =
      config::ApplyMoveOrder(order, next);
  const bool changed =
      result && next.Find(order.service()) != config_.Find(order.service());
  if (changed) {
    Commit(std::move(next), index, applied);
    outcome.revision_ = index;
  }
  if (!result) {
    outcome.code_ = result.error().code_;
    outcome.detail_ = result.error().detail_;
  }
  rpc::AuditRecord audit;
  audit.set_index(index);
  audit.set_at_ms(order.ordered_ms());
  audit.set_author(order.author());
  audit.set_action(result ? "move-ordered" : "move-order-refused");
  audit.set_result_code(static_cast<uint32_t>(outcome.code_));
  audit.set_detail(order.service() + " to " + order.to() +
                   (changed || !result ? "" : ", sent again"));
  AddAudit(std::move(audit));
}

void SourceState::ApplyMoveStep(const rpc::MoveStep& step,
                                uint64_t index,
                                ApplyResult& applied) {
  const config::ServicePtr service = config_.Find(step.service());
  const bool current = service != nullptr && service->has_move() &&
                       service->move().step() == step.expected_step() &&
                       service->move().to() == step.to();
  if (!current) {
    // The step was decided before a newer step or publication was applied.
    return;
  }
  rpc::ServiceState changed = *service;
  rpc::Move& move = *changed.mutable_move();
  move.set_phase(step.phase());
  move.set_share_permille(step.share_permille());
  move.set_reason(step.reason());
  move.set_changed_ms(step.at_ms());
  move.set_watch_open(step.watch_open());
  move.set_uncapped(step.uncapped());
  move.set_elapsed_ms(step.elapsed_ms());
  move.set_step(step.expected_step() + 1);
  applied.move_ = move;
  config::ConfigState next = config_;
  next.Put(std::move(changed));
  Commit(std::move(next), index, applied);
  rpc::AuditRecord audit;
  audit.set_index(index);
  audit.set_at_ms(step.at_ms());
  audit.set_author("controller");
  audit.set_action(AuditActionOf(step));
  audit.set_detail(step.service() + " to " + step.to() + ", share " +
                   std::to_string(step.share_permille()) +
                   " permille: " + step.reason());
  AddAudit(std::move(audit));
}

void SourceState::ApplyClaimGroup(const rpc::ClaimGroupChange& change,
                                  uint64_t index,
                                  ApplyResult& applied) {
  if (change.expected_epoch() != config_.Claims().epoch()) {
    return;
  }
  rpc::ClaimGroup group;
  group.set_epoch(change.expected_epoch() + 1);
  *group.mutable_members() = change.members();
  *group.mutable_previous() = config_.Claims().members();
  config::ConfigState next = config_;
  next.SetClaimGroup(std::move(group));
  Commit(std::move(next), index, applied);
  rpc::AuditRecord audit;
  audit.set_index(index);
  audit.set_at_ms(change.at_ms());
  audit.set_author("controller");
  audit.set_action("claim-group");
  for (const rpc::ClaimMember& member : change.members()) {
    audit.set_detail(audit.detail() + member.relay() + " ");
  }
  AddAudit(std::move(audit));
}

void SourceState::Commit(config::ConfigState next,
                         uint64_t index,
                         ApplyResult& applied) {
  next.SetRevision(index);
  deltas_.Add(config::MakeDelta(config_, next));
  config_ = std::move(next);
  applied.config_changed_ = true;
}

void SourceState::AddAudit(rpc::AuditRecord record) {
  audit_.push_back(std::move(record));
  if (audit_.size() > kMaxAuditRecords) {
    audit_.pop_front();
  }
}

std::string SourceState::Save() const {
  rpc::SourceState state;
  *state.mutable_config() = config_.ToSnapshot();
  state.set_applied_index(applied_index_);
  state.set_highest_number(highest_number_);
  for (const auto& [number, outcome] : outcomes_) {
    *state.add_outcomes() = outcome;
  }
  state.set_routing_document(routing_document_);
  for (const uint64_t digest : routing_digests_) {
    *state.add_routing_outcomes() = routing_outcomes_.at(digest);
  }
  for (const rpc::AuditRecord& record : audit_) {
    *state.add_audit() = record;
  }
  return state.SerializeAsString();
}

bool SourceState::Restore(const std::string& bytes) {
  rpc::SourceState state;
  if (!state.ParseFromString(bytes)) {
    return false;
  }
  SourceState restored;
  if (restored.config_.ApplySnapshot(state.config()) != ResultCode::kOk) {
    return false;
  }
  restored.applied_index_ = state.applied_index();
  restored.highest_number_ = state.highest_number();
  for (const rpc::PublicationOutcome& outcome : state.outcomes()) {
    restored.outcomes_[outcome.number()] = outcome;
  }
  restored.routing_document_ = state.routing_document();
  for (const rpc::RoutingOutcome& outcome : state.routing_outcomes()) {
    restored.StoreRoutingOutcome(outcome);
  }
  restored.audit_.assign(state.audit().begin(), state.audit().end());
  config_ = std::move(restored.config_);
  deltas_.Clear();
  outcomes_ = std::move(restored.outcomes_);
  highest_number_ = restored.highest_number_;
  routing_document_ = std::move(restored.routing_document_);
  routing_outcomes_ = std::move(restored.routing_outcomes_);
  routing_digests_ = std::move(restored.routing_digests_);
  audit_ = std::move(restored.audit_);
  applied_index_ = restored.applied_index_;
  return true;
}

}  // namespace buckthorngate::distribution
