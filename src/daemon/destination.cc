// The destination side of a daemon.
#include "daemon/destination.h"

#include <httplib.h>

#include <charconv>
#include <utility>

#include "daemon/socket_probe.h"
#include "request/call_tree.h"
#include "request/hop_headers.h"
#include "request/retry.h"

namespace buckthorngate::daemon {
namespace {

using request::AdmissionQueue;
using request::AdmissionVerdict;

constexpr base::Duration kUpstreamIdle = std::chrono::seconds(1);
// How often a waiting handler looks after its caller.
constexpr base::Duration kWatchSlice = std::chrono::milliseconds(50);
constexpr std::chrono::milliseconds kDefaultDeadline{10'000};

std::chrono::milliseconds DeadlineOf(const httplib::Request& request) {
  const std::string text = HeaderOf(request, request::kDeadlineHeader);
  int64_t left = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), left);
  const bool valid =
      !text.empty() && parsed.ptr == text.data() + text.size() && left >= 0;
  return valid ? std::chrono::milliseconds(left) : kDefaultDeadline;
}

}  // namespace

struct Destination::Upstream {
  Upstream(std::string address, std::string service, uint32_t slots)
      : address_(std::move(address)),
        service_(std::move(service)),
        admission_({slots, 1.0}) {}

  const std::string address_;
  const std::string service_;
  std::mutex mutex_;
  std::condition_variable released_;
  AdmissionQueue admission_;
  std::map<uint64_t, bool> verdicts_;  // Of tickets that left the queue.
  // Set when the upstream is found dead; names this one death.
  std::string crash_id_;

  // Under mutex_.
  void ReleaseWaiting(base::MonoTime now) {
    for (const AdmissionQueue::Released& released :
         admission_.TakeReleased(now)) {
      verdicts_[released.ticket_] = released.admitted_;
    }
    released_.notify_all();
  }
};

// An admitted request's slot; given back once.
class Destination::Slot {
 public:
  Slot(Destination& owner, std::shared_ptr<Upstream> upstream, uint64_t ticket)
      : owner_(owner), upstream_(std::move(upstream)), ticket_(ticket) {
    owner_.in_flight_.fetch_add(1);
  }
  ~Slot() { Release(/*failed=*/true); }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  void Begin() { began_ = owner_.clock_.Read().mono_; }

  void Release(bool failed) {
    if (released_.exchange(true)) {
      return;
    }
    {
      const base::MonoTime now = owner_.clock_.Read().mono_;
      const std::lock_guard<std::mutex> lock(upstream_->mutex_);
      upstream_->admission_.Leave(ticket_, now - began_, failed, now);
      upstream_->ReleaseWaiting(now);
    }
    owner_.in_flight_.fetch_sub(1);
  }

 private:
  Destination& owner_;
  const std::shared_ptr<Upstream> upstream_;
  const uint64_t ticket_;
  base::MonoTime began_;
  std::atomic<bool> released_{false};
};

Destination::Destination(std::string host,
                         const base::Clock& clock,
                         WorkerPool& workers,
                         ExchangeWatchdog& watchdog,
                         blackboard::Blackboard& board,
                         CrashHandler on_crash)
    : host_(std::move(host)),
      clock_(clock),
      workers_(workers),
      watchdog_(watchdog),
      board_(board),
      on_crash_(std::move(on_crash)),
      connections_(kUpstreamIdle) {}

void Destination::SetUpstream(const std::string& endpoint_id,
                              const std::string& address,
                              const std::string& service,
                              uint32_t slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  upstreams_[endpoint_id] = std::make_shared<Upstream>(address, service, slots);
}

void Destination::DrainUpstream(const std::string& endpoint_id) {
  const std::shared_ptr<Upstream> upstream = Find(endpoint_id);
  if (upstream != nullptr) {
    const std::lock_guard<std::mutex> lock(upstream->mutex_);
    upstream->admission_.Drain();
  }
}

void Destination::RemoveUpstream(const std::string& endpoint_id) {
  DrainUpstream(endpoint_id);
  const std::lock_guard<std::mutex> lock(mutex_);
  upstreams_.erase(endpoint_id);
}

void Destination::DrainAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, upstream] : upstreams_) {
    const std::lock_guard<std::mutex> upstream_lock(upstream->mutex_);
    upstream->admission_.Drain();
  }
}

std::shared_ptr<Destination::Upstream> Destination::Find(
    const std::string& endpoint_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = upstreams_.find(endpoint_id);
  return found == upstreams_.end() ? nullptr : found->second;
}

