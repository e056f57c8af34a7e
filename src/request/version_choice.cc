// Chooses a version by the traffic share of the move.
#include "request/version_choice.h"

#include "base/hash.h"
#include "config/publication.h"

namespace buckthorngate::request {
namespace {

constexpr uint32_t kPermille = 1000;

// Whether the request belongs to the share of the move's target version.
bool IsInTargetShare(const rpc::ServiceState& service,
                     std::string_view request_id) {
  // The name of the service in the seed makes the choices of different services
  // for one request id independent.
  const uint64_t bucket =
      base::Hash(request_id, base::Hash(service.service().name())) % kPermille;
  return bucket < service.move().share_permille();
}

VersionChoice ChooseDuringMove(const rpc::ServiceState& service,
                               std::string_view request_id,
                               bool braked) {
  const rpc::Move& move = service.move();
  const bool allows_fallback =
      move.share_permille() >= kFallbackMinSharePermille;
  if (!braked && IsInTargetShare(service, request_id)) {
    // At the full share the old endpoints are about to be stopped.
    const bool old_available = move.share_permille() < kPermille;
    return {move.to(), old_available ? move.from() : std::string()};
  }
  return {move.from(), allows_fallback && !braked ? move.to() : std::string()};
}

}  // namespace

VersionChoice ChooseVersions(const rpc::ServiceState& service,
                             std::string_view request_id,
                             bool braked) {
  const rpc::Move& move = service.move();
  if (!service.has_move() || move.share_permille() == 0) {
    return {config::VersionInForce(service), ""};
  }
  switch (move.phase()) {
    case rpc::MOVE_PHASE_DONE:
      // Endpoints of the old version may terminate at any time, so it serves
      // only as the fallback, except while a braked move is still watched.
      return braked && move.watch_open()
                 ? VersionChoice{move.from(), move.to()}
                 : VersionChoice{move.to(), move.from()};
    case rpc::MOVE_PHASE_CANARY:
    case rpc::MOVE_PHASE_RAMPING:
      return ChooseDuringMove(service, request_id, braked);
    default:
      return {config::VersionInForce(service), ""};
  }
}

bool MayBrake(const rpc::ServiceState& service) {
  return service.has_move() &&
         (service.move().phase() != rpc::MOVE_PHASE_DONE ||
          !service.service().ordered());
}

}  // namespace buckthorngate::request
