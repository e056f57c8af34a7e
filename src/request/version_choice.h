// Chooses the version of a service for a request while a move shifts traffic
// from one version to another.
#ifndef SRC_REQUEST_VERSION_CHOICE_H_
#define SRC_REQUEST_VERSION_CHOICE_H_

#include <string>
#include <string_view>

#include "mesh.pb.h"

namespace buckthorngate::request {

// From this share of the move on, the new version may also get all requests for
// which the old one has no free slot: it has proved harmless at half of that
// share.
inline constexpr uint32_t kFallbackMinSharePermille = 500;

struct VersionChoice {
  std::string first_;
  // Version to use if the first has no endpoint with a free slot; empty if no
  // other version may get the request.
  std::string fallback_;
};

// Deterministic for a request id, so that a retry goes to the same version.
// `braked` excludes the move's target version until the move is done.
VersionChoice ChooseVersions(const rpc::ServiceState& service,
                             std::string_view request_id,
                             bool braked);

// Whether this proxy may brake the move on its own evidence. Not once the move
// is finally done, since the endpoints of the old version may have terminated.
bool MayBrake(const rpc::ServiceState& service);

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_VERSION_CHOICE_H_
