// The entry side: preparation of a request and its claim.
#include "daemon/entry_call.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/hash.h"
#include "request/claim_ledger.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon {
namespace {

// Shorter than the keep-alive of a daemon's server.
constexpr base::Duration kPeerIdle = std::chrono::seconds(3);
// Claims outlive their request by far, so that a daemon which was stopped in
// between cannot run what another one was told to be unclaimed.
constexpr std::chrono::milliseconds kClaimLifetimeMs = request::kClaimLifetime;

int64_t NumberOr(const std::string& text, int64_t fallback) {
  int64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = !text.empty() && parsed.ptr == text.data() + text.size();
  return whole ? value : fallback;
}

}  // namespace

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

Entry::Entry(std::string host,
             uint64_t incarnation,
             const base::Clock& clock,
             WorkerPool& workers,
             ExchangeWatchdog& watchdog,
             blackboard::Blackboard& board,
             ClaimClient& claims,
             BrakeHandler on_brake)
    : host_(std::move(host)),
      incarnation_(incarnation),
      clock_(clock),
      workers_(workers),
      watchdog_(watchdog),
      board_(board),
      claims_(claims),
      on_brake_(std::move(on_brake)),
      connections_(kPeerIdle) {}

void Entry::Handle(const httplib::Request& request,
                   const httplib::ContentReader* reader,
                   httplib::Response& response) {
  board_.InFlight().fetch_add(1);
  Call(*this, request, reader, response).Run();
  if (board_.Draining()) {
    // Moves the caller to another daemon for its next request.
    response.set_header("Connection", "close");
  }
  board_.InFlight().fetch_sub(1);
}

Entry::Call::Call(Entry& entry,
                  const httplib::Request& request,
                  const httplib::ContentReader* reader,
                  httplib::Response& response)
    : entry_(entry),
      request_(request),
      request_body_(request, reader),
      response_(response),
      view_(entry.board_.View().Read()),
      began_(entry.clock_.Read().mono_) {}

Entry::Call::~Call() {
  if (route_in_flight_ != nullptr) {
    route_in_flight_->fetch_sub(1);
  }
}

bool Entry::Call::EnterRoute() {
  const int32_t most = static_cast<int32_t>(match_.route_->max_concurrency());
  if (most == 0) {
    return true;
  }
  std::atomic<int32_t>& in_flight =
      entry_.board_
          .Service(match_.service_->service().name() + "/" +
                   match_.route_->name())
          .in_flight_;
  if (in_flight.fetch_add(1) >= most) {
    in_flight.fetch_sub(1);
    return false;
  }
  route_in_flight_ = &in_flight;
  return true;
}

base::Duration Entry::Call::Left() const {
  return deadline_ - entry_.clock_.Read().mono_;
}

void Entry::Call::Refuse(ResultCode code, bool not_run) {
  request_body_.Drain();
  AnswerRefusal(code, not_run, request_id_, response_);
  response_.set_header(request::kCallsHeader, std::to_string(calls_));
  entry_.board_.Numbers().CountResult(code);
}

bool Entry::Call::ReadBody() {
  if (!request_body_.Present()) {
    return true;
  }
  const bool once = match_.route_->at_most_once();
  const uint64_t most = once ? kClaimBodyBytes : kReplayBytes;
  const bool small = request_body_.Length().value_or(most + 1) <= most;
  if (!small) {
    streamed_ = true;
    return !once;
  }
  return request_body_.ReadAll(body_);
}

ResultCode Entry::Call::Prepare() {
  request_id_ = HeaderOf(request_, request::kRequestIdHeader);
  if (request_id_.empty()) {
    request_id_ = entry_.host_ + "-" + std::to_string(entry_.incarnation_) +
                  "-" + std::to_string(entry_.next_request_.fetch_add(1));
  }
  below_retry_ = !HeaderOf(request_, request::kBelowRetryHeader).empty();
  if (!view_->may_serve_) {
    return ResultCode::kBelowFloor;
  }
  match_ = view_->routes_->Match(HeaderOf(request_, "Host"),
                                 PathOf(request_.target), request_.method);
  if (match_.route_ == nullptr) {
    return ResultCode::kNoRoute;
  }
  service_ = &entry_.board_.Service(match_.service_->service().name());
  const int64_t given_ms =
      NumberOr(HeaderOf(request_, request::kDeadlineHeader),
               match_.route_->timeout_ms());
  const int64_t left_ms =
      std::min<int64_t>(given_ms, match_.route_->timeout_ms());
  deadline_ = began_ + std::chrono::milliseconds(left_ms);
  if (left_ms <= 0) {
    return ResultCode::kDeadlineExceeded;
  }
  if (!ReadBody()) {
    return ResultCode::kKeyMissing;
  }
  const uint64_t digest = base::Hash(
      request_.target, base::Hash(body_, base::Hash(request_.method)));
  fingerprint_ =
      match_.service_->service().name() + ":" + std::to_string(digest);
  return view_->quarantined_.count(fingerprint_) != 0 ? ResultCode::kQuarantined
                                                      : ResultCode::kOk;
}

