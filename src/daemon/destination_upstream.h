// What the destination keeps of one upstream, its slots and who waits for them.
//
// For the source files of Destination only.
#ifndef SRC_DAEMON_DESTINATION_UPSTREAM_H_
#define SRC_DAEMON_DESTINATION_UPSTREAM_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "daemon/destination.h"

namespace buckthorngate::daemon {

// Waiting requests per slot.
inline constexpr double kQueuePerSlot = 1.0;

// Why an exchange with an upstream ended without its answer, or its end.
void LogUpstreamFailed(const std::string& request_id,
                       const std::string& endpoint_id,
                       const http::ExchangeFailure& failure);

struct Destination::Waiter {
  explicit Waiter(http::EventLoop& loop) : released_(loop) {}

  http::Notifier released_;
  bool decided_ = false;
  bool admitted_ = false;
};

struct Destination::Upstream {
  explicit Upstream(const UpstreamInfo& info)
      : info_(info),
        admission_({info.slots_, kQueuePerSlot, !info.slots_told_}) {}

  const UpstreamInfo info_;
  request::AdmissionQueue admission_;
  std::map<uint64_t, Waiter*> waiting_;
  // Set when the upstream is found dead; names this one death.
  std::string crash_id_;

  uint32_t Load() const {
    return static_cast<uint32_t>(admission_.Running() + admission_.Waiting());
  }

  void ReleaseWaiting(base::MonoTime now) {
    for (const request::AdmissionQueue::Decision& released :
         admission_.TakeDecisions(now)) {
      const auto found = waiting_.find(released.ticket_);
      if (found != waiting_.end()) {
        found->second->decided_ = true;
        found->second->admitted_ = released.admitted_;
        found->second->released_.Notify();
      }
    }
  }
};

// An admitted request's slot; given back once.
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

  void Release(bool failed) {
    if (std::exchange(released_, true)) {
      return;
    }
    const base::MonoTime now = owner_.clock_.Read().mono_;
    upstream_->admission_.Leave(ticket_, now - began_, failed, now);
    upstream_->ReleaseWaiting(now);
    --owner_.in_flight_;
  }

 private:
  Destination& owner_;
  const std::shared_ptr<Upstream> upstream_;
  const uint64_t ticket_;
  const base::MonoTime began_;
  bool released_ = false;
};

// The rest of a long answer; holds the slot until its end.
class Destination::SlottedBody : public http::BodyReader {
 public:
  SlottedBody(std::shared_ptr<http::Exchange> body,
              std::shared_ptr<Slot> slot,
              const HopRequest& request)
      : body_(std::move(body)),
        slot_(std::move(slot)),
        request_id_(request.request_id_),
        endpoint_id_(request.endpoint_id_) {}

  http::Task<http::BodyState> Read(std::string& piece, size_t most) override {
    const http::BodyState state = co_await body_->Read(piece, most);
    if (state != http::BodyState::kMore) {
      slot_->Release(/*failed=*/state == http::BodyState::kFailed);
    }
    if (state == http::BodyState::kFailed) {
      LogUpstreamFailed(request_id_, endpoint_id_, body_->FailureInfo());
    }
    co_return state;
  }
  std::optional<uint64_t> Length() const override { return body_->Length(); }
  std::string_view Failure() const override { return body_->Failure(); }

 private:
  const std::shared_ptr<http::Exchange> body_;
  const std::shared_ptr<Slot> slot_;
  const std::string request_id_;
  const std::string endpoint_id_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_DESTINATION_UPSTREAM_H_
