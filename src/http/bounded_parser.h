// Parsers of messages whose fields are bounded, in the head and behind the last
// chunk.
//
// Beast bounds a head, but not what follows the last chunk, and its container
// throws std::length_error for a field that it cannot hold.
#ifndef SRC_HTTP_BOUNDED_PARSER_H_
#define SRC_HTTP_BOUNDED_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <limits>

#include "http/beast.h"

namespace buckthorngate::http {

inline constexpr size_t kUnlimitedFields = std::numeric_limits<size_t>::max();
// ": " and the line's end.
inline constexpr size_t kFieldDelimiterBytes = 4;
// Name and value of one field together: Beast's container counts in 16 bits.
inline constexpr size_t kMaxFieldBytes =
    std::numeric_limits<uint16_t>::max() - kFieldDelimiterBytes;

struct FieldLimits {
  // Of the head and the trailer together.
  size_t most_fields_ = kUnlimitedFields;
  // Of the whole trailer.
  size_t most_trailer_bytes_ = 0;
};

// `Parser` is a request_parser or a response_parser. A message beyond the
// limits ends with error::header_limit. Fields of the trailer are checked and
// dropped: none of them is passed on.
template <class Parser>
class BoundedParser : public Parser {
 public:
  explicit BoundedParser(const FieldLimits& limits)
      : fields_left_(limits.most_fields_),
        trailer_bytes_left_(limits.most_trailer_bytes_) {}

 private:
  void on_field_impl(bhttp::field name,
                     beast::string_view name_string,
                     beast::string_view value,
                     ErrorCode& error) override {
    const size_t bytes = name_string.size() + value.size();
    const bool trailer = this->is_header_done();
    if (fields_left_ == 0 || bytes > kMaxFieldBytes ||
        (trailer && bytes + kFieldDelimiterBytes > trailer_bytes_left_)) {
      error = bhttp::error::header_limit;
      return;
    }
    --fields_left_;
    if (trailer) {
      trailer_bytes_left_ -= bytes + kFieldDelimiterBytes;
    } else {
      this->get().insert(name, name_string, value);
    }
  }

  size_t fields_left_;
  size_t trailer_bytes_left_;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_BOUNDED_PARSER_H_
