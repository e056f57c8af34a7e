// A source: operators' commands, reads, membership changes and queries.
#include <utility>

#include "base/events.h"
#include "distribution/source_node.h"
#include "membership/node_id.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

constexpr uint32_t kDefaultAuditLimit = 100;

rpc::PublishReply MakeReply(ResultCode code,
                            uint64_t revision,
                            const std::string& detail) {
  rpc::PublishReply reply;
  reply.set_result_code(static_cast<uint32_t>(code));
  std::string message(Describe(code).message_);
  if (!detail.empty()) {
    message += " (" + detail + ")";
  }
  reply.set_message(message);
  reply.set_revision(revision);
  return reply;
}

}  // namespace

bool SourceNode::AcceptOrRefuse(uint64_t ticket) {
  PublishResult result;
  result.ticket_ = ticket;
  if (!raft_->CanServe()) {
    result.reply_ = MakeReply(ResultCode::kNotLeader, 0, "");
    result.reply_.set_leader(AddressOf(raft_->LeaderId()));
  } else if (pending_.size() >= kMaxPendingCommands) {
    result.reply_ = MakeReply(ResultCode::kOverloaded, 0, "");
  } else {
    return true;
  }
  results_.push_back(std::move(result));
  return false;
}

uint64_t SourceNode::ProposeFor(uint64_t ticket, const rpc::Command& command) {
  const tl::expected<uint64_t, ResultCode> index =
      raft_->Propose(command.SerializeAsString());
  pending_[*index] = {ticket, raft_->Term()};
  return ticket;
}

uint64_t SourceNode::Publish(const rpc::Publication& publication,
                             const base::Now& now) {
  const uint64_t ticket = next_ticket_++;
  if (!AcceptOrRefuse(ticket)) {
    return ticket;
  }
  rpc::Command command;
  *command.mutable_publish()->mutable_publication() = publication;
  command.mutable_publish()->set_proposed_ms(
      base::ToUnixMs(raft_->MedianClock(now)));
  return ProposeFor(ticket, command);
}

uint64_t SourceNode::PublishRouting(rpc::RoutingCommand routing,
                                    const base::Now& now) {
  const uint64_t ticket = next_ticket_++;
  if (!AcceptOrRefuse(ticket)) {
    return ticket;
  }
  routing.set_proposed_ms(base::ToUnixMs(raft_->MedianClock(now)));
  rpc::Command command;
  *command.mutable_routing() = std::move(routing);
  return ProposeFor(ticket, command);
}

uint64_t SourceNode::OrderMove(rpc::MoveOrder order, const base::Now& now) {
  const uint64_t ticket = next_ticket_++;
  if (!AcceptOrRefuse(ticket)) {
    return ticket;
  }
  order.set_from(CurrentVersion(order.service(), order.to()));
  order.set_ordered_ms(base::ToUnixMs(raft_->MedianClock(now)));
  order.set_since_step_ms(controller_.SinceStep(order.service(), now.mono_) /
                          std::chrono::milliseconds(1));
  rpc::Command command;
  *command.mutable_move_order() = std::move(order);
  return ProposeFor(ticket, command);
}

