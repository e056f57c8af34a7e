// The end of an HTTP server in a test.
#ifndef TESTS_CLOSE_SERVER_H_
#define TESTS_CLOSE_SERVER_H_

#include "http/event_loop.h"
#include "http/server.h"

namespace buckthorngate::tests {

// Closes the server and waits until all its connections are gone. Not on the
// loop's thread.
inline void CloseServer(http::EventLoop& loop, http::Server& server) {
  size_t open = 1;
  while (open > 0) {
    loop.RunAndWait([&] {
      server.Close();
      open = server.Connections();
    });
  }
}

}  // namespace buckthorngate::tests

#endif  // TESTS_CLOSE_SERVER_H_
