// Bodies that are read piece by piece.
#ifndef SRC_HTTP_BODY_H_
#define SRC_HTTP_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/asio.h"

namespace buckthorngate::http {

// Size of the pieces that a long body is passed on in.
inline constexpr size_t kPieceBytes = size_t{64} * 1024;

enum class BodyState : uint8_t {
  kMore,    // There may be more.
  kEnd,     // Whole.
  kFailed,  // Cut off, too large or not in the protocol.
};

class BodyReader {
 public:
  virtual ~BodyReader() = default;

  // Appends the next bytes to `piece`, at most until it holds `most` bytes.
  // Anything may be appended together with kEnd.
  virtual Task<BodyState> Read(std::string& piece, size_t most) = 0;

  // Announced length; nothing for chunks or a body that ends by closing.
  virtual std::optional<uint64_t> Length() const = 0;

  // Why Read gave kFailed, for the log; empty if nothing is known.
  virtual std::string_view Failure() const { return {}; }
};

// Reads until the end or until `body` holds `most` bytes (kMore).
inline Task<BodyState> ReadUpTo(BodyReader& reader,
                                std::string& body,
                                size_t most) {
  BodyState state = BodyState::kMore;
  while (state == BodyState::kMore && body.size() < most) {
    state = co_await reader.Read(body, most);
  }
  co_return state;
}

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_BODY_H_
