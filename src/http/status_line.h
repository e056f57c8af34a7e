// The first bytes of an answer, as far as they decide whether its status line
// is valid: "HTTP/1.", a digit, and a status from 100 to 599 between spaces.
#ifndef SRC_HTTP_STATUS_LINE_H_
#define SRC_HTTP_STATUS_LINE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthorngate::http {

// Bytes that decide whether the status line is valid.
inline constexpr std::string_view kStatusLineStart = "HTTP/1.1 200 ";

// Whether an answer with a valid status line can start with `bytes`, of which
// those beyond the size of kStatusLineStart are not looked at.
bool CanStartAnAnswer(std::string_view bytes);

// The status line at the start of `bytes` for the log: at most 64 bytes of it,
// in quotes, with escapes for all but printable ASCII.
std::string QuoteStatusLine(std::string_view bytes);

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_STATUS_LINE_H_
