// Identities of nodes on control hosts that find each other by seeds.
//
// An identity carries its address: "source@10.1.0.45:7600" for a first member,
// with a suffix ("#7f3a") for a host that started without state on its disk.
// So a process can be dialled when only its identity is known, and a host that
// lost its disk is never taken for its former self.
#ifndef SRC_MEMBERSHIP_NODE_ID_H_
#define SRC_MEMBERSHIP_NODE_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorngate::membership {

inline constexpr std::string_view kSourceRole = "source";
inline constexpr std::string_view kRelayRole = "relay";

// `host_id` is an address with an optional suffix.
std::string NodeId(std::string_view role, std::string_view host_id);

// The address that `id` carries, or empty if it carries none.
std::string AddressOfNode(std::string_view id);

// The same host's node of another role: a source's relay.
std::string NodeIdOnSameHost(std::string_view id, std::string_view role);

// The node as one knows it who has its address only: without the suffix.
// Empty if `id` carries no address.
std::string IdWithoutSuffix(std::string_view id);

// `host_id` of a control host that starts without state and is not a first
// member. `salt` is random.
std::string FreshHostId(std::string_view address, uint64_t salt);

}  // namespace buckthorngate::membership

#endif  // SRC_MEMBERSHIP_NODE_ID_H_
