// The proxy role: evacuations of availability zones. The view that entries use
// is built without the zones' endpoints; this part tells the destination.
#include "base/events.h"
#include "daemon/serving/proxy_role_impl.h"

namespace buckthorngate::daemon::serving {

void ProxyRole::Impl::ApplyEvacuations() {
  const config::ConfigState& config = node_->Config();
  std::set<std::string> zones = config::EvacuatedZones(config);
  const auto log = [&](base::EventId event, const std::string& zone) {
    base::LogEvent(event, {{"zone", zone},
                           {"own", zone == settings_.zone_ ? "true" : "false"},
                           {"revision", std::to_string(config.Revision())}});
  };
  for (const std::string& zone : zones) {
    if (evacuated_zones_.count(zone) == 0) {
      log(base::EventId::kZoneEvacuated, zone);
    }
  }
  for (const std::string& zone : evacuated_zones_) {
    if (zones.count(zone) == 0) {
      log(base::EventId::kZoneReturned, zone);
    }
  }
  evacuated_zones_ = std::move(zones);
  const config::EvacuationWatch::Change change =
      evacuation_watch_.Update(config);
  if (change.started_ || change.ended_) {
    const bool evacuated = evacuation_watch_.Evacuated();
    loop_.Post([this, evacuated] { destination_.SetEvacuated(evacuated); });
  }
}

}  // namespace buckthorngate::daemon::serving
