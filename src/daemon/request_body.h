// The body of a request that a server is handling.
#ifndef SRC_DAEMON_REQUEST_BODY_H_
#define SRC_DAEMON_REQUEST_BODY_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include "daemon/exchange.h"

namespace httplib {
struct Request;
class ContentReader;
}  // namespace httplib

namespace buckthorngate::daemon {

// Reads the body exactly once, always to its end: what is left unread would be
// taken for the connection's next request. Used by one thread at a time.
class RequestBody {
 public:
  // `reader` is null for a request without a body.
  RequestBody(const httplib::Request& request,
              const httplib::ContentReader* reader);

  bool Present() const { return reader_ != nullptr; }
  // Nothing if the body comes in chunks.
  std::optional<uint64_t> Length() const { return length_; }

  // Reads a body whose length is known to be small. False if it was cut.
  bool ReadAll(std::string& out);
  // Lets the exchange send the body as it arrives. The caller of this must
  // wait for the exchange to finish before it returns from its handler.
  void AttachTo(ExchangeRequest& request);
  // Reads and drops the body unless it has been read.
  void Drain();

 private:
  bool Read(const std::function<bool(const char*, size_t)>& receiver);

  const httplib::ContentReader* const reader_;
  std::optional<uint64_t> length_;
  std::atomic<bool> used_{false};
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_REQUEST_BODY_H_
