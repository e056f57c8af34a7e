// gRPC service for operators' tools, in front of the nodes of a daemon.
#ifndef SRC_RPC_CONTROL_SERVICE_H_
#define SRC_RPC_CONTROL_SERVICE_H_

#include <functional>
#include <memory>

#include "mesh.pb.h"

namespace grpc {
class Service;
}

namespace buckthorngate::rpc {

// Handlers of the service's calls; each may block.
struct ControlHandlers {
  std::function<PublishReply(const PublishRequest&)> publish_;
  std::function<QueryReply(const QueryRequest&)> query_;
  std::function<PublishReply(const MemberRequest&)> change_member_;
  std::function<PublishReply(const EvacuationOrder&)> order_evacuation_;
};

// Concurrent queries beyond this limit are refused with kOverloaded; commands
// are not limited here.
inline constexpr int kMaxConcurrentQueries = 16;

std::unique_ptr<grpc::Service> MakeControlService(ControlHandlers handlers);

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_CONTROL_SERVICE_H_
