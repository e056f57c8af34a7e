// Answers of a daemon's HTTP servers.
#include "daemon/http_answer.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>

#include <filesystem>
#include <optional>
#include <utility>

#include "request/hop_headers.h"

namespace buckthorngate::daemon {
namespace {

constexpr uint64_t kSmallBodyBytes = uint64_t{64} * 1024;
constexpr std::chrono::milliseconds kBodyWaitSlice{200};

// A body that is awaited whole before the answer begins.
bool IsSmall(const std::optional<uint64_t>& length, int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return (length && *length <= kSmallBodyBytes) || status == kNoContent ||
         status == kNotModified;
}

// The stream of one answer's body; tells once whether it was passed whole.
class AnswerStream {
 public:
  AnswerStream(std::shared_ptr<Exchange> exchange,
               std::function<void(bool)> done)
      : exchange_(std::move(exchange)), done_(std::move(done)) {}

  bool Provide(httplib::DataSink& sink, bool chunked) {
    std::string piece;
    const PipeState state = exchange_->Body().Read(piece, kBodyWaitSlice);
    if (!piece.empty()) {
      return sink.write(piece.data(), piece.size());
    }
    if (state == PipeState::kOpen) {
      return sink.is_writable();
    }
    whole_ = state == PipeState::kComplete;
    if (whole_ && chunked) {
      sink.done();
    }
    return whole_;
  }

  void Release(bool passed) {
    if (!passed) {
      exchange_->Abort();
    }
    done_(passed);
  }

 private:
  const std::shared_ptr<Exchange> exchange_;
  const std::function<void(bool)> done_;
  bool whole_ = false;
};

// Headers that httplib sets itself for each answer.
bool IsServersOwn(const std::string& name) {
  static constexpr const char* kOwn[] = {"Connection", "Keep-Alive",
                                         "Transfer-Encoding", "Content-Length"};
  return std::any_of(std::begin(kOwn), std::end(kOwn),
                     [&name](const char* known) {
                       return strcasecmp(name.c_str(), known) == 0;
                     });
}

void CopyHeaders(const ExchangeHead& head, httplib::Response& response) {
  for (const auto& [name, value] : head.headers_) {
    if (!IsServersOwn(name)) {
      response.headers.emplace(name, value);
    }
  }
}

}  // namespace

int StatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kNoRoute:
      return 404;
    case ResultCode::kKeyMissing:
      return 400;
    case ResultCode::kKeyReused:
      return 422;
    case ResultCode::kClaimOutcomeUnknown:
      return 409;
    case ResultCode::kEndpointOverloaded:
      return 429;
    case ResultCode::kDeadlineExceeded:
      return 504;
    case ResultCode::kUpstreamFailed:
    case ResultCode::kConnectFailed:
    case ResultCode::kAnswerCrossed:
      return 502;
    default:
      return 503;
  }
}

void AnswerRefusal(ResultCode code,
                   bool not_run,
                   const std::string& request_id,
                   httplib::Response& response) {
  const ResultCodeInfo& info = Describe(code);
  response.status = StatusOf(code);
  response.headers.clear();
  response.set_header(
      request::kResultHeader,
      std::to_string(static_cast<int>(code)) + " " + std::string(info.name_));
  if (not_run) {
    response.set_header(request::kNotRunHeader, "true");
  }
  if (code == ResultCode::kEndpointOverloaded ||
      code == ResultCode::kOverloaded) {
    response.set_header("Retry-After", "1");
  }
  if (!request_id.empty()) {
    response.set_header(request::kRequestIdHeader, request_id);
  }
  response.set_content(std::string(info.message_) + "\n", "text/plain");
}

