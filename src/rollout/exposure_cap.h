// Bound on what the new version of a move gets from one proxy.
//
// Each proxy sends the new version at most a fixed part of the calls that it
// has sent to the service since it learned of the move. So do all proxies
// together, whatever the share says, and whatever clocks, reports and leaders
// do: a proxy that starts again begins with nothing of both.
#ifndef SRC_ROLLOUT_EXPOSURE_CAP_H_
#define SRC_ROLLOUT_EXPOSURE_CAP_H_

#include <atomic>
#include <cstdint>

#include "mesh.pb.h"

namespace buckthorngate::rollout {

// Below the tenth that is allowed of all requests, for calls that are counted
// here and do not arrive.
inline constexpr uint64_t kMostExposedPermille = 95;

// Whether the move's new version is still on trial, so that the cap holds.
bool ExposureCapApplies(const rpc::Move& move);
// The same for all steps of a move and for the order that is sent again.
uint64_t MoveId(const rpc::Move& move);

// Safe for concurrent use, without locks.
class ExposureCap {
 public:
  // Whether the new version may get a call now.
  bool Allows(uint64_t move) const;
  // A call is being sent.
  void Begin(uint64_t move, bool new_version);
  // The call has not reached an endpoint after all.
  void Cancel(uint64_t move, bool new_version);

  uint64_t Calls() const { return calls_.load(std::memory_order_relaxed); }
  uint64_t NewVersionCalls() const {
    return new_calls_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<uint64_t> move_{0};
  // Invariant: new_calls_ <= calls_, both of `move_`.
  std::atomic<uint64_t> calls_{0};
  std::atomic<uint64_t> new_calls_{0};
};

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_EXPOSURE_CAP_H_
