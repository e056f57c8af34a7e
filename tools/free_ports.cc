// Prints port numbers that were free a moment ago, for scripts and tests.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <vector>

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  std::vector<int> files;
  for (int i = 0; i < count; ++i) {
    const int file = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    if (bind(file, generic, size) != 0 ||
        getsockname(file, generic, &size) != 0) {
      return 1;
    }
    std::cout << ntohs(address.sin_port) << " ";
    // All stay bound until the end, so that each number is different.
    files.push_back(file);
  }
  std::cout << std::endl;
  for (const int file : files) {
    close(file);
  }
  return 0;
}
