// Health checks, failover and failback between candidate parents.
#include "distribution/parent_selector.h"

#include <algorithm>

#include "base/hash.h"

namespace buckthorngate::distribution {
namespace {

// A standby may be ahead of the active parent for this long before failover.
constexpr base::Duration kLagTolerance = std::chrono::milliseconds(1500);
// The same while the active parent holds more than this node: its update is on
// the way, and another parent would send the same bytes over the same link.
constexpr base::Duration kTransferTolerance = std::chrono::seconds(6);
// The active parent may answer its first Resume this much later than others
// answer theirs.
constexpr base::Duration kFirstAnswerTime = std::chrono::milliseconds(500);

}  // namespace

ParentSelector::ParentSelector(const std::string& self,
                               std::vector<std::string> candidates,
                               uint64_t seed)
    : self_(self),
      random_(seed),
      next_resume_number_(random_.Engine()() | 1),
      order_(std::move(candidates)) {
  SortByScore();
  for (const std::string& id : order_) {
    RenewResume(candidates_[id]);
  }
  if (!order_.empty()) {
    active_ = order_.front();
  }
}

void ParentSelector::SortByScore() {
  std::sort(order_.begin(), order_.end(),
            [this](const std::string& a, const std::string& b) {
              return base::RendezvousScore(self_, a) >
                     base::RendezvousScore(self_, b);
            });
}

void ParentSelector::SetCandidates(
    const std::vector<std::string>& candidates,
    const std::function<bool(const std::string&)>& prefers) {
  std::map<std::string, Candidate> kept;
  for (const std::string& id : candidates) {
    kept[id] = candidates_[id];
    if (kept[id].resume_number_ == 0) {
      RenewResume(kept[id]);
    }
  }
  candidates_ = std::move(kept);
  order_ = candidates;
  SortByScore();
  has_preferred_ = std::stable_partition(order_.begin(), order_.end(),
                                         prefers) != order_.begin();
  if (candidates_.count(active_) == 0) {
    active_ = order_.empty() ? std::string() : order_.front();
    if (!active_.empty()) {
      // It knows this node as on standby, if at all.
      RenewResume(candidates_[active_]);
    }
  }
}

void ParentSelector::RecordContact(const std::string& candidate,
                                   uint64_t revision,
                                   base::Duration contact_age,
                                   base::MonoTime now) {
  const auto found = candidates_.find(candidate);
  if (found == candidates_.end()) {
    return;
  }
  Candidate& state = found->second;
  state.last_contact_ = now;
  state.contacted_ = true;
  state.revision_ = std::max(state.revision_, revision);
  state.contact_age_ = contact_age;
  state.backoff_ = kResumeBackoffMin;
}

void ParentSelector::RenewResume(Candidate& candidate) {
  candidate.resumed_ = false;
  candidate.resume_number_ = next_resume_number_++;
}

bool ParentSelector::RecordSentUpdates(const std::string& candidate,
                                       const rpc::SourceHeartbeat& heartbeat,
                                       uint64_t own_revision,
                                       base::MonoTime now) {
  const auto found = candidates_.find(candidate);
  if (found == candidates_.end() || heartbeat.resume_number() == 0) {
    return false;
  }
  Candidate& state = found->second;
  if (heartbeat.resume_number() != state.resume_number_) {
    if (state.resumed_ && now - state.resumed_at_ >= kResumeAnswerTimeout) {
      state.resumed_ = false;
    }
    return false;
  }
  const bool lost =
      candidate == active_ && heartbeat.sent_revision() > own_revision;
  if (lost) {
    RenewResume(state);
  }
  return lost;
}

uint64_t ParentSelector::ResumeNumber(const std::string& candidate) const {
  const auto found = candidates_.find(candidate);
  return found == candidates_.end() ? 0 : found->second.resume_number_;
}

bool ParentSelector::AnswersLastResume(const rpc::Envelope& update) const {
  const uint64_t number = ResumeNumber(update.from());
  return number == 0 || update.resume_number() == 0 ||
         update.resume_number() == number;
}

void ParentSelector::DelayResume(const std::string& candidate,
                                 base::Duration delay,
                                 base::MonoTime now) {
  const auto found = candidates_.find(candidate);
  if (found == candidates_.end()) {
    return;
  }
  found->second.resumed_ = false;
  found->second.next_resume_ = now + delay;
}

bool ParentSelector::Healthy(const Candidate& candidate,
                             base::MonoTime now) const {
  return candidate.contacted_ &&
         now - candidate.last_contact_ < kParentTimeout &&
         candidate.contact_age_ < kMaxContactAge;
}

bool ParentSelector::IsAwaited(const Candidate& candidate,
                               uint64_t own_revision,
                               base::MonoTime now) {
  if (!candidate.contacted_) {
    return candidate.first_resumed_at_ &&
           now - *candidate.first_resumed_at_ < kFirstAnswerTime;
  }
  return candidate.revision_ > own_revision &&
         candidate.contact_age_ < kMaxContactAge &&
         now - candidate.last_contact_ < kTransferTolerance;
}

void ParentSelector::ChooseActive(uint64_t own_revision, base::MonoTime now) {
  const Candidate& current = candidates_[active_];
  const bool behind =
      HighestRevision() > std::max(own_revision, current.revision_);
  if (!behind) {
    lagging_ = false;
  } else if (!lagging_) {
    lagging_ = true;
    lag_since_ = now;
  }
  const base::Duration tolerance =
      current.revision_ > own_revision ? kTransferTolerance : kLagTolerance;
  const bool lagged = lagging_ && now - lag_since_ > tolerance;
  const bool usable =
      Healthy(current, now) || IsAwaited(current, own_revision, now);
  if (usable && !lagged) {
    FailBackToPreferred(now);
    return;
  }
  for (const std::string& id : order_) {
    Candidate& candidate = candidates_[id];
    const bool ahead = !lagged || candidate.revision_ > current.revision_;
    if (id != active_ && Healthy(candidate, now) && ahead) {
      Activate(id, now);
      return;
    }
  }
}

void ParentSelector::Activate(const std::string& id, base::MonoTime now) {
  active_ = id;
  lagging_ = false;
  next_failback_ = now + kFailbackInterval;
  RenewResume(candidates_[id]);
  candidates_[id].next_resume_ = now;
}

void ParentSelector::FailBackToPreferred(base::MonoTime now) {
  if (!has_preferred_ || active_ == order_.front() || now < next_failback_) {
    return;
  }
  const Candidate& preferred = candidates_[order_.front()];
  if (Healthy(preferred, now) &&
      preferred.revision_ >= candidates_[active_].revision_) {
    Activate(order_.front(), now);
  }
}

std::vector<std::string> ParentSelector::DueResumes(uint64_t own_revision,
                                                    base::MonoTime now) {
  std::vector<std::string> due;
  if (order_.empty()) {
    return due;
  }
  ChooseActive(own_revision, now);
  for (const std::string& id : order_) {
    Candidate& candidate = candidates_[id];
    const bool unresponsive = !candidate.contacted_ ||
                              now - candidate.last_contact_ >= kParentTimeout;
    if (now < candidate.next_resume_ || (candidate.resumed_ && !unresponsive)) {
      continue;
    }
    due.push_back(id);
    candidate.resumed_ = true;
    candidate.resumed_at_ = now;
    candidate.first_resumed_at_ = candidate.first_resumed_at_.value_or(now);
    candidate.next_resume_ =
        now + kResumeBackoffMin + random_.Jitter(candidate.backoff_);
    candidate.backoff_ = std::min(candidate.backoff_ * 2, kResumeBackoffMax);
  }
  return due;
}

void ParentSelector::ForceResume() {
  RenewResume(candidates_[active_]);
}

bool ParentSelector::Connected(base::MonoTime now) const {
  const auto found = candidates_.find(active_);
  return found != candidates_.end() && Healthy(found->second, now);
}

bool ParentSelector::AnyConnected(base::MonoTime now) const {
  return std::any_of(
      candidates_.begin(), candidates_.end(),
      [this, now](const auto& item) { return Healthy(item.second, now); });
}

base::Duration ParentSelector::ContactAge(base::MonoTime now) const {
  const auto found = candidates_.find(active_);
  if (found == candidates_.end() || !found->second.contacted_) {
    return kMaxContactAge;
  }
  return found->second.contact_age_ + (now - found->second.last_contact_);
}

uint64_t ParentSelector::HighestRevision() const {
  uint64_t highest = 0;
  for (const auto& [id, candidate] : candidates_) {
    highest = std::max(highest, candidate.revision_);
  }
  return highest;
}

}  // namespace buckthorngate::distribution
