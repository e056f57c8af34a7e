// The entry side: preparation of a request and its at-most-once claim.
#include "daemon/serving/entry_call.h"

#include <algorithm>
#include <utility>

#include "base/events.h"
#include "base/hash.h"
#include "request/claim_ledger.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon::serving {
namespace {

// Body limit of requests that run at most once: the claim needs a digest of the
// whole request, so they are not streamed.
constexpr size_t kMaxClaimBodyBytes = size_t{1024} * 1024;
// Uploads up to this size are sent once they have arrived; see BufferBudget.
constexpr size_t kUploadBufferBytes = size_t{256} * 1024;
// Claims outlive their request by far. Otherwise a daemon that was suspended
// after claiming a key could run its request after the claim has expired and
// was granted to another daemon.
constexpr std::chrono::milliseconds kClaimLifetimeMs = request::kClaimLifetime;

}  // namespace

Entry::Call::Call(Entry& entry, http::ServerCall& call)
    : entry_(entry),
      call_(call),
      dialect_(entry.options_.dialect_),
      view_(entry.board_.View().Read()),
      began_(entry.clock_.Read().mono_) {}

Entry::Call::~Call() {
  if (route_in_flight_ != nullptr) {
    route_in_flight_->fetch_sub(1);
  }
}

bool Entry::Call::AcquireRouteConcurrency() {
  const int32_t limit = static_cast<int32_t>(match_.route_->max_concurrency());
  if (limit == 0) {
    return true;
  }
  std::atomic<int32_t>& in_flight =
      entry_.board_.Service(service_name_ + "/" + RouteName()).in_flight_;
  if (in_flight.fetch_add(1) >= limit) {
    in_flight.fetch_sub(1);
    return false;
  }
  route_in_flight_ = &in_flight;
  return true;
}

base::Duration Entry::Call::RemainingTime() const {
  return deadline_ - entry_.clock_.Read().mono_;
}

http::Task<void> Entry::Call::Refuse(ResultCode code, bool not_run) {
  Refusal refusal;
  refusal.code_ = code;
  refusal.not_run_ = not_run;
  refusal.request_id_ = request_id_;
  refusal.retry_after_ = not_run ? RefusalDelay(code) : base::Duration(0);
  if (not_run) {
    GiveBackQuota();
  }
  http::AnswerHead head = RefusalHead(refusal, dialect_);
  if (dialect_.reports_call_count_) {
    head.headers_.Add(request::kCallsHeader, std::to_string(calls_));
  }
  entry_.board_.DaemonMetrics().CountResult(code);
  LogRequestDone(head.status_, code);
  const std::string body = RefusalBody(code);
  co_await call_.Answer(head, body);
}

void Entry::Call::LogRequestDone(int status, ResultCode code) {
  const base::Duration took = entry_.clock_.Read().mono_ - began_;
  base::LogEvent(base::EventId::kRequestDone,
                 {{"request", request_id_},
                  {"route", match_.route_ == nullptr ? "" : RouteName()},
                  {"service", service_name_},
                  {"endpoint", last_endpoint_},
                  {"status", std::to_string(status)},
                  {"code", std::string(Describe(code).name_)},
                  {"attempts", std::to_string(attempts_)},
                  {"reached", std::to_string(reached_)},
                  {"revision", std::to_string(view_->revision_)},
                  {"behind_ms", std::to_string(entry_.board_.BehindFor() /
                                               std::chrono::milliseconds(1))},
                  {"us", std::to_string(took.count())},
                  {"left_ms", std::to_string(RemainingTime() /
                                             std::chrono::milliseconds(1))}});
}

ResultCode Entry::Call::MatchRoute() {
  const http::RequestHead& head = call_.Head();
  request_id_ = std::string(head.headers_.Find(request::kRequestIdHeader));
  if (request_id_.empty()) {
    request_id_ = entry_.NextId();
  }
  call_.SetId(request_id_);
  const request::Nesting nesting = entry_.board_.Calls().NestingOf(request_id_);
  nested_ = nesting != request::Nesting::kNone;
  // Not every upstream forwards the header, so the call tree is checked first.
  below_retry_ = nesting == request::Nesting::kCallBelowRetry ||
                 head.headers_.Has(request::kBelowRetryHeader);
  if (!view_->may_serve_) {
    return ResultCode::kBelowFloor;
  }
  match_ = view_->routes_->Match(head.headers_.Find("Host"), head.Path(),
                                 head.method_);
  if (match_.route_ != nullptr) {
    return ResultCode::kOk;
  }
  // Before the first publication it is not known which routes will exist, and
  // while there is a newer revision, which ones it has.
  return view_->routes_->Empty() || IsBehind() ? ResultCode::kBelowFloor
                                               : ResultCode::kNoRoute;
}

