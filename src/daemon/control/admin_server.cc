// Admin server: forms of upstreams and pages, handled on threads that only get
// requests which were read completely.
#include "daemon/control/admin_server.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/http_status.h"
#include "daemon/control/blocking_server.h"
#include "daemon/startup/settings.h"
#include "http/head.h"

namespace buckthorngate::daemon::control {
namespace {

constexpr size_t kServerThreads = 8;
// An announcement takes less than 1 KiB.
constexpr size_t kMaxBodyBytes = size_t{8} * 1024;
// Bodies and answers of all calls together.
constexpr size_t kMaxBufferedBytes = size_t{8} * 1024 * 1024;
// Time for the head of a request, for its body and between two of its bytes.
constexpr base::Duration kReadTimeout = std::chrono::seconds(5);
constexpr uint64_t kDefaultSlots = 20;
constexpr uint64_t kMaxSlots = 100'000;

uint32_t ParseSlots(const std::string& text) {
  const uint64_t slots = http::ParseNumber(text).value_or(0);
  return static_cast<uint32_t>(slots == 0 ? kDefaultSlots
                                          : std::min(slots, kMaxSlots));
}

// Value of the first field with this name in "a=1&b=2", decoded; empty if there
// is none.
std::string FindField(std::string_view form, std::string_view name) {
  while (!form.empty()) {
    const std::string_view field = form.substr(0, form.find('&'));
    form.remove_prefix(std::min(form.size(), field.size() + 1));
    const size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == name) {
      std::string value(field.substr(equals + 1));
      std::replace(value.begin(), value.end(), '+', ' ');
      return http::DecodePath(value);
    }
  }
  return std::string();
}

// Value of a parameter in the target's query or in the form that is the body.
std::string FindParameter(const BufferedRequest& call, std::string_view name) {
  const std::string_view target = call.head_.target_;
  const std::string_view query =
      target.substr(std::min(target.size(), call.head_.Path().size() + 1));
  const std::string value = FindField(query, name);
  return value.empty() ? FindField(call.body_, name) : value;
}

// Of an announcement that was not taken.
int StatusOfRefusal(ResultCode code) {
  switch (code) {
    case ResultCode::kUnknownService:
    case ResultCode::kForeignAddress:
      return base::kStatusBadRequest;
    case ResultCode::kAddressHeld:
      return base::kStatusConflict;
    default:
      return base::kStatusUnavailable;
  }
}

BufferedResponse TextAnswer(int status, std::string text) {
  BufferedResponse answer;
  answer.head_.status_ = status;
  answer.head_.headers_.Add("Content-Type", "text/plain");
  answer.body_ = std::move(text);
  return answer;
}

BlockingLimits Limits() {
  BlockingLimits limits;
  limits.name_ = "admin";
  limits.threads_ = kServerThreads;
  limits.server_.body_bytes_ = kMaxBodyBytes;
  limits.server_.header_timeout_ = kReadTimeout;
  limits.server_.idle_timeout_ = kReadTimeout;
  limits.body_timeout_ = kReadTimeout;
  limits.max_buffered_bytes_ = kMaxBufferedBytes;
  return limits;
}

}  // namespace

class AdminServer::Impl : public BlockingHandler {
 public:
  explicit Impl(AdminHandlers handlers)
      : handlers_(std::move(handlers)), server_(*this, Limits()) {}

  ResultCode Start(const std::string& address) {
    return server_.Start(address);
  }
  void Stop() { server_.Stop(); }

  BufferedResponse Handle(const BufferedRequest& call) override {
    const std::string& method = call.head_.method_;
    if (method == "POST" && handlers_.announce_) {
      return HandleUpstreamCall(call);
    }
    if (method == "GET" || method == "HEAD") {
      return HandlePage(call.head_.Path());
    }
    return TextAnswer(base::kStatusNotFound, "");
  }

 private:
  BufferedResponse HandleUpstreamCall(const BufferedRequest& call) {
    const std::string_view path = call.head_.Path();
    if (path == "/announce") {
      return OnAnnounce(call);
    }
    if (path == "/drain") {
      return Acknowledge(handlers_.drain_(FindParameter(call, "address")));
    }
    if (path == "/leave") {
      return Acknowledge(handlers_.leave_(FindParameter(call, "address")));
    }
    return TextAnswer(base::kStatusNotFound, "");
  }

  BufferedResponse OnAnnounce(const BufferedRequest& call) {
    registry::Announcement announcement;
    announcement.service_ = FindParameter(call, "service");
    announcement.version_ = FindParameter(call, "version");
    announcement.address_ = FindParameter(call, "address");
    announcement.slots_ = ParseSlots(FindParameter(call, "slots"));
    announcement.instance_ = FindParameter(call, "instance");
    const bool valid = !announcement.service_.empty() &&
                       !announcement.version_.empty() &&
                       startup::IsIpAddress(announcement.address_);
    if (!valid) {
      return TextAnswer(
          base::kStatusBadRequest,
          std::string(Describe(ResultCode::kMissingKey).message_) + "\n");
    }
    return Acknowledge(handlers_.announce_(announcement));
  }

  static BufferedResponse Acknowledge(ResultCode code) {
    // An announcement that is older than the known one has nothing to repeat.
    if (code == ResultCode::kOk || code == ResultCode::kNumberStale) {
      return TextAnswer(base::kStatusOk, "ok\n");
    }
    return TextAnswer(StatusOfRefusal(code),
                      std::string(Describe(code).message_) + "\n");
  }

  BufferedResponse HandlePage(std::string_view path) {
    if (path == "/metrics") {
      BufferedResponse answer =
          TextAnswer(base::kStatusOk, handlers_.metrics_());
      answer.head_.headers_.Set("Content-Type", "text/plain; version=0.0.4");
      return answer;
    }
    if (path == "/healthz") {
      return TextAnswer(base::kStatusOk, "ok\n");
    }
    if (path == "/readyz") {
      return handlers_.ready_()
                 ? TextAnswer(base::kStatusOk, "ready\n")
                 : TextAnswer(base::kStatusUnavailable, "not ready\n");
    }
    return TextAnswer(base::kStatusNotFound, "");
  }

  const AdminHandlers handlers_;
  BlockingServer server_;
};

AdminServer::AdminServer(AdminHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(handlers))) {}
AdminServer::~AdminServer() {
  Stop();
}
ResultCode AdminServer::Start(const std::string& address) {
  return impl_->Start(address);
}
void AdminServer::Stop() {
  impl_->Stop();
}

}  // namespace buckthorngate::daemon::control
