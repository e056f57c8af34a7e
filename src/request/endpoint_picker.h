// Load balancing: picks an endpoint by the power of two random choices, with a
// preference for the own availability zone.
#ifndef SRC_REQUEST_ENDPOINT_PICKER_H_
#define SRC_REQUEST_ENDPOINT_PICKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "request/mesh_view.h"

namespace buckthorngate::request {

// Requests spill over to another zone if the endpoint picked in the own zone
// has at least kSpillLoad, and that of the other zone has a load lower by more
// than kSpillGain. Loads are in requests per slot.
inline constexpr double kSpillLoad = 0.9;
inline constexpr double kSpillGain = 0.15;
// The same for routes with large answers or bodies. These leave the own zone
// only if requests queue at its endpoint and the other endpoint normally has a
// free slot: transferring their bytes between zones costs more than a short
// wait.
inline constexpr double kLargeSpillLoad = 1.5;
inline constexpr double kLargeSpillGain = 0.5;
// Large bodies also leave the own zone if they use this share of the link of
// the endpoint there, and less by the gain at the other one.
inline constexpr double kSpillLinkUse = 0.6;
inline constexpr double kSpillLinkGain = 0.1;

// Whether any endpoint is excluded because it has just refused a request that
// was as urgent as this rank or more.
bool AnyFull(const VersionView& version, uint32_t rank, base::MonoTime now);

struct PickOptions {
  std::vector<std::string> tried_;  // Ids of endpoints to exclude.
  bool large_transfer_ = false;
  uint32_t rank_ = 0;  // Urgency of the request; see RankOf.
};

// Returns null if each endpoint was tried already or has just refused a request
// that was as urgent as this one or more. Ejected endpoints, and
// cold ones without room, are picked only as a last resort.
const EndpointView* PickEndpoint(const VersionView& version,
                                 const PickOptions& options,
                                 base::MonoTime now,
                                 base::Random& random);

struct PickedEndpoint {
  const EndpointView* endpoint_ = nullptr;  // Null if there is none.
  bool from_fallback_ = false;
};

// Picks an endpoint of `first`, or of `fallback` if `first` has no endpoint
// with a free slot and that of `fallback` is clearly less loaded. Both may be
// null.
PickedEndpoint PickWithFallback(const VersionView* first,
                                const VersionView* fallback,
                                const PickOptions& options,
                                base::MonoTime now,
                                base::Random& random);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ENDPOINT_PICKER_H_
