// Idle connections, and dialling.
#include <sys/socket.h>

#include <algorithm>
#include <system_error>
#include <utility>

#include "base/events.h"
#include "http/address.h"
#include "http/client.h"
#include "http/client_connection.h"

namespace buckthorngate::http {
namespace {

// Idle connections that the other side has closed or sent bytes on are closed
// after this long at most.
constexpr base::Duration kSweepInterval = std::chrono::seconds(1);

// Descriptors, local ports or memory are used up: a failure of this process or
// its host, not of the other side.
bool IsOwnLack(const ErrorCode& error) {
  const std::error_code code = error;
  return code == std::errc::too_many_files_open ||
         code == std::errc::too_many_files_open_in_system ||
         code == std::errc::no_buffer_space ||
         code == std::errc::not_enough_memory ||
         code == std::errc::address_not_available;
}

Probed Found(const ErrorCode& error) {
  if (!error) {
    return Probed::kReached;
  }
  return IsOwnLack(error) ? Probed::kNotMade : Probed::kNotReached;
}

Task<ErrorCode> Connect(ClientConnection& connection, base::MonoTime until) {
  ErrorCode error = asio::error::invalid_argument;
  const std::optional<Tcp::endpoint> endpoint =
      ParseAddress(connection.address_);
  if (endpoint) {
    connection.stream_.expires_at(until);
    co_await connection.stream_.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, error));
  }
  if (IsOwnLack(error)) {
    base::LogEvent(
        base::EventId::kConnectionNotMade,
        {{"address", connection.address_}, {"cause", error.message()}});
  }
  co_return error;
}

}  // namespace

bool ClientConnection::Quiet() {
  char byte = 0;
  return Open() && buffer_.size() == 0 &&
         recv(stream_.socket().native_handle(), &byte, 1,
              MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionPool::ConnectionPool(EventLoop& loop, ClientOptions options)
    : loop_(loop), options_(options), sweep_(loop.Context()) {}
ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::DropOld(std::vector<ClientConnectionPtr>& idle) const {
  const base::MonoTime now = base::MonoNow();
  std::erase_if(idle, [now](const ClientConnectionPtr& connection) {
    return now >= connection->unused_after_;
  });
}

ClientConnectionPtr ConnectionPool::TakeIdle(const std::string& address,
                                             std::string_view id) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<ClientConnectionPtr>& idle = found->second;
  DropOld(idle);
  ClientConnectionPtr taken;
  std::vector<ClientConnectionPtr> left_out;
  // The latest returned is the most likely to be alive.
  while (!idle.empty()) {
    ClientConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (connection->MayAnswerAgain(id)) {
      left_out.push_back(std::move(connection));
    } else if (connection->Quiet()) {
      taken = std::move(connection);
      break;
    }
  }
  idle.insert(idle.end(), left_out.begin(), left_out.end());
  return taken;
}

Task<tl::expected<ClientConnectionPtr, ResultCode>> ConnectionPool::Take(
    const std::string& address,
    base::MonoTime deadline,
    CancelSignal& cancel,
    std::string_view id) {
  ClientConnectionPtr connection = TakeIdle(address, id);
  if (connection != nullptr) {
    co_return connection;
  }
  connection = std::make_shared<ClientConnection>(loop_.Context(), address);
  const CancelScope interrupt(cancel, [connection] { connection->Close(); });
  const base::MonoTime until =
      std::min(deadline, base::MonoNow() + options_.connect_timeout_);
  const ErrorCode error = co_await Connect(*connection, until);
  if (cancel.Raised()) {
    co_return tl::unexpected(ResultCode::kCallerGone);
  }
  if (error) {
    co_return tl::unexpected(IsOwnLack(error) ? ResultCode::kOverloaded
                                              : ResultCode::kConnectFailed);
  }
  ConfigureSocket(connection->stream_.socket(), options_.most_untaken_);
  co_return connection;
}

void ConnectionPool::Return(ClientConnectionPtr connection,
                            base::Duration idle) {
  std::vector<ClientConnectionPtr>& held = idle_[connection->address_];
  DropOld(held);
  if (held.size() >= options_.most_idle_connections_) {
    return;
  }
  connection->unused_after_ =
      base::MonoNow() + std::min(idle, options_.most_idle_);
  held.push_back(std::move(connection));
  ArmSweep();
}

void ConnectionPool::ArmSweep() {
  if (std::exchange(sweeping_, true)) {
    return;
  }
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([this](const ErrorCode& error) {
    if (!error) {
      Sweep();
    }
  });
}

void ConnectionPool::Sweep() {
  sweeping_ = false;
  for (auto& [address, idle] : idle_) {
    DropOld(idle);
    std::erase_if(idle, [](const ClientConnectionPtr& connection) {
      return !connection->Quiet();
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  if (!idle_.empty()) {
    ArmSweep();
  }
}

void ConnectionPool::Forget(const std::string& address) {
  idle_.erase(address);
}

Task<Probed> AcceptsConnections(EventLoop& loop,
                                const std::string& address,
                                base::Duration timeout) {
  ClientConnection connection(loop.Context(), address);
  const ErrorCode error =
      co_await Connect(connection, base::MonoNow() + timeout);
  co_return Found(error);
}

Task<Probed> StillListens(EventLoop& loop,
                          const std::string& address,
                          base::Duration timeout,
                          base::Duration lasts) {
  ClientConnection connection(loop.Context(), address);
  ErrorCode error = co_await Connect(connection, base::MonoNow() + timeout);
  if (error) {
    co_return Found(error);
  }
  char byte = 0;
  connection.stream_.expires_after(lasts);
  co_await connection.stream_.async_read_some(
      asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
  if (!error || error == beast::error::timeout) {
    co_return Probed::kReached;
  }
  co_return co_await AcceptsConnections(loop, address, timeout);
}

}  // namespace buckthorngate::http
