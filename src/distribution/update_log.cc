// Log lines on the way of configuration updates from a parent to a subscriber.
#include "distribution/update_log.h"

#include "base/events.h"

namespace buckthorngate::distribution {

using base::EventId;
using base::LogEvent;

std::string UpdateKind(const rpc::Envelope& update) {
  return update.has_snapshot() ? "snapshot" : "delta";
}

void LogResume(const std::string& to, const rpc::Resume& resume) {
  LogEvent(EventId::kResumeSent,
           {{"to", to},
            {"resume", std::to_string(resume.number())},
            {"revision", std::to_string(resume.revision())},
            {"needs_snapshot", resume.needs_snapshot() ? "true" : "false"}});
}

void LogUpdateIgnored(const rpc::Envelope& update, uint64_t last_resume) {
  LogEvent(EventId::kUpdateIgnored,
           {{"from", update.from()},
            {"kind", UpdateKind(update)},
            {"resume", std::to_string(update.resume_number())},
            {"last_resume", std::to_string(last_resume)}});
}

void LogUpdateLost(const rpc::Envelope& envelope, uint64_t held) {
  const rpc::SourceHeartbeat& heartbeat = envelope.heartbeat();
  LogEvent(EventId::kUpdateLost,
           {{"from", envelope.from()},
            {"resume", std::to_string(heartbeat.resume_number())},
            {"sent", std::to_string(heartbeat.sent_revision())},
            {"held", std::to_string(held)}});
}

}  // namespace buckthorngate::distribution
