// What a control host tells on its metrics page.
#include "daemon/control_metrics.h"

namespace buckthorngate::daemon {
namespace {

// Figures are published at most this often.
constexpr base::Duration kNoteInterval = std::chrono::milliseconds(100);

int64_t ToUs(base::MonoTime time) {
  return time.time_since_epoch().count();
}

bool Due(const std::atomic<int64_t>& last_us, base::MonoTime now) {
  return ToUs(now) - last_us.load() >= kNoteInterval.count();
}

double SecondsSince(int64_t us, base::MonoTime now) {
  return std::chrono::duration<double>(base::Duration(ToUs(now) - us)).count();
}

template <typename Number>
std::string Line(const std::string& name, Number value) {
  return "buckthorngate_" + name + " " + std::to_string(value) + "\n";
}

}  // namespace

void ControlMetrics::NoteSource(const distribution::SourceNode& node,
                                const base::Now& now) {
  if (!Due(source_flush_us_, now.mono_)) {
    return;
  }
  const consensus::RaftCore& raft = node.Raft();
  leads_ = raft.IsLeader();
  term_ = raft.Term();
  commit_ = raft.CommitIndex();
  last_index_ = raft.LastIndex();
  source_revision_ = node.State().Config().Revision();
  in_force_ = node.RevisionInForce();
  uint64_t learners = 0;
  for (const rpc::Member& member : raft.CurrentMembership().members()) {
    learners += member.learner() ? 1 : 0;
  }
  learners_ = learners;
  voters_ =
      static_cast<uint64_t>(raft.CurrentMembership().members_size()) - learners;
  contact_us_ = ToUs(now.mono_ - raft.ContactAge(now));
  source_flush_us_ = ToUs(now.mono_);
}

void ControlMetrics::NoteRelay(const distribution::RelayNode& node,
                               const base::Now& now) {
  if (!Due(relay_flush_us_, now.mono_)) {
    return;
  }
  relay_revision_ = node.Config().Revision();
  proxies_ = node.ProxySummary().subscribers_;
  relay_flush_us_ = ToUs(now.mono_);
}

void ControlMetrics::CountRead(ResultCode code) {
  reads_.at(static_cast<size_t>(code)).fetch_add(1, std::memory_order_relaxed);
}

base::Duration ControlMetrics::ContactAge(base::MonoTime now) const {
  return base::Duration(ToUs(now) - contact_us_.load());
}

std::string ControlMetrics::RenderSource(base::MonoTime now) const {
  std::string out;
  out += Line("source_leader", leads_.load() ? 1 : 0);
  out += Line("source_term", term_.load());
  out += Line("source_commit_index", commit_.load());
  out += Line("source_last_index", last_index_.load());
  out += Line("source_revision", source_revision_.load());
  out += Line("source_revision_in_force", in_force_.load());
  out += Line("source_members{kind=\"voter\"}", voters_.load());
  out += Line("source_members{kind=\"learner\"}", learners_.load());
  out +=
      Line("source_contact_age_seconds", SecondsSince(contact_us_.load(), now));
  out += Line("source_figures_age_seconds",
              SecondsSince(source_flush_us_.load(), now));
  out += "# TYPE buckthorngate_source_reads_total counter\n";
  for (int i = 0; i < kResultCodeCount; ++i) {
    const uint64_t count = reads_.at(static_cast<size_t>(i));
    if (count != 0) {
      const ResultCodeInfo& info = Describe(static_cast<ResultCode>(i));
      out +=
          Line("source_reads_total{code=\"" + std::string(info.name_) + "\"}",
               count);
    }
  }
  return out;
}

std::string ControlMetrics::RenderRelay(base::MonoTime now) const {
  std::string out;
  out += Line("relay_revision", relay_revision_.load());
  out += Line("relay_proxies", proxies_.load());
  out += Line("relay_figures_age_seconds",
              SecondsSince(relay_flush_us_.load(), now));
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

}  // namespace buckthorngate::daemon
