// Rules for orders to evacuate an availability zone.
#include "config/evacuation.h"

#include <algorithm>
#include <cstdlib>

namespace buckthorngate::config {
namespace {

bool IsControl(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const unsigned char code = static_cast<unsigned char>(character);
  return code < kFirstPrintable || code == kDelete;
}

// Whether the order may be a resend of one that was accepted at `accepted_ms`.
// The clock of a new leader may be behind, so the distance counts in both
// directions. A larger step back is a clock that was set, and must not block
// orders until the clock has caught up.
bool MayBeResend(const rpc::EvacuationOrder& order, int64_t accepted_ms) {
  const std::chrono::milliseconds distance(
      std::abs(order.ordered_ms() - accepted_ms));
  return accepted_ms != 0 && distance < kEvacuationResendWindow;
}

}  // namespace

bool IsZoneName(std::string_view zone) {
  return !zone.empty() && zone.size() <= kMaxZoneNameBytes &&
         zone.find('/') == std::string_view::npos &&
         std::none_of(zone.begin(), zone.end(), IsControl);
}

tl::expected<void, Refusal> ApplyEvacuationOrder(
    const rpc::EvacuationOrder& order,
    ConfigState& state) {
  if (!IsZoneName(order.zone())) {
    return tl::unexpected(
        Refusal{ResultCode::kUnknownZone, "not the name of a zone"});
  }
  rpc::ZoneEvacuation next;
  const auto held = state.Evacuations().find(order.zone());
  if (held != state.Evacuations().end()) {
    next = *held->second;
  } else if (state.Evacuations().size() >= kMaxEvacuationZones) {
    return tl::unexpected(
        Refusal{ResultCode::kUnknownZone, "too many zones have a state"});
  }
  next.set_zone(order.zone());
  const int64_t accepted_ms =
      order.start() ? next.start_accepted_ms() : next.end_accepted_ms();
  const bool changes = next.evacuated() != order.start();
  if (changes && MayBeResend(order, accepted_ms)) {
    return tl::unexpected(
        Refusal{ResultCode::kOrderAmbiguous,
                order.zone() + ": accepted shortly before, and reversed"});
  }
  next.set_evacuated(order.start());
  const int64_t renewed_ms = MayBeResend(order, accepted_ms)
                                 ? std::max(order.ordered_ms(), accepted_ms)
                                 : order.ordered_ms();
  if (order.start()) {
    next.set_start_accepted_ms(renewed_ms);
  } else {
    next.set_end_accepted_ms(renewed_ms);
  }
  state.PutEvacuation(std::move(next));
  return {};
}

std::set<std::string> EvacuatedZones(const ConfigState& state) {
  std::set<std::string> zones;
  for (const auto& [zone, evacuation] : state.Evacuations()) {
    if (evacuation->evacuated()) {
      zones.insert(zone);
    }
  }
  return zones;
}

EvacuationWatch::Change EvacuationWatch::Update(const ConfigState& state) {
  const auto found = state.Evacuations().find(zone_);
  const bool evacuated =
      found != state.Evacuations().end() && found->second->evacuated();
  const int64_t start_accepted_ms = found == state.Evacuations().end()
                                        ? 0
                                        : found->second->start_accepted_ms();
  const bool missed = known_ && start_accepted_ms != start_accepted_ms_;
  Change change;
  change.started_ = evacuated && !evacuated_;
  change.ended_ = !evacuated && (evacuated_ || missed);
  evacuated_ = evacuated;
  start_accepted_ms_ = start_accepted_ms;
  known_ = true;
  return change;
}

}  // namespace buckthorngate::config
