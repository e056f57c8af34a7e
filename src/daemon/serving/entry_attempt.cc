// The entry side: attempts, retries and the answer.
#include <algorithm>
#include <utility>

#include "base/events.h"
#include "base/http_status.h"
#include "config/service_file.h"
#include "daemon/serving/entry_call.h"
#include "request/hop_headers.h"
#include "request/link_schedule.h"
#include "request/peer_failure_detector.h"
#include "rollout/exposure_cap.h"

namespace buckthorngate::daemon::serving {
namespace {

using request::AttemptOutcome;

// Weight of a new sample in the moving average of call tree sizes.
constexpr double kTreeSizeEwmaWeight = 0.1;
constexpr double kMilli = 1000.0;
// An evacuation becomes known everywhere within seconds. The own zone is
// preferred, so without this an entry that lags would spend all attempts there.
constexpr base::Duration kEvacuatedEjectionTime =
    std::chrono::milliseconds(500);
// Decides on a retry while nothing but unreachable daemons has the request.
constexpr AttemptOutcome kUnreachableOutcome = {
    .code_ = ResultCode::kConnectFailed,
    .not_run_ = false,
    .reached_ = true};

}  // namespace

request::VersionChoice Entry::Call::ChooseVersions() const {
  if (service_state_ == nullptr) {
    return {view_->VersionInUse(service_name_), ""};
  }
  const rpc::Move& move = service_state_->move();
  const bool spent = rollout::ExposureCapApplies(move) &&
                     !service_->exposure_.Allows(rollout::MoveId(move));
  const bool braked = spent || service_->brake_.IsEngaged(move.step());
  return request::ChooseVersions(*service_state_, request_id_, braked);
}

request::PickedEndpoint Entry::Call::Pick(
    const request::VersionChoice& versions,
    base::MonoTime now,
    ResultCode& code) const {
  const rpc::Route& route = *match_.route_;
  const request::VersionView* first =
      view_->Find(service_name_, versions.first_);
  const request::VersionView* fallback =
      versions.fallback_.empty()
          ? nullptr
          : view_->Find(service_name_, versions.fallback_);
  const std::vector<std::string> excluded = ExcludedEndpoints(now);
  const request::PickedEndpoint picked = request::PickWithFallback(
      first, fallback, {excluded, route.large() || route.large_body(), Rank()},
      now, entry_.random_);
  if (picked.endpoint_ == nullptr) {
    const auto full = [&](const request::VersionView* endpoints) {
      return endpoints != nullptr && request::AnyFull(*endpoints, Rank(), now);
    };
    const bool marked = excluded.size() > tried_endpoints_.size();
    code = marked || full(first) || full(fallback)
               ? ResultCode::kEndpointOverloaded
               : ResultCode::kNoEndpoint;
  }
  return picked;
}

Entry::Call::AttemptPtr Entry::Call::BeginAttempt(ResultCode& code) {
  const request::VersionChoice versions = ChooseVersions();
  const base::MonoTime now = entry_.clock_.Read().mono_;
  const request::PickedEndpoint picked = Pick(versions, now, code);
  const request::EndpointView* endpoint = picked.endpoint_;
  if (endpoint == nullptr) {
    return nullptr;
  }
  AttemptPtr attempt = std::make_shared<Attempt>();
  attempt->view_ = view_;
  attempt->endpoint_ = endpoint;
  attempt->version_ =
      picked.from_fallback_ ? versions.fallback_ : versions.first_;
  attempt->began_ = now;
  tried_endpoints_.push_back(endpoint->endpoint_.id());
  last_endpoint_ = endpoint->endpoint_.id();
  attempt->request_ = MakeHopRequest(*attempt);
  attempt->request_.cancel_ = &attempt->cancel_;
  attempt->link_.emplace(call_.Gone(),
                         [cancel = &attempt->cancel_] { cancel->Raise(); });
  ++attempts_;
  ++calls_;
  endpoint->stats_->Begin();
  BeginEvidence(*attempt);
  return attempt;
}

HopRequest Entry::Call::MakeHopRequest(const Attempt& attempt) const {
  const rpc::Endpoint& endpoint = attempt.endpoint_->endpoint_;
  HopRequest request;
  request.head_ = call_.Head();
  http::Headers& headers = request.head_.headers_;
  // A caller may only set a shorter deadline and forbid retries; both headers
  // were already read. All other headers between daemons must come from
  // daemons, so they are removed here.
  headers.EraseWithPrefix(request::kDaemonHeaderPrefix);
  headers.Erase(dialect_.deadline_);
  if (!dialect_.caller_service_.empty()) {
    headers.Erase(dialect_.caller_service_);
  }
  if (!dialect_.expected_instance_.empty()) {
    headers.Erase(dialect_.expected_instance_);
  }
  EraseAccountHeaders(headers);
  headers.Set(request::kRequestIdHeader, request_id_);
  request.body_ = body_;
  request.rest_ = streamed_ ? &call_ : nullptr;
  request.peer_address_ = endpoint.peer_address();
  request.endpoint_id_ = endpoint.id();
  request.request_id_ = request_id_;
  request.attempt_id_ = request_id_ + "/" + std::to_string(attempts_);
  request.caller_host_ = entry_.options_.host_;
  request.caller_service_ = entry_.options_.service_;
  request.fingerprint_ = fingerprint_;
  request.route_ = RouteName();
  request.asked_bytes_ = AskedBytes();
  request.below_retry_ = below_retry_ || retrying_;
  request.nested_ = nested_;
  request.priority_ = Priority();
  request.account_ = account_ == nullptr ? "" : account_->name();
  request.repeatable_ = Repeatable() && !streamed_ && !below_retry_;
  request.deadline_ = deadline_;
  request.objective_ = objective_;
  request.caller_connected_ = [call = &call_] { return call->StillThere(); };
  request.on_peer_unresponsive_ = [stats = attempt.endpoint_->stats_,
                                   &clock = entry_.clock_] {
    stats->EjectUntil(clock.Read().mono_ + request::kUnresponsiveEjectionTime);
  };
  return request;
}

uint64_t Entry::Call::AskedBytes() const {
  if (!entry_.options_.asks_for_bodies_ || !match_.route_->large_body()) {
    return 0;
  }
  const uint64_t bytes =
      streamed_ ? std::max<uint64_t>(call_.Length().value_or(0), body_.size())
                : body_.size();
  return bytes >= request::kMinAskedBytes ? bytes : 0;
}

Hop& Entry::Call::SelectHop(const Attempt& attempt) const {
  const bool own = attempt.endpoint_->endpoint_.host() == entry_.options_.host_;
  return own ? entry_.local_hop_ : entry_.remote_hop_;
}

http::Task<void> Entry::Call::RunHop(Hop& hop, AttemptPtr attempt) {
  attempt->answer_ = co_await hop.Run(attempt->request_);
  attempt->done_ = true;
}

AttemptOutcome Entry::Call::OutcomeOf(const Attempt& attempt) const {
  const HopAnswer& answer = attempt.answer_;
  AttemptOutcome outcome;
  outcome.code_ = answer.code_;
  outcome.not_run_ = answer.not_run_;
  outcome.reached_ = answer.reached_;
  outcome.crashed_ = answer.crashed_;
  outcome.calls_ = answer.calls_;
  outcome.status_ = answer.code_ == ResultCode::kOk ? answer.head_.status_ : 0;
  if (call_.Gone().Raised()) {
    outcome.code_ = ResultCode::kCallerGone;
  }
  return outcome;
}

AttemptOutcome Entry::Call::RecordAttempt(const Attempt& attempt) {
  const AttemptOutcome outcome = OutcomeOf(attempt);
  may_have_run_ = may_have_run_ || !outcome.not_run_;
  reached_ += outcome.reached_ ? 1 : 0;
  reached_ -= attempt.counted_early_ ? 1 : 0;
  RecordEndpointOutcome(attempt, outcome);
  return outcome;
}

void Entry::Call::AvoidZoneOf(const Attempt& attempt,
                              base::MonoTime now) const {
  const request::VersionView* const endpoints =
      attempt.view_->Find(service_name_, request::kAnyVersion);
  if (endpoints == nullptr) {
    return;
  }
  for (const request::EndpointView& endpoint : endpoints->endpoints_) {
    if (endpoint.endpoint_.zone() == attempt.endpoint_->endpoint_.zone()) {
      endpoint.stats_->EjectUntil(now + kEvacuatedEjectionTime);
    }
  }
}

void Entry::Call::RecordEndpointOutcome(const Attempt& attempt,
                                        const AttemptOutcome& outcome) {
  const base::MonoTime now = entry_.clock_.Read().mono_;
  const bool caller_left = outcome.code_ == ResultCode::kCallerGone;
  const bool failed =
      !caller_left && (outcome.code_ != ResultCode::kOk ||
                       outcome.status_ >= base::kStatusServerError);
  request::EndpointStats& stats = *attempt.endpoint_->stats_;
  stats.End(now - attempt.began_, failed || caller_left, now);
  if (entry_.options_.by_speed_ && !failed && !caller_left) {
    RecordSpeed(stats, now - attempt.began_, now);
  }
  if (attempt.answer_.load_) {
    stats.SetReportedLoad(*attempt.answer_.load_, now);
    stats.SetColdRoom(attempt.answer_.cold_room_, now);
  }
  if (attempt.answer_.link_use_) {
    stats.SetLinkUse(*attempt.answer_.link_use_, now);
  }
  if (outcome.code_ == ResultCode::kEndpointOverloaded) {
    RecordOverloaded(attempt, now);
  }
  if (outcome.code_ == ResultCode::kZoneEvacuated) {
    AvoidZoneOf(attempt, now);
  }
  const bool unreachable = outcome.code_ == ResultCode::kConnectFailed ||
                           outcome.code_ == ResultCode::kEndpointDraining ||
                           outcome.code_ == ResultCode::kUpstreamReplaced;
  if (unreachable) {
    stats.Eject(now);
    base::LogEvent(base::EventId::kEndpointEjected,
                   {{"endpoint", attempt.endpoint_->endpoint_.id()},
                    {"request", request_id_},
                    {"code", std::string(Describe(outcome.code_).name_)}});
  }
  const double tree = service_->tree_size_milli_.load();
  service_->tree_size_milli_ = static_cast<uint32_t>(
      tree + kTreeSizeEwmaWeight * (outcome.calls_ * kMilli - tree));
  calls_ += outcome.calls_ - 1;
  if (attempt.answer_.cold_) {
    stats.SetReportedCold(*attempt.answer_.cold_);
  }
  EndEvidence(attempt, outcome, failed);
}

bool Entry::Call::Repeatable() const {
  const rpc::Route& route = *match_.route_;
  // On a route of the mesh, the route's own setting overrides the semantics of
  // the HTTP method.
  const bool safe_method = !IsMeshRoute() && !route.at_most_once() &&
                           request::IsSafeMethod(call_.Head().method_);
  return route.repeatable() || safe_method;
}

http::Task<void> Entry::Call::Answer(Attempt& attempt) {
  HopAnswer& answer = attempt.answer_;
  http::Headers& headers = answer.head_.headers_;
  headers.EraseWithPrefix(request::kDaemonHeaderPrefix);
  headers.Set(request::kRequestIdHeader, request_id_);
  if (dialect_.reports_call_count_) {
    headers.Add(request::kCallsHeader, std::to_string(calls_));
  }
  co_await StoreAnswer(answer);
  entry_.board_.DaemonMetrics().CountResult(ResultCode::kOk);
  entry_.board_.DaemonMetrics().RecordCallLatency(entry_.clock_.Read().mono_ -
                                                  began_);
  LogRequestDone(answer.head_.status_, ResultCode::kOk);
  co_await SendAnswer(call_, answer);
}

void Entry::Call::RefreshView() {
  std::shared_ptr<const request::MeshView> newer = entry_.board_.View().Read();
  const http::RequestHead& head = call_.Head();
  const request::RouteMatch rematched = newer->routes_->Match(
      head.headers_.Find("Host"), head.Path(), head.method_);
  // The request must stay with its service. The match points into the view, so
  // both are replaced together.
  const bool same_kind =
      (rematched.service_ == nullptr) == (match_.service_ == nullptr);
  const bool same_service =
      rematched.service_ == nullptr ||
      rematched.service_->service().name() == service_name_;
  if (rematched.route_ != nullptr && same_kind && same_service) {
    match_ = rematched;
    service_state_ = newer->routes_->FindService(service_name_);
    view_ = std::move(newer);
  }
}

http::Task<void> Entry::Call::RunAttempts() {
  RecordFirstAttempt();
  AttemptOutcome outcome;
  outcome.not_run_ = true;
  AttemptPtr attempt;
  while (true) {
    ResultCode begin_code = ResultCode::kOk;
    const AttemptPtr next = BeginAttempt(begin_code);
    if (next == nullptr) {
      if (attempts_ == 0) {
        outcome.code_ = begin_code;
      }
      const bool waited = co_await AwaitRoom(outcome.code_);
      if (waited) {
        RefreshView();
        continue;
      }
      break;
    }
    attempt = co_await RunAttempt(next);
    outcome =
        attempt == nullptr ? kUnreachableOutcome : RecordAttempt(*attempt);
    if (!MayRetry(outcome)) {
      break;
    }
    // A newer view has a more recent list of endpoints.
    RefreshView();
  }
  if (!open_.empty() && (attempt == nullptr || !Succeeded(*attempt))) {
    // A failure may not replace an answer that may still arrive.
    const AttemptPtr late = co_await AwaitOpenAttempts();
    const AttemptOutcome late_outcome = RecordAttempt(*late);
    if (outcome.code_ != ResultCode::kOk || Succeeded(*late)) {
      attempt = late;
      outcome = late_outcome;
    }
  }
  CancelOpenAttempts();
  entry_.board_.Calls().Add(request_id_, calls_);
  if (attempt != nullptr && outcome.code_ == ResultCode::kOk) {
    co_await Answer(*attempt);
  } else {
    if (!may_have_run_) {
      co_await ReleaseClaim();
    }
    co_await Refuse(outcome.code_, !may_have_run_);
  }
  if (attempt != nullptr) {
    co_await FinishUpload(call_, attempt->answer_);
  }
}

}  // namespace buckthorngate::daemon::serving