void Entry::Call::ChooseService() {
  if (match_.service_ != nullptr) {
    service_state_ = match_.service_;
    service_name_ = match_.service_->service().name();
    return;
  }
  uint64_t weights = 0;
  for (const rpc::RouteTarget& target : match_.route_->targets()) {
    weights += target.weight();
  }
  uint64_t draw = entry_.random_.Below(std::max<uint64_t>(weights, 1));
  for (const rpc::RouteTarget& target : match_.route_->targets()) {
    service_name_ = target.service();
    if (draw < target.weight()) {
      break;
    }
    draw -= target.weight();
  }
  service_state_ = view_->routes_->FindService(service_name_);
}

void Entry::Call::SetDeadlines() {
  const rpc::Route& route = *match_.route_;
  const uint64_t given_ms =
      http::ParseNumber(call_.Head().headers_.Find(dialect_.deadline_))
          .value_or(route.timeout_ms());
  const std::chrono::milliseconds left(
      std::min<uint64_t>(given_ms, route.timeout_ms()));
  deadline_ = began_ + left;
  // A caller that retries has less than the route's timeout left. The time that
  // it has used is subtracted from the latency objective as well.
  const std::chrono::milliseconds elapsed =
      std::chrono::milliseconds(route.timeout_ms()) - left;
  const std::chrono::milliseconds objective(route.objective_ms());
  objective_ = objective > elapsed ? began_ + (objective - elapsed) : deadline_;
}

size_t Entry::Call::BodyBufferBytes() {
  if (match_.route_->at_most_once()) {
    return kMaxClaimBodyBytes;
  }
  if (!match_.route_->large_body()) {
    return kMaxBufferedBodyBytes;
  }
  upload_buffer_ = entry_.upload_buffers_.Reserve();
  return upload_buffer_ ? kUploadBufferBytes : kMaxBufferedBodyBytes;
}

ResultCode Entry::Call::CheckEndpoints() {
  ResultCode code = ResultCode::kOk;
  (void)Pick(ChooseVersions(), entry_.clock_.Read().mono_, code);
  return code;
}

http::Task<ResultCode> Entry::Call::ReadBody() {
  if (!call_.HasBody()) {
    co_return ResultCode::kOk;
  }
  const bool at_most_once = match_.route_->at_most_once();
  const size_t max_bytes = BodyBufferBytes();
  http::BodyState state = http::BodyState::kMore;
  while (state == http::BodyState::kMore && body_.size() < max_bytes) {
    state = co_await call_.Read(body_, max_bytes);
    // A slowly arriving body must not extend the request past its deadline.
    if (state == http::BodyState::kMore && RemainingTime().count() <= 0) {
      co_return ResultCode::kDeadlineExceeded;
    }
  }
  if (state == http::BodyState::kFailed) {
    co_return ResultCode::kCallerGone;
  }
  streamed_ = state == http::BodyState::kMore;
  co_return at_most_once&& streamed_ ? ResultCode::kKeyMissing
                                     : ResultCode::kOk;
}

http::Task<ResultCode> Entry::Call::Prepare() {
  const ResultCode matched = MatchRoute();
  if (matched != ResultCode::kOk) {
    co_return matched;
  }
  const ResultCode identified = IdentifyAccount();
  if (identified == ResultCode::kAccountKeyUnknown && IsBehind()) {
    // The newer revision may have added the key.
    co_return ResultCode::kBelowFloor;
  }
  if (identified != ResultCode::kOk) {
    co_return identified;
  }
  quota_account_ = account_ == nullptr ? "" : account_->name();
  ChooseService();
  service_ = &entry_.board_.Service(service_name_);
  SetDeadlines();
  if (deadline_ <= began_) {
    co_return ResultCode::kDeadlineExceeded;
  }
  // Nested calls are exempt: the request that they belong to runs on this host
  // and has to be awaited anyway.
  if (!nested_ && entry_.board_.ShutsDownBefore(deadline_)) {
    co_return ResultCode::kShuttingDown;
  }
  if (match_.route_->large_body()) {
    // An upload that cannot be served is refused before its body is read.
    const ResultCode available = CheckEndpoints();
    if (available != ResultCode::kOk) {
      co_return available;
    }
  }
  const ResultCode read = co_await ReadBody();
  if (read != ResultCode::kOk) {
    co_return read;
  }
  const uint64_t digest =
      base::Hash(call_.Head().target_,
                 base::Hash(body_, base::Hash(call_.Head().method_)));
  fingerprint_ = service_name_ + ":" + std::to_string(digest);
  co_return view_->quarantined_.count(fingerprint_) != 0
      ? ResultCode::kQuarantined
      : ResultCode::kOk;
}

