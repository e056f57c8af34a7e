// Headers between daemons, and between a daemon and its upstream.
#ifndef SRC_REQUEST_HOP_HEADERS_H_
#define SRC_REQUEST_HOP_HEADERS_H_

#include <string_view>

namespace buckthorngate::request {

// Identifies one request through all hops. An upstream passes it on with its
// own calls, so that a call tree is known as one.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";
// Remaining time in milliseconds.
inline constexpr char kDeadlineHeader[] = "Bg-Deadline-Ms";
// Present below a retry: no further retries of what may have run.
inline constexpr char kBelowRetryHeader[] = "Bg-Below-Retry";
// Calls that an answer caused, itself included.
inline constexpr char kCallsHeader[] = "Bg-Calls";
// Number and name of a result code, on answers of a daemon.
inline constexpr char kResultHeader[] = "Bg-Result";
// "true" only if the request certainly did not run.
inline constexpr char kNotRunHeader[] = "Bg-Not-Run";
// Between daemons only: the upstream died under this request.
inline constexpr char kCrashedHeader[] = "Bg-Crashed";
// Between daemons only: the attempt's id, echoed by the answer.
inline constexpr char kAttemptHeader[] = "Bg-Attempt";
// Between daemons only: the endpoint that was picked, and its service.
inline constexpr char kEndpointHeader[] = "Bg-Endpoint";
inline constexpr char kCallerHeader[] = "Bg-Caller";
inline constexpr char kFingerprintHeader[] = "Bg-Fingerprint";
// Between daemons only: the route, whose requests take about the same time.
inline constexpr char kRouteHeader[] = "Bg-Route";
// Between daemons only: a call of a request that runs at the caller's host.
inline constexpr char kNestedHeader[] = "Bg-Nested";
// Between daemons only: the service beside which the request began.
inline constexpr char kCallerServiceHeader[] = "Bg-Caller-Service";
// Between daemons only: the route's priority, and the milliseconds that are
// left of its latency objective.
inline constexpr char kPriorityHeader[] = "Bg-Priority";
inline constexpr char kObjectiveHeader[] = "Bg-Objective-Ms";
// Between daemons only, on answers: the upstream has been sent the request.
inline constexpr char kReachedHeader[] = "Bg-Reached";
// Between daemons only, on answers: requests that run or wait at the endpoint.
inline constexpr char kLoadHeader[] = "Bg-Load";
// 1 while the endpoint warms up after its start, else 0; absent if not known.
inline constexpr char kColdHeader[] = "Bg-Cold";

// Prefix of all headers that only daemons may set.
inline constexpr std::string_view kDaemonHeaderPrefix = "Bg-";

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_HOP_HEADERS_H_
