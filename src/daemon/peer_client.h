// Sends hops to other daemons over HTTP.
#ifndef SRC_DAEMON_PEER_CLIENT_H_
#define SRC_DAEMON_PEER_CLIENT_H_

#include "daemon/hop.h"
#include "daemon/peer_watch.h"
#include "http/client.h"
#include "http/event_loop.h"

namespace buckthorngate::daemon {

// Used on the loop's thread only.
class PeerClient : public Hop {
 public:
  // Both must outlive the client.
  PeerClient(const base::Clock& clock, http::EventLoop& loop);

  http::Task<HopAnswer> Run(HopRequest& request) override;

 private:
  const base::Clock& clock_;
  http::EventLoop& loop_;
  http::ConnectionPool connections_;
  ConnectionProbe probe_;
  PeerWatch watch_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_PEER_CLIENT_H_
