// Asks whether a process still listens.
#ifndef SRC_DAEMON_SOCKET_PROBE_H_
#define SRC_DAEMON_SOCKET_PROBE_H_

#include <string>

namespace buckthorngate::daemon {

// Connects and closes; sends nothing that an upstream could run. False only
// if the connection is refused.
bool AcceptsConnections(const std::string& address);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_SOCKET_PROBE_H_