ResultCode Destination::Admit(Upstream& upstream,
                              uint64_t ticket,
                              const httplib::Request& request,
                              base::MonoTime deadline) {
  std::unique_lock<std::mutex> lock(upstream.mutex_);
  if (upstream.admission_.Draining()) {
    return ResultCode::kEndpointDraining;
  }
  const AdmissionVerdict verdict = upstream.admission_.Enter(
      ticket, HeaderOf(request, request::kCallerHeader), deadline,
      clock_.Read().mono_);
  if (verdict != AdmissionVerdict::kQueued) {
    return verdict == AdmissionVerdict::kAdmitted
               ? ResultCode::kOk
               : ResultCode::kEndpointOverloaded;
  }
  ConnectionWatch watch(request);
  while (true) {
    upstream.released_.wait_for(lock, kWatchSlice);
    upstream.ReleaseWaiting(clock_.Read().mono_);
    const auto found = upstream.verdicts_.find(ticket);
    if (found != upstream.verdicts_.end()) {
      const bool admitted = found->second;
      upstream.verdicts_.erase(found);
      return admitted ? ResultCode::kOk : ResultCode::kEndpointOverloaded;
    }
    if (watch.Closed()) {
      upstream.admission_.Cancel(ticket);
      return ResultCode::kCallerGone;
    }
  }
}

void Destination::Handle(const httplib::Request& request,
                         const httplib::ContentReader* reader,
                         httplib::Response& response) {
  DisableAnswerRewriting(request);
  const base::MonoTime now = clock_.Read().mono_;
  const base::MonoTime deadline = now + DeadlineOf(request);
  const std::string attempt = HeaderOf(request, request::kAttemptHeader);
  RequestBody body(request, reader);
  const auto refuse = [&](ResultCode code) {
    body.Drain();
    AnswerRefusal(code, /*not_run=*/true, "", response);
    response.set_header(request::kAttemptHeader, attempt);
  };
  const std::shared_ptr<Upstream> upstream =
      Find(HeaderOf(request, request::kEndpointHeader));
  if (upstream == nullptr) {
    refuse(ResultCode::kEndpointDraining);
    return;
  }
  const uint64_t ticket = next_ticket_.fetch_add(1);
  const ResultCode admitted = Admit(*upstream, ticket, request, deadline);
  if (admitted != ResultCode::kOk) {
    refuse(admitted);
    return;
  }
  std::shared_ptr<Slot> slot = std::make_shared<Slot>(*this, upstream, ticket);
  slot->Begin();
  // The process may have been stopped for long while the request waited, here
  // or in the socket.
  const base::MonoTime present = clock_.Read().mono_;
  const bool abandoned =
      board_.Stalls().Stalled(present) && ConnectionWatch(request).Closed();
  if (present >= deadline || abandoned) {
    slot->Release(/*failed=*/true);
    refuse(ResultCode::kDeadlineExceeded);
    return;
  }
  RunAdmitted(upstream, slot, request, body, deadline, response);
}

ExchangeRequest Destination::MakeUpstreamRequest(
    const httplib::Request& request,
    RequestBody& body,
    base::Duration left) {
  ExchangeRequest outgoing;
  outgoing.method_ = request.method;
  outgoing.target_ = request.target;
  outgoing.headers_ = PassedHeaders(request);
  // The upstream learns its time and passes both on with calls of its own.
  outgoing.headers_.emplace_back(
      request::kDeadlineHeader,
      std::to_string(left / std::chrono::milliseconds(1)));
  if (!HeaderOf(request, request::kBelowRetryHeader).empty()) {
    outgoing.headers_.emplace_back(request::kBelowRetryHeader, "1");
  }
  if (body.Present()) {
    body.AttachTo(outgoing);
  }
  return outgoing;
}

std::shared_ptr<Exchange> Destination::RunExchange(
    const std::shared_ptr<Upstream>& upstream,
    const httplib::Request& request,
    RequestBody& body,
    base::MonoTime deadline,
    ResultCode& code) {
  std::shared_ptr<ExchangeSignal> signal = std::make_shared<ExchangeSignal>();
  const auto prepare = [&] {
    const base::Duration left = deadline - clock_.Read().mono_;
    return Exchange::Prepare(connections_, upstream->address_,
                             MakeUpstreamRequest(request, body, left), left,
                             signal);
  };
  std::shared_ptr<Exchange> exchange = prepare();
  blackboard::ServiceState& service = board_.Service(upstream->service_);
  const bool may_inline =
      request::IsSafeMethod(request.method) && !body.Present() &&
      service.small_answers_ >= blackboard::kSmallAnswersToInline;
  if (may_inline) {
    code = watchdog_.Run(*exchange, deadline, request);
    if (code != ResultCode::kOk || !exchange->TooLarge()) {
      return exchange;
    }
    service.small_answers_ = blackboard::kAfterLargeAnswer;
    exchange = prepare();
  }
  exchange->Start(workers_);
  code = AwaitHead(*exchange, request, deadline);
  // With the head there, the request has been sent whole.
  if (body.Present() && exchange->CurrentStage() != Exchange::Stage::kHead) {
    exchange->WaitFinished();
    body.Drain();
  }
  return exchange;
}

