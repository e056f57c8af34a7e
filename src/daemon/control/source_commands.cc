// Operator commands on this daemon's source.
#include "daemon/control/source_commands.h"

#include <utility>

#include "base/events.h"

namespace buckthorngate::daemon::control {
namespace {

constexpr std::chrono::seconds kCommandTimeout{5};

}  // namespace

rpc::PublishReply MakeFailure(ResultCode code) {
  rpc::PublishReply failure;
  failure.set_result_code(static_cast<uint32_t>(code));
  failure.set_message(std::string(Describe(code).message_));
  return failure;
}

SourceCommands::SourceCommands(NodeLoop& loop,
                               distribution::SourceNode& node,
                               ControlMetrics& metrics)
    : loop_(loop), node_(node), metrics_(metrics) {}

void SourceCommands::DeliverResults() {
  for (distribution::PublishResult& result : node_.TakePublishResults()) {
    const auto found = pending_.find(result.ticket_);
    if (found != pending_.end()) {
      found->second->set_value(std::move(result.reply_));
      pending_.erase(found);
    }
  }
}

rpc::PublishReply SourceCommands::RunCommand(
    std::function<uint64_t(const base::Now&)> start) {
  std::shared_ptr<std::promise<rpc::PublishReply>> promise =
      std::make_shared<std::promise<rpc::PublishReply>>();
  std::future<rpc::PublishReply> reply = promise->get_future();
  loop_.PostTask([this, start = std::move(start), promise](
                     const base::Now& now) { pending_[start(now)] = promise; });
  if (reply.wait_for(kCommandTimeout) != std::future_status::ready) {
    return MakeFailure(ResultCode::kOutcomeUnknown);
  }
  return reply.get();
}

rpc::PublishReply SourceCommands::Publish(const rpc::Publication& publication) {
  return RunCommand([this, publication](const base::Now& now) {
    return node_.Publish(publication, now);
  });
}

rpc::PublishReply SourceCommands::PublishRouting(
    const rpc::RoutingCommand& command) {
  return RunCommand([this, command](const base::Now& now) {
    return node_.PublishRouting(command, now);
  });
}

rpc::PublishReply SourceCommands::OrderMove(const rpc::MoveOrder& order) {
  return RunCommand([this, order](const base::Now& now) {
    return node_.OrderMove(order, now);
  });
}

rpc::PublishReply SourceCommands::OrderEvacuation(
    const rpc::EvacuationOrder& order) {
  return RunCommand([this, order](const base::Now& now) {
    return node_.OrderEvacuation(order, now);
  });
}

rpc::PublishReply SourceCommands::ConfirmRead(std::string_view what) {
  const base::MonoTime started = base::MonoNow();
  rpc::PublishReply confirmed = RunCommand(
      [this](const base::Now& now) { return node_.ConfirmRead(now); });
  const ResultCode code = ResultCodeFromNumber(confirmed.result_code());
  metrics_.CountRead(code);
  if (code != ResultCode::kOk) {
    const base::MonoTime now = base::MonoNow();
    base::LogEvent(
        base::EventId::kReadRefused,
        {{"what", std::string(what)},
         {"code", std::string(Describe(code).name_)},
         {"leader", confirmed.leader()},
         {"contact_age_ms", std::to_string(metrics_.ContactAge(now) /
                                           std::chrono::milliseconds(1))},
         {"waited_us", std::to_string((now - started).count())}});
  }
  return confirmed;
}

RoutingReport SourceCommands::ReadRouting() {
  const rpc::PublishReply confirmed = ConfirmRead("routes");
  RoutingReport report;
  report.code_ = ResultCodeFromNumber(confirmed.result_code());
  report.leader_ = confirmed.leader();
  if (report.code_ == ResultCode::kOk) {
    loop_.RunAndWait([this, &report](const base::Now&) {
      report.number_ = node_.State().Config().Routing().number();
      report.document_ = node_.State().RoutingDocument();
    });
  }
  return report;
}

MoveReport SourceCommands::ReadMove(const std::string& service) {
  const rpc::PublishReply confirmed = ConfirmRead("move of " + service);
  MoveReport report;
  report.code_ = ResultCodeFromNumber(confirmed.result_code());
  report.leader_ = confirmed.leader();
  if (report.code_ != ResultCode::kOk) {
    return report;
  }
  loop_.RunAndWait([this, &service, &report](const base::Now&) {
    const config::ServicePtr state = node_.State().Config().Find(service);
    if (state == nullptr || !state->has_move()) {
      return;
    }
    const rpc::Move& move = state->move();
    report.to_ = move.to();
    if (move.phase() == rpc::MOVE_PHASE_TAKEN_BACK ||
        move.phase() == rpc::MOVE_PHASE_WITHDRAWN) {
      report.progress_ = MoveProgress::kRolledBack;
    } else {
      report.progress_ = move.phase() == rpc::MOVE_PHASE_DONE
                             ? MoveProgress::kDone
                             : MoveProgress::kRunning;
    }
  });
  return report;
}

}  // namespace buckthorngate::daemon::control
