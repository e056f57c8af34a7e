// Runs operator commands on this daemon's source: starts them on the source's
// loop and blocks until their results are known.
#ifndef SRC_DAEMON_CONTROL_SOURCE_COMMANDS_H_
#define SRC_DAEMON_CONTROL_SOURCE_COMMANDS_H_

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/control/control_api.h"
#include "daemon/control/control_metrics.h"
#include "daemon/control/node_loop.h"
#include "distribution/source_node.h"

namespace buckthorngate::daemon::control {

// Safe for concurrent use, except for DeliverResults.
class SourceCommands {
 public:
  // All references must outlive this object.
  SourceCommands(NodeLoop& loop,
                 distribution::SourceNode& node,
                 ControlMetrics& metrics);

  rpc::PublishReply Publish(const rpc::Publication& publication);
  rpc::PublishReply PublishRouting(const rpc::RoutingCommand& command);
  rpc::PublishReply OrderMove(const rpc::MoveOrder& order);
  rpc::PublishReply OrderEvacuation(const rpc::EvacuationOrder& order);
  RoutingReport ReadRouting();
  MoveReport ReadMove(const std::string& service);

  // Passes results from the node to the waiting commands. Called on the
  // source's loop after each flush.
  void DeliverResults();

 private:
  // Runs `start`, which starts a command on the node and returns its ticket,
  // and waits for the result; kOutcomeUnknown after a timeout.
  rpc::PublishReply RunCommand(std::function<uint64_t(const base::Now&)> start);

  // Confirms that this source is the leader, as needed for a linearizable read;
  // logs a failure. `what` names the read in the log.
  rpc::PublishReply ConfirmRead(std::string_view what);

  NodeLoop& loop_;
  distribution::SourceNode& node_;
  ControlMetrics& metrics_;
  // Commands in progress by ticket; used on the source's loop only.
  std::map<uint64_t, std::shared_ptr<std::promise<rpc::PublishReply>>> pending_;
};

// A failed reply with the code's message.
rpc::PublishReply MakeFailure(ResultCode code);

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_SOURCE_COMMANDS_H_
