// Accepting connections.
#include "http/server.h"

#include <algorithm>
#include <utility>

#include "http/address.h"
#include "http/server_connection.h"

namespace buckthorngate::http {
namespace {

constexpr int kBacklog = 1024;
// After a failed accept, for instance without a free descriptor.
constexpr base::Duration kAcceptPause = std::chrono::milliseconds(20);
// The write time-out ends a connection before the kernel does, and tells why.
constexpr base::Duration kWriteTimeoutFirst = std::chrono::seconds(2);

}  // namespace

Server::Server(EventLoop& loop, Handler& handler)
    : loop_(loop), handler_(handler), acceptor_(loop.Context()) {}

Server::~Server() {
  for (Connection* const connection : connections_) {
    connection->Orphan();
  }
}

ResultCode Server::Listen(const std::string& address) {
  const std::optional<Tcp::endpoint> endpoint = ParseAddress(address);
  if (!endpoint) {
    return ResultCode::kBadSettings;
  }
  ErrorCode error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  if (error) {
    return ResultCode::kBadSettings;
  }
  loop_.Spawn(Accept());
  return ResultCode::kOk;
}

Task<void> Server::Accept() {
  while (true) {
    Tcp::socket socket(loop_.Context());
    ErrorCode error;
    co_await acceptor_.async_accept(
        socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      co_return;
    }
    if (error) {
      co_await Sleep(loop_.Context(), kAcceptPause);
      continue;
    }
    ConfigureSocket(socket, limits_.write_timeout_ + kWriteTimeoutFirst);
    loop_.Spawn(Connection::Serve(
        std::make_shared<Connection>(*this, std::move(socket))));
  }
}

void Server::Drain() {
  draining_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  const std::set<Connection*> connections = connections_;
  for (Connection* const connection : connections) {
    connection->CloseIfIdle();
  }
}

size_t Server::ServingConnections() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const Connection* connection) { return connection->Serving(); }));
}

void Server::TellOpen() {
  for (Connection* const connection : connections_) {
    connection->TellOpen();
  }
}

void Server::Close() {
  Drain();
  const std::set<Connection*> connections = connections_;
  for (Connection* const connection : connections) {
    connection->Cancel();
  }
}

}  // namespace buckthorngate::http
