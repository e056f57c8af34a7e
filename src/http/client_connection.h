// One dialled connection of the HTTP client.
#ifndef SRC_HTTP_CLIENT_CONNECTION_H_
#define SRC_HTTP_CLIENT_CONNECTION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "http/beast.h"
#include "http/body.h"
#include "http/bounded_parser.h"

namespace buckthorngate::http {

// A head may take this much, and a trailer, too.
inline constexpr uint32_t kAnswerHeaderBytes = 64 * 1024;

class ClientConnection {
 public:
  // Bytes that are read ahead. A chunk's size and extensions have no limit but
  // this one.
  static constexpr size_t kBufferBytes = kAnswerHeaderBytes + kPieceBytes;
  using Parser = BoundedParser<bhttp::response_parser<bhttp::buffer_body>>;

  ClientConnection(asio::io_context& context, std::string address)
      : address_(std::move(address)), stream_(context) {}

  void Close() {
    ErrorCode ignored;
    stream_.socket().close(ignored);
  }
  bool Open() { return stream_.socket().is_open(); }

  // A write has failed. The system tells of a reset only once: if the write was
  // told, reads see the bytes that came and then an end as if in order.
  void NoteWriteFailure(const ErrorCode& error) {
    if (!write_failure_) {
      write_failure_ = error;
    }
  }
  // Whether an end that a read sees is the orderly end of what the other side
  // sent. A broken pipe follows only such an end: a connection that is reset
  // before it fails its first write as reset.
  bool EndedInOrder() const {
    return !write_failure_ || write_failure_ == asio::error::broken_pipe;
  }

  // Whether an idle connection can be used: still open, and no bytes on it.
  bool Quiet();

  // Whether an answer to an earlier request with this id may still come on it.
  bool MayAnswerAgain(std::string_view id) const {
    return std::find(refused_.begin(), refused_.end(), id) != refused_.end();
  }

  const std::string address_;
  // Ids of requests that the other side refused on this connection. With
  // kMostRefused of them it is not used again.
  static constexpr size_t kMostRefused = 16;
  std::vector<std::string> refused_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kBufferBytes};
  std::optional<Parser> parser_;
  // The first failure of a write.
  ErrorCode write_failure_;
  base::MonoTime unused_after_;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_CLIENT_CONNECTION_H_