std::string Entry::Call::ClaimKey() const {
  const rpc::Route& route = *match_.route_;
  const std::string scope = ClaimScope();
  if (route.key_source() == rpc::KEY_SOURCE_DIGEST) {
    return scope + fingerprint_;
  }
  const std::string_view key = call_.Head().headers_.Find(route.key_header());
  return key.empty() ? std::string() : scope + std::string(key);
}

http::Task<ResultCode> Entry::Call::AcquireClaim() {
  rpc::ClaimRecord record;
  record.set_key(ClaimKey());
  if (record.key().empty()) {
    co_await Refuse(ResultCode::kKeyMissing, /*not_run=*/true);
    co_return ResultCode::kKeyMissing;
  }
  record.set_content_digest(base::Hash(fingerprint_));
  record.set_owner(entry_.NextId());
  record.set_state(rpc::CLAIM_STATE_RUNNING);
  record.set_expires_ms(
      base::ToUnixMs(entry_.clock_.Read().wall_ + kClaimLifetimeMs));
  const request::ClaimOutcome outcome =
      co_await entry_.claims_.Run(rpc::ClaimRequest::CLAIM, record);
  if (outcome.code_ == ResultCode::kOk) {
    claim_ = std::move(record);
    co_return ResultCode::kOk;
  }
  if (outcome.answer_) {
    co_await AnswerStored(*outcome.answer_);
    co_return ResultCode::kClaimOutcomeUnknown;
  }
  co_await Refuse(outcome.code_,
                  outcome.code_ != ResultCode::kClaimOutcomeUnknown);
  co_return outcome.code_;
}

http::Task<void> Entry::Call::AnswerStored(const rpc::StoredAnswer& answer) {
  http::AnswerHead head;
  head.status_ = static_cast<int>(answer.status());
  head.headers_.Add("Content-Type", answer.content_type());
  head.headers_.Add("Idempotent-Replayed", "true");
  head.headers_.Add(request::kRequestIdHeader, request_id_);
  entry_.board_.DaemonMetrics().CountResult(ResultCode::kOk);
  LogRequestDone(head.status_, ResultCode::kOk);
  co_await call_.Answer(head, answer.body());
}

http::Task<void> Entry::Call::StoreAnswer(const HopAnswer& answer) {
  if (claim_.key().empty() || answer.rest_ != nullptr ||
      answer.body_.size() > request::kMaxStoredAnswerBytes) {
    co_return;
  }
  rpc::ClaimRecord record = claim_;
  record.set_state(rpc::CLAIM_STATE_ANSWERED);
  record.mutable_answer()->set_status(
      static_cast<uint32_t>(answer.head_.status_));
  record.mutable_answer()->set_content_type(
      std::string(answer.head_.headers_.Find("Content-Type")));
  record.mutable_answer()->set_body(answer.body_);
  // The answer is stored before it is sent to the caller, so that a resend
  // finds it. If storing fails, a resend is answered that the outcome is
  // unknown.
  co_await entry_.claims_.Run(rpc::ClaimRequest::ANSWER, std::move(record));
}

http::Task<void> Entry::Call::ReleaseClaim() {
  if (claim_.key().empty()) {
    co_return;
  }
  rpc::ClaimRecord record = claim_;
  co_await entry_.claims_.Run(rpc::ClaimRequest::RELEASE, std::move(record));
}

http::Task<void> Entry::Call::Run() {
  const ResultCode prepared = co_await Prepare();
  if (prepared == ResultCode::kCallerGone && !call_.Failure().empty()) {
    // The caller is there, its body is malformed: the connection answers and
    // logs that.
    entry_.board_.DaemonMetrics().CountResult(prepared);
    co_return;
  }
  if (prepared != ResultCode::kOk) {
    co_await Refuse(prepared, /*not_run=*/true);
    co_return;
  }
  if (!AcquireRouteConcurrency()) {
    co_await Refuse(ResultCode::kEndpointOverloaded, /*not_run=*/true);
    co_return;
  }
  const ResultCode quota = co_await AcquireQuota();
  if (quota != ResultCode::kOk) {
    co_await Refuse(quota, /*not_run=*/true);
    co_return;
  }
  if (match_.route_->at_most_once()) {
    const ResultCode claimed = co_await AcquireClaim();
    if (claimed != ResultCode::kOk) {
      co_return;
    }
    if (RemainingTime().count() <= 0) {
      // The process was suspended for long after it had acquired the claim.
      co_await ReleaseClaim();
      co_await Refuse(ResultCode::kDeadlineExceeded, /*not_run=*/true);
      co_return;
    }
  }
  const ResultCode confirmed = ConfirmAccount();
  if (confirmed != ResultCode::kOk) {
    co_await ReleaseClaim();
    co_await Refuse(confirmed, /*not_run=*/true);
    co_return;
  }
  co_await RunAttempts();
}

}  // namespace buckthorngate::daemon::serving
