// Per-upstream state of Destination: slots and the requests that wait for them.
//
// Private to the source files of Destination.
#ifndef SRC_DAEMON_SERVING_DESTINATION_UPSTREAM_H_
#define SRC_DAEMON_SERVING_DESTINATION_UPSTREAM_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "daemon/serving/destination.h"

namespace buckthorngate::daemon::serving {

// Bound of the admission queue, per slot of the upstream.
inline constexpr double kQueuedRequestsPerSlot = 1.0;

// An admitted request is sent within the time limit of connecting, unless the
// process was suspended. Upstreams that drain serve longer than this.
inline constexpr base::Duration kMaxSendDelay = std::chrono::seconds(1);

// Logs why an exchange with an upstream failed before its answer was complete.
void LogUpstreamFailed(const std::string& request_id,
                       const std::string& endpoint_id,
                       const http::ExchangeFailure& failure);

// A request in the admission queue.
struct Destination::Waiter {
  explicit Waiter(http::EventLoop& loop) : dequeued_(loop) {}

  http::Notifier dequeued_;
  bool decided_ = false;
  bool admitted_ = false;
};

struct Destination::Upstream {
  Upstream(const UpstreamInfo& info, request::OverloadPolicyKind policy)
      : info_(info),
        admission_({info.slots_, kQueuedRequestsPerSlot, !info.slots_announced_,
                    policy}) {}

  const UpstreamInfo info_;
  request::AdmissionQueue admission_;
  std::map<uint64_t, Waiter*> waiters_;
  // Identifies the crash of this upstream; set when the crash is detected.
  std::string crash_id_;
  std::optional<base::MonoTime> drained_at_;
  // Shared by successive upstreams of the endpoint; never null once the
  // upstream is in use.
  std::shared_ptr<request::ColdLimiter> cold_;
  std::map<uint64_t, Waiter*> cold_waiters_;
  bool known_cold_ = false;

  // Whether `info` announces this upstream again; a draining one does not come
  // back.
  bool IsSameStart(const UpstreamInfo& info) const {
    return !admission_.Draining() && !info_.instance_.empty() &&
           info_.instance_ == info.instance_ &&
           info_.started_ms_ == info.started_ms_ &&
           info_.service_ == info.service_ && info_.slots_ == info.slots_;
  }

  // Running and queued requests.
  uint32_t Load() const {
    return static_cast<uint32_t>(admission_.Running() + admission_.Waiting() +
                                 cold_waiters_.size());
  }

  // Refuses new and waiting requests from now on.
  void Drain(base::MonoTime now) {
    drained_at_ = drained_at_.value_or(now);
    admission_.Drain();
    NotifyDequeued(now);
  }
  // Whether the upstream has drained for so long that it may have ended. What
  // has not been sent to it by then, stays unsent.
  bool MayHaveEnded(base::MonoTime now) const {
    return drained_at_ && now - *drained_at_ > kMaxSendDelay;
  }

  // Wakes the requests that left the admission queue: admitted, preempted by a
  // more urgent request, or refused for lack of time or by a drain.
  void NotifyDequeued(base::MonoTime now) {
    for (const request::AdmissionQueue::Decision& decision :
         admission_.TakeDecisions(now)) {
      const auto found = waiters_.find(decision.ticket_);
      if (found != waiters_.end()) {
        found->second->decided_ = true;
        found->second->admitted_ = decision.admitted_;
        found->second->dequeued_.Notify();
      }
    }
  }
  // The same for the requests that wait while the upstream is cold.
  void NotifyColdTurns(base::MonoTime now) {
    for (const request::ColdLimiter::Decision& decision :
         cold_->TakeDecisions(now)) {
      const auto found = cold_waiters_.find(decision.ticket_);
      if (found != cold_waiters_.end()) {
        found->second->decided_ = true;
        found->second->admitted_ = decision.admitted_;
        found->second->dequeued_.Notify();
      }
    }
  }
};

// The reservation of a request at the upstream's cold limiter; given up on
// destruction unless the request was sent.
class Destination::ColdTurn {
 public:
  ColdTurn(std::shared_ptr<Upstream> upstream, uint64_t ticket)
      : upstream_(std::move(upstream)), ticket_(ticket) {}
  ~ColdTurn() { upstream_->cold_->Release(ticket_); }
  ColdTurn(const ColdTurn&) = delete;
  ColdTurn& operator=(const ColdTurn&) = delete;