ResultCode Destination::AwaitHead(Exchange& exchange,
                                  const httplib::Request& request,
                                  base::MonoTime deadline) {
  ConnectionWatch watch(request);
  while (exchange.CurrentStage() == Exchange::Stage::kWaiting) {
    exchange.Signal().Wait(kWatchSlice);
    if (clock_.Read().mono_ >= deadline) {
      exchange.Abort();
      return ResultCode::kDeadlineExceeded;
    }
    if (watch.Closed()) {
      exchange.Abort();
      return ResultCode::kCallerGone;
    }
  }
  return ResultCode::kOk;
}

void Destination::RunAdmitted(const std::shared_ptr<Upstream>& upstream,
                              const std::shared_ptr<Slot>& slot,
                              const httplib::Request& request,
                              RequestBody& body,
                              base::MonoTime deadline,
                              httplib::Response& response) {
  const std::string attempt = HeaderOf(request, request::kAttemptHeader);
  const std::string request_id = HeaderOf(request, request::kRequestIdHeader);
  ResultCode code = ResultCode::kOk;
  const std::shared_ptr<Exchange> exchange =
      RunExchange(upstream, request, body, deadline, code);
  const uint32_t calls = board_.Calls().Take(request_id) + 1;
  const std::string fingerprint =
      HeaderOf(request, request::kFingerprintHeader);
  bool crashed = false;
  const auto fail = [&](ResultCode reason, bool not_run) {
    AnswerRefusal(reason, not_run, "", response);
    if (crashed) {
      response.set_header(request::kCrashedHeader, "true");
    }
    response.set_header(request::kAttemptHeader, attempt);
    response.set_header(request::kCallsHeader, std::to_string(calls));
  };
  if (code == ResultCode::kOk &&
      exchange->CurrentStage() == Exchange::Stage::kFailed) {
    const bool not_run = exchange->NotSent();
    // What was not sent cannot have killed the upstream.
    crashed = NoteBroken(upstream, not_run ? "" : fingerprint);
    slot->Release(/*failed=*/true);
    fail(exchange->Code(), not_run);
    return;
  }
  if (code != ResultCode::kOk) {
    slot->Release(/*failed=*/true);
    fail(code, /*not_run=*/false);
    return;
  }
  const bool passed = AnswerFromExchange(
      exchange, deadline,
      [slot](bool whole) { slot->Release(/*failed=*/!whole); }, response);
  if (!passed) {
    crashed = NoteBroken(upstream, fingerprint);
    slot->Release(/*failed=*/true);
    fail(ResultCode::kUpstreamFailed, /*not_run=*/false);
    return;
  }
  std::atomic<int32_t>& small =
      board_.Service(upstream->service_).small_answers_;
  small = response.content_provider_
              ? blackboard::kAfterLargeAnswer
              : std::min(small + 1, blackboard::kSmallAnswersToInline);
  response.headers.erase(request::kResultHeader);
  response.headers.erase(request::kNotRunHeader);
  response.set_header(request::kAttemptHeader, attempt);
  response.set_header(request::kCallsHeader, std::to_string(calls));
}

bool Destination::NoteBroken(const std::shared_ptr<Upstream>& upstream,
                             const std::string& fingerprint) {
  // An upstream that no longer accepts connections has died.
  if (AcceptsConnections(upstream->address_)) {
    return false;
  }
  rpc::CrashReport report;
  {
    const std::lock_guard<std::mutex> lock(upstream->mutex_);
    if (upstream->crash_id_.empty()) {
      upstream->crash_id_ = host_ + "/" +
                            std::to_string(next_crash_.fetch_add(1)) + "/" +
                            std::to_string(base::ToUnixMs(clock_.Read().wall_));
    }
    upstream->admission_.Drain();
    report.set_crash_id(upstream->crash_id_);
  }
  report.set_service(upstream->service_);
  if (!fingerprint.empty()) {
    report.add_fingerprints(fingerprint);
  }
  on_crash_(upstream->address_, report);
  return true;
}

}  // namespace buckthorngate::daemon
