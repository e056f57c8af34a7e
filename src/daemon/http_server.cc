// Set-up that a daemon's HTTP servers share.
#include "daemon/http_server.h"

#include <httplib.h>

#include <chrono>
#include <limits>

namespace buckthorngate::daemon {
namespace {

// Longer than other daemons keep a connection idle.
constexpr time_t kKeepAliveSeconds = 5;
constexpr std::chrono::seconds kSocketTimeout{60};

}  // namespace

void ConfigureServer(httplib::Server& server, size_t threads) {
  // One thread serves one connection for as long as that is open.
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1'000'000);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_read_timeout(kSocketTimeout);
  server.set_write_timeout(kSocketTimeout);
  server.set_payload_max_length(std::numeric_limits<size_t>::max());
}

void HandleAll(httplib::Server& server, const HandlerFunction& handler) {
  constexpr char kAnyPath[] = ".*";
  // Requests without a body need no pattern.
  server.set_pre_routing_handler(
      [handler](const httplib::Request& request, httplib::Response& response) {
        const bool body = request.has_header("Content-Length") ||
                          request.has_header("Transfer-Encoding");
        if (body && request.method != "GET" && request.method != "HEAD") {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        handler(request, nullptr, response);
        return httplib::Server::HandlerResponse::Handled;
      });
  const httplib::Server::HandlerWithContentReader with_body =
      [handler](const httplib::Request& request, httplib::Response& response,
                const httplib::ContentReader& reader) {
        handler(request, &reader, response);
      };
  server.Post(kAnyPath, with_body);
  server.Put(kAnyPath, with_body);
  server.Patch(kAnyPath, with_body);
  server.Delete(kAnyPath, with_body);
}

}  // namespace buckthorngate::daemon
