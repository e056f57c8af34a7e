// moves: progress of moves between versions.
#include <google/protobuf/util/json_util.h>

#include <iostream>
#include <string>
#include <thread>

#include "cli/commands.h"
#include "mesh.pb.h"

namespace buckthorngate::cli {
namespace {

constexpr std::chrono::milliseconds kWatchInterval{500};

const char* PhaseName(rpc::MovePhase phase) {
  switch (phase) {
    case rpc::MOVE_PHASE_WAITING:
      return "waiting";
    case rpc::MOVE_PHASE_CANARY:
      return "canary";
    case rpc::MOVE_PHASE_RAMPING:
      return "ramping";
    case rpc::MOVE_PHASE_DONE:
      return "done";
    case rpc::MOVE_PHASE_TAKEN_BACK:
      return "taken back";
    default:
      return "withdrawn";
  }
}

std::string Sentence(const rpc::MoveView& view) {
  const rpc::Move& move = view.move();
  std::string text = move.service() + ": " + move.from() + " -> " + move.to() +
                     ", " + PhaseName(move.phase()) + ", share " +
                     std::to_string(move.share_permille() / 10) + "." +
                     std::to_string(move.share_permille() % 10) +
                     " %, last step: " + move.reason();
  if (!view.forecast().empty()) {
    text += "; now: " + view.forecast();
  }
  if (move.phase() == rpc::MOVE_PHASE_DONE) {
    text += move.watch_open()
                ? "; keep endpoints of " + move.from() + " until the watch ends"
                : "; can no longer go back";
  }
  return text;
}

void PrintEvidence(const rpc::MoveView& view) {
  for (const rpc::RouteEvidence& evidence : view.evidence()) {
    if (evidence.calls() == 0) {
      continue;
    }
    std::cout << "    route " << evidence.route() << " " << evidence.version()
              << ": " << evidence.calls() << " calls, " << evidence.failures()
              << " failures\n";
  }
}

struct Summary {
  bool open_ = false;
  bool taken_back_ = false;
};

Summary Summarize(const rpc::QueryReply& reply) {
  Summary summary;
  for (const rpc::MoveView& view : reply.moves()) {
    const rpc::MovePhase phase = view.move().phase();
    summary.open_ |= phase == rpc::MOVE_PHASE_WAITING ||
                     phase == rpc::MOVE_PHASE_CANARY ||
                     phase == rpc::MOVE_PHASE_RAMPING;
    summary.taken_back_ |= phase == rpc::MOVE_PHASE_TAKEN_BACK;
  }
  return summary;
}

void Print(const Options& options, const rpc::QueryReply& reply) {
  if (options.json_) {
    google::protobuf::util::JsonPrintOptions json;
    json.preserve_proto_field_names = true;
    json.always_print_primitive_fields = true;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(reply, &text, json);
    std::cout << text << "\n";
    return;
  }
  for (const rpc::MoveView& view : reply.moves()) {
    std::cout << Sentence(view) << "\n";
    PrintEvidence(view);
  }
}

}  // namespace

int Moves(const Options& options) {
  const std::unique_ptr<ControlClient> client = options.Connect();
  rpc::QueryRequest request;
  request.set_kind(rpc::QueryRequest::MOVES);
  std::string shown;
  while (true) {
    const tl::expected<rpc::QueryReply, ResultCode> reply =
        client->QueryLeader(request);
    if (!reply) {
      return ReportFailure(reply.error());
    }
    std::string state;
    for (const rpc::MoveView& view : reply->moves()) {
      state += Sentence(view);
    }
    if (state != shown) {
      Print(options, *reply);
      shown = state;
    }
    const Summary summary = Summarize(*reply);
    if (!options.watch_ || !summary.open_) {
      return summary.taken_back_ ? kExitTakenBack : kExitOk;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace buckthorngate::cli
