// HTTP headers exchanged between daemons, and between a daemon and its callers
// and upstreams.
#ifndef SRC_REQUEST_HOP_HEADERS_H_
#define SRC_REQUEST_HOP_HEADERS_H_

#include <string_view>

namespace buckthorngate::request {

// Identifies one request on all hops. An upstream propagates it with its own
// calls, so that daemons can relate the calls of one call tree.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";
// Time left until the deadline, in milliseconds.
inline constexpr char kDeadlineHeader[] = "Bg-Deadline-Ms";
// Present on a retry and on all calls in its call tree: requests that may have
// run are not retried again.
inline constexpr char kBelowRetryHeader[] = "Bg-Below-Retry";
// On answers: number of calls in the call tree of the request, itself included.
inline constexpr char kCallsHeader[] = "Bg-Calls";
// On answers made by a daemon: number and name of the result code.
inline constexpr char kResultHeader[] = "Bg-Result";
// On answers: "true" only if the request certainly did not run.
inline constexpr char kNotRunHeader[] = "Bg-Not-Run";
// Between daemons only, on answers: the upstream crashed while it ran this
// request.
inline constexpr char kCrashedHeader[] = "Bg-Crashed";
// Between daemons only: id of the attempt, echoed by the answer.
inline constexpr char kAttemptHeader[] = "Bg-Attempt";
// Between daemons only: id of the picked endpoint.
inline constexpr char kEndpointHeader[] = "Bg-Endpoint";
// Between daemons only: the caller's host, for fair admission between hosts.
inline constexpr char kCallerHeader[] = "Bg-Caller";
// Between daemons only: fingerprint of the request, for the quarantine.
inline constexpr char kFingerprintHeader[] = "Bg-Fingerprint";
// Between daemons only: name of the route; requests of one route have similar
// service times.
inline constexpr char kRouteHeader[] = "Bg-Route";
// Between daemons only: present if this is a nested call of a request that runs
// on the caller's host.
inline constexpr char kNestedHeader[] = "Bg-Nested";
// Between daemons only: the service of the host at which the request entered
// the mesh.
inline constexpr char kCallerServiceHeader[] = "Bg-Caller-Service";
// Between daemons only: priority of the route.
inline constexpr char kPriorityHeader[] = "Bg-Priority";
// Between daemons only: time left of the route's latency objective, in
// milliseconds.
inline constexpr char kObjectiveHeader[] = "Bg-Objective-Ms";
// Between daemons only, on answers: the request has been sent to the upstream.
inline constexpr char kReachedHeader[] = "Bg-Reached";
// Between daemons only, on answers: number of requests that run or wait at the
// endpoint.
inline constexpr char kLoadHeader[] = "Bg-Load";
// Between daemons only, on answers: 1 while the endpoint warms up after its
// start, else 0; absent if unknown.
inline constexpr char kColdHeader[] = "Bg-Cold";

// Between daemons only: name of the client account.
inline constexpr char kAccountHeader[] = "Bg-Account";
// Between daemons only, on answers: number of requests that a cold endpoint may
// take within the next second; absent for one that is not cold.
inline constexpr char kColdRoomHeader[] = "Bg-Cold-Room";

// Between daemons only: asks whether a body of this many bytes may be sent to
// the endpoint named by kAskedEndpointHeader. Such a question has no
// kEndpointHeader, so that a daemon that doesn't know it refuses it.
inline constexpr char kBodyBytesHeader[] = "Bg-Body-Bytes";
inline constexpr char kAskedEndpointHeader[] = "Bg-Asked-Endpoint";
// Between daemons only: the grant that answers such a question, and that is
// sent with the body.
inline constexpr char kGrantHeader[] = "Bg-Grant";
// Between daemons only, on answers: use of the host's incoming link by bodies,
// in thousandths; absent if its bandwidth is not known or large.
inline constexpr char kLinkUseHeader[] = "Bg-Link-Use";

// Prefix of the headers that only daemons may set.
inline constexpr std::string_view kDaemonHeaderPrefix = "Bg-";

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_HOP_HEADERS_H_
