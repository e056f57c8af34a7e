// Building and parsing of node ids that contain the host's address.
#include "membership/node_id.h"

#include <charconv>

namespace buckthorngate::membership {
namespace {

constexpr char kRoleSeparator = '@';
constexpr char kSuffixSeparator = '#';
// Also the number of digits that a 64-bit salt can have.
constexpr int kHexBase = 16;

}  // namespace

std::string NodeId(std::string_view role, std::string_view host_id) {
  return std::string(role) + kRoleSeparator + std::string(host_id);
}

std::string AddressOfNode(std::string_view id) {
  const size_t at = id.find(kRoleSeparator);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view host_id = id.substr(at + 1);
  return std::string(host_id.substr(0, host_id.find(kSuffixSeparator)));
}

std::string NodeIdOnSameHost(std::string_view id, std::string_view role) {
  const size_t at = id.find(kRoleSeparator);
  return at == std::string_view::npos ? std::string()
                                      : NodeId(role, id.substr(at + 1));
}

std::string IdWithoutSuffix(std::string_view id) {
  const size_t at = id.find(kRoleSeparator);
  return at == std::string_view::npos
             ? std::string()
             : NodeId(id.substr(0, at), AddressOfNode(id));
}

std::string FreshHostId(std::string_view address, uint64_t salt) {
  char digits[kHexBase];
  const std::to_chars_result end =
      std::to_chars(digits, digits + sizeof(digits), salt, kHexBase);
  return std::string(address) + kSuffixSeparator + std::string(digits, end.ptr);
}

}  // namespace buckthorngate::membership
