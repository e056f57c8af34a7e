// Encoding of hops between daemons as HTTP messages.
#include "daemon/serving/hop_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

#include "request/endpoint_stats.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon::serving {
namespace {

using http::Headers;

std::string RemainingMs(base::MonoTime until, base::MonoTime now) {
  const int64_t left = (until - now) / std::chrono::milliseconds(1);
  return std::to_string(std::max<int64_t>(left, 0));
}

base::MonoTime TimeAfterMs(std::string_view milliseconds, base::MonoTime now) {
  // One year, so that adding it to a time cannot overflow.
  constexpr uint64_t kMaxRemainingMs = uint64_t{366} * 24 * 3600 * 1000;
  const uint64_t left = http::ParseNumber(milliseconds).value_or(0);
  return now + std::chrono::milliseconds(std::min(left, kMaxRemainingMs));
}

std::string ExtractHeader(Headers& headers, std::string_view name) {
  std::string value(headers.Find(name));
  headers.Erase(name);
  return value;
}

constexpr double kPermille = 1000.0;
constexpr std::string_view kRetryAfter = "Retry-After";
// Longer forecasts are not plausible, and are ignored.
constexpr double kMaxRoomSeconds = 60.0;

// Seconds with a fraction; zero if the text is none.
base::Duration ParseSeconds(std::string_view text) {
  double seconds = 0.0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool valid = result.ec == std::errc() &&
                     result.ptr == text.data() + text.size() &&
                     seconds >= 0.0 && seconds <= kMaxRoomSeconds;
  return valid ? std::chrono::duration_cast<base::Duration>(
                     std::chrono::duration<double>(seconds))
               : base::Duration(0);
}

}  // namespace

http::RequestHead EncodeHopRequest(const HopRequest& request,
                                   base::MonoTime now) {
  http::RequestHead head = request.head_;
  Headers& headers = head.headers_;
  headers.Set(request::kRequestIdHeader, request.request_id_);
  headers.Add(request::kAttemptHeader, request.attempt_id_);
  if (request.asked_bytes_ > 0) {
    headers.Add(request::kAskedEndpointHeader, request.endpoint_id_);
    headers.Add(request::kBodyBytesHeader,
                std::to_string(request.asked_bytes_));
  } else {
    headers.Add(request::kEndpointHeader, request.endpoint_id_);
  }
  if (!request.grant_.empty()) {
    headers.Add(request::kGrantHeader, request.grant_);
  }
  headers.Add(request::kCallerHeader, request.caller_host_);
  headers.Add(request::kFingerprintHeader, request.fingerprint_);
  headers.Add(request::kRouteHeader, request.route_);
  headers.Add(request::kDeadlineHeader, RemainingMs(request.deadline_, now));
  if (request.objective_ > now && request.objective_ < request.deadline_) {
    headers.Add(request::kObjectiveHeader,
                RemainingMs(request.objective_, now));
  }
  if (request.priority_ != 0) {
    headers.Add(request::kPriorityHeader, std::to_string(request.priority_));
  }
  if (!request.caller_service_.empty()) {
    headers.Add(request::kCallerServiceHeader, request.caller_service_);
  }
  if (!request.account_.empty()) {
    headers.Add(request::kAccountHeader, request.account_);
  }
  if (request.nested_) {
    headers.Add(request::kNestedHeader, "1");
  }
  if (request.below_retry_) {
    headers.Add(request::kBelowRetryHeader, "1");
  }
  return head;
}

tl::expected<HopRequest, ResultCode> DecodeHopRequest(
    const http::RequestHead& head,
    base::MonoTime now) {
  HopRequest request;
  request.head_ = head;
  Headers& headers = request.head_.headers_;
  request.request_id_ = std::string(headers.Find(request::kRequestIdHeader));
  request.attempt_id_ = ExtractHeader(headers, request::kAttemptHeader);
  request.endpoint_id_ = ExtractHeader(headers, request::kEndpointHeader);
  request.asked_bytes_ =
      http::ParseNumber(headers.Find(request::kBodyBytesHeader)).value_or(0);
  if (request.asked_bytes_ > 0) {
    request.endpoint_id_ =
        ExtractHeader(headers, request::kAskedEndpointHeader);
  }
  request.grant_ = ExtractHeader(headers, request::kGrantHeader);
  if (request.attempt_id_.empty() || request.endpoint_id_.empty()) {
    return tl::unexpected(ResultCode::kMalformed);
  }
  request.caller_host_ = ExtractHeader(headers, request::kCallerHeader);
  request.fingerprint_ = ExtractHeader(headers, request::kFingerprintHeader);
  request.route_ = ExtractHeader(headers, request::kRouteHeader);
  request.caller_service_ =
      ExtractHeader(headers, request::kCallerServiceHeader);
  request.account_ = ExtractHeader(headers, request::kAccountHeader);
  request.deadline_ = TimeAfterMs(headers.Find(request::kDeadlineHeader), now);
  request.objective_ =
      headers.Has(request::kObjectiveHeader)
          ? TimeAfterMs(headers.Find(request::kObjectiveHeader), now)
          : request.deadline_;
  request.priority_ = static_cast<uint32_t>(
      http::ParseNumber(headers.Find(request::kPriorityHeader)).value_or(0));
  request.below_retry_ = headers.Has(request::kBelowRetryHeader);
  request.nested_ = headers.Has(request::kNestedHeader);
  headers.EraseWithPrefix(request::kDaemonHeaderPrefix);
  return request;
}