std::string Entry::Call::ClaimKey() const {
  const rpc::Route& route = *match_.route_;
  const std::string& service = match_.service_->service().name();
  if (route.key_source() == rpc::KEY_SOURCE_DIGEST) {
    return service + "/" + route.name() + "/" + fingerprint_;
  }
  const std::string key = HeaderOf(request_, route.key_header());
  return key.empty() ? key : service + "/" + route.name() + "/" + key;
}

ResultCode Entry::Call::Claim() {
  rpc::ClaimRecord record;
  record.set_key(ClaimKey());
  if (record.key().empty()) {
    return ResultCode::kKeyMissing;
  }
  record.set_content_digest(base::Hash(fingerprint_));
  record.set_owner(entry_.host_ + "-" + std::to_string(entry_.incarnation_) +
                   "-" + std::to_string(entry_.next_request_.fetch_add(1)));
  record.set_state(rpc::CLAIM_STATE_RUNNING);
  record.set_expires_ms(
      base::ToUnixMs(entry_.clock_.Read().wall_ + kClaimLifetimeMs));
  const request::ClaimOutcome outcome =
      entry_.claims_.Run(rpc::ClaimRequest::CLAIM, record);
  if (outcome.code_ == ResultCode::kOk) {
    claim_ = std::move(record);
    return ResultCode::kOk;
  }
  if (outcome.answer_) {
    AnswerStored(*outcome.answer_);
  }
  return outcome.code_;
}

void Entry::Call::AnswerStored(const rpc::StoredAnswer& answer) {
  response_.status = static_cast<int>(answer.status());
  response_.set_content(answer.body(), answer.content_type());
  response_.set_header("Idempotent-Replayed", "true");
  response_.set_header(request::kRequestIdHeader, request_id_);
  entry_.board_.Numbers().CountResult(ResultCode::kOk);
}

void Entry::Call::StoreAnswer() {
  if (claim_.key().empty() ||
      response_.body.size() > request::kMaxStoredAnswerBytes ||
      response_.content_provider_) {
    return;
  }
  rpc::ClaimRecord record = claim_;
  record.set_state(rpc::CLAIM_STATE_ANSWERED);
  record.mutable_answer()->set_status(static_cast<uint32_t>(response_.status));
  record.mutable_answer()->set_content_type(
      response_.get_header_value("Content-Type"));
  record.mutable_answer()->set_body(response_.body);
  // Stored before the caller hears of it, so that a resend finds it. If that
  // fails, a resend learns that the outcome is unknown.
  entry_.claims_.Run(rpc::ClaimRequest::ANSWER, record);
}

void Entry::Call::ReleaseClaim() {
  if (claim_.key().empty()) {
    return;
  }
  rpc::ClaimRecord record = claim_;
  record.set_released(true);
  entry_.claims_.Run(rpc::ClaimRequest::RELEASE, record);
}

void Entry::Call::Run() {
  DisableAnswerRewriting(request_);
  const ResultCode prepared = Prepare();
  if (prepared != ResultCode::kOk) {
    Refuse(prepared, /*not_run=*/true);
    return;
  }
  if (!EnterRoute()) {
    Refuse(ResultCode::kEndpointOverloaded, /*not_run=*/true);
    return;
  }
  if (match_.route_->at_most_once()) {
    const ResultCode claimed = Claim();
    if (claimed != ResultCode::kOk) {
      if (response_.status < 0) {
        Refuse(claimed, claimed != ResultCode::kClaimOutcomeUnknown);
      }
      return;
    }
    if (Left().count() <= 0) {
      // Stopped for long between the claim and its use.
      ReleaseClaim();
      Refuse(ResultCode::kDeadlineExceeded, /*not_run=*/true);
      return;
    }
  }
  RunAttempts();
}

}  // namespace buckthorngate::daemon
