// Quarantine of requests that crash upstreams.
#include "request/quarantine.h"

#include <algorithm>

#include "request/answered_requests.h"

namespace buckthorngate::request {
namespace {

// Bounds the memory of seen crashes.
constexpr size_t kMaxSeenCrashes = 4096;

// When the entry, which no answer has cleared, was last changed by a crash.
int64_t CrashedMs(const rpc::QuarantineEntry& entry) {
  const std::chrono::milliseconds lifetime =
      entry.quarantined() ? std::chrono::milliseconds(kQuarantineLifetime)
                          : std::chrono::milliseconds(kSuspectLifetime);
  return entry.expires_ms() - lifetime.count();
}

// Whether `offered` replaces `held`, an entry of the same fingerprint. An entry
// that an answer has cleared is replaced only by crashes after its end.
bool Supersedes(const rpc::QuarantineEntry& offered,
                const rpc::QuarantineEntry& held) {
  if (offered.answered() && held.answered()) {
    return offered.expires_ms() > held.expires_ms();
  }
  if (held.answered()) {
    return CrashedMs(offered) >= held.expires_ms();
  }
  if (offered.answered()) {
    return held.crashes() == 0 || CrashedMs(held) < offered.expires_ms();
  }
  return offered.crashes() > held.crashes() ||
         (offered.quarantined() && !held.quarantined());
}

}  // namespace

std::vector<rpc::QuarantineEntry> QuarantineList::OnCrash(
    const rpc::CrashReport& report,
    base::WallTime now) {
  std::vector<rpc::QuarantineEntry> changed;
  for (const std::string& fingerprint : report.fingerprints()) {
    // Each request that a crash interrupted reports the crash; each fingerprint
    // counts once.
    if (!seen_crashes_.insert(report.crash_id() + "\n" + fingerprint).second) {
      continue;
    }
    const uint32_t lifted = LiftedCrashes(fingerprint);
    rpc::QuarantineEntry& entry = entries_[fingerprint];
    if (entry.answered() && entry.expires_ms() > base::ToUnixMs(now)) {
      continue;
    }
    if (entry.answered()) {
      entry.Clear();
    }
    entry.set_fingerprint(fingerprint);
    entry.set_service(report.service());
    entry.set_crashes(std::max(entry.crashes(), lifted) + 1);
    entry.set_quarantined(entry.crashes() - lifted >= kCrashesToQuarantine);
    const std::chrono::milliseconds lifetime =
        entry.quarantined() ? std::chrono::milliseconds(kQuarantineLifetime)
                            : std::chrono::milliseconds(kSuspectLifetime);
    entry.set_expires_ms(base::ToUnixMs(now + lifetime));
    changed.push_back(entry);
  }
  if (seen_crashes_.size() > kMaxSeenCrashes) {
    seen_crashes_.erase(seen_crashes_.begin());
  }
  return changed;
}

std::vector<rpc::QuarantineEntry> QuarantineList::OnAnswered(
    const rpc::AnsweredReport& report,
    base::WallTime now) {
  std::vector<rpc::QuarantineEntry> changed;
  for (const std::string& fingerprint : report.fingerprints()) {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.answered()) {
      continue;
    }
    rpc::QuarantineEntry& entry = found->second;
    entry.set_answered(true);
    entry.set_quarantined(false);
    entry.set_expires_ms(base::ToUnixMs(now + kAnswerEvidenceAge));
    changed.push_back(entry);
  }
  return changed;
}

std::vector<rpc::QuarantineEntry> QuarantineList::Merge(
    const rpc::QuarantineNotice& notice) {
  std::vector<rpc::QuarantineEntry> changed;
  for (const rpc::QuarantineEntry& offered : notice.entries()) {
    if (offered.crashes() <= LiftedCrashes(offered.fingerprint())) {
      continue;
    }
    rpc::QuarantineEntry& held = entries_[offered.fingerprint()];
    if (Supersedes(offered, held)) {
      held = offered;
      changed.push_back(offered);
    }
  }
  return changed;
}

void QuarantineList::Lift(const std::set<std::string>& fingerprints) {
  for (const std::string& fingerprint : fingerprints) {
    if (lifted_.count(fingerprint) != 0) {
      continue;
    }
    const auto held = entries_.find(fingerprint);
    lifted_[fingerprint] = held == entries_.end() ? 0 : held->second.crashes();
    entries_.erase(fingerprint);
  }
}

uint32_t QuarantineList::LiftedCrashes(const std::string& fingerprint) const {
  const auto found = lifted_.find(fingerprint);
  return found == lifted_.end() ? 0 : found->second;
}

void QuarantineList::Expire(base::WallTime now) {
  const int64_t now_ms = base::ToUnixMs(now);
  std::erase_if(entries_, [now_ms](const auto& item) {
    return item.second.expires_ms() <= now_ms;
  });
}

}  // namespace buckthorngate::request
