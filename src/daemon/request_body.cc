// The body of a request that a server is handling.
#include "daemon/request_body.h"

#include <httplib.h>

#include <charconv>

#include "daemon/http_answer.h"

namespace buckthorngate::daemon {

RequestBody::RequestBody(const httplib::Request& request,
                         const httplib::ContentReader* reader)
    : reader_(reader) {
  const std::string text = HeaderOf(request, "Content-Length");
  uint64_t length = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (!text.empty() && parsed.ptr == text.data() + text.size()) {
    length_ = length;
  }
}

bool RequestBody::Read(
    const std::function<bool(const char*, size_t)>& receiver) {
  if (reader_ == nullptr || used_.exchange(true)) {
    return reader_ == nullptr;
  }
  bool wanted = true;
  const bool whole = (*reader_)([&](const char* data, size_t size) {
    wanted = wanted && receiver(data, size);
    return true;
  });
  return whole && wanted;
}

bool RequestBody::ReadAll(std::string& out) {
  return Read([&out](const char* data, size_t size) {
    out.append(data, size);
    return true;
  });
}

void RequestBody::AttachTo(ExchangeRequest& request) {
  request.chunked_ = !length_.has_value();
  request.reader_length_ = length_.value_or(0);
  request.reader_ =
      [this](const std::function<bool(const char*, size_t)>& receiver) {
        return Read(receiver);
      };
}

void RequestBody::Drain() {
  (void)Read([](const char*, size_t) { return false; });
}

}  // namespace buckthorngate::daemon
