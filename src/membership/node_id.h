// Node ids of control hosts that discover each other through seed addresses.
//
// An id has the form role@host_id. The host_id is the host's control address,
// for example "source@10.1.0.45:7600" for an initial member. A host that starts
// later without state on its disk appends a random suffix ("#7f3a"). A peer can
// therefore connect to a node of which it knows only the id, and a host that
// lost its disk is never mistaken for the member that it was before. The id of
// a source is its identity in src/consensus.
#ifndef SRC_MEMBERSHIP_NODE_ID_H_
#define SRC_MEMBERSHIP_NODE_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngate::membership {

inline constexpr std::string_view kSourceRole = "source";
inline constexpr std::string_view kRelayRole = "relay";

// Builds a node id. `host_id` is an address with an optional suffix.
std::string NodeId(std::string_view role, std::string_view host_id);

// Returns the address in `id`, or an empty string if `id` has none.
std::string AddressOfNode(std::string_view id);

// Returns the id of the node with another role on the same host, for example
// the relay next to a source. Empty if `id` has no address.
std::string NodeIdOnSameHost(std::string_view id, std::string_view role);

// Returns `id` without the suffix. Peers that know only the host's address use
// this id. Empty if `id` has no address.
std::string IdWithoutSuffix(std::string_view id);

// Returns the host_id of a control host that starts without state and is not
// an initial member. `salt` is a random number.
std::string FreshHostId(std::string_view address, uint64_t salt);

}  // namespace buckthorngate::membership

#endif  // SRC_MEMBERSHIP_NODE_ID_H_
