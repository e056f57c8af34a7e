// Which version of a service runs a request while traffic moves between two.
#ifndef SRC_REQUEST_VERSION_CHOICE_H_
#define SRC_REQUEST_VERSION_CHOICE_H_

#include <string>
#include <string_view>

#include "mesh.pb.h"

namespace buckthorngate::request {

// From this share on the new version is trusted with all requests for which
// the old one has no room: it has shown itself harmless at half of that share.
inline constexpr uint32_t kTrustedPermille = 500;

struct VersionChoice {
  std::string first_;
  // Takes the request if the first has no endpoint with room; empty if none
  // may.
  std::string fallback_;
};

// Steady for one request id, so that a retry goes to the same version.
// `braked` keeps the move's target out until the move is done.
VersionChoice ChooseVersions(const rpc::ServiceState& service,
                             std::string_view request_id,
                             bool braked);

// Whether a proxy's own evidence may brake the move. Not once it is done for
// good: the old endpoints may be gone.
bool MayBrake(const rpc::ServiceState& service);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_VERSION_CHOICE_H_
