// HTTP statuses that daemons give or look for.
#ifndef SRC_BASE_HTTP_STATUS_H_
#define SRC_BASE_HTTP_STATUS_H_

namespace buckthorngate::base {

inline constexpr int kStatusOk = 200;
// Lower ones are interim.
inline constexpr int kStatusFirstFinal = 200;
inline constexpr int kStatusNoContent = 204;
inline constexpr int kStatusNotModified = 304;
inline constexpr int kStatusRedirect = 307;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusHeadersTooLarge = 431;
// This and higher ones: the server failed.
inline constexpr int kStatusServerError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

}  // namespace buckthorngate::base

#endif  // SRC_BASE_HTTP_STATUS_H_
