// Heads of HTTP messages.
#include "http/head.h"

#include <algorithm>
#include <charconv>

#include "base/http_status.h"

namespace buckthorngate::http {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool PrecedesIgnoringCase(std::string_view a, std::string_view b) {
  return std::lexicographical_compare(
      a.begin(), a.end(), b.begin(), b.end(),
      [](char x, char y) { return Lower(x) < Lower(y); });
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = !text.empty() && parsed.ec == std::errc() &&
                     parsed.ptr == text.data() + text.size();
  return whole ? std::optional<uint64_t>(value) : std::nullopt;
}

std::string DecodePath(std::string_view path) {
  constexpr size_t kEscapeSize = 3;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  size_t at = 0;
  while (at < path.size()) {
    const std::string_view escape = path.substr(at, kEscapeSize);
    unsigned char byte = 0;
    const char* const end = escape.data() + escape.size();
    const bool escaped =
        escape.size() == kEscapeSize && escape.front() == '%' &&
        std::from_chars(escape.data() + 1, end, byte, kHexadecimal).ptr == end;
    decoded += escaped ? static_cast<char>(byte) : path[at];
    at += escaped ? kEscapeSize : 1;
  }
  return decoded;
}

std::string_view Headers::Find(std::string_view name) const {
  for (const Header& header : items_) {
    if (EqualsIgnoringCase(header.name_, name)) {
      return header.value_;
    }
  }
  return {};
}

bool Headers::Has(std::string_view name) const {
  return std::any_of(items_.begin(), items_.end(),
                     [name](const Header& header) {
                       return EqualsIgnoringCase(header.name_, name);
                     });
}

void Headers::Add(std::string_view name, std::string_view value) {
  items_.push_back({std::string(name), std::string(value)});
}

void Headers::Set(std::string_view name, std::string_view value) {
  Erase(name);
  Add(name, value);
}

void Headers::Erase(std::string_view name) {
  std::erase_if(items_, [name](const Header& header) {
    return EqualsIgnoringCase(header.name_, name);
  });
}

void Headers::EraseWithPrefix(std::string_view prefix) {
  std::erase_if(items_, [prefix](const Header& header) {
    return header.name_.size() >= prefix.size() &&
           EqualsIgnoringCase(
               std::string_view(header.name_).substr(0, prefix.size()), prefix);
  });
}

bool IsConnectionHeader(std::string_view name) {
  static constexpr std::string_view kNames[] = {
      "Connection",       "Keep-Alive", "Transfer-Encoding",
      "Content-Length",   "Upgrade",    "TE",
      "Proxy-Connection", "Trailer",    "Expect"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [name](std::string_view known) {
                       return EqualsIgnoringCase(name, known);
                     });
}

std::string_view RequestHead::Path() const {
  return std::string_view(target_).substr(0, target_.find('?'));
}

bool NeverHasBody(int status) {
  return status < base::kStatusFirstFinal || status == base::kStatusNoContent ||
         status == base::kStatusNotModified;
}

}  // namespace buckthorngate::http
