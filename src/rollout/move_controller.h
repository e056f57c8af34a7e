// Controller of all moves; runs on the source that is the Raft leader.
//
// A move shifts a service's traffic step by step from its old version to a new
// one (a canary rollout). The moves themselves are replicated state in the log.
// The controller holds only evidence: after a failover the new leader starts
// without evidence and continues from the step in the log. Durations are
// measured on the steady clock; each step carries the time since the order to
// the next leader. A proposed step names the step number that it was decided on
// and is applied only if the move is still at that step, so that no step is
// made twice.
#ifndef SRC_ROLLOUT_MOVE_CONTROLLER_H_
#define SRC_ROLLOUT_MOVE_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/config_state.h"
#include "mesh.pb.h"
#include "rollout/evidence.h"
#include "rollout/move_policy.h"

namespace buckthorngate::rollout {

// Interval at which evidence is evaluated and steps are decided.
inline constexpr base::Duration kDecisionInterval =
    std::chrono::milliseconds(250);

// Tells which versions of a service have endpoints that can serve.
class EndpointPresence {
 public:
  virtual ~EndpointPresence() = default;
  virtual bool HasEndpoints(const std::string& service,
                            const std::string& version) const = 0;
};

// State of a move for operators, with the evidence of the current step and the
// reason why the next step is not taken yet.
struct MoveStatus {
  rpc::Move move_;
  // Two entries per route: of the new version, then of the old one.
  std::vector<rpc::RouteEvidence> evidence_;
  std::string hold_reason_;
};

class MoveController {
 public:
  explicit MoveController(std::unique_ptr<MovePolicy> policy);

  // Discards all evidence when leadership begins. Times that TrackAsFollower
  // has recorded are kept.
  void Reset();

  // Records when steps were made. Called instead of Tick while this source is
  // not the leader.
  void TrackAsFollower(const config::ConfigState& config, base::MonoTime now);

  // Returns the time since this source saw the last step of the service's move,
  // on the steady clock; zero if there is none.
  base::Duration SinceStep(const std::string& service,
                           base::MonoTime now) const;

  void OnEvidence(const rpc::Evidence& report);
  void OnBrake(const std::string& proxy, const rpc::BrakeNotice& notice);

  // Returns the steps to propose now. `wall` is the median of the sources'
  // clocks.
  std::vector<rpc::MoveStep> Tick(const config::ConfigState& config,
                                  const EndpointPresence& presence,
                                  base::MonoTime now,
                                  base::WallTime wall);

  std::vector<MoveStatus> Status(const config::ConfigState& config) const;

 private:
  // Local state of one move. `step_`, `to_` and `declared_ms_` are those of the
  // last rpc::Move that was seen.
  struct TrackedMove {
    uint64_t step_ = 0;
    std::string to_;
    base::MonoTime step_started_;
    int64_t declared_ms_ = 0;
    // Estimated start of the move. A new leader may underestimate the move's
    // age but never overestimates it.
    base::MonoTime move_started_;
    base::MonoTime last_evidence_at_;
    // Time of the first evaluation on this leader; not set before it.
    std::optional<base::MonoTime> observed_since_;
    uint64_t bad_answers_to_pause_ = kBadAnswersToPause;
    // Time of the proposal; set while a proposed step is not committed yet.
    std::optional<base::MonoTime> proposed_at_;
    std::map<std::string, RouteState> routes_;
    std::set<std::string> braked_proxies_;
    base::MonoTime last_brake_at_;
    std::string hold_reason_;
    // Whether the harm tests restart when the proposed step begins.
    bool restart_tests_ = false;
  };

  // Updates the local state of a move from the log's state and returns it.
  TrackedMove& Track(const rpc::Move& move, base::MonoTime now);
  void TrackAll(const config::ConfigState& config, base::MonoTime now);
  static void StartStep(TrackedMove& tracked,
                        const rpc::Move& move,
                        base::MonoTime now);
  // Adds the evidence since the last decision to the sums and harm tests.
  static void AddWindow(TrackedMove& tracked,
                        const rpc::Move& move,
                        const std::vector<rpc::RouteEvidence>& window,
                        base::MonoTime now);
  static PolicyInput BuildPolicyInput(const rpc::Move& move,
                                      const TrackedMove& tracked,
                                      const EndpointPresence& presence,
                                      base::MonoTime now);

  // Returns the next step of one move if the policy takes one now.
  std::optional<rpc::MoveStep> Decide(const rpc::ServiceState& service,
                                      TrackedMove& tracked,
                                      const EndpointPresence& presence,
                                      base::MonoTime now,
                                      base::WallTime wall) const;

  const std::unique_ptr<MovePolicy> policy_;
  EvidenceMerger merger_;
  std::map<std::string, TrackedMove> tracked_;  // By service.
  // Brake notices since the last decision, with the proxy that sent each.
  std::vector<std::pair<std::string, rpc::BrakeNotice>> pending_brakes_;
  base::MonoTime next_decision_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_MOVE_CONTROLLER_H_
