// Log lines about changes of endpoint entries, for their hosts and for relays.
#ifndef SRC_REGISTRY_ENDPOINT_LOG_H_
#define SRC_REGISTRY_ENDPOINT_LOG_H_

#include <optional>
#include <string>

#include "base/events.h"
#include "mesh.pb.h"

namespace buckthorngate::registry {

// The event that stands for the entry's state and its cause.
base::EventId EventOf(const rpc::Endpoint& endpoint);

// Logs a changed entry. `before` is the entry that it replaces, if any: one
// with the same state was only announced again. `via` sent it to this process;
// empty: the process itself changed the entry.
void LogEndpointChange(const std::optional<rpc::Endpoint>& before,
                       const rpc::Endpoint& endpoint,
                       const std::string& via = {});

}  // namespace buckthorngate::registry

#endif  // SRC_REGISTRY_ENDPOINT_LOG_H_
