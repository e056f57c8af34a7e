// The table behind include/buckthorngate/result_code.h.
#include "buckthorngate/result_code.h"

#include <array>

namespace buckthorngate {
namespace {

using enum ResultCode;

constexpr std::array<ResultCodeInfo, kResultCodeCount> kTable = {{
    {kOk, "ok", "Done."},
    {kFileUnreadable, "file-unreadable", "The file cannot be read."},
    {kSyntaxError, "syntax-error", "The file is not valid TOML."},
    {kUnknownKey, "unknown-key", "The key is not known here."},
    {kWrongType, "wrong-type", "The value has the wrong type or range."},
    {kMissingKey, "missing-key", "A required key is missing."},
    {kDuplicateService, "duplicate-service", "Two files name this service."},
    {kDuplicateRoute, "duplicate-route",
     "Two routes have the same host, path prefix and method."},
    {kUnknownVersion, "unknown-version",
     "The version is not in the service's list of versions."},
    {kUnknownService, "unknown-service", "No service has this name."},
    {kDeadlinePassed, "deadline-passed", "The move's deadline has passed."},
    {kShareOutOfRange, "share-out-of-range",
     "The share must lie between 0.1 and 50 percent."},
    {kVersionNotInForce, "version-not-in-force",
     "The version has not taken over by a completed move."},
    {kConflictingOptions, "conflicting-options",
     "These options exclude each other."},
    {kNumberConflict, "number-conflict",
     "The publication number was used with other content."},
    {kNumberStale, "number-stale",
     "A publication with a higher number has been accepted."},
    {kDigestMismatch, "digest-mismatch",
     "The content does not match its digest."},
    {kNotLeader, "not-leader", "This source does not lead; try another."},
    {kNoQuorum, "no-quorum", "No majority of the sources can be reached."},
    {kOutcomeUnknown, "outcome-unknown",
     "The outcome is unknown; send the same number again."},
    {kMembershipBusy, "membership-busy",
     "Another change of membership is under way."},
    {kUnknownMember, "unknown-member", "No source has this identity."},
    {kIdentityRetired, "identity-retired",
     "This identity lost its state; join under a new one."},
    {kOverloaded, "overloaded", "The process is overloaded; try later."},
    {kStorageFailed, "storage-failed", "Writing or syncing a file failed."},
    {kStorageCorrupt, "storage-corrupt",
     "A record before the end of the file is damaged."},
    {kStorageFull, "storage-full", "The disk is full."},
    {kRevisionGap, "revision-gap", "The delta does not start here."},
    {kRevisionOld, "revision-old", "The revision is older than the current."},
    {kSnapshotDigestWrong, "snapshot-digest-wrong",
     "The configuration does not match its digest."},
    {kDanglingRoute, "dangling-route",
     "A route points at a resource that is missing."},
    {kNoRoute, "no-route", "No route matches the request."},
    {kNoEndpoint, "no-endpoint", "No endpoint can be reached."},
    {kEndpointDraining, "endpoint-draining", "The endpoint is leaving."},
    {kEndpointOverloaded, "endpoint-overloaded",
     "The endpoint has no free slot in time."},
    {kDeadlineExceeded, "deadline-exceeded", "The request's time is over."},
    {kConnectFailed, "connect-failed", "The connection was not established."},
    {kUpstreamFailed, "upstream-failed",
     "The upstream failed before its answer was complete."},
    {kAnswerCrossed, "answer-crossed",
     "An answer to another request arrived and was dropped."},
    {kRetryBudgetSpent, "retry-budget-spent", "The retry budget is spent."},
    {kKeyMissing, "key-missing", "The request lacks its idempotency key."},
    {kKeyReused, "key-reused",
     "The idempotency key was used with other content."},
    {kClaimNoQuorum, "claim-no-quorum",
     "No majority of the claim group can be reached."},
    {kClaimOutcomeUnknown, "claim-outcome-unknown",
     "The request may have run; it will not run again."},
    {kClaimEpochOld, "claim-epoch-old",
     "The claim group's membership has changed."},
    {kClaimTransferring, "claim-transferring",
     "The claim group member is still copying its ledger."},
    {kQuarantined, "quarantined",
     "Requests like this one crash upstreams and are refused."},
    {kBelowFloor, "below-floor",
     "The process has not reached its configuration floor yet."},
    {kShuttingDown, "shutting-down", "The process is shutting down."},
    {kCallerGone, "caller-gone", "The caller closed its connection."},
    {kBadSettings, "bad-settings", "The settings are not valid."},
    {kConnectionLost, "connection-lost", "No server could be reached."},
    {kTimedOut, "timed-out", "The operation did not end in time."},
    {kBaseNotCurrent, "base-not-current",
     "The routes were changed on top of a publication that is not current."},
    {kInvalidValue, "invalid-value", "A value is not valid."},
    {kMoveInProgress, "move-in-progress",
     "Another move of the service is in progress."},
    {kMalformed, "malformed", "The message cannot be read."},
    {kUpstreamReplaced, "upstream-replaced",
     "Another upstream answers at the endpoint's address."},
    {kUpstreamShed, "upstream-shed",
     "The upstream refused the request without running it."},
    {kAnswerMalformed, "answer-malformed",
     "The upstream sent bytes that are no answer."},
}};

constexpr bool IsDense() {
  for (int i = 0; i < kResultCodeCount; ++i) {
    if (static_cast<int>(kTable[i].code_) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsDense(), "kTable must list the codes in order");

}  // namespace

const ResultCodeInfo& Describe(ResultCode code) {
  return kTable.at(static_cast<size_t>(code));
}

ResultCode ResultCodeFromNumber(uint32_t number) {
  if (number >= static_cast<uint32_t>(kResultCodeCount)) {
    return kOutcomeUnknown;
  }
  return static_cast<ResultCode>(number);
}

}  // namespace buckthorngate
