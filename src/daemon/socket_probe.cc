// Asks whether a process still listens.
#include "daemon/socket_probe.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>

#include "daemon/settings.h"

namespace buckthorngate::daemon {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{200};

}  // namespace

bool AcceptsConnections(const std::string& address) {
  sockaddr_in remote = {};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(static_cast<uint16_t>(PortOf(address)));
  inet_pton(AF_INET, HostOf(address).c_str(), &remote.sin_addr);
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (file < 0) {
    return true;
  }
  timeval timeout = {};
  timeout.tv_usec = std::chrono::microseconds(kProbeTimeout).count();
  setsockopt(file, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const int connected =
      connect(file, reinterpret_cast<sockaddr*>(&remote), sizeof(remote));
  const bool refused = connected != 0 && errno == ECONNREFUSED;
  close(file);
  return !refused;
}

}  // namespace buckthorngate::daemon
