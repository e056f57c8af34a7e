// Counters of the exposure cap.
#include "rollout/exposure_cap.h"

#include <string>

#include "base/hash.h"

namespace buckthorngate::rollout {
namespace {

constexpr uint64_t kPermille = 1000;

}  // namespace

bool ExposureCapApplies(const rpc::Move& move) {
  const bool under_way = move.phase() == rpc::MOVE_PHASE_CANARY ||
                         move.phase() == rpc::MOVE_PHASE_RAMPING;
  return under_way && !move.uncapped();
}

uint64_t MoveId(const rpc::Move& move) {
  return base::Hash(move.to(), static_cast<uint64_t>(move.declared_ms()));
}

bool ExposureCap::Allows(uint64_t move) const {
  if (move_.load(std::memory_order_relaxed) != move) {
    return false;
  }
  return (NewVersionCalls() + 1) * kPermille <= Calls() * kMaxExposurePermille;
}

void ExposureCap::Begin(uint64_t move, bool new_version) {
  if (move_.exchange(move, std::memory_order_relaxed) != move) {
    calls_.store(0, std::memory_order_relaxed);
    new_calls_.store(0, std::memory_order_relaxed);
  }
  calls_.fetch_add(1, std::memory_order_relaxed);
  new_calls_.fetch_add(new_version ? 1 : 0, std::memory_order_relaxed);
}

void ExposureCap::Cancel(uint64_t move, bool new_version) {
  if (move_.load(std::memory_order_relaxed) != move || Calls() == 0) {
    return;
  }
  calls_.fetch_sub(1, std::memory_order_relaxed);
  if (new_version && NewVersionCalls() > 0) {
    new_calls_.fetch_sub(1, std::memory_order_relaxed);
  }
}

}  // namespace buckthorngate::rollout
