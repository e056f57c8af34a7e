// Interface between a daemon and an adapter to a deployment platform.
//
// All calls block until their result is known and are safe for concurrent use.
#ifndef SRC_DAEMON_CONTROL_CONTROL_API_H_
#define SRC_DAEMON_CONTROL_CONTROL_API_H_

#include <cstdint>
#include <memory>
#include <string>

#include "buckthorngate/result_code.h"
#include "mesh.pb.h"
#include "registry/local_endpoints.h"

namespace buckthorngate::daemon::control {

// Result of reading the published routing document of the mesh.
struct RoutingReport {
  ResultCode code_ = ResultCode::kOk;
  // With kNotLeader: control address of the leader among the sources, if known.
  std::string leader_;
  // Publication number of the document; it grows with each publication.
  uint64_t number_ = 0;
  // The text as the operator published it; empty if there is none.
  std::string document_;
};

// Progress of a move: the rollout of a service from one version to another.
// kUnknown: the service has no move. kRolledBack: traffic was returned to the
// old version, or the move was withdrawn.
enum class MoveProgress : uint8_t { kUnknown, kRunning, kDone, kRolledBack };

// Result of reading the state of a service's move.
struct MoveReport {
  ResultCode code_ = ResultCode::kOk;
  // With kNotLeader: control address of the leader among the sources, if known.
  std::string leader_;
  // kDone only once no call to the old version is in flight.
  MoveProgress progress_ = MoveProgress::kUnknown;
  // Target version of the move.
  std::string to_;
};

class ControlApi {
 public:
  virtual ~ControlApi() = default;

  // Operator commands. They succeed on the leader only: other sources return
  // kNotLeader with the leader's address, daemons without a source return
  // kNotLeader. Other results are kOk, kOutcomeUnknown (the command may still
  // be accepted; retry it) and the command's own refusals.
  virtual rpc::PublishReply PublishRouting(rpc::RoutingCommand command) = 0;
  virtual rpc::PublishReply OrderMove(rpc::MoveOrder order) = 0;
  virtual rpc::PublishReply OrderEvacuation(rpc::EvacuationOrder order) = 0;
  // Linearizable reads: leadership is confirmed by a majority after the call
  // has arrived.
  virtual RoutingReport ReadRouting() = 0;
  virtual MoveReport ReadMove(const std::string& service) = 0;

  // Registration of this host's upstreams. Announce returns kOk, kNumberStale
  // for an announcement that is older than the known one and was ignored,
  // kUnknownService or kForeignAddress for one of another service or address
  // than the settings name, kAddressHeld for one of another start than the one
  // that runs, kNoEndpoint on a daemon without a proxy, or kTimedOut if this
  // daemon has just started and does not know yet which upstreams have left.
  // Leave deregisters the start at `started_ms` (Unix time, 0 if not reported)
  // of an instance and all earlier ones; it returns kOk, kNoEndpoint, or
  // kAddressHeld for a later start than the one that runs. Both return
  // kTimedOut for a drain or a deregistration that no majority of the relays
  // has stored yet: this daemon has applied it and goes on delivering it, but
  // it must not be acknowledged. With the other codes a majority holds it,
  // unless the report names no instance.
  virtual ResultCode Announce(const registry::Announcement& announcement) = 0;
  virtual ResultCode Leave(const std::string& instance, int64_t started_ms) = 0;

  // Whether the daemon serves requests and is not draining.
  virtual bool Ready() = 0;
};

// Runs in the daemon's process and translates between a deployment platform and
// ControlApi.
class Adapter {
 public:
  virtual ~Adapter() = default;
  // kBadSettings if an address cannot be bound.
  virtual ResultCode Start() = 0;
  virtual void Stop() = 0;
};

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_CONTROL_API_H_
