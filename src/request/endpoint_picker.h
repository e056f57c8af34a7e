// Picks a version by the move's share and an endpoint by power of two choices.
#ifndef SRC_REQUEST_ENDPOINT_PICKER_H_
#define SRC_REQUEST_ENDPOINT_PICKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "request/mesh_view.h"

namespace buckthorngate::request {

// A new endpoint gets a share of work that grows over this time.
inline constexpr base::Duration kWarmUp = std::chrono::seconds(10);
// Work leaves the own zone when the endpoint there is this full, and one of
// another zone is emptier by this much.
inline constexpr double kSpillLoad = 0.7;
inline constexpr double kSpillGain = 0.15;

// The version that serves this request: steady for one request id, so that a
// retry goes to the same version. `braked` keeps the move's target out.
std::string PickVersion(const rpc::ServiceState& service,
                        std::string_view request_id,
                        bool braked);

// Whether an endpoint was left out because it has just turned work away.
bool AnyFull(const VersionView& version, base::MonoTime now);

// Returns null if there is no endpoint that was not tried and has room.
// Ejected endpoints are a last resort.
const EndpointView* PickEndpoint(const VersionView& version,
                                 const std::vector<std::string>& tried,
                                 base::MonoTime now,
                                 base::Random& random);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ENDPOINT_PICKER_H_
