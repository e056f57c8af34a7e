// Operators' commands to this daemon's source: starts them on the source's
// loop and waits for their results.
#ifndef SRC_DAEMON_SOURCE_COMMANDS_H_
#define SRC_DAEMON_SOURCE_COMMANDS_H_

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/control_api.h"
#include "daemon/control_metrics.h"
#include "daemon/node_loop.h"
#include "distribution/source_node.h"

namespace buckthorngate::daemon {

// Safe for concurrent use, but for Complete.
class SourceCommands {
 public:
  // All must outlive it.
  SourceCommands(NodeLoop& loop,
                 distribution::SourceNode& node,
                 ControlMetrics& numbers);

  rpc::PublishReply Publish(const rpc::Publication& publication);
  rpc::PublishReply PublishRouting(const rpc::RoutingCommand& command);
  rpc::PublishReply OrderMove(const rpc::MoveOrder& order);
  RoutingReport ReadRouting();
  MoveReport ReadMove(const std::string& service);

  // Hands over results. On the source's loop, after each flush.
  void Complete();

 private:
  // Starts a command, which returns its ticket, and waits for its result.
  rpc::PublishReply Run(std::function<uint64_t(const base::Now&)> start);

  // Confirms this source for a read; a refusal has a line in the log.
  rpc::PublishReply ConfirmRead(std::string_view what);

  NodeLoop& loop_;
  distribution::SourceNode& node_;
  ControlMetrics& numbers_;
  // By ticket; used on the source's loop only.
  std::map<uint64_t, std::shared_ptr<std::promise<rpc::PublishReply>>> waiting_;
};

// A failure that was found before any source was asked.
rpc::PublishReply MakeFailure(ResultCode code);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_SOURCE_COMMANDS_H_
