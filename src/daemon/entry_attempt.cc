// The entry side: attempts, retries and the answer.
#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/events.h"
#include "daemon/entry_call.h"
#include "request/hop_headers.h"

namespace buckthorngate::daemon {
namespace {

using request::AttemptOutcome;

constexpr base::Duration kWatchSlice = std::chrono::milliseconds(50);
// A safe read that takes this many times its usual latency is hedged.
constexpr int kHedgeFactor = 4;
constexpr base::Duration kLeastHedgeDelay = std::chrono::milliseconds(20);
constexpr double kTreeSizeWeight = 0.1;
constexpr int kServerError = 500;

thread_local base::Random t_random(std::random_device{}());

uint32_t CallsOf(const ExchangeHead& head) {
  const std::string text = head.Header(request::kCallsHeader);
  uint32_t calls = 0;
  std::from_chars(text.data(), text.data() + text.size(), calls);
  return std::max<uint32_t>(calls, 1);
}

ResultCode ResultOf(const ExchangeHead& head) {
  const std::string text = head.Header(request::kResultHeader);
  uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return ResultCodeFromNumber(number);
}

}  // namespace

ResultCode Entry::Call::Begin(Attempt& attempt) {
  const rpc::ServiceState& service = *match_.service_;
  const bool braked = service_->brake_.Closed(service.move().step());
  attempt.version_ = request::PickVersion(service, request_id_, braked);
  const request::VersionView* version =
      view_->Find(service.service().name(), attempt.version_);
  if (version == nullptr && service.has_move() &&
      attempt.version_ == service.move().to()) {
    // The new version has no endpoints here; the old one serves.
    attempt.version_ = service.move().from();
    version = view_->Find(service.service().name(), attempt.version_);
  }
  const base::MonoTime now = entry_.clock_.Read().mono_;
  const request::EndpointView* endpoint =
      version == nullptr
          ? nullptr
          : request::PickEndpoint(*version, tried_, now, t_random);
  if (endpoint == nullptr) {
    return ResultCode::kNoEndpoint;
  }
  attempt.view_ = view_;
  attempt.endpoint_ = endpoint;
  attempt.began_ = now;
  attempt.id_ = request_id_ + "/" + std::to_string(attempts_);
  tried_.push_back(endpoint->endpoint_.id());
  ++attempts_;
  ++calls_;
  attempt.endpoint_->stats_->Begin();
  attempt.exchange_ = PrepareExchange(attempt);
  attempt.inline_ = MayRunInline();
  if (!attempt.inline_) {
    attempt.exchange_->Start(entry_.workers_);
  }
  return ResultCode::kOk;
}

std::shared_ptr<Exchange> Entry::Call::PrepareExchange(const Attempt& attempt) {
  return Exchange::Prepare(
      entry_.connections_, attempt.endpoint_->endpoint_.peer_address(),
      MakeRequest(attempt), Left(), std::make_shared<ExchangeSignal>());
}

bool Entry::Call::MayRunInline() const {
  // A large answer would have to be asked for again: safe methods only.
  return request::IsSafeMethod(request_.method) && !streamed_ &&
         !match_.route_->hedge() &&
         service_->small_answers_ >= blackboard::kSmallAnswersToInline;
}

ResultCode Entry::Call::RunInline(Attempt& attempt) {
  const ResultCode code =
      entry_.watchdog_.Run(*attempt.exchange_, deadline_, request_);
  if (code != ResultCode::kOk || !attempt.exchange_->TooLarge()) {
    return code;
  }
  service_->small_answers_ = blackboard::kAfterLargeAnswer;
  attempt.exchange_ = PrepareExchange(attempt);
  attempt.exchange_->Start(entry_.workers_);
  return ResultCode::kOk;
}

ExchangeRequest Entry::Call::MakeRequest(const Attempt& attempt) {
  ExchangeRequest outgoing;
  outgoing.method_ = request_.method;
  outgoing.target_ = request_.target;
  outgoing.headers_ = PassedHeaders(request_);
  std::erase_if(outgoing.headers_, [](const auto& header) {
    return strcasecmp(header.first.c_str(), request::kRequestIdHeader) == 0;
  });
  HeaderList& headers = outgoing.headers_;
  headers.emplace_back(request::kRequestIdHeader, request_id_);
  headers.emplace_back(request::kAttemptHeader, attempt.id_);
  headers.emplace_back(request::kEndpointHeader,
                       attempt.endpoint_->endpoint_.id());
  headers.emplace_back(request::kCallerHeader, entry_.host_);
  headers.emplace_back(request::kFingerprintHeader, fingerprint_);
  headers.emplace_back(request::kDeadlineHeader,
                       std::to_string(Left() / std::chrono::milliseconds(1)));
  if (below_retry_ || retrying_) {
    headers.emplace_back(request::kBelowRetryHeader, "1");
  }
  if (streamed_) {
    request_body_.AttachTo(outgoing);
  } else {
    outgoing.body_ = body_;
  }
  return outgoing;
}

bool Entry::Call::MayHedge(const Attempt& attempt) const {
  const base::Duration usual = attempt.endpoint_->stats_->Latency();
  const base::Duration waited = entry_.clock_.Read().mono_ - attempt.began_;
  return match_.route_->hedge() && !below_retry_ && usual.count() > 0 &&
         waited > std::max(usual * kHedgeFactor, kLeastHedgeDelay);
}

ResultCode Entry::Call::Await(Attempt& attempt) {
  if (attempt.inline_) {
    const ResultCode inline_code = RunInline(attempt);
    if (inline_code != ResultCode::kOk) {
      return inline_code;
    }
  }
  ConnectionWatch watch(request_);
  Attempt hedge;
  const auto waiting = [](const Attempt& tried) {
    return tried.exchange_ != nullptr &&
           tried.exchange_->CurrentStage() == Exchange::Stage::kWaiting;
  };
  const base::Duration slice =
      match_.route_->hedge() ? kLeastHedgeDelay / 4 : kWatchSlice;
  ResultCode code = ResultCode::kOk;
  while (waiting(attempt)) {
    attempt.exchange_->Signal().Wait(slice);
    if (Left().count() <= 0) {
      code = ResultCode::kDeadlineExceeded;
      break;
    }
    if (watch.Closed()) {
      code = ResultCode::kCallerGone;
      break;
    }
    if (hedge.exchange_ == nullptr && MayHedge(attempt) &&
        service_->retry_budget_.Spend(1.0)) {
      retrying_ = true;
      (void)Begin(hedge);
      retrying_ = false;
    }
    if (hedge.exchange_ != nullptr &&
        hedge.exchange_->CurrentStage() == Exchange::Stage::kHead) {
      std::swap(attempt, hedge);
      break;
    }
  }
  if (hedge.exchange_ != nullptr) {
    // The loser is cancelled.
    hedge.exchange_->Abort();
    hedge.endpoint_->stats_->End(base::Duration(0), /*failed=*/true,
                                 entry_.clock_.Read().mono_);
  }
  if (code != ResultCode::kOk) {
    attempt.exchange_->Abort();
  }
  // With the head there, the request has been sent whole.
  if (streamed_ &&
      attempt.exchange_->CurrentStage() != Exchange::Stage::kHead) {
    attempt.exchange_->WaitFinished();
  }
  return code;
}

AttemptOutcome Entry::Call::Judge(Attempt& attempt, ResultCode waited) {
  AttemptOutcome outcome;
  outcome.code_ = waited;
  if (waited != ResultCode::kOk) {
    return outcome;
  }
  Exchange& exchange = *attempt.exchange_;
  if (exchange.CurrentStage() == Exchange::Stage::kFailed) {
    outcome.code_ = exchange.Code();
    outcome.not_run_ = exchange.NotSent();
    return outcome;
  }
  const ExchangeHead& head = exchange.Head();
  if (head.Header(request::kAttemptHeader) != attempt.id_) {
    // Another request's answer must never reach this caller.
    base::LogEvent(base::EventId::kAnswerCrossed,
                   {{"request", request_id_},
                    {"endpoint", attempt.endpoint_->endpoint_.id()}});
    exchange.Abort();
    outcome.code_ = ResultCode::kAnswerCrossed;
    return outcome;
  }
  outcome.calls_ = CallsOf(head);
  outcome.crashed_ = !head.Header(request::kCrashedHeader).empty();
  outcome.status_ = head.status_;
  outcome.code_ = ResultOf(head);
  outcome.not_run_ = head.Header(request::kNotRunHeader) == "true";
  return outcome;
}

void Entry::Call::Note(const Attempt& attempt, const AttemptOutcome& outcome) {
  const base::MonoTime now = entry_.clock_.Read().mono_;
  const base::Duration latency = now - attempt.began_;
  const bool gone = outcome.code_ == ResultCode::kCallerGone;
  const bool failed = !gone && (outcome.code_ != ResultCode::kOk ||
                                outcome.status_ >= kServerError);
  request::EndpointStats& stats = *attempt.endpoint_->stats_;
  stats.End(latency, failed || gone, now);
  const bool unreachable = outcome.code_ == ResultCode::kConnectFailed ||
                           outcome.code_ == ResultCode::kEndpointDraining;
  if (unreachable) {
    stats.Eject(now);
  }
  const double tree = service_->tree_size_milli_.load();
  service_->tree_size_milli_ = static_cast<uint32_t>(
      tree + kTreeSizeWeight * (outcome.calls_ * 1000.0 - tree));
  calls_ += outcome.calls_ - 1;
  const rpc::ServiceState& service = *match_.service_;
  if (!service.has_move() || gone || outcome.not_run_) {
    return;
  }
  rollout::CallRecord record;
  record.service_ = service.service().name();
  record.version_ = attempt.version_;
  record.route_ = match_.route_->name();
  record.latency_ = latency;
  record.failed_ = failed;
  record.crashed_ = outcome.crashed_;
  record.cold_ = now - stats.Created() < request::kWarmUp;
  entry_.board_.Evidence().Record(record);
  const bool is_new = attempt.version_ == service.move().to();
  if (service_->brake_.Note(service.move().step(), is_new, failed)) {
    rpc::BrakeNotice notice;
    notice.set_service(record.service_);
    notice.set_version(attempt.version_);
    notice.set_step(service.move().step());
    notice.set_reason("failures in a row on route " + record.route_);
    entry_.on_brake_(notice);
  }
}

bool Entry::Call::Retry(const AttemptOutcome& outcome) {
  request::RetryContext context;
  context.attempts_ = attempts_;
  context.repeatable_ =
      match_.route_->repeatable() || (request::IsSafeMethod(request_.method) &&
                                      !match_.route_->at_most_once());
  context.body_replayable_ = !streamed_;
  context.below_retry_ = below_retry_;
  context.suspect_ =
      view_->suspects_.count(fingerprint_) != 0 || outcome.crashed_;
  context.left_ = Left();
  if (!request::WorthRetry(outcome, context)) {
    return false;
  }
  const double tree = service_->tree_size_milli_.load() / 1000.0;
  if (!service_->retry_budget_.Spend(outcome.not_run_ ? 1.0 : tree)) {
    return false;
  }
  entry_.board_.Numbers().CountRetry();
  retrying_ = retrying_ || !outcome.not_run_;
  return true;
}

void Entry::Call::AnswerFailure(const AttemptOutcome& outcome) {
  const bool not_run = !may_have_run_;
  if (not_run) {
    ReleaseClaim();
  }
  Refuse(outcome.code_, not_run);
}

void Entry::Call::Answer(const Attempt& attempt,
                         const AttemptOutcome& outcome) {
  if (outcome.code_ != ResultCode::kOk) {
    AnswerFailure(outcome);
    return;
  }
  const bool whole = AnswerFromExchange(
      attempt.exchange_, deadline_, [](bool) {}, response_);
  if (!whole) {
    AttemptOutcome cut = outcome;
    cut.code_ = ResultCode::kUpstreamFailed;
    may_have_run_ = true;
    AnswerFailure(cut);
    return;
  }
  const bool small = !response_.content_provider_;
  service_->small_answers_ = small ? std::min(service_->small_answers_ + 1,
                                              blackboard::kSmallAnswersToInline)
                                   : blackboard::kAfterLargeAnswer;
  for (const char* header : {request::kAttemptHeader, request::kCallsHeader,
                             request::kRequestIdHeader}) {
    response_.headers.erase(header);
  }
  response_.set_header(request::kRequestIdHeader, request_id_);
  response_.set_header(request::kCallsHeader, std::to_string(calls_));
  StoreAnswer();
  entry_.board_.Numbers().CountResult(ResultCode::kOk);
  entry_.board_.Numbers().NoteCall(entry_.clock_.Read().mono_ - began_);
}

void Entry::Call::RefreshView() {
  std::shared_ptr<const request::MeshView> newer = entry_.board_.View().Read();
  const request::RouteMatch again = newer->routes_->Match(
      HeaderOf(request_, "Host"), PathOf(request_.target), request_.method);
  // The match points into its view, so both change together.
  if (again.route_ != nullptr) {
    view_ = std::move(newer);
    match_ = again;
  }
}

void Entry::Call::RunAttempts() {
  if (!below_retry_) {
    service_->retry_budget_.NoteFirstTry(
        match_.service_->service().retry_percent());
  }
  AttemptOutcome outcome;
  outcome.not_run_ = true;
  Attempt attempt;
  while (true) {
    attempt = Attempt();
    const ResultCode begun = Begin(attempt);
    if (begun != ResultCode::kOk) {
      if (attempts_ == 0) {
        outcome.code_ = begun;
      }
      break;
    }
    const ResultCode waited = Await(attempt);
    outcome = Judge(attempt, waited);
    may_have_run_ = may_have_run_ || !outcome.not_run_;
    Note(attempt, outcome);
    if (!Retry(outcome)) {
      break;
    }
    attempt.exchange_->Abort();
    // A newer view knows better which endpoints are left.
    RefreshView();
  }
  entry_.board_.Calls().Add(request_id_, calls_);
  if (attempt.exchange_ == nullptr) {
    AnswerFailure(outcome);
    return;
  }
  Answer(attempt, outcome);
}

}  // namespace buckthorngate::daemon
