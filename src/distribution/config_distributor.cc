// Sends deltas and snapshots to subscribers, and limits the snapshot rate.
#include "distribution/config_distributor.h"

#include <algorithm>
#include <utility>

#include "base/events.h"

namespace buckthorngate::distribution {

ConfigDistributor::ConfigDistributor(std::string self, uint64_t seed)
    : self_(std::move(self)), random_(seed) {}

void ConfigDistributor::OnResume(const std::string& from,
                                 const rpc::Resume& resume,
                                 const config::ConfigState& state,
                                 const config::DeltaWindow& deltas,
                                 const base::Now& now,
                                 base::Outbox& outbox) {
  Subscriber& subscriber = subscribers_[from];
  const bool repeated = resume.number() != 0 && !subscriber.deferred_ &&
                        subscriber.resume_.number() == resume.number();
  if (repeated) {
    subscriber.last_contact_ = now.mono_;
    return;
  }
  subscriber.resume_ = resume;
  subscriber.resumed_ = now.mono_;
  subscriber.acked_revision_ = resume.revision();
  subscriber.sent_revision_ = resume.revision();
  subscriber.last_contact_ = now.mono_;
  subscriber.deferred_ = false;
  const bool same_content = !resume.needs_snapshot() &&
                            resume.revision() == state.Revision() &&
                            resume.digest() == state.Digest();
  if (resume.standby() || same_content || state.Revision() == 0) {
    return;
  }
  if (resume.revision() > state.Revision()) {
    // The subscriber is ahead and keeps its newer revision.
    return;
  }
  if (resume.revision() == state.Revision() || resume.needs_snapshot()) {
    // Same revision with different content, or a delta that was refused.
    subscriber.sent_revision_ = 0;
  }
  SendUpdate(from, subscriber, state, deltas, now, outbox);
}

void ConfigDistributor::OnAck(const std::string& from,
                              const rpc::Ack& ack,
                              const config::ConfigState& state,
                              const config::DeltaWindow& deltas,
                              const base::Now& now,
                              base::Outbox& outbox) {
  const auto found = subscribers_.find(from);
  if (found == subscribers_.end()) {
    // Its Resume was lost or this process restarted: ask for a new Resume.
    outbox.Add(self_, from).mutable_retry_after()->set_delay_ms(0);
    return;
  }
  Subscriber& subscriber = found->second;
  subscriber.last_contact_ = now.mono_;
  // A numbered subscriber becomes active by a Resume only: updates that were
  // sent before would answer none.
  const bool numbered = subscriber.resume_.number() != 0;
  const bool current = ack.resume_number() == subscriber.resume_.number();
  if (!numbered || (current && ack.standby())) {
    subscriber.resume_.set_standby(ack.standby());
  }
  subscriber.acked_revision_ =
      std::max(subscriber.acked_revision_, ack.revision());
  subscriber.result_code_ = ack.result_code();
  subscriber.members_digest_ = ack.members_digest();
  const bool behind = ack.revision() < state.Revision();
  if (behind && NeedsResend(subscriber, now)) {
    // A revision that was refused is sent again as a snapshot.
    subscriber.sent_revision_ = ack.result_code() == 0 ? ack.revision() : 0;
    SendUpdate(from, subscriber, state, deltas, now, outbox);
  }
}

bool ConfigDistributor::NeedsResend(const Subscriber& subscriber,
                                    const base::Now& now) {
  const bool due = now.mono_ - subscriber.last_sent_ >= kResendInterval;
  const bool numbered = subscriber.resume_.number() != 0;
  return due && !subscriber.resume_.standby() &&
         (!numbered || subscriber.deferred_);
}

void ConfigDistributor::Push(const config::ConfigState& state,
                             const config::DeltaWindow& deltas,
                             const base::Now& now,
                             base::Outbox& outbox) {
  for (auto& [id, subscriber] : subscribers_) {
    if (!subscriber.resume_.standby() && !subscriber.deferred_ &&
        subscriber.sent_revision_ < state.Revision()) {
      SendUpdate(id, subscriber, state, deltas, now, outbox);
    }
  }
}

void ConfigDistributor::SendUpdate(const std::string& to,
                                   Subscriber& subscriber,
                                   const config::ConfigState& state,
                                   const config::DeltaWindow& deltas,
                                   const base::Now& now,
                                   base::Outbox& outbox) {
  const bool cached =
      cached_delta_.from_revision() == subscriber.sent_revision_ &&
      cached_delta_.to_revision() == state.Revision() &&
      subscriber.sent_revision_ != 0;
  if (!cached) {
    cached_delta_.Clear();
  }
  subscriber.deferred_ = false;
  subscriber.last_sent_ = now.mono_;
  if (cached || (subscriber.sent_revision_ != 0 &&
                 deltas.Collect(subscriber.sent_revision_, cached_delta_))) {
    rpc::Envelope& envelope = outbox.Add(self_, to);
    envelope.set_resume_number(subscriber.resume_.number());
    *envelope.mutable_delta() = cached_delta_;
    subscriber.sent_revision_ = state.Revision();
  } else if (AdmitSnapshot(now)) {
    subscriber.sent_revision_ =
        SendSnapshot(to, subscriber, state, deltas, now, outbox);
    if (subscriber.sent_revision_ < state.Revision()) {
      SendUpdate(to, subscriber, state, deltas, now, outbox);
    }
  } else {
    DeferSnapshot(to, subscriber, now, outbox);
  }
}

uint64_t ConfigDistributor::SendSnapshot(const std::string& to,
                                         const Subscriber& subscriber,
                                         const config::ConfigState& state,
                                         const config::DeltaWindow& deltas,
                                         const base::Now& now,
                                         base::Outbox& outbox) {
  rpc::Envelope& envelope = outbox.Add(self_, to);
  envelope.set_resume_number(subscriber.resume_.number());
  // A subscriber that numbers its Resumes reads packed snapshots.
  if (subscriber.resume_.number() != 0) {
    *envelope.mutable_snapshot() = snapshots_.Get(state, deltas, now);
  } else {
    *envelope.mutable_snapshot() = state.ToSnapshot();
  }
  LogSnapshot(envelope, subscriber, now);
  return envelope.snapshot().revision();
}

void ConfigDistributor::DescribeUpdates(const std::string& subscriber,
                                        rpc::SourceHeartbeat& heartbeat) const {
  const auto found = subscribers_.find(subscriber);
  if (found == subscribers_.end()) {
    return;
  }
  heartbeat.set_resume_number(found->second.resume_.number());
  if (!found->second.resume_.standby()) {
    heartbeat.set_sent_revision(found->second.sent_revision_);
  }
}

void ConfigDistributor::LogSnapshot(const rpc::Envelope& envelope,
                                    const Subscriber& subscriber,
                                    const base::Now& now) {
  const base::Duration waited = now.mono_ - subscriber.resumed_;
  base::LogEvent(base::EventId::kSnapshotSent,
                 {{"to", envelope.to()},
                  {"revision", std::to_string(envelope.snapshot().revision())},
                  {"bytes", std::to_string(envelope.ByteSizeLong())},
                  {"since_resume_ms",
                   std::to_string(waited / std::chrono::milliseconds(1))}});
}

bool ConfigDistributor::AdmitSnapshot(const base::Now& now) {
  const double seconds =
      std::chrono::duration<double>(now.mono_ - last_refill_).count();
  last_refill_ = now.mono_;
  tokens_ = std::min(kSnapshotBurst, tokens_ + seconds * kSnapshotsPerSecond);
  if (tokens_ < 1.0) {
    ++deferred_snapshots_;
    return false;
  }
  tokens_ -= 1.0;
  deferred_snapshots_ = deferred_snapshots_ > 0 ? deferred_snapshots_ - 1 : 0;
  return true;
}

void ConfigDistributor::DeferSnapshot(const std::string& to,
                                      Subscriber& subscriber,
                                      const base::Now& now,
                                      base::Outbox& outbox) {
  subscriber.deferred_ = true;
  subscriber.last_sent_ = now.mono_;
  const base::Duration queue_delay = std::chrono::microseconds(
      static_cast<int64_t>(static_cast<double>(deferred_snapshots_) /
                           kSnapshotsPerSecond * 1e6));
  const base::Duration delay =
      queue_delay + std::chrono::milliseconds(50) +
      random_.Jitter(queue_delay + std::chrono::milliseconds(100));
  outbox.Add(self_, to).mutable_retry_after()->set_delay_ms(
      static_cast<uint32_t>(delay / std::chrono::milliseconds(1)));
}

void ConfigDistributor::DropUnresponsive(const base::Now& now) {
  std::erase_if(subscribers_, [&now](const auto& item) {
    return now.mono_ - item.second.last_contact_ > kSubscriberTimeout;
  });
}

SubscriberSummary ConfigDistributor::Summary() const {
  SubscriberSummary summary;
  for (const auto& [id, subscriber] : subscribers_) {
    if (summary.subscribers_ == 0 ||
        subscriber.acked_revision_ < summary.min_revision_) {
      summary.min_revision_ = subscriber.acked_revision_;
    }
    ++summary.subscribers_;
    summary.refused_ += subscriber.result_code_ != 0 ? 1 : 0;
  }
  return summary;
}

}  // namespace buckthorngate::distribution
