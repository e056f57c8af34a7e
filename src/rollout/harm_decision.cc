// Rollback or renewed comparison when harm is found.
#include "rollout/harm_decision.h"

#include <algorithm>

namespace buckthorngate::rollout {
namespace {

constexpr uint32_t kComparisonSharePermille = 500;

const RouteState* FindHarm(const PolicyInput& input, std::string& route_name) {
  for (const auto& [name, route] : *input.routes_) {
    if (route.harm_test_.Harmful()) {
      route_name = name;
      return &route;
    }
  }
  return nullptr;
}

bool OldVersionHasRecentCalls(const PolicyInput& input) {
  return std::any_of(input.routes_->begin(), input.routes_->end(),
                     [](const auto& item) {
                       return item.second.harm_test_.OldVersionHasRecentCalls();
                     });
}

}  // namespace

MoveDecision MakeRollback(const std::string& reason) {
  MoveDecision decision;
  decision.phase_ = rpc::MOVE_PHASE_TAKEN_BACK;
  decision.share_permille_ = 0;
  decision.reason_ = reason;
  decision.watch_open_ = false;
  return decision;
}

std::optional<MoveDecision> DecideOnHarm(const PolicyInput& input,
                                         std::string& hold_reason) {
  std::string route_name;
  const RouteState* harmful_route = FindHarm(input, route_name);
  if (harmful_route == nullptr && input.braked_proxies_ < 2) {
    return std::nullopt;
  }
  const std::string kind =
      harmful_route != nullptr
          ? harmful_route->harm_test_.Harm() + " on route " + route_name
          : std::to_string(input.braked_proxies_) + " proxies braked";
  const bool done = input.move_->phase() == rpc::MOVE_PHASE_DONE;
  // A move that is not done is rolled back even if the old version seems to
  // have no endpoints: a new leader may not have received all endpoints yet.
  if (done && !input.has_old_endpoints_) {
    hold_reason =
        "harm seen (" + kind + ") but the old version has no endpoints";
    return std::nullopt;
  }
  if (done && !OldVersionHasRecentCalls(input)) {
    // At the full share there are no calls of the old version to compare with,
    // and the cause may be common to both versions. Send the old version a part
    // of the traffic again and compare.
    MoveDecision decision;
    decision.phase_ = rpc::MOVE_PHASE_RAMPING;
    decision.share_permille_ = kComparisonSharePermille;
    decision.reason_ = kind + " after done; comparing with the old version";
    decision.restart_tests_ = true;
    return decision;
  }
  return MakeRollback(kind);
}

}  // namespace buckthorngate::rollout