 private:
  const std::shared_ptr<Upstream> upstream_;
  const uint64_t ticket_;
};

// A body on its way over this host's slow link. Gives the link free when it has
// arrived, or on destruction.
class Destination::ArrivingBody : public http::BodyReader {
 public:
  ArrivingBody(Destination& owner, http::ServerCall& call, uint64_t ticket)
      : owner_(owner), call_(call), ticket_(ticket) {}
  ~ArrivingBody() override { Release(); }
  ArrivingBody(const ArrivingBody&) = delete;
  ArrivingBody& operator=(const ArrivingBody&) = delete;

  http::Task<http::BodyState> Read(std::string& piece, size_t most) override {
    const size_t before = piece.size();
    const http::BodyState state = co_await call_.Read(piece, most);
    owner_.link_->Received(ticket_, piece.size() - before);
    if (state != http::BodyState::kMore) {
      Release();
    }
    owner_.NotifyLinkWaiters();
    co_return state;
  }
  std::optional<uint64_t> Length() const override { return call_.Length(); }
  std::string_view Failure() const override { return call_.Failure(); }

 private:
  void Release() {
    owner_.link_->Release(ticket_);
    owner_.NotifyLinkWaiters();
  }

  Destination& owner_;
  http::ServerCall& call_;
  const uint64_t ticket_;
};

// The slot of an admitted request. Released exactly once: explicitly with the
// request's result, or as failed on destruction.
class Destination::Slot {
 public:
  Slot(Destination& owner, std::shared_ptr<Upstream> upstream, uint64_t ticket)
      : owner_(owner),
        upstream_(std::move(upstream)),
        ticket_(ticket),
        began_(owner.clock_.Read().mono_) {
    ++owner_.in_flight_;
  }
  ~Slot() { Release(/*failed=*/true); }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  uint64_t Ticket() const { return ticket_; }
  void Release(bool failed) {
    if (std::exchange(released_, true)) {
      return;
    }
    const base::MonoTime now = owner_.clock_.Read().mono_;
    upstream_->admission_.Leave(ticket_, now - began_, failed, now);
    upstream_->NotifyDequeued(now);
    --owner_.in_flight_;
  }

 private:
  Destination& owner_;
  const std::shared_ptr<Upstream> upstream_;
  const uint64_t ticket_;
  const base::MonoTime began_;
  bool released_ = false;
};

// Reader of the rest of a streamed answer; holds the slot until the answer has
// ended.
class Destination::SlotHoldingBody : public http::BodyReader {
 public:
  SlotHoldingBody(Destination& owner,
                  std::shared_ptr<http::Exchange> body,
                  std::shared_ptr<Slot> slot,
                  const HopRequest& request)
      : owner_(owner),
        body_(std::move(body)),
        slot_(std::move(slot)),
        request_id_(request.request_id_),
        endpoint_id_(request.endpoint_id_),
        fingerprint_(request.fingerprint_) {}

  http::Task<http::BodyState> Read(std::string& piece, size_t most) override {
    const http::BodyState state = co_await body_->Read(piece, most);
    if (state != http::BodyState::kMore) {
      slot_->Release(/*failed=*/state == http::BodyState::kFailed);
    }
    if (state == http::BodyState::kEnd) {
      owner_.RecordAnswered(fingerprint_);
    }
    if (state == http::BodyState::kFailed) {
      LogUpstreamFailed(request_id_, endpoint_id_, body_->FailureInfo());
    }
    co_return state;
  }
  std::optional<uint64_t> Length() const override { return body_->Length(); }
  std::string_view Failure() const override { return body_->Failure(); }

 private:
  Destination& owner_;
  const std::shared_ptr<http::Exchange> body_;
  const std::shared_ptr<Slot> slot_;
  const std::string request_id_;
  const std::string endpoint_id_;
  const std::string fingerprint_;
};

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_DESTINATION_UPSTREAM_H_
