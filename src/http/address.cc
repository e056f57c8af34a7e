// Addresses as "IP:port".
#include "http/address.h"

#include <cstdint>

#include "http/head.h"

namespace buckthorngate::http {

std::optional<Tcp::endpoint> ParseAddress(const std::string& address) {
  constexpr uint64_t kMaxPort = 65535;
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ErrorCode error;
  const asio::ip::address_v4 ip =
      asio::ip::make_address_v4(address.substr(0, colon), error);
  const std::optional<uint64_t> port =
      ParseNumber(std::string_view(address).substr(colon + 1));
  if (error || !port || *port > kMaxPort) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, static_cast<uint16_t>(*port));
}

}  // namespace buckthorngate::http
