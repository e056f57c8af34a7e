// Ports on loopback.
#include "loopback_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace buckthorngate::tests {
namespace {

// A bound socket; throws if there is no port.
int BindAnywhere(int& port) {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(file, generic, size) != 0 ||
      getsockname(file, generic, &size) != 0) {
    close(file);
    throw std::runtime_error("no free port");
  }
  port = ntohs(address.sin_port);
  return file;
}

}  // namespace

int FreePort() {
  int port = 0;
  close(BindAnywhere(port));
  return port;
}

int ListenAnywhere(int& port) {
  constexpr int kBacklog = 8;
  const int file = BindAnywhere(port);
  if (listen(file, kBacklog) != 0) {
    close(file);
    throw std::runtime_error("cannot listen");
  }
  return file;
}

}  // namespace buckthorngate::tests
