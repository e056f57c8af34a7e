// Choice of a version by the move's share.
#include "request/version_choice.h"

#include "base/hash.h"
#include "config/publication.h"

namespace buckthorngate::request {
namespace {

constexpr uint32_t kPermille = 1000;

bool DrawsTarget(const rpc::ServiceState& service,
                 std::string_view request_id) {
  // The service's name in the seed decorrelates the services of one request.
  const uint64_t draw =
      base::Hash(request_id, base::Hash(service.service().name())) % kPermille;
  return draw < service.move().share_permille();
}

VersionChoice WhileMoving(const rpc::ServiceState& service,
                          std::string_view request_id,
                          bool braked) {
  const rpc::Move& move = service.move();
  const bool trusted = move.share_permille() >= kTrustedPermille;
  if (!braked && DrawsTarget(service, request_id)) {
    // At the whole share the old endpoints are about to be stopped.
    const bool old_stays = move.share_permille() < kPermille;
    return {move.to(), old_stays ? move.from() : std::string()};
  }
  return {move.from(), trusted && !braked ? move.to() : std::string()};
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
      // Endpoints of the old version may be gone at any time, so it can help
      // out at most.
      return braked && move.watch_open()
                 ? VersionChoice{move.from(), move.to()}
                 : VersionChoice{move.to(), move.from()};
    case rpc::MOVE_PHASE_CANARY:
    case rpc::MOVE_PHASE_RAMPING:
      return WhileMoving(service, request_id, braked);
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
