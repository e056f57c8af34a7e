// Boost.Asio as this project uses it: one loop, one thread, coroutines.
#ifndef SRC_HTTP_ASIO_H_
#define SRC_HTTP_ASIO_H_

// Boost 1.74 uses std::exchange in C++20 without its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorngate::http {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// A coroutine on the loop's thread.
template <typename T>
using Task = boost::asio::awaitable<T>;

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_ASIO_H_
