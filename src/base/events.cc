// Event catalogue, formatting of log lines, and output through log4cplus.
#include "base/events.h"

#include "base/log_writer.h"
#include "base/time.h"

#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>

namespace buckthorngate::base {
namespace {

using enum EventId;

constexpr EventInfo kEvents[] = {
    {kStarted, Level::kInfo, "started", "The daemon is ready to serve."},
    {kStopping, Level::kInfo, "stopping",
     "The daemon drains its requests before it exits."},
    {kStopped, Level::kInfo, "stopped", "The daemon exits."},
    {kSettingsRefused, Level::kError, "settings-refused",
     "The settings file has an error."},
    {kTlsOff, Level::kWarning, "tls-off",
     "TLS is disabled on an address that is not loopback."},
    {kStopStep, Level::kInfo, "stop-step",
     "The shutdown reached a step; the fields count the work still open."},
    {kStopOpen, Level::kWarning, "stop-open",
     "The daemon exits while requests are still open."},
    {kStorageRepaired, Level::kWarning, "storage-repaired",
     "An incomplete record at the end of a journal was truncated."},
    {kStorageFailed, Level::kError, "storage-failed",
     "A journal cannot be written; the node stops voting and granting claims."},
    {kStorageCorrupt, Level::kError, "storage-corrupt",
     "A journal is damaged before its end; the daemon does not start."},
    {kStorageBack, Level::kInfo, "storage-back",
     "A failed journal was rewritten; the node participates again."},
    {kSyncSlow, Level::kWarning, "sync-slow",
     "Syncing a journal to disk was slow; everything that depends on its "
     "records waited."},
    {kStateRestored, Level::kInfo, "state-restored",
     "A node restored its state from its journal at startup."},
    {kLeaderElected, Level::kInfo, "leader-elected",
     "This source was elected leader."},
    {kLeaderSteppedDown, Level::kWarning, "leader-stepped-down",
     "This source is no longer the leader."},
    {kMembershipChanged, Level::kInfo, "membership-changed",
     "The membership of the sources changed."},
    {kMemberJoins, Level::kInfo, "member-joins",
     "A source that is not a member requests to join."},
    {kMemberRepaired, Level::kInfo, "member-repaired",
     "The leader changed the membership to restore its fault tolerance."},
    {kIdentityChosen, Level::kInfo, "identity-chosen",
     "The control host has no state on disk and chooses an identity."},
    {kPublicationAccepted, Level::kInfo, "publication-accepted",
     "A publication was accepted."},
    {kPublicationRefused, Level::kWarning, "publication-refused",
     "A publication was refused."},
    {kInForceEverywhere, Level::kInfo, "in-force-everywhere",
     "A revision is in force at every connected proxy."},
    {kRoutingAccepted, Level::kInfo, "routing-accepted",
     "A change of the mesh routes was accepted."},
    {kRoutingRefused, Level::kWarning, "routing-refused",
     "A change of the mesh routes was refused; the routes stay as they were."},
    {kMoveOrdered, Level::kInfo, "move-ordered", "A move was ordered."},
    {kOperatorCall, Level::kInfo, "operator-call",
     "An operator's request was answered."},
    {kReadRefused, Level::kInfo, "read-refused",
     "A control host refused a read or could not confirm that it is the "
     "leader."},
    {kEvacuationOrdered, Level::kInfo, "evacuation-ordered",
     "An order to evacuate an availability zone, or to end that, was decided."},
    {kQuotaSharesChanged, Level::kInfo, "quota-shares-changed",
     "The leader changed the shares of client accounts' quotas."},
    {kRevisionApplied, Level::kInfo, "revision-applied",
     "A revision took effect on this proxy."},
    {kRevisionRefused, Level::kError, "revision-refused",
     "A revision was refused as a whole; the previous one stays in force."},
    {kRelayLost, Level::kWarning, "relay-lost", "The relay is unresponsive."},
    {kRelayConnected, Level::kInfo, "relay-connected", "A relay responds."},
    {kPeerExchange, Level::kInfo, "peer-exchange",
     "A newer revision was received from a peer proxy."},
    {kFloorUnconfirmed, Level::kWarning, "floor-unconfirmed",
     "A proxy without state serves although no leader confirmed that its "
     "revision is the newest; the floors of all its relays are known."},
    {kAuthorityLost, Level::kWarning, "authority-lost",
     "This daemon refuses requests that need a client account: the sources "
     "have not confirmed in time that the known keys are current."},
    {kAuthorityRegained, Level::kInfo, "authority-regained",
     "The sources have confirmed that the known keys are current."},
    {kZoneEvacuated, Level::kInfo, "zone-evacuated",
     "The endpoints of an availability zone get no more requests."},
    {kZoneReturned, Level::kInfo, "zone-returned",
     "The endpoints of an availability zone get requests again."},
    {kQuotaLost, Level::kWarning, "quota-lost",
     "No tokens of client accounts' quotas can be obtained."},
    {kQuotaRegained, Level::kInfo, "quota-regained",
     "Tokens of client accounts' quotas can be obtained again."},
    {kResumeSent, Level::kInfo, "resume-sent",
     "A node asks its parent for the revisions that it lacks."},
    {kSnapshotSent, Level::kInfo, "snapshot-sent",
     "A subscriber that lacks everything gets the whole configuration."},
    {kUpdateIgnored, Level::kInfo, "update-ignored",
     "An update was meant for an earlier start of this node or came before its "
     "last request for updates was handled."},
    {kUpdateLost, Level::kWarning, "update-lost",
     "An update that the parent has sent did not arrive; the node asks for it "
     "again."},
    {kRevisionOutdated, Level::kWarning, "revision-outdated",
     "A proxy has known of a newer revision for too long, or does not know yet "
     "whether its first one is current; it refuses requests."},
    {kRevisionCurrent, Level::kInfo, "revision-current",
     "A proxy's revision is current enough again to serve requests."},
    {kEndpointReady, Level::kInfo, "endpoint-ready",
     "An upstream announced itself."},
    {kEndpointDraining, Level::kInfo, "endpoint-draining",
     "An upstream is draining or was removed."},
    {kEndpointExpired, Level::kWarning, "endpoint-expired",
     "An endpoint's lease expired: its upstream or its host was silent."},
    {kEndpointCrashed, Level::kWarning, "endpoint-crashed",
     "An upstream crashed while it was handling requests."},
    {kAnnouncementIgnored, Level::kWarning, "announcement-ignored",
     "An upstream's report was malformed, outdated or from another writer than "
     "the upstream that runs."},
    {kHostsUnheard, Level::kWarning, "hosts-unheard",
     "A relay receives no heartbeats from most hosts; it expires no endpoint "
     "leases."},
    {kHostsHeard, Level::kInfo, "hosts-heard",
     "A relay receives heartbeats from most known hosts again, or has dropped "
     "the others from its list."},
    {kDepartureNotStored, Level::kWarning, "departure-not-stored",
     "No majority of the relays has stored in time that an upstream leaves; "
     "its report is not acknowledged, but this daemon sends it no more "
     "requests."},
    {kEndpointDeregistered, Level::kInfo, "endpoint-deregistered",
     "An upstream has deregistered."},
    {kEndpointWithdrawn, Level::kInfo, "endpoint-withdrawn",
     "The daemon of an endpoint's host has stopped."},
    {kClaimKept, Level::kWarning, "claim-kept",
     "A claim was released, but not every member recorded the release; resends "
     "of its key may be refused."},
    {kEndpointReplaced, Level::kWarning, "endpoint-replaced",
     "Another upstream than the announced one responds at an endpoint's "
     "address."},
    {kEndpointCold, Level::kInfo, "endpoint-cold",
     "An endpoint of this host is cold and gets a limited rate of requests."},
    {kEndpointWarm, Level::kInfo, "endpoint-warm",
     "An endpoint of this host is no longer cold."},
    {kDepartureStored, Level::kInfo, "departure-stored",
     "A majority of the relays has stored that an upstream leaves; its report "
     "is acknowledged."},
    {kDeparturesKnown, Level::kInfo, "departures-known",
     "A daemon that has started accepts announcements from now on; the fields "
     "tell which relays have reported departures by then."},
    {kRequestQuarantined, Level::kError, "request-quarantined",
     "A request that crashes upstreams is refused from now on."},
    {kRequestRefused, Level::kInfo, "request-refused",
     "A request was refused."},
    {kAnswerCrossed, Level::kError, "answer-crossed",
     "A response carried another request's id and was dropped."},
    {kRequestDone, Level::kInfo, "request-done",
     "A request was answered; the fields show the decisions behind the "
     "response."},
    {kRequestRetried, Level::kInfo, "request-retried",
     "A request is retried at another endpoint."},
    {kCallerMalformed, Level::kWarning, "caller-malformed",
     "A caller sent data that is not a valid request."},
    {kEndpointEjected, Level::kWarning, "endpoint-ejected",
     "An endpoint is temporarily excluded from load balancing."},
    {kUpstreamFailed, Level::kWarning, "upstream-failed",
     "An exchange with an upstream ended without a complete response."},
    {kRequestAdmitted, Level::kInfo, "request-admitted",
     "A request was or was not granted a slot of an endpoint on this host."},
    {kPeerUnreachable, Level::kWarning, "peer-unreachable",
     "A daemon answers no probe; repeatable requests that wait for it are also "
     "sent to other hosts."},
    {kCallerLeft, Level::kInfo, "caller-left",
     "The sender of a request disconnected before the response was complete."},
    {kCallCut, Level::kWarning, "call-cut",
     "A request that had been read ended without a complete response."},
    {kAnswerCut, Level::kWarning, "answer-cut",
     "The response of an upstream or of another daemon ended prematurely."},
    {kConnectionNotMade, Level::kWarning, "connection-not-made",
     "This host lacks file descriptors, ports or memory for a connection."},
    {kRetryDenied, Level::kInfo, "retry-denied",
     "A request is not sent again: the retry budget of its service is spent."},
    {kAttemptLeftOpen, Level::kWarning, "attempt-left-open",
     "The daemon of an attempt's endpoint answers no probe; the attempt stays "
     "open."},
    {kQuarantineCleared, Level::kInfo, "quarantine-cleared",
     "A suspected or quarantined request was answered, so it did not crash the "
     "upstreams."},
    {kPipelineCancelled, Level::kInfo, "pipeline-cancelled",
     "A request behind a response that closed the connection was cancelled; "
     "its "
     "caller resends it."},
    {kBodyAsked, Level::kInfo, "body-asked",
     "Another daemon asked whether it may send a large body to an endpoint of "
     "this host; the fields show what is due on the host's link."},
    {kOverloadShed, Level::kInfo, "overload-shed",
     "Requests were refused because others lose more by waiting."},
    {kSettingsReloaded, Level::kInfo, "settings-reloaded",
     "The settings file was reloaded."},
    {kLogLinesDropped, Level::kWarning, "log-lines-dropped",
     "Log lines were dropped by the rate limit or because the queue was full."},
    {kTaskFailed, Level::kError, "task-failed",
     "A handler or a coroutine ended with an exception."},
    {kRestartNeeded, Level::kWarning, "restart-needed",
     "The settings file says otherwise what this host is; the daemon goes on "
     "with what it had at its start."},
    {kTerminated, Level::kError, "terminated",
     "The daemon ends: an exception that nothing handles was thrown."},
    {kMoveStep, Level::kInfo, "move-step",
     "A move changed the share of the new version."},
    {kMoveDone, Level::kInfo, "move-done", "A move is complete."},
    {kMoveTakenBack, Level::kWarning, "move-taken-back",
     "A move was rolled back to the old version."},
    {kMoveHeld, Level::kInfo, "move-held", "A move is on hold."},
    {kBrakeApplied, Level::kWarning, "brake-applied",
     "This proxy sends no requests to a version until the controller decides."},
    {kMoveCannotReturn, Level::kWarning, "move-cannot-return",
     "The old version has no endpoints left; the observation after the move "
     "ends."},
};

std::atomic<LogFormat> g_format{LogFormat::kText};
// Null until InitLogging: programs and tests that do not call it log nothing.
std::atomic<LogWriter*> g_writer{nullptr};

const char* LevelName(Level level) {
  switch (level) {
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "error";
}

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    const bool control = static_cast<unsigned char>(c) < 0x20;
    if (control) {
      escaped += ' ';
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

std::string FormatText(const EventInfo& info,
                       std::initializer_list<Field> fields) {
  const WallTime now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::string line = std::to_string(ToUnixMs(now)) + " " +
                     LevelName(info.level_) + " E" +
                     std::to_string(static_cast<int>(info.id_)) + " " +
                     std::string(info.name_) + ": " + std::string(info.text_);
  for (const Field& field : fields) {
    line +=
        " " + std::string(field.name_) + "=\"" + Escape(field.value_) + "\"";
  }
  return line;
}

std::string FormatJson(const EventInfo& info,
                       std::initializer_list<Field> fields) {
  const WallTime now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::string line =
      "{\"time_ms\":" + std::to_string(ToUnixMs(now)) +
      ",\"event\":" + std::to_string(static_cast<int>(info.id_)) +
      ",\"name\":\"" + std::string(info.name_) + "\",\"level\":\"" +
      LevelName(info.level_) + "\"";
  for (const Field& field : fields) {
    line += ",\"" + std::string(field.name_) + "\":\"" + Escape(field.value_) +
            "\"";
  }
  return line + "}";
}

std::string FormatLine(const EventInfo& info,
                       std::initializer_list<Field> fields) {
  return g_format.load() == LogFormat::kJson ? FormatJson(info, fields)
                                             : FormatText(info, fields);
}

}  // namespace

std::span<const EventInfo> EventTable() {
  return kEvents;
}

const EventInfo& DescribeEvent(EventId id) {
  return *std::lower_bound(
      std::begin(kEvents), std::end(kEvents), id,
      [](const EventInfo& info, EventId wanted) { return info.id_ < wanted; });
}

void InitLogging(LogFormat format) {
  g_format = format;
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m"));
  log4cplus::Logger::getRoot().addAppender(appender);
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  static LogWriter writer(
      [](const std::string& lines) { LOG4CPLUS_INFO(logger, lines); },
      [](uint16_t event, uint64_t count) {
        const EventInfo& info = DescribeEvent(EventId::kLogLinesDropped);
        return FormatLine(info, {{"of_event", std::to_string(event)},
                                 {"count", std::to_string(count)}});
      });
  g_writer = &writer;
}

void WriteEventNow(EventId id, std::initializer_list<Field> fields) {
  const std::string line = FormatLine(DescribeEvent(id), fields) + "\n";
  size_t written = 0;
  ssize_t count = 1;
  while (count > 0 && written < line.size()) {
    count = write(STDOUT_FILENO, line.data() + written, line.size() - written);
    written += count > 0 ? static_cast<size_t>(count) : 0;
  }
}

void StopLogging() {
  LogWriter* const writer = g_writer.exchange(nullptr);
  if (writer != nullptr) {
    writer->Stop();
  }
}

void LogEvent(EventId id, std::initializer_list<Field> fields) {
  LogWriter* const writer = g_writer.load(std::memory_order_acquire);
  if (writer != nullptr &&
      writer->Admit(static_cast<uint16_t>(id), MonoNow())) {
    writer->Enqueue(FormatLine(DescribeEvent(id), fields));
  }
}

}  // namespace buckthorngate::base
