// Test helper that runs a request over a hop on the hop's event loop.
#ifndef TESTS_SENT_HOP_H_
#define TESTS_SENT_HOP_H_

#include <future>
#include <string>

#include "daemon/serving/hop.h"
#include "http/event_loop.h"

namespace buckthorngate::tests {

// A request with the ids and the route that a destination requires. Deadlines
// and addresses are set by the test.
daemon::serving::HopRequest MakeHopRequest();

// A request that is sent over a hop, and its answer once `ended_` is set.
struct SentHop {
  // Sends the request immediately.
  SentHop(daemon::serving::Hop& hop,
          http::EventLoop& loop,
          const daemon::serving::HopRequest& request,
          base::Duration deadline);

  http::CancelSignal cancel_;
  daemon::serving::HopRequest request_;
  daemon::serving::HopAnswer answer_;
  std::promise<void> ended_;
};

}  // namespace buckthorngate::tests

#endif  // TESTS_SENT_HOP_H_
