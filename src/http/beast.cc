// Conversions between Beast's fields and ours.
#include "http/beast.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace buckthorngate::http {
namespace {

std::string_view View(const beast::string_view& text) {
  return {text.data(), text.size()};
}

// Names in a list like "close, X-A", sorted.
std::vector<std::string_view> ParseNames(std::string_view list) {
  std::vector<std::string_view> names;
  size_t begin = 0;
  while (begin < list.size()) {
    const size_t end = std::min(list.find(',', begin), list.size());
    std::string_view name = list.substr(begin, end - begin);
    while (name.starts_with(' ')) {
      name.remove_prefix(1);
    }
    while (name.ends_with(' ')) {
      name.remove_suffix(1);
    }
    if (!name.empty()) {
      names.push_back(name);
    }
    begin = end + 1;
  }
  std::sort(names.begin(), names.end(), PrecedesIgnoringCase);
  return names;
}

}  // namespace

void CopyHeaders(const bhttp::fields& from, Headers& to) {
  const std::vector<std::string_view> named =
      ParseNames(View(from[bhttp::field::connection]));
  constexpr size_t kUsualHeaders = 12;
  to.Reserve(kUsualHeaders);
  for (const bhttp::fields::value_type& field : from) {
    const std::string_view name = View(field.name_string());
    if (!IsConnectionHeader(name) &&
        !std::binary_search(named.begin(), named.end(), name,
                            PrecedesIgnoringCase)) {
      to.Add(name, View(field.value()));
    }
  }
}

void CopyHeaders(const Headers& from, bhttp::fields& to) {
  for (const Header& header : from.Items()) {
    to.insert(header.name_, header.value_);
  }
}

bool HasUnknownTransferCoding(const bhttp::fields& fields) {
  const auto [begin, end] = fields.equal_range(bhttp::field::transfer_encoding);
  return begin != end && (std::next(begin) != end ||
                          !beast::iequals(begin->value(), "chunked"));
}

bool IsMalformed(const ErrorCode& error) {
  return error.category() ==
             make_error_code(bhttp::error::bad_method).category() &&
         error != bhttp::error::end_of_stream &&
         error != bhttp::error::partial_message;
}

void ConfigureSocket(Tcp::socket& socket, base::Duration most_untaken) {
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>
      user_timeout(static_cast<int>(
          std::chrono::ceil<std::chrono::milliseconds>(most_untaken).count()));
  socket.set_option(user_timeout, ignored);
}

}  // namespace buckthorngate::http
