// Log lines about changes of endpoint entries, for their hosts and for relays.
#ifndef SRC_REGISTRY_ENDPOINT_LOG_H_
#define SRC_REGISTRY_ENDPOINT_LOG_H_

#include <optional>

#include "base/events.h"
#include "mesh.pb.h"

namespace buckthorngate::registry {

// The event that stands for the entry's state and its cause.
base::EventId EventOf(const rpc::Endpoint& endpoint);

// Logs a changed entry. `before` is the entry that it replaces, if any. An
// entry that is only announced again, with a new sequence number, is marked.
void LogEndpointChange(const std::optional<rpc::Endpoint>& before,
                       const rpc::Endpoint& endpoint);

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_ENDPOINT_LOG_H_
