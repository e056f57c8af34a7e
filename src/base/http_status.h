// HTTP status codes that daemons send or test for.
#ifndef SRC_BASE_HTTP_STATUS_H_
#define SRC_BASE_HTTP_STATUS_H_

namespace buckthorngate::base {

inline constexpr int kStatusOk = 200;
// Lower status codes are interim responses (1xx).
inline constexpr int kStatusFirstFinal = 200;
inline constexpr int kStatusNoContent = 204;
inline constexpr int kStatusNotModified = 304;
inline constexpr int kStatusRedirect = 307;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusHeadersTooLarge = 431;
// Status codes from here on report a failure of the server.
inline constexpr int kStatusServerError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

}  // namespace buckthorngate::base

#endif  // SRC_BASE_HTTP_STATUS_H_
