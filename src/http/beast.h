// Boost.Beast as this project uses it, and conversions of heads.
//
// For source files of src/http only: no other folder sees Beast.
#ifndef SRC_HTTP_BEAST_H_
#define SRC_HTTP_BEAST_H_

#include "http/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/time.h"
#include "http/head.h"

namespace buckthorngate::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

// Copies all headers but those that concern one connection only.
void CopyHeaders(const bhttp::fields& from, Headers& to);
void CopyHeaders(const Headers& from, bhttp::fields& to);

// Whether the message names a transfer coding other than chunked, which alone
// is known here: the end of its body cannot be told, or its bytes are coded.
bool HasUnknownTransferCoding(const bhttp::fields& fields);

// Whether the error is the other side's bytes, not the connection's end.
bool IsMalformed(const ErrorCode& error);

// Sets what each socket of the path of requests needs: no delay, and an end
// to connections whose other side acknowledges nothing for `most_untaken`.
// Linux counts the time for which it has no room, too, so `most_untaken` is to
// be longer than any pause that is allowed to it.
void ConfigureSocket(Tcp::socket& socket, base::Duration most_untaken);

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_BEAST_H_
