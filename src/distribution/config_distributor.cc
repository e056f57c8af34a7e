// Feeding of followers.
#include "distribution/config_distributor.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::distribution {

ConfigDistributor::ConfigDistributor(std::string self, uint64_t seed)
    : self_(std::move(self)), random_(seed) {}

void ConfigDistributor::OnResume(const std::string& from,
                                 const rpc::Resume& resume,
                                 const config::ConfigState& state,
                                 const config::DeltaWindow& deltas,
                                 const base::Now& now,
                                 base::Outbox& outbox) {
  Follower& follower = subscribers_[from];
  follower.resume_ = resume;
  follower.acked_ = resume.revision();
  follower.sent_ = resume.revision();
  follower.last_heard_ = now.mono_;
  const bool same_content = resume.revision() == state.Revision() &&
                            resume.digest() == state.Digest();
  if (resume.standby() || same_content || state.Revision() == 0) {
    return;
  }
  if (resume.revision() > state.Revision()) {
    // The follower is ahead; it stays where it is.
    return;
  }
  if (resume.revision() == state.Revision()) {
    follower.sent_ = 0;
  }
  SendFrom(from, follower, state, deltas, now, outbox);
}

void ConfigDistributor::OnAck(const std::string& from,
                              const rpc::Ack& ack,
                              const config::ConfigState& state,
                              const config::DeltaWindow& deltas,
                              const base::Now& now,
                              base::Outbox& outbox) {
  const auto found = subscribers_.find(from);
  if (found == subscribers_.end()) {
    // Its resume was lost, or this feeder has restarted.
    outbox.Add(self_, from).mutable_retry_after()->set_delay_ms(0);
    return;
  }
  Follower& follower = found->second;
  follower.last_heard_ = now.mono_;
  follower.resume_.set_standby(ack.standby());
  follower.acked_ = std::max(follower.acked_, ack.revision());
  follower.result_code_ = ack.result_code();
  const bool behind = ack.revision() < state.Revision();
  const bool due = now.mono_ - follower.last_sent_ >= kResendInterval;
  if (behind && due && !follower.resume_.standby()) {
    // A refused revision comes again as a snapshot.
    follower.sent_ = ack.result_code() == 0 ? ack.revision() : 0;
    SendFrom(from, follower, state, deltas, now, outbox);
  }
}

void ConfigDistributor::Push(const config::ConfigState& state,
                             const config::DeltaWindow& deltas,
                             const base::Now& now,
                             base::Outbox& outbox) {
  for (auto& [id, follower] : subscribers_) {
    if (!follower.resume_.standby() && follower.sent_ < state.Revision()) {
      SendFrom(id, follower, state, deltas, now, outbox);
    }
  }
}

void ConfigDistributor::SendFrom(const std::string& to,
                                 Follower& follower,
                                 const config::ConfigState& state,
                                 const config::DeltaWindow& deltas,
                                 const base::Now& now,
                                 base::Outbox& outbox) {
  const bool cached = cached_delta_.from_revision() == follower.sent_ &&
                      cached_delta_.to_revision() == state.Revision() &&
                      follower.sent_ != 0;
  if (!cached) {
    cached_delta_.Clear();
  }
  if (cached ||
      (follower.sent_ != 0 && deltas.Collect(follower.sent_, cached_delta_))) {
    *outbox.Add(self_, to).mutable_delta() = cached_delta_;
  } else if (AdmitSnapshot(now)) {
    *outbox.Add(self_, to).mutable_snapshot() = state.ToSnapshot();
  } else {
    RefuseSnapshot(to, outbox);
    return;
  }
  follower.sent_ = state.Revision();
  follower.last_sent_ = now.mono_;
}

bool ConfigDistributor::AdmitSnapshot(const base::Now& now) {
  const double seconds =
      std::chrono::duration<double>(now.mono_ - refilled_).count();
  refilled_ = now.mono_;
  tokens_ = std::min(kSnapshotBurst, tokens_ + seconds * kSnapshotsPerSecond);
  if (tokens_ < 1.0) {
    ++waiting_;
    return false;
  }
  tokens_ -= 1.0;
  waiting_ = waiting_ > 0 ? waiting_ - 1 : 0;
  return true;
}

void ConfigDistributor::RefuseSnapshot(const std::string& to,
                                       base::Outbox& outbox) {
  const base::Duration queue = std::chrono::microseconds(static_cast<int64_t>(
      static_cast<double>(waiting_) / kSnapshotsPerSecond * 1e6));
  const base::Duration delay =
      queue + std::chrono::milliseconds(50) +
      random_.Jitter(queue + std::chrono::milliseconds(100));
  outbox.Add(self_, to).mutable_retry_after()->set_delay_ms(
      static_cast<uint32_t>(delay / std::chrono::milliseconds(1)));
}

void ConfigDistributor::DropSilent(const base::Now& now) {
  std::erase_if(subscribers_, [&now](const auto& item) {
    return now.mono_ - item.second.last_heard_ > kFollowerTimeout;
  });
}

SubscriberSummary ConfigDistributor::Summary() const {
  SubscriberSummary summary;
  for (const auto& [id, follower] : subscribers_) {
    if (summary.subscribers_ == 0 || follower.acked_ < summary.min_revision_) {
      summary.min_revision_ = follower.acked_;
    }
    ++summary.subscribers_;
    summary.refused_ += follower.result_code_ != 0 ? 1 : 0;
  }
  return summary;
}

}  // namespace buckthorngate::distribution
