// Admin server on cpp-httplib: requests are few and short, so a thread pool is
// enough.
#include "daemon/admin_server.h"

#include <httplib.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "base/http_status.h"
#include "daemon/settings.h"
#include "http/head.h"

namespace buckthorngate::daemon {
namespace {

constexpr size_t kServerThreads = 8;
constexpr time_t kKeepAliveSeconds = 5;
constexpr uint64_t kDefaultSlots = 20;
constexpr uint64_t kMaxSlots = 100'000;

uint32_t ParseSlots(const std::string& text) {
  const uint64_t slots = http::ParseNumber(text).value_or(0);
  return static_cast<uint32_t>(slots == 0 ? kDefaultSlots
                                          : std::min(slots, kMaxSlots));
}

void SetTextResponse(httplib::Response& response,
                     int status,
                     const std::string& text) {
  response.status = status;
  response.set_content(text + "\n", "text/plain");
}

}  // namespace

class AdminServer::Impl {
 public:
  explicit Impl(AdminHandlers handlers) : handlers_(std::move(handlers)) {
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(kServerThreads);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_timeout(kKeepAliveSeconds);
    RegisterRoutes();
  }

  ResultCode Start(const std::string& address) {
    if (!server_.bind_to_port(HostOf(address), PortOf(address))) {
      return ResultCode::kBadSettings;
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return ResultCode::kOk;
  }

  void Stop() {
    if (thread_.joinable()) {
      server_.stop();
      thread_.join();
    }
  }

 private:
  void OnAnnounce(const httplib::Request& request,
                  httplib::Response& response) {
    registry::Announcement announcement;
    announcement.service_ = request.get_param_value("service");
    announcement.version_ = request.get_param_value("version");
    announcement.address_ = request.get_param_value("address");
    announcement.slots_ = ParseSlots(request.get_param_value("slots"));
    announcement.instance_ = request.get_param_value("instance");
    const bool valid = !announcement.service_.empty() &&
                       !announcement.version_.empty() &&
                       IsIpAddress(announcement.address_);
    if (!valid) {
      SetTextResponse(response, base::kStatusBadRequest,
                      std::string(Describe(ResultCode::kMissingKey).message_));
      return;
    }
    handlers_.announce_(announcement);
    SetTextResponse(response, base::kStatusOk, "ok");
  }

  void RegisterRoutes() {
    if (handlers_.announce_) {
      RegisterUpstreamRoutes();
    }
    RegisterPageRoutes();
  }

  void RegisterUpstreamRoutes() {
    server_.Post("/announce", [this](const httplib::Request& request,
                                     httplib::Response& response) {
      OnAnnounce(request, response);
    });
    server_.Post("/drain", [this](const httplib::Request& request,
                                  httplib::Response& response) {
      handlers_.drain_(request.get_param_value("address"));
      SetTextResponse(response, base::kStatusOk, "ok");
    });
    server_.Post("/leave", [this](const httplib::Request& request,
                                  httplib::Response& response) {
      handlers_.leave_(request.get_param_value("address"));
      SetTextResponse(response, base::kStatusOk, "ok");
    });
  }

  void RegisterPageRoutes() {
    server_.Get("/metrics", [this](const httplib::Request&,
                                   httplib::Response& response) {
      response.set_content(handlers_.metrics_(), "text/plain; version=0.0.4");
    });
    server_.Get("/healthz",
                [](const httplib::Request&, httplib::Response& response) {
                  SetTextResponse(response, base::kStatusOk, "ok");
                });
    server_.Get("/readyz", [this](const httplib::Request&,
                                  httplib::Response& response) {
      const bool ready = handlers_.ready_();
      SetTextResponse(response,
                      ready ? base::kStatusOk : base::kStatusUnavailable,
                      ready ? "ready" : "not ready");
    });
  }

  const AdminHandlers handlers_;
  httplib::Server server_;
  std::thread thread_;
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

}  // namespace buckthorngate::daemon
