// The entry side: takes requests of callers, routes them, and sends them to
// the daemon beside the picked endpoint.
#ifndef SRC_DAEMON_ENTRY_H_
#define SRC_DAEMON_ENTRY_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "blackboard/blackboard.h"
#include "daemon/claim_client.h"
#include "daemon/hop.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "mesh.pb.h"
#include "request/dialect.h"

namespace buckthorngate::daemon {

// Told when the local brake closes.
using BrakeHandler = std::function<void(const rpc::BrakeNotice&)>;

struct EntryOptions {
  std::string host_;
  uint64_t incarnation_ = 0;
  request::Dialect dialect_;
};

// Used on the loop's thread only.
class Entry : public http::Handler {
 public:
  // All must outlive the entry.
  Entry(EntryOptions options,
        const base::Clock& clock,
        http::EventLoop& loop,
        blackboard::Blackboard& board,
        ClaimClient& claims,
        Hop& own_host,
        Hop& other_hosts,
        BrakeHandler on_brake);

  http::Task<void> Handle(http::ServerCall& call) override;

  // The service that runs beside this daemon: upstreams are told that a
  // request comes from there.
  void SetCallerService(const std::string& service) {
    caller_service_ = service;
  }

 private:
  class Call;
  friend class Call;

  std::string NextId();

  const EntryOptions options_;
  const base::Clock& clock_;
  http::EventLoop& loop_;
  blackboard::Blackboard& board_;
  ClaimClient& claims_;
  Hop& own_host_;
  Hop& other_hosts_;
  const BrakeHandler on_brake_;
  std::string caller_service_;
  base::Random random_;
  uint64_t next_request_ = 1;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_ENTRY_H_
