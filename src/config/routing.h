// Routes of the mesh: checks of a publication and its compare-and-set.
//
// Unlike routes in service files, a route of the mesh belongs to no service:
// it spreads requests over one or more services by weight.
#ifndef SRC_CONFIG_ROUTING_H_
#define SRC_CONFIG_ROUTING_H_

#include <tl/expected.hpp>

#include "config/config_state.h"
#include "config/publication.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// Checks that need no state: unknown services, duplicate routes, weights,
// time-outs and prefixes, and client accounts. kOk, or the first fault with its
// place.
Refusal CheckRouting(const rpc::Routing& routing);

// Replaces the routes and the client accounts if the command builds on the
// publication that is current and is valid; else `state` is unchanged. A mesh
// that has had accounts stays one that uses them (ConfigState::UsesAccounts).
// The revision is left to the caller. Errors: kBaseNotCurrent, kNumberStale and
// those of CheckRouting. Deterministic.
tl::expected<void, Refusal> ApplyRouting(const rpc::RoutingCommand& command,
                                         ConfigState& state);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_ROUTING_H_
