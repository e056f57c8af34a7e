// Addresses as "IP:port".
#ifndef SRC_HTTP_ADDRESS_H_
#define SRC_HTTP_ADDRESS_H_

#include <optional>
#include <string>

#include "http/asio.h"

namespace buckthorngate::http {

// Nothing unless the text is a numeric IPv4 address with a port.
std::optional<Tcp::endpoint> ParseAddress(const std::string& address);

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_ADDRESS_H_
