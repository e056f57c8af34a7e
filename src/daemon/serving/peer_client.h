// Sends hops to other daemons over HTTP.
#ifndef SRC_DAEMON_SERVING_PEER_CLIENT_H_
#define SRC_DAEMON_SERVING_PEER_CLIENT_H_

#include "daemon/serving/hop.h"
#include "daemon/serving/peer_watch.h"
#include "http/client.h"
#include "http/event_loop.h"

namespace buckthorngate::daemon::serving {

// Used on the loop's thread only.
class PeerClient : public Hop {
 public:
  // Both must outlive the client.
  // `tells_sent_time`: requests tell when they were sent (TransitDelay).
  PeerClient(const base::Clock& clock,
             http::EventLoop& loop,
             bool tells_sent_time = false);

  http::Task<HopAnswer> Run(HopRequest& request) override;

 private:
  // Asks the destination whether the body may be sent, and stores its grant in
  // the request. The request has not run if the result is not kOk.
  http::Task<HopAnswer> AskForBody(HopRequest& request);
  http::Task<HopAnswer> Exchange(HopRequest& request);

  const base::Clock& clock_;
  http::EventLoop& loop_;
  const bool tells_sent_time_;
  http::ConnectionPool connections_;
  ConnectionProbe probe_;
  PeerWatch watch_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_PEER_CLIENT_H_
