// Controller of all moves: runs at the leading source.
//
// The moves themselves are state in the log. The controller holds evidence
// only; after a failover the new leader starts with none, and goes on from the
// logged step. Times are judged by the steady clock; a step carries the time
// since the order to the next leader. A step names the step number that it was
// decided on and applies only to that one, so that no step is made twice.
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

// Evidence is judged at this interval.
inline constexpr base::Duration kDecisionInterval =
    std::chrono::milliseconds(250);

// Which versions of a service have endpoints that can serve.
class EndpointPresence {
 public:
  virtual ~EndpointPresence() = default;
  virtual bool HasEndpoints(const std::string& service,
                            const std::string& version) const = 0;
};

// Why a move stands where it stands, for operators.
struct MoveStatus {
  rpc::Move move_;
  std::vector<rpc::RouteEvidence> evidence_;
  std::string hold_reason_;
};

class MoveController {
 public:
  explicit MoveController(std::unique_ptr<MovePolicy> policy);

  // Forgets all evidence, when leadership begins. What TrackAsFollower has
  // learned of times stays.
  void Reset();

  // To be called where this source doesn't lead: keeps track of when steps were
  // made.
  void TrackAsFollower(const config::ConfigState& config, base::MonoTime now);

  // Since the last step of the service's move was seen, on the steady clock;
  // zero if there is none.
  base::Duration SinceStep(const std::string& service,
                           base::MonoTime now) const;

  void OnEvidence(const rpc::Evidence& report);
  void OnBrake(const std::string& proxy, const rpc::BrakeNotice& notice);

  // Steps to propose now. `wall` is the median clock of the sources.
  std::vector<rpc::MoveStep> Tick(const config::ConfigState& config,
                                  const EndpointPresence& presence,
                                  base::MonoTime now,
                                  base::WallTime wall);

  std::vector<MoveStatus> Status(const config::ConfigState& config) const;

 private:
  struct Tracked {
    uint64_t step_ = 0;
    std::string to_;
    base::MonoTime step_began_;
    int64_t declared_ms_ = 0;
    // When the move began, as far as is known: a new leader may take it for
    // younger than it is, never for older.
    base::MonoTime began_;
    base::MonoTime last_evidence_;
    // Not set until the first decision here.
    std::optional<base::MonoTime> watched_from_;
    uint64_t bad_answers_to_pause_ = kBadAnswersToPause;
    // Set while a proposed step waits to be committed.
    std::optional<base::MonoTime> proposed_;
    std::map<std::string, RouteView> routes_;
    std::set<std::string> brakes_;
    base::MonoTime last_brake_;
    std::string hold_reason_;
    bool restart_tests_ = false;
  };

  Tracked& Track(const rpc::Move& move, base::MonoTime now);
  void TrackAll(const config::ConfigState& config, base::MonoTime now);
  static void StartStep(Tracked& tracked,
                        const rpc::Move& move,
                        base::MonoTime now);
  static void AddWindow(Tracked& tracked,
                        const rpc::Move& move,
                        const std::vector<rpc::RouteEvidence>& window,
                        base::MonoTime now);
  static MoveView ViewOf(const rpc::Move& move,
                         const Tracked& tracked,
                         const EndpointPresence& presence,
                         base::MonoTime now);

  // The next step of one move, if it is time for one.
  std::optional<rpc::MoveStep> Decide(const rpc::ServiceState& service,
                                      Tracked& tracked,
                                      const EndpointPresence& presence,
                                      base::MonoTime now,
                                      base::WallTime wall) const;

  const std::unique_ptr<MovePolicy> policy_;
  EvidenceMerger merger_;
  std::map<std::string, Tracked> tracked_;
  std::vector<std::pair<std::string, rpc::BrakeNotice>> brakes_;
  base::MonoTime next_decision_;
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_MOVE_CONTROLLER_H_
