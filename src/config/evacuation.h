// Orders to evacuate an availability zone, or to end that.
//
// Orders carry no identifier. A resend is recognized by time: callers resend an
// order for at most kEvacuationResendWindow, so an order that would change the
// state within that time after the last accepted one of its kind may be a
// resend of that one. It is neither applied nor refused.
#ifndef SRC_CONFIG_EVACUATION_H_
#define SRC_CONFIG_EVACUATION_H_

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "config/config_state.h"
#include "config/publication.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// Callers resend an order for at most this long after they first sent it.
inline constexpr std::chrono::seconds kEvacuationResendWindow{4};
inline constexpr size_t kMaxZoneNameBytes = 64;
// Zones with a state. The state of a zone is never removed, so orders for
// invented names must not add up.
inline constexpr size_t kMaxEvacuationZones = 64;

// Whether `zone` has 1 to kMaxZoneNameBytes bytes, without a slash or control
// characters.
bool IsZoneName(std::string_view zone);

// Applies the order to `state`, or leaves it. The revision is left to the
// caller. An order that changes nothing is accepted and renews the time of its
// kind. Errors: kUnknownZone (no valid name, or too many zones) and
// kOrderAmbiguous. Deterministic.
tl::expected<void, Refusal> ApplyEvacuationOrder(
    const rpc::EvacuationOrder& order,
    ConfigState& state);

// Names of the zones that are evacuated.
std::set<std::string> EvacuatedZones(const ConfigState& state);

// Follows one zone through successive configurations. It sees also an
// evacuation that began and ended between two of them.
class EvacuationWatch {
 public:
  explicit EvacuationWatch(std::string zone) : zone_(std::move(zone)) {}

  struct Change {
    bool started_ = false;
    // The zone is not evacuated, but was so since the previous configuration.
    bool ended_ = false;
  };
  Change Update(const ConfigState& state);
  bool Evacuated() const { return evacuated_; }

 private:
  const std::string zone_;
  bool evacuated_ = false;
  // False until the first configuration, before which nothing is known.
  bool known_ = false;
  int64_t start_accepted_ms_ = 0;
};

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_EVACUATION_H_
