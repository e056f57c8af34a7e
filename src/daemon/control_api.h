// What an adapter to a platform may ask of a daemon.
//
// Calls wait for their result and are safe for concurrent use.
#ifndef SRC_DAEMON_CONTROL_API_H_
#define SRC_DAEMON_CONTROL_API_H_

#include <cstdint>
#include <memory>
#include <string>

#include "buckthorngate/result_code.h"
#include "mesh.pb.h"
#include "registry/local_endpoints.h"

namespace buckthorngate::daemon {

// The routes of the mesh, as an operator published them.
struct RoutingReport {
  ResultCode code_ = ResultCode::kOk;
  // Control address of the source that leads, with kNotLeader.
  std::string leader_;
  uint64_t number_ = 0;
  std::string document_;
};

enum class MoveProgress : uint8_t { kUnknown, kRunning, kDone, kRolledBack };

struct MoveReport {
  ResultCode code_ = ResultCode::kOk;
  std::string leader_;
  // kDone only once no call to the old version is under way.
  MoveProgress progress_ = MoveProgress::kUnknown;
  std::string to_;
};

class ControlApi {
 public:
  virtual ~ControlApi() = default;

  // For operators; kNotLeader with the leader's address on other sources, and
  // on daemons without a source. Results of commands: kOk, kOutcomeUnknown
  // (may still be accepted; send it again), or the command's own refusal.
  virtual rpc::PublishReply PublishRouting(rpc::RoutingCommand command) = 0;
  virtual rpc::PublishReply OrderMove(rpc::MoveOrder order) = 0;
  // Linearizable: confirmed by a majority after the call came.
  virtual RoutingReport ReadRouting() = 0;
  virtual MoveReport ReadMove(const std::string& service) = 0;

  // For upstreams of this host. kOk, or kNumberStale for an announcement that
  // came late and changed nothing. On return this daemon acts on it.
  virtual ResultCode Announce(const registry::Announcement& announcement) = 0;
  virtual void Drain(const std::string& instance) = 0;
  virtual void Leave(const std::string& instance) = 0;

  // Whether the daemon serves requests and is not about to stop.
  virtual bool Ready() = 0;
};

// Runs beside a daemon and speaks to a platform for it.
class Adapter {
 public:
  virtual ~Adapter() = default;
  // kBadSettings if an address cannot be had.
  virtual ResultCode Start() = 0;
  virtual void Stop() = 0;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_CONTROL_API_H_
