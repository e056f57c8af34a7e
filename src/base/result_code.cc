// Table of result codes, declared in include/buckthorngate/result_code.h.
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
     "The version is not in force: no move to it has been completed."},
    {kConflictingOptions, "conflicting-options",
     "These options exclude each other."},
    {kNumberConflict, "number-conflict",
     "The publication number was used with other content."},
    {kNumberStale, "number-stale",
     "A publication with a higher number has been accepted."},
    {kDigestMismatch, "digest-mismatch",
     "The content does not match its digest."},
    {kNotLeader, "not-leader", "This source is not the leader; try another."},
    {kNoQuorum, "no-quorum", "No majority of the sources can be reached."},
    {kOutcomeUnknown, "outcome-unknown",
     "The outcome is unknown; send the same number again."},
    {kMembershipBusy, "membership-busy",
     "Another membership change is in progress."},
    {kUnknownMember, "unknown-member", "No source has this identity."},
    {kIdentityRetired, "identity-retired",
     "This identity has lost its state; join under a new one."},
    {kOverloaded, "overloaded", "The process is overloaded; try again later."},
    {kStorageFailed, "storage-failed", "Writing or syncing a file failed."},
    {kStorageCorrupt, "storage-corrupt",
     "A record before the end of the file is damaged."},
    {kStorageFull, "storage-full", "The disk is full."},
    {kRevisionGap, "revision-gap",
     "The delta does not start at the current revision."},
    {kRevisionOld, "revision-old",
     "The revision is older than the current one."},
    {kSnapshotDigestWrong, "snapshot-digest-wrong",
     "The configuration does not match its digest."},
    {kDanglingRoute, "dangling-route",
     "A route refers to a resource that does not exist."},
    {kNoRoute, "no-route", "No route matches the request."},
    {kNoEndpoint, "no-endpoint", "No endpoint is available."},
    {kEndpointDraining, "endpoint-draining",
     "The endpoint is draining or was removed."},
    {kEndpointOverloaded, "endpoint-overloaded",
     "The endpoint had no free slot in time."},
    {kDeadlineExceeded, "deadline-exceeded",
     "The request's deadline has passed."},
    {kConnectFailed, "connect-failed", "The connection was not established."},
    {kUpstreamFailed, "upstream-failed",
     "The upstream failed before its response was complete."},
    {kAnswerCrossed, "answer-crossed",
     "A response to another request arrived and was dropped."},
    {kRetryBudgetSpent, "retry-budget-spent", "The retry budget is spent."},
    {kKeyMissing, "key-missing", "The request lacks its idempotency key."},
    {kKeyReused, "key-reused",
     "The idempotency key was used with other content."},
    {kClaimNoQuorum, "claim-no-quorum",
     "No majority of the claim group can be reached."},
    {kClaimOutcomeUnknown, "claim-outcome-unknown",
     "The request may have been executed; it will not be executed again."},
    {kClaimEpochOld, "claim-epoch-old",
     "The claim group's membership has changed."},
    {kClaimTransferring, "claim-transferring",
     "The claim group member is still copying its ledger."},
    {kQuarantined, "quarantined",
     "Requests like this one crash upstreams and are refused."},
    {kBelowFloor, "below-floor",
     "The process has not reached its minimum configuration revision yet."},
    {kShuttingDown, "shutting-down", "The process is shutting down."},
    {kCallerGone, "caller-gone", "The caller closed its connection."},
    {kBadSettings, "bad-settings", "The settings are not valid."},
    {kConnectionLost, "connection-lost", "No server could be reached."},
    {kTimedOut, "timed-out", "The operation did not complete in time."},
    {kBaseNotCurrent, "base-not-current",
     "The route change is based on a publication that is not current."},
    {kInvalidValue, "invalid-value", "A value is not valid."},
    {kMoveInProgress, "move-in-progress",
     "Another move of the service is in progress."},
    {kMalformed, "malformed", "The message cannot be parsed."},
    {kUpstreamReplaced, "upstream-replaced",
     "Another upstream responds at the endpoint's address."},
    {kUpstreamShed, "upstream-shed",
     "The upstream refused the request without executing it."},
    {kAnswerMalformed, "answer-malformed",
     "The upstream sent bytes that are not a valid response."},
    {kAddressHeld, "address-held",
     "Another start of the upstream holds the address."},
    {kForeignAddress, "foreign-address",
     "The settings name another address for the upstream of this host."},
    {kDuplicateAccount, "duplicate-account",
     "Two client accounts have the same name."},
    {kDuplicateAccountKey, "duplicate-account-key",
     "Two client accounts hold the same key, or a key is empty."},
    {kAccountKeyMissing, "account-key-missing",
     "The route requires the key of a client account."},
    {kAccountKeyUnknown, "account-key-unknown",
     "No client account holds this key."},
    {kAuthorityExpired, "authority-expired",
     "The sources have not confirmed in time that the known keys are current."},
    {kQuotaExceeded, "quota-exceeded",
     "The client account has used up its quota."},
    {kQuotaUnavailable, "quota-unavailable",
     "No tokens of the client account's quota can be obtained at present."},
    {kZoneEvacuated, "zone-evacuated",
     "The endpoint's availability zone is evacuated."},
    {kUnknownZone, "unknown-zone", "No availability zone has this name."},
    {kOrderAmbiguous, "order-ambiguous",
     "The order may be a resend of an earlier one; send it again later."},
    {kEndpointCold, "endpoint-cold",
     "The endpoint is cold and takes no more requests at present."},
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
