// Identities that carry an address.
#include "membership/node_id.h"

#include <charconv>

namespace buckthorngate::membership {
namespace {

constexpr char kAt = '@';
constexpr char kSuffix = '#';
constexpr int kHex = 16;

}  // namespace

std::string NodeId(std::string_view role, std::string_view host_id) {
  return std::string(role) + kAt + std::string(host_id);
}

std::string AddressOfNode(std::string_view id) {
  const size_t at = id.find(kAt);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view host_id = id.substr(at + 1);
  return std::string(host_id.substr(0, host_id.find(kSuffix)));
}

std::string NodeIdOnSameHost(std::string_view id, std::string_view role) {
  const size_t at = id.find(kAt);
  return at == std::string_view::npos ? std::string()
                                      : NodeId(role, id.substr(at + 1));
}

std::string IdWithoutSuffix(std::string_view id) {
  const size_t at = id.find(kAt);
  return at == std::string_view::npos
             ? std::string()
             : NodeId(id.substr(0, at), AddressOfNode(id));
}

std::string FreshHostId(std::string_view address, uint64_t salt) {
  char digits[kHex];
  const std::to_chars_result end =
      std::to_chars(digits, digits + sizeof(digits), salt, kHex);
  return std::string(address) + kSuffix + std::string(digits, end.ptr);
}

}  // namespace buckthorngate::membership
