// The entry side of the request path: accepts requests from callers, routes
// them, and sends them to the daemon on the host of the selected endpoint.
#ifndef SRC_DAEMON_SERVING_ENTRY_H_
#define SRC_DAEMON_SERVING_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "blackboard/blackboard.h"
#include "daemon/serving/claim_client.h"
#include "daemon/serving/hop.h"
#include "daemon/serving/quota_gate.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "mesh.pb.h"
#include "request/buffer_budget.h"
#include "request/dialect.h"
#include "request/full_marks.h"
#include "request/work_estimator.h"

namespace buckthorngate::daemon::serving {

// Called when this daemon's brake, a circuit breaker on the new version of a
// move, trips.
using BrakeHandler = std::function<void(const rpc::BrakeNotice&)>;

struct EntryOptions {
  std::string host_;
  uint64_t incarnation_ = 0;
  request::Dialect dialect_;
  // The service that runs on this host, from its settings; upstreams are
  // informed that it is the origin of the request.
  std::string service_ = {};
  // Destinations decide by value per unit of work.
  bool by_value_ = false;
  // Endpoints are drawn by their learned speed. On for slow links, on which an
  // attempt that is refused costs much.
  bool by_speed_ = false;
  // Destinations are asked before large bodies are sent. On for slow links.
  bool asks_for_bodies_ = false;
};

// Used on the loop's thread only.
class Entry : public http::Handler {
 public:
  // All references must outlive the entry. `local_hop` leads to upstreams of
  // this host, `remote_hop` to those of other hosts.
  Entry(EntryOptions options,
        const base::Clock& clock,
        http::EventLoop& loop,
        blackboard::Blackboard& board,
        ClaimClient& claims,
        Hop& local_hop,
        Hop& remote_hop,
        BrakeHandler on_brake);

  // Requests of client accounts then take tokens. `quota` must outlive the
  // entry.
  void SetQuota(QuotaGate& quota) { quota_ = &quota; }

  http::Task<void> Handle(http::ServerCall& call) override;

  // Attempts that run in parallel to their calls; they may outlive them. None
  // may be left when the hops are destroyed.
  size_t ParallelAttempts() const { return parallel_attempts_; }

 private:
  class Call;
  friend class Call;

  // Returns an id that is unique in the mesh, also across restarts.
  std::string NextId();

  const EntryOptions options_;
  const base::Clock& clock_;
  http::EventLoop& loop_;
  blackboard::Blackboard& board_;
  ClaimClient& claims_;
  QuotaGate* quota_ = nullptr;  // Null: no quotas.
  Hop& local_hop_;
  Hop& remote_hop_;
  const BrakeHandler on_brake_;
  base::Random random_;
  uint64_t next_request_ = 1;
  size_t parallel_attempts_ = 0;
  request::BufferBudget upload_buffers_;
  // With EntryOptions::by_value_.
  request::FullMarks full_;
  // Latency of answers by service and route.
  request::WorkEstimator latency_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_ENTRY_H_
