// Names of the headers that callers and upstreams use.
//
// The defaults are the product's own. An adapter to a platform with other
// names fills in its own; nothing else of the product knows them.
#ifndef SRC_REQUEST_DIALECT_H_
#define SRC_REQUEST_DIALECT_H_

#include <string>

#include "request/hop_headers.h"

namespace buckthorngate::request {

struct Dialect {
  // Remaining time in milliseconds, from callers and to upstreams.
  std::string deadline_ = kDeadlineHeader;
  // To upstreams: the service beside which the request began. Empty: not sent.
  std::string caller_service_;
  // To upstreams: the instance that is to run the request; any other one
  // refuses it with kMisdirectedStatus. Empty: not sent.
  std::string expected_instance_;
  // In an upstream's answer: the request was not run. Empty: none says so.
  std::string not_executed_;
  // Whether each upstream repeats the request's id in its answer, so that one
  // without it belongs to no request.
  bool upstreams_echo_id_ = false;
  // Whether Retry-After may have a fraction of a second.
  bool fractional_retry_after_ = false;
  // Whether answers tell callers the number of calls that they caused.
  bool reports_call_count_ = true;
};

inline constexpr int kMisdirectedStatus = 421;

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_DIALECT_H_
