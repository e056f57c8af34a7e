// Catalogue of the numbered log events, and the logging functions.
//
// Every log line is one event of this catalogue. docs/EVENTS.md is generated
// from the same table, and a test checks that both match.
#ifndef SRC_BASE_EVENTS_H_
#define SRC_BASE_EVENTS_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace buckthorngate::base {

enum class EventId : uint16_t {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kSettingsRefused = 103,
  kTlsOff = 104,
  kStopStep = 105,
  kStopOpen = 106,
  kStorageRepaired = 110,
  kStorageFailed = 111,
  kStorageCorrupt = 112,
  kStorageBack = 113,
  kSyncSlow = 114,
  kStateRestored = 115,
  kLeaderElected = 200,
  kLeaderSteppedDown = 201,
  kMembershipChanged = 202,
  kMemberJoins = 203,
  kMemberRepaired = 204,
  kIdentityChosen = 205,
  kPublicationAccepted = 210,
  kPublicationRefused = 211,
  kInForceEverywhere = 212,
  kRoutingAccepted = 213,
  kRoutingRefused = 214,
  kMoveOrdered = 215,
  kOperatorCall = 216,
  kReadRefused = 217,
  kEvacuationOrdered = 218,
  kQuotaSharesChanged = 219,
  kRevisionApplied = 300,
  kRevisionRefused = 301,
  kRelayLost = 302,
  kRelayConnected = 303,
  kPeerExchange = 304,
  kFloorUnconfirmed = 305,
  kAuthorityLost = 306,
  kAuthorityRegained = 307,
  kZoneEvacuated = 308,
  kZoneReturned = 309,
  kQuotaLost = 310,
  kQuotaRegained = 311,
  kResumeSent = 312,
  kSnapshotSent = 313,
  kUpdateIgnored = 314,
  kUpdateLost = 315,
  kRevisionOutdated = 316,
  kRevisionCurrent = 317,
  kEndpointReady = 400,
  kEndpointDraining = 401,
  kEndpointExpired = 402,
  kEndpointCrashed = 403,
  kAnnouncementIgnored = 404,
  kHostsUnheard = 405,
  kHostsHeard = 406,
  kDepartureNotStored = 407,
  kEndpointDeregistered = 408,
  kEndpointWithdrawn = 409,
  kClaimKept = 410,
  kEndpointReplaced = 411,
  kEndpointCold = 412,
  kEndpointWarm = 413,
  kDepartureStored = 414,
  kDeparturesKnown = 415,
  kRequestQuarantined = 500,
  kRequestRefused = 501,
  kAnswerCrossed = 502,
  kRequestDone = 503,
  kRequestRetried = 504,
  kCallerMalformed = 505,
  kEndpointEjected = 506,
  kUpstreamFailed = 507,
  kRequestAdmitted = 508,
  kPeerUnreachable = 509,
  kCallerLeft = 510,
  kCallCut = 511,
  kAnswerCut = 512,
  kConnectionNotMade = 513,
  kRetryDenied = 514,
  kAttemptLeftOpen = 515,
  kQuarantineCleared = 516,
  kPipelineCancelled = 517,
  kBodyAsked = 518,
  kOverloadShed = 519,
  kSettingsReloaded = 520,
  kLogLinesDropped = 521,
  kTaskFailed = 522,
  kRestartNeeded = 523,
  kTerminated = 524,
  kMoveStep = 600,
  kMoveDone = 601,
  kMoveTakenBack = 602,
  kMoveHeld = 603,
  kBrakeApplied = 604,
  kMoveCannotReturn = 605,
};

enum class Level : uint8_t { kInfo, kWarning, kError };

struct EventInfo {
  EventId id_;
  Level level_;
  std::string_view name_;
  std::string_view text_;
};

// All events, sorted by number.
std::span<const EventInfo> EventTable();
const EventInfo& DescribeEvent(EventId id);

// A key and its value in a log line.
struct Field {
  std::string_view name_;
  std::string value_;
};

enum class LogFormat : uint8_t { kText, kJson };

// Starts a background thread that writes log lines to standard output. Must be
// called at most once.
void InitLogging(LogFormat format);

// Writes the queued lines and stops the thread; later events are discarded.
void StopLogging();

// Queues one line with the event's number, name, text (text format only) and
// fields. Never blocks: lines beyond the rate limit of their event, or that
// find the queue full, are dropped and counted.
void LogEvent(EventId id, std::initializer_list<Field> fields);

// Writes the line at once, past the queue and its limits, and may block. For a
// process that is about to end.
void WriteEventNow(EventId id, std::initializer_list<Field> fields);

}  // namespace buckthorngate::base

#endif  // SRC_BASE_EVENTS_H_
