// A free port on loopback.
#include "free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace buckthorngate::tests {

int FreePort() {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
  const bool found =
      bind(file, generic, size) == 0 && getsockname(file, generic, &size) == 0;
  close(file);
  if (!found) {
    throw std::runtime_error("no free port");
  }
  return ntohs(address.sin_port);
}

}  // namespace buckthorngate::tests
