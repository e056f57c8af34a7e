// Recording and rendering of a control host's metrics.
#include "daemon/control/control_metrics.h"

namespace buckthorngate::daemon::control {
namespace {

// A node's values are recorded at most once per interval.
constexpr base::Duration kMinRecordInterval = std::chrono::milliseconds(100);

int64_t ToUs(base::MonoTime time) {
  return time.time_since_epoch().count();
}

bool IsRecordDue(const std::atomic<int64_t>& last_us, base::MonoTime now) {
  return ToUs(now) - last_us.load() >= kMinRecordInterval.count();
}

double SecondsSince(int64_t us, base::MonoTime now) {
  return std::chrono::duration<double>(base::Duration(ToUs(now) - us)).count();
}

template <typename Number>
std::string FormatMetric(const std::string& name, Number value) {
  return "buckthorngate_" + name + " " + std::to_string(value) + "\n";
}

}  // namespace

void ControlMetrics::RecordSource(const distribution::SourceNode& node,
                                  const base::Now& now) {
  if (!IsRecordDue(source_recorded_us_, now.mono_)) {
    return;
  }
  const consensus::RaftCore& raft = node.Raft();
  is_leader_ = raft.IsLeader();
  term_ = raft.Term();
  commit_index_ = raft.CommitIndex();
  last_index_ = raft.LastIndex();
  source_revision_ = node.State().Config().Revision();
  revision_in_force_ = node.RevisionInForce();
  uint64_t learners = 0;
  for (const rpc::Member& member : raft.CurrentMembership().members()) {
    learners += member.learner() ? 1 : 0;
  }
  learners_ = learners;
  quota_shares_rate_ = node.QuotaSharesRate(now);
  voters_ =
      static_cast<uint64_t>(raft.CurrentMembership().members_size()) - learners;
  last_contact_us_ = ToUs(now.mono_ - raft.ContactAge(now));
  source_recorded_us_ = ToUs(now.mono_);
}

void ControlMetrics::RecordRelay(const distribution::RelayNode& node,
                                 const base::Now& now) {
  if (!IsRecordDue(relay_recorded_us_, now.mono_)) {
    return;
  }
  relay_revision_ = node.Config().Revision();
  relay_proxies_ = node.ProxySummary().subscribers_;
  quota_tokens_granted_ = node.Quota().Counts().granted_;
  quota_tokens_refused_ = node.Quota().Counts().refused_;
  relay_recorded_us_ = ToUs(now.mono_);
}

void ControlMetrics::CountRead(ResultCode code) {
  reads_by_code_.at(static_cast<size_t>(code))
      .fetch_add(1, std::memory_order_relaxed);
}

base::Duration ControlMetrics::ContactAge(base::MonoTime now) const {
  return base::Duration(ToUs(now) - last_contact_us_.load());
}

std::string ControlMetrics::RenderSource(base::MonoTime now) const {
  std::string out;
  out += FormatMetric("source_leader", is_leader_.load() ? 1 : 0);
  out += FormatMetric("source_term", term_.load());
  out += FormatMetric("source_commit_index", commit_index_.load());
  out += FormatMetric("source_last_index", last_index_.load());
  out += FormatMetric("source_revision", source_revision_.load());
  out += FormatMetric("source_revision_in_force", revision_in_force_.load());
  out += FormatMetric("source_members{kind=\"voter\"}", voters_.load());
  out += FormatMetric("source_members{kind=\"learner\"}", learners_.load());
  out +=
      FormatMetric("source_quota_shares_per_second", quota_shares_rate_.load());
  out += FormatMetric("source_contact_age_seconds",
                      SecondsSince(last_contact_us_.load(), now));
  out += FormatMetric("source_figures_age_seconds",
                      SecondsSince(source_recorded_us_.load(), now));
  out += "# TYPE buckthorngate_source_reads_total counter\n";
  for (int i = 0; i < kResultCodeCount; ++i) {
    const uint64_t count = reads_by_code_.at(static_cast<size_t>(i));
    if (count != 0) {
      const ResultCodeInfo& info = Describe(static_cast<ResultCode>(i));
      out += FormatMetric(
          "source_reads_total{code=\"" + std::string(info.name_) + "\"}",
          count);
    }
  }
  return out;
}

std::string ControlMetrics::RenderRelay(base::MonoTime now) const {
  std::string out;
  out += FormatMetric("relay_revision", relay_revision_.load());
  out += FormatMetric("relay_proxies", relay_proxies_.load());
  out += FormatMetric("relay_quota_tokens_total{result=\"granted\"}",
                      quota_tokens_granted_.load());
  out += FormatMetric("relay_quota_tokens_total{result=\"refused\"}",
                      quota_tokens_refused_.load());
  out += FormatMetric("relay_figures_age_seconds",
                      SecondsSince(relay_recorded_us_.load(), now));
  return out;
}

std::string ControlMetrics::Render(base::MonoTime now) const {
  std::string out;
  if (source_journal_ != nullptr) {
    out += RenderSource(now);
  }
  if (relay_journal_ != nullptr) {
    out += RenderRelay(now);
  }
  const std::string name = "buckthorngate_journal_sync_seconds";
  out += "# TYPE " + name + " histogram\n";
  if (source_journal_ != nullptr) {
    out += source_journal_->SyncTimes().Render(name, "journal=\"source\"");
  }
  if (relay_journal_ != nullptr) {
    out += relay_journal_->SyncTimes().Render(name, "journal=\"relay\"");
  }
  return out;
}

}  // namespace buckthorngate::daemon::control
