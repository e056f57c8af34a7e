// Event catalogue and the log4cplus adapter.
#include "base/events.h"

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
    {kStarted, Level::kInfo, "started", "The daemon serves."},
    {kStopping, Level::kInfo, "stopping", "The daemon drains before it exits."},
    {kStopped, Level::kInfo, "stopped", "The daemon exits."},
    {kSettingsRefused, Level::kError, "settings-refused",
     "The settings file has an error."},
    {kTlsOff, Level::kWarning, "tls-off",
     "TLS is off on an address that is not loopback."},
    {kStorageRepaired, Level::kWarning, "storage-repaired",
     "An incomplete record at the end of a journal was cut off."},
    {kStorageFailed, Level::kError, "storage-failed",
     "A journal cannot be written; the node stops voting and claiming."},
    {kStorageCorrupt, Level::kError, "storage-corrupt",
     "A journal is damaged before its end; the daemon does not start."},
    {kLeaderElected, Level::kInfo, "leader-elected",
     "This source leads the sources."},
    {kLeaderSteppedDown, Level::kWarning, "leader-stepped-down",
     "This source no longer leads."},
    {kMembershipChanged, Level::kInfo, "membership-changed",
     "The membership of the sources changed."},
    {kPublicationAccepted, Level::kInfo, "publication-accepted",
     "A publication was accepted."},
    {kPublicationRefused, Level::kWarning, "publication-refused",
     "A publication was refused."},
    {kInForceEverywhere, Level::kInfo, "in-force-everywhere",
     "A revision is in force at every connected proxy."},
    {kRevisionApplied, Level::kInfo, "revision-applied",
     "A revision took effect on this proxy."},
    {kRevisionRefused, Level::kError, "revision-refused",
     "A revision was refused whole; the older one stays."},
    {kRelayLost, Level::kWarning, "relay-lost", "The relay is silent."},
    {kRelayConnected, Level::kInfo, "relay-connected", "A relay answers."},
    {kPeerExchange, Level::kInfo, "peer-exchange",
     "A newer revision came from a peer proxy."},
    {kEndpointReady, Level::kInfo, "endpoint-ready",
     "An upstream announced itself."},
    {kEndpointDraining, Level::kInfo, "endpoint-draining",
     "An upstream is leaving."},
    {kEndpointExpired, Level::kWarning, "endpoint-expired",
     "An endpoint's lease expired."},
    {kEndpointCrashed, Level::kWarning, "endpoint-crashed",
     "An upstream died under its requests."},
    {kRequestQuarantined, Level::kError, "request-quarantined",
     "A request that crashes upstreams is refused from now on."},
    {kRequestRefused, Level::kInfo, "request-refused",
     "A request was refused."},
    {kAnswerCrossed, Level::kError, "answer-crossed",
     "An answer carried another request's id and was dropped."},
    {kMoveStep, Level::kInfo, "move-step", "A move changed its share."},
    {kMoveDone, Level::kInfo, "move-done", "A move is done."},
    {kMoveTakenBack, Level::kWarning, "move-taken-back",
     "A version was taken back."},
    {kMoveHeld, Level::kInfo, "move-held", "A move waits."},
    {kBrakeApplied, Level::kWarning, "brake-applied",
     "This proxy sends a version nothing until the controller decides."},
    {kMoveCannotReturn, Level::kWarning, "move-cannot-return",
     "The old version has no endpoints left; the watch ends."},
};

std::atomic<LogFormat> g_format{LogFormat::kText};
// Programs and tests that do not start logging write nothing.
std::atomic<bool> g_started{false};

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
  std::string line = "E" + std::to_string(static_cast<int>(info.id_)) + " " +
                     std::string(info.name_) + ": " + std::string(info.text_);
  for (const Field& field : fields) {
    line +=
        " " + std::string(field.name_) + "=\"" + Escape(field.value_) + "\"";
  }
  return line;
}

std::string FormatJson(const EventInfo& info,
                       std::initializer_list<Field> fields) {
  std::string line =
      "{\"event\":" + std::to_string(static_cast<int>(info.id_)) +
      ",\"name\":\"" + std::string(info.name_) + "\",\"level\":\"" +
      LevelName(info.level_) + "\"";
  for (const Field& field : fields) {
    line += ",\"" + std::string(field.name_) + "\":\"" + Escape(field.value_) +
            "\"";
  }
  return line + "}";
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
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  const char* pattern =
      format == LogFormat::kJson ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger::getRoot().addAppender(appender);
  g_started = true;
}

void LogEvent(EventId id, std::initializer_list<Field> fields) {
  if (!g_started) {
    return;
  }
  const EventInfo& info = DescribeEvent(id);
  const std::string line = g_format.load() == LogFormat::kJson
                               ? FormatJson(info, fields)
                               : FormatText(info, fields);
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  switch (info.level_) {
    case Level::kInfo:
      LOG4CPLUS_INFO(logger, line);
      break;
    case Level::kWarning:
      LOG4CPLUS_WARN(logger, line);
      break;
    case Level::kError:
      LOG4CPLUS_ERROR(logger, line);
      break;
  }
}

}  // namespace buckthorngate::base
