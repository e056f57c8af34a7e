// The first bytes of an answer.
#include "http/status_line.h"

#include <algorithm>

namespace buckthorngate::http {
namespace {

constexpr size_t kMostShown = 64;
// Places in kStatusLineStart.
constexpr size_t kMinorVersionAt = 7;
constexpr size_t kStatusAt = 9;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool MayStandAt(size_t place, char c) {
  if (place == kStatusAt) {
    return c >= '1' && c <= '5';
  }
  const bool digit = place == kMinorVersionAt || place == kStatusAt + 1 ||
                     place == kStatusAt + 2;
  return digit ? IsDigit(c) : c == kStatusLineStart[place];
}

}  // namespace

bool CanStartAnAnswer(std::string_view bytes) {
  const size_t size = std::min(bytes.size(), kStatusLineStart.size());
  for (size_t place = 0; place < size; ++place) {
    if (!MayStandAt(place, bytes[place])) {
      return false;
    }
  }
  return true;
}

std::string QuoteStatusLine(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kBitsOfDigit = 4;
  constexpr unsigned kLastDigit = 0xf;
  const std::string_view line =
      bytes.substr(0, bytes.find("\r\n")).substr(0, kMostShown);
  std::string quoted = "\"";
  for (const char c : line) {
    const bool plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
    if (plain) {
      quoted += c;
      continue;
    }
    const unsigned value = static_cast<unsigned char>(c);
    quoted += "\\x";
    quoted += kDigits[value >> kBitsOfDigit];
    quoted += kDigits[value & kLastDigit];
  }
  return quoted + "\"";
}

}  // namespace buckthorngate::http
