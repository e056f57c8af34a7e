// Error answers that a daemon generates itself.
#include "daemon/serving/refusal.h"

#include <array>
#include <charconv>

#include "base/http_status.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon::serving {
namespace {

std::string FormatSeconds(base::Duration time, bool fractional) {
  constexpr std::chrono::seconds kSecond{1};
  if (!fractional) {
    return std::to_string((time + kSecond - base::Duration(1)) / kSecond);
  }
  std::array<char, 32> text = {};
  constexpr int kMilliseconds = 3;
  const std::to_chars_result end =
      std::to_chars(text.data(), text.data() + text.size(),
                    std::chrono::duration<double>(time).count(),
                    std::chars_format::fixed, kMilliseconds);
  return std::string(text.data(), end.ptr);
}

}  // namespace

int HttpStatusOf(ResultCode code, bool not_run) {
  switch (code) {
    case ResultCode::kNoRoute:
      return base::kStatusNotFound;
    case ResultCode::kKeyMissing:
      return base::kStatusBadRequest;
    case ResultCode::kAccountKeyMissing:
    case ResultCode::kAccountKeyUnknown:
      return base::kStatusUnauthorized;
    case ResultCode::kKeyReused:
      return base::kStatusUnprocessable;
    case ResultCode::kClaimOutcomeUnknown:
      return base::kStatusConflict;
    case ResultCode::kQuotaExceeded:
    case ResultCode::kEndpointOverloaded:
    case ResultCode::kUpstreamShed:
      return not_run ? base::kStatusTooManyRequests : base::kStatusBadGateway;
    case ResultCode::kDeadlineExceeded:
      return not_run ? base::kStatusUnavailable : base::kStatusGatewayTimeout;
    default:
      return not_run ? base::kStatusUnavailable : base::kStatusBadGateway;
  }
}

http::AnswerHead RefusalHead(const Refusal& refusal,
                             const request::Dialect& dialect) {
  const ResultCodeInfo& info = Describe(refusal.code_);
  http::AnswerHead head;
  head.status_ = HttpStatusOf(refusal.code_, refusal.not_run_);
  head.headers_.Add(request::kResultHeader,
                    std::to_string(static_cast<int>(refusal.code_)) + " " +
                        std::string(info.name_));
  if (refusal.not_run_) {
    head.headers_.Add(request::kNotRunHeader, "true");
  }
  if (refusal.not_run_ && refusal.retry_after_.count() > 0) {
    head.headers_.Add(
        "Retry-After",
        FormatSeconds(refusal.retry_after_, dialect.fractional_retry_after_));
  }
  if (!refusal.request_id_.empty()) {
    head.headers_.Add(request::kRequestIdHeader, refusal.request_id_);
  }
  head.headers_.Add("Content-Type", "text/plain");
  return head;
}

std::string RefusalBody(ResultCode code) {
  return std::string(Describe(code).message_) + "\n";
}

}  // namespace buckthorngate::daemon::serving