bool AnswerFromExchange(const std::shared_ptr<Exchange>& exchange,
                        base::MonoTime deadline,
                        std::function<void(bool whole)> done,
                        httplib::Response& response) {
  const ExchangeHead& head = exchange->Head();
  const std::optional<uint64_t> length = head.ContentLength();
  response.status = head.status_;
  if (IsSmall(length, head.status_)) {
    const base::Duration left = std::chrono::duration_cast<base::Duration>(
        deadline - std::chrono::steady_clock::now());
    const PipeState state =
        exchange->Body().WaitFor(kPipeBytes, std::max(left, base::Duration(1)));
    if (state != PipeState::kComplete) {
      exchange->Abort();
      return false;
    }
    CopyHeaders(head, response);
    exchange->Body().Read(response.body, base::Duration(0));
    if (response.body.empty() && length.value_or(0) > 0) {
      // The answer to HEAD: its length stands without a body.
      response.set_header("Content-Length", std::to_string(*length));
    }
    done(true);
    return true;
  }
  CopyHeaders(head, response);
  const std::string content_type = head.Header("Content-Type");
  response.headers.erase("Content-Type");
  std::shared_ptr<AnswerStream> stream =
      std::make_shared<AnswerStream>(exchange, std::move(done));
  const httplib::ContentProviderResourceReleaser release =
      [stream](bool passed) { stream->Release(passed); };
  if (length) {
    response.set_content_provider(
        *length, content_type,
        [stream](size_t, size_t, httplib::DataSink& sink) {
          return stream->Provide(sink, /*chunked=*/false);
        },
        release);
  } else {
    response.set_chunked_content_provider(
        content_type,
        [stream](size_t, httplib::DataSink& sink) {
          return stream->Provide(sink, /*chunked=*/true);
        },
        release);
  }
  return true;
}

void DisableAnswerRewriting(const httplib::Request& request) {
  // httplib hands out its own, non-const request as const. It applies parsed
  // ranges and compression to whatever a handler answers, even to an answer
  // that is a 206 or compressed already; there is no setting against it.
  httplib::Request& own = const_cast<httplib::Request&>(request);
  own.ranges.clear();
  own.headers.erase("Accept-Encoding");
}

std::string HeaderOf(const httplib::Request& request, const std::string& name) {
  return request.get_header_value(name);
}

HeaderList PassedHeaders(const httplib::Request& request) {
  HeaderList passed;
  for (const auto& [name, value] : request.headers) {
    const bool daemon_only = name.size() >= request::kPrefix.size() &&
                             strncasecmp(name.c_str(), request::kPrefix.data(),
                                         request::kPrefix.size()) == 0;
    // httplib adds the peer's address as headers of its own.
    const bool added = name == "REMOTE_ADDR" || name == "REMOTE_PORT" ||
                       name == "LOCAL_ADDR" || name == "LOCAL_PORT";
    if (!daemon_only && !added) {
      passed.emplace_back(name, value);
    }
  }
  return passed;
}

ConnectionWatch::ConnectionWatch(const httplib::Request& request)
    : request_(request) {}

bool ConnectionWatch::FindSocket() {
  // httplib does not hand out the connection's socket. The handler's own
  // connection stays open while the handler runs, so the one socket whose
  // addresses match is found once and keeps its number.
  if (searched_) {
    return socket_ >= 0;
  }
  searched_ = true;
  std::error_code error;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const int file = std::atoi(entry.path().filename().c_str());
    sockaddr_in remote = {};
    socklen_t size = sizeof(remote);
    sockaddr* const address = reinterpret_cast<sockaddr*>(&remote);
    if (getpeername(file, address, &size) != 0 ||
        remote.sin_family != AF_INET ||
        ntohs(remote.sin_port) != request_.remote_port) {
      continue;
    }
    sockaddr_in local = {};
    size = sizeof(local);
    getsockname(file, reinterpret_cast<sockaddr*>(&local), &size);
    if (ntohs(local.sin_port) == request_.local_port) {
      socket_ = file;
      return true;
    }
  }
  return false;
}

bool ConnectionWatch::Closed() {
  if (!FindSocket()) {
    return false;
  }
  char byte = 0;
  const ssize_t got = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace buckthorngate::daemon
