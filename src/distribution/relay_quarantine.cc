// A relay: quarantined requests.
#include "base/events.h"
#include "distribution/relay_node.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

}  // namespace

void RelayNode::SendQuarantine(const std::vector<rpc::QuarantineEntry>& entries,
                               bool to_relays) {
  if (entries.empty()) {
    return;
  }
  rpc::Envelope content;
  for (const rpc::QuarantineEntry& entry : entries) {
    *content.mutable_quarantine()->add_entries() = entry;
    rpc::JournalRecord record;
    *record.mutable_quarantine() = entry;
    (void)journal_.Append(record);
    journal_dirty_ = true;
    if (entry.answered()) {
      LogEvent(EventId::kQuarantineCleared,
               {{"fingerprint", entry.fingerprint()},
                {"service", entry.service()},
                {"crashes", std::to_string(entry.crashes())}});
    }
    if (entry.quarantined()) {
      LogEvent(
          EventId::kRequestQuarantined,
          {{"fingerprint", entry.fingerprint()}, {"service", entry.service()}});
    }
  }
  SendToProxies(content, /*active_only=*/false);
  if (to_relays) {
    for (const std::string& relay : relays_) {
      *outbox_.Add(options_.id_, relay).mutable_quarantine() =
          content.quarantine();
    }
  }
}

void RelayNode::OnCrash(const rpc::Envelope& envelope, const base::Now& now) {
  SendQuarantine(quarantine_.OnCrash(envelope.crash(), now.wall_),
                 /*to_relays=*/true);
}

void RelayNode::OnAnswered(const rpc::AnsweredReport& report,
                           const base::Now& now) {
  SendQuarantine(quarantine_.OnAnswered(report, now.wall_),
                 /*to_relays=*/true);
}

void RelayNode::OnQuarantine(const rpc::Envelope& envelope) {
  SendQuarantine(quarantine_.Merge(envelope.quarantine()), /*to_relays=*/false);
}

}  // namespace buckthorngate::distribution