std::string SourceNode::CurrentVersion(const std::string& service,
                                       const std::string& to) const {
  std::map<std::string, int> endpoints;
  for (const rpc::Endpoint& endpoint : endpoints_.LiveOfService(service)) {
    if (endpoint.version() != to) {
      ++endpoints[endpoint.version()];
    }
  }
  const auto most = std::max_element(
      endpoints.begin(), endpoints.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == endpoints.end() ? std::string() : most->first;
}

uint64_t SourceNode::ConfirmRead(const base::Now& now) {
  const uint64_t ticket = next_ticket_++;
  if (AcceptOrRefuse(ticket)) {
    reads_.push_back({ticket, now.mono_});
  }
  return ticket;
}

void SourceNode::AnswerReads(const base::Now& now) {
  if (reads_.empty()) {
    return;
  }
  const bool serves = raft_->CanServe();
  const base::MonoTime contact = raft_->MajorityContact(now);
  std::erase_if(reads_, [&](const PendingRead& read) {
    if (serves && (contact < read.arrived_ || !AppliedAll())) {
      return false;
    }
    PublishResult result;
    result.ticket_ = read.ticket_;
    result.reply_ = MakeReply(serves ? ResultCode::kOk : ResultCode::kNotLeader,
                              state_.Config().Revision(), "");
    results_.push_back(std::move(result));
    return true;
  });
}

std::vector<PublishResult> SourceNode::TakePublishResults() {
  return std::exchange(results_, {});
}

void SourceNode::AnswerPublication(const rpc::LogEntry& entry,
                                   const ApplyResult& applied) {
  const ResultCode code = ResultCodeFromNumber(applied.outcome_->result_code());
  if (leading_) {
    LogEvent(code == ResultCode::kOk ? EventId::kPublicationAccepted
                                     : EventId::kPublicationRefused,
             {{"number", std::to_string(applied.outcome_->number())},
              {"code", std::string(Describe(code).name_)},
              {"detail", applied.detail_}});
  }
  AnswerPending(entry, {code, applied.outcome_->revision(), applied.detail_});
}

void SourceNode::AnswerRouting(const rpc::LogEntry& entry,
                               const CommandOutcome& outcome) {
  if (leading_) {
    LogEvent(outcome.code_ == ResultCode::kOk ? EventId::kRoutingAccepted
                                              : EventId::kRoutingRefused,
             {{"revision", std::to_string(outcome.revision_)},
              {"current", std::to_string(state_.Config().Routing().number())},
              {"code", std::string(Describe(outcome.code_).name_)},
              {"detail", outcome.detail_}});
  }
  AnswerPending(entry, outcome);
}

void SourceNode::AnswerOrder(const rpc::LogEntry& entry,
                             const CommandOutcome& outcome) {
  if (leading_) {
    LogEvent(EventId::kMoveOrdered,
             {{"revision", std::to_string(outcome.revision_)},
              {"code", std::string(Describe(outcome.code_).name_)},
              {"detail", outcome.detail_}});
  }
  AnswerPending(entry, outcome);
}

void SourceNode::AnswerPending(const rpc::LogEntry& entry,
                               const CommandOutcome& outcome) {
  const auto found = pending_.find(entry.index());
  if (found == pending_.end()) {
    return;
  }
  PublishResult result;
  result.ticket_ = found->second.ticket_;
  // Another leader's entry replaced the proposed one at this index.
  const bool replaced = found->second.term_ != entry.term();
  result.reply_ =
      replaced ? MakeReply(ResultCode::kOutcomeUnknown, 0, "")
               : MakeReply(outcome.code_, outcome.revision_, outcome.detail_);
  pending_.erase(found);
  results_.push_back(std::move(result));
}

void SourceNode::FailPending(ResultCode code) {
  for (const auto& [index, pending] : pending_) {
    PublishResult result;
    result.ticket_ = pending.ticket_;
    result.reply_ = MakeReply(code, 0, "");
    results_.push_back(std::move(result));
  }
  pending_.clear();
}

std::string SourceNode::AddressOf(const std::string& member) const {
  for (const rpc::Member& known : raft_->CurrentMembership().members()) {
    if (known.id() == member) {
      return known.address();
    }
  }
  return membership::AddressOfNode(member);
}

void SourceNode::ProposeAudit(const std::string& author,
                              const std::string& action,
                              const std::string& detail,
                              ResultCode code,
                              const base::Now& now) {
  rpc::Command command;
  rpc::AuditRecord& record = *command.mutable_audit();
  record.set_author(author);
  record.set_action(action);
  record.set_detail(detail);
  record.set_result_code(static_cast<uint32_t>(code));
  record.set_at_ms(base::ToUnixMs(raft_->MedianClock(now)));
  Propose(command);
}

rpc::PublishReply SourceNode::ChangeMember(const rpc::MemberRequest& request,
                                           const base::Now& now) {
  const bool add = request.action() == rpc::MemberRequest::ADD;
  const ResultCode code = add ? raft_->AddLearner(request.member())
                              : raft_->RemoveMember(request.member().id());
  ProposeAudit(request.author(), add ? "member-add" : "member-remove",
               request.member().id() + " " + request.member().address(), code,
               now);
  rpc::PublishReply reply = MakeReply(code, 0, "");
  if (code == ResultCode::kNotLeader) {
    reply.set_leader(AddressOf(raft_->LeaderId()));
  }
  return reply;
}

rpc::QueryReply SourceNode::Query(const rpc::QueryRequest& request,
                                  const base::Now& now) const {
  rpc::QueryReply reply;
  reply.set_node(options_.id_);
  reply.set_leader(raft_->LeaderId());
  reply.set_term(raft_->Term());
  reply.set_commit(raft_->CommitIndex());
  reply.set_revision(state_.Config().Revision());
  reply.set_contact_age_ms(raft_->ContactAge(now) /
                           std::chrono::milliseconds(1));
  for (const auto& [relay, zone] : zone_reports_) {
    *reply.add_zones() = zone.ack_;
  }
  switch (request.kind()) {
    case rpc::QueryRequest::CONFIG:
      *reply.mutable_config() = state_.Config().ToSnapshot();
      break;
    case rpc::QueryRequest::AUDIT: {
      const size_t limit =
          request.limit() == 0 ? kDefaultAuditLimit : request.limit();
      const size_t skip =
          state_.Audit().size() > limit ? state_.Audit().size() - limit : 0;
      for (size_t i = skip; i < state_.Audit().size(); ++i) {
        *reply.add_audit() = state_.Audit()[i];
      }
      break;
    }
    case rpc::QueryRequest::MOVES:
      for (const rollout::MoveStatus& status :
           controller_.Status(state_.Config())) {
        rpc::MoveView& view = *reply.add_moves();
        *view.mutable_move() = status.move_;
        view.set_forecast(status.hold_reason_);
        for (const rpc::RouteEvidence& evidence : status.evidence_) {
          *view.add_evidence() = evidence;
        }
      }
      break;
    case rpc::QueryRequest::ROUTING:
      reply.set_routing_document(state_.RoutingDocument());
      reply.set_routing_number(state_.Config().Routing().number());
      break;
    case rpc::QueryRequest::EVACUATIONS:
      for (const auto& [zone, evacuation] : state_.Config().Evacuations()) {
        *reply.add_evacuations() = *evacuation;
      }
      break;
    case rpc::QueryRequest::ENDPOINTS:
      for (rpc::Endpoint& endpoint : endpoints_.Live()) {
        *reply.add_endpoints() = std::move(endpoint);
      }
      break;
    default:
      break;
  }
  *reply.mutable_membership() = raft_->CurrentMembership();
  return reply;
}

}  // namespace buckthorngate::distribution
