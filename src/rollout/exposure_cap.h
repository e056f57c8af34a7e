// Per-proxy bound on the traffic that the new version of a move receives.
//
// Each proxy sends the new version at most a fixed fraction of the calls that
// it has sent to the service since it learned of the move. The same bound
// therefore holds for all proxies together, whatever the move's share is and
// regardless of clock steps, lost or late reports and leader changes. A
// restarted proxy begins with both counters at zero, so that a restart does not
// loosen the bound.
#ifndef SRC_ROLLOUT_EXPOSURE_CAP_H_
#define SRC_ROLLOUT_EXPOSURE_CAP_H_

#include <atomic>
#include <cstdint>

#include "mesh.pb.h"

namespace buckthorngate::rollout {

// Bound on the new version's fraction of the calls. Below the tenth of all
// requests that is allowed, because some calls that are counted here never
// arrive at an endpoint.
inline constexpr uint64_t kMaxExposurePermille = 95;

// Returns whether the cap applies: the move is under way and its new version
// has not yet proved itself at the full share.
bool ExposureCapApplies(const rpc::Move& move);
// Returns an id that is the same for all steps of a move and for a repeated
// order of the same move.
uint64_t MoveId(const rpc::Move& move);

// Exposure cap of one service. Lock-free and safe for concurrent use.
class ExposureCap {
 public:
  // Returns whether the new version may receive another call of `move`.
  bool Allows(uint64_t move) const;
  // Counts a call that is about to be sent. A new move resets the counters.
  void Begin(uint64_t move, bool new_version);
  // Reverts Begin for a call that did not reach an endpoint.
  void Cancel(uint64_t move, bool new_version);

  uint64_t Calls() const { return calls_.load(std::memory_order_relaxed); }
  uint64_t NewVersionCalls() const {
    return new_calls_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<uint64_t> move_{0};
  // Invariant: new_calls_ <= calls_; both count calls of the move `move_`.
  std::atomic<uint64_t> calls_{0};
  std::atomic<uint64_t> new_calls_{0};
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EXPOSURE_CAP_H_
