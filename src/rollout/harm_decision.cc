// What harm by the new version leads to.
#include "rollout/harm_decision.h"

#include <algorithm>

namespace buckthorngate::rollout {
namespace {

constexpr uint32_t kComparePermille = 500;

const RouteView* FindHarm(const MoveView& view, std::string& route_name) {
  for (const auto& [name, route] : *view.routes_) {
    if (route.test_.Harmful()) {
      route_name = name;
      return &route;
    }
  }
  return nullptr;
}

bool OldIsCurrent(const MoveView& view) {
  return std::any_of(
      view.routes_->begin(), view.routes_->end(),
      [](const auto& item) { return item.second.test_.OldIsCurrent(); });
}

}  // namespace

MoveDecision TakeBack(const std::string& reason) {
  MoveDecision decision;
  decision.phase_ = rpc::MOVE_PHASE_TAKEN_BACK;
  decision.share_permille_ = 0;
  decision.reason_ = reason;
  decision.watch_open_ = false;
  return decision;
}

std::optional<MoveDecision> DecideOnHarm(const MoveView& view,
                                         std::string& hold_reason) {
  std::string route_name;
  const RouteView* harmed = FindHarm(view, route_name);
  if (harmed == nullptr && view.brakes_ < 2) {
    return std::nullopt;
  }
  const std::string kind =
      harmed != nullptr ? harmed->test_.Harm() + " on route " + route_name
                        : std::to_string(view.brakes_) + " proxies braked";
  const bool done = view.move_->phase() == rpc::MOVE_PHASE_DONE;
  // A move that is not done goes back even if the old version seems to be gone:
  // a new leader has not heard of all endpoints yet.
  if (done && !view.old_endpoints_) {
    hold_reason =
        "harm seen (" + kind + ") but the old version has no endpoints";
    return std::nullopt;
  }
  if (done && !OldIsCurrent(view)) {
    // Nothing to compare with at full share: the cause may be common to both.
    MoveDecision decision;
    decision.phase_ = rpc::MOVE_PHASE_RAMPING;
    decision.share_permille_ = kComparePermille;
    decision.reason_ = kind + " after done; comparing with the old version";
    decision.restart_tests_ = true;
    return decision;
  }
  return TakeBack(kind);
}

}  // namespace buckthorngate::rollout
