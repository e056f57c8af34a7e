// A source: orders to evacuate an availability zone, from the operator's call
// to the replicated state.
#include <algorithm>
#include <utility>

#include "base/events.h"
#include "config/evacuation.h"
#include "distribution/source_node.h"

namespace buckthorngate::distribution {

uint64_t SourceNode::OrderEvacuation(rpc::EvacuationOrder order,
                                     const base::Now& now) {
  const uint64_t ticket = next_ticket_++;
  if (!AcceptOrRefuse(ticket)) {
    return ticket;
  }
  const bool known = options_.zones_.empty() ||
                     std::find(options_.zones_.begin(), options_.zones_.end(),
                               order.zone()) != options_.zones_.end();
  if (!known || !config::IsZoneName(order.zone())) {
    const ResultCode code = ResultCode::kUnknownZone;
    ProposeAudit(order.author(), "evacuation-order-refused",
                 order.zone().substr(0, config::kMaxZoneNameBytes), code, now);
    PublishResult result;
    result.ticket_ = ticket;
    result.reply_.set_result_code(static_cast<uint32_t>(code));
    result.reply_.set_message(std::string(Describe(code).message_));
    results_.push_back(std::move(result));
    return ticket;
  }
  order.set_ordered_ms(base::ToUnixMs(raft_->MedianClock(now)));
  rpc::Command command;
  *command.mutable_evacuation() = std::move(order);
  return ProposeFor(ticket, command);
}

void SourceNode::AnswerEvacuation(const rpc::LogEntry& entry,
                                  const CommandOutcome& outcome) {
  if (leading_) {
    base::LogEvent(base::EventId::kEvacuationOrdered,
                   {{"revision", std::to_string(outcome.revision_)},
                    {"code", std::string(Describe(outcome.code_).name_)},
                    {"detail", outcome.detail_}});
  }
  AnswerPending(entry, outcome);
}

void SourceState::ApplyEvacuation(const rpc::EvacuationOrder& order,
                                  uint64_t index,
                                  ApplyResult& applied) {
  CommandOutcome& outcome = applied.evacuation_.emplace();
  config::ConfigState next = config_;
  const tl::expected<void, config::Refusal> result =
      config::ApplyEvacuationOrder(order, next);
  std::string action = "evacuation-order-refused";
  if (result) {
    action = order.start() ? "evacuation-started" : "evacuation-ended";
    Commit(std::move(next), index, applied);
    outcome.revision_ = index;
    outcome.detail_ = order.zone() + (order.start() ? " start" : " end");
  } else {
    outcome.code_ = result.error().code_;
    outcome.detail_ = result.error().detail_;
  }
  rpc::AuditRecord audit;
  audit.set_index(index);
  audit.set_at_ms(order.ordered_ms());
  audit.set_author(order.author());
  audit.set_action(action);
  audit.set_result_code(static_cast<uint32_t>(outcome.code_));
  audit.set_detail(order.zone() + (order.start() ? " start" : " end"));
  AddAudit(std::move(audit));
}

}  // namespace buckthorngate::distribution
