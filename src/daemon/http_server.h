// Set-up that a daemon's HTTP servers share.
#ifndef SRC_DAEMON_HTTP_SERVER_H_
#define SRC_DAEMON_HTTP_SERVER_H_

#include <cstddef>
#include <functional>

namespace httplib {
struct Request;
struct Response;
class ContentReader;
class Server;
}  // namespace httplib

namespace buckthorngate::daemon {

// The reader is null for a request without a body.
using HandlerFunction = std::function<void(const httplib::Request&,
                                           const httplib::ContentReader*,
                                           httplib::Response&)>;

// Time-outs and threads; `threads` bounds the open connections.
void ConfigureServer(httplib::Server& server, size_t threads);

// Routes all methods and paths to one handler.
void HandleAll(httplib::Server& server, const HandlerFunction& handler);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_HTTP_SERVER_H_
