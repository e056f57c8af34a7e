// Header names and conventions in the exchange with callers and upstreams.
//
// The defaults are the product's own. An adapter to a platform with other
// conventions sets them here; no other part of the product depends on them.
#ifndef SRC_REQUEST_DIALECT_H_
#define SRC_REQUEST_DIALECT_H_

#include <string>

#include "request/hop_headers.h"

namespace buckthorngate::request {

struct Dialect {
  // Header with the time left until the deadline, in milliseconds; read from
  // callers and sent to upstreams.
  std::string deadline_ = kDeadlineHeader;
  // Header sent to upstreams with the service of the host at which the request
  // entered the mesh. Empty: not sent.
  std::string caller_service_;
  // Header sent to upstreams with the instance that is to run the request; any
  // other instance refuses it with kMisdirectedStatus. Empty: not sent.
  std::string expected_instance_;
  // Header by which an upstream's answer states that the request was not run.
  // Empty: upstreams have no such header.
  std::string not_executed_;
  // Header in which callers send the key of a client account. Never passed on.
  std::string account_key_ = "Api-Key";
  // Header sent to upstreams with the name of the client account; removed from
  // requests without an account. Empty: not sent.
  std::string account_name_;
  // Whether all upstreams echo the request id in their answers. An answer
  // without the id then belongs to no request.
  bool upstreams_echo_id_ = false;
  // Whether Retry-After may contain a fraction of a second.
  bool fractional_retry_after_ = false;
  // Whether answers to callers carry kCallsHeader, the number of calls that the
  // request caused, and requests to upstreams kBelowRetryHeader.
  bool reports_call_count_ = true;
};

// HTTP status "Misdirected Request".
inline constexpr int kMisdirectedStatus = 421;

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_DIALECT_H_