void EncodeHopAnswer(const HopRequest& request, HopAnswer& answer) {
  if (answer.code_ != ResultCode::kOk) {
    request::Dialect dialect;
    dialect.fractional_retry_after_ = true;
    answer.head_ =
        RefusalHead({answer.code_, answer.not_run_, "", answer.room_}, dialect);
    answer.body_.clear();
    answer.rest_ = nullptr;
  } else {
    answer.head_.headers_.EraseWithPrefix(request::kDaemonHeaderPrefix);
  }
  Headers& headers = answer.head_.headers_;
  headers.Add(request::kAttemptHeader, request.attempt_id_);
  if (answer.calls_ != 1) {
    headers.Add(request::kCallsHeader, std::to_string(answer.calls_));
  }
  if (answer.crashed_) {
    headers.Add(request::kCrashedHeader, "true");
  }
  if (answer.load_) {
    headers.Add(request::kLoadHeader, std::to_string(*answer.load_));
  }
  if (answer.cold_) {
    headers.Add(request::kColdHeader, *answer.cold_ ? "1" : "0");
  }
  if (answer.cold_room_) {
    headers.Add(request::kColdRoomHeader, std::to_string(*answer.cold_room_));
  }
  if (answer.link_use_) {
    headers.Add(
        request::kLinkUseHeader,
        std::to_string(static_cast<int64_t>(*answer.link_use_ * kPermille)));
  }
  if (!answer.grant_.empty()) {
    headers.Add(request::kGrantHeader, answer.grant_);
  }
  if (answer.reached_) {
    headers.Add(request::kReachedHeader, "true");
  }
}

void DecodeHopAnswer(HopAnswer& answer) {
  Headers& headers = answer.head_.headers_;
  const std::string_view result = headers.Find(request::kResultHeader);
  const std::optional<uint64_t> number =
      http::ParseNumber(result.substr(0, result.find(' ')));
  answer.code_ = number ? ResultCodeFromNumber(static_cast<uint32_t>(*number))
                        : ResultCode::kOk;
  answer.not_run_ = headers.Find(request::kNotRunHeader) == "true";
  answer.crashed_ = headers.Has(request::kCrashedHeader);
  answer.reached_ = headers.Has(request::kReachedHeader);
  answer.calls_ = static_cast<uint32_t>(std::max<uint64_t>(
      http::ParseNumber(headers.Find(request::kCallsHeader)).value_or(1), 1));
  const std::optional<uint64_t> load =
      http::ParseNumber(headers.Find(request::kLoadHeader));
  if (load) {
    answer.load_ = static_cast<uint32_t>(*load);
  }
  if (answer.code_ == ResultCode::kEndpointOverloaded) {
    answer.room_ = ParseSeconds(headers.Find(kRetryAfter));
  }
  if (headers.Has(request::kColdHeader)) {
    answer.cold_ = headers.Find(request::kColdHeader) == "1";
  }
  const std::optional<uint64_t> cold_room =
      http::ParseNumber(headers.Find(request::kColdRoomHeader));
  if (cold_room) {
    answer.cold_room_ = static_cast<uint32_t>(
        std::min<uint64_t>(*cold_room, request::kMaxColdRoom));
  }
  const std::optional<uint64_t> link_use =
      http::ParseNumber(headers.Find(request::kLinkUseHeader));
  if (link_use) {
    answer.link_use_ = static_cast<double>(*link_use) / kPermille;
  }
  answer.grant_ = std::string(headers.Find(request::kGrantHeader));
  headers.EraseWithPrefix(request::kDaemonHeaderPrefix);
}

}  // namespace buckthorngate::daemon::serving
