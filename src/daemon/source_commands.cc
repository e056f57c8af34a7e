// Operators' commands to this daemon's source.
#include "daemon/source_commands.h"

#include <utility>

#include "base/events.h"

namespace buckthorngate::daemon {
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
                               ControlMetrics& numbers)
    : loop_(loop), node_(node), numbers_(numbers) {}

void SourceCommands::Complete() {
  for (distribution::PublishResult& result : node_.TakePublishResults()) {
    const auto found = waiting_.find(result.ticket_);
    if (found != waiting_.end()) {
      found->second->set_value(std::move(result.reply_));
      waiting_.erase(found);
    }
  }
}

rpc::PublishReply SourceCommands::Run(
    std::function<uint64_t(const base::Now&)> start) {
  std::shared_ptr<std::promise<rpc::PublishReply>> promise =
      std::make_shared<std::promise<rpc::PublishReply>>();
  std::future<rpc::PublishReply> reply = promise->get_future();
  loop_.Run([this, start = std::move(start), promise](const base::Now& now) {
    waiting_[start(now)] = promise;
  });
  if (reply.wait_for(kCommandTimeout) != std::future_status::ready) {
    return MakeFailure(ResultCode::kOutcomeUnknown);
  }
  return reply.get();
}

rpc::PublishReply SourceCommands::Publish(const rpc::Publication& publication) {
  return Run([this, publication](const base::Now& now) {
    return node_.Publish(publication, now);
  });
}

rpc::PublishReply SourceCommands::PublishRouting(
    const rpc::RoutingCommand& command) {
  return Run([this, command](const base::Now& now) {
    return node_.PublishRouting(command, now);
  });
}

rpc::PublishReply SourceCommands::OrderMove(const rpc::MoveOrder& order) {
  return Run([this, order](const base::Now& now) {
    return node_.OrderMove(order, now);
  });
}

rpc::PublishReply SourceCommands::ConfirmRead(std::string_view what) {
  const base::MonoTime came = base::MonoNow();
  rpc::PublishReply confirmed =
      Run([this](const base::Now& now) { return node_.ConfirmRead(now); });
  const ResultCode code = ResultCodeFromNumber(confirmed.result_code());
  numbers_.CountRead(code);
  if (code != ResultCode::kOk) {
    const base::MonoTime now = base::MonoNow();
    base::LogEvent(
        base::EventId::kReadRefused,
        {{"what", std::string(what)},
         {"code", std::string(Describe(code).name_)},
         {"leader", confirmed.leader()},
         {"contact_age_ms", std::to_string(numbers_.ContactAge(now) /
                                           std::chrono::milliseconds(1))},
         {"waited_us", std::to_string((now - came).count())}});
  }
  return confirmed;
}

RoutingReport SourceCommands::ReadRouting() {
  const rpc::PublishReply confirmed = ConfirmRead("routes");
  RoutingReport text;
  text.code_ = ResultCodeFromNumber(confirmed.result_code());
  text.leader_ = confirmed.leader();
  if (text.code_ == ResultCode::kOk) {
    loop_.RunAndWait([this, &text](const base::Now&) {
      text.number_ = node_.State().Config().Routing().number();
      text.document_ = node_.State().RoutingDocument();
    });
  }
  return text;
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

}  // namespace buckthorngate::daemon
