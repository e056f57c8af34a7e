// Picks an endpoint by power of two choices.
#ifndef SRC_REQUEST_ENDPOINT_PICKER_H_
#define SRC_REQUEST_ENDPOINT_PICKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "request/mesh_view.h"

namespace buckthorngate::request {

// Work leaves the own zone when the endpoint there is this full, and one of
// another zone is emptier by this much.
inline constexpr double kSpillLoad = 0.9;
inline constexpr double kSpillGain = 0.15;
// Large answers leave it only for an endpoint at which they need not wait,
// from one with as many waiting as it can serve in one turn: bytes between
// zones cost more there than a short wait.
inline constexpr double kLargeSpillLoad = 1.5;
inline constexpr double kLargeSpillGain = 0.5;

// Whether an endpoint is left out because it has just turned away work that
// was as urgent.
bool AnyFull(const VersionView& version, uint32_t rank, base::MonoTime now);

struct PickOptions {
  std::vector<std::string> tried_;  // Ids of endpoints to leave out.
  bool large_answer_ = false;
  uint32_t rank_ = 0;  // See RankOf.
};

// Returns null if there is no endpoint that was not tried and has room.
// Ejected endpoints are a last resort.
const EndpointView* PickEndpoint(const VersionView& version,
                                 const PickOptions& options,
                                 base::MonoTime now,
                                 base::Random& random);

struct PickedEndpoint {
  const EndpointView* endpoint_ = nullptr;  // Null if there is none.
  bool from_fallback_ = false;
};

// Picks of `first`; of `fallback` if that has room where `first` has none.
// Both may be null.
PickedEndpoint PickWithFallback(const VersionView* first,
                                const VersionView* fallback,
                                const PickOptions& options,
                                base::MonoTime now,
                                base::Random& random);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ENDPOINT_PICKER_H_
