// Result codes of buckthorngate: one dense enum and one table.
//
// Each code that a caller, an operator or a peer can meet stands here, with a
// stable number, its name and one plain sentence. docs/ERRORS.md mirrors the
// table; a test holds them equal. Numbers are never reused.
#ifndef BUCKTHORNGATE_RESULT_CODE_H_
#define BUCKTHORNGATE_RESULT_CODE_H_

#include <cstdint>
#include <string_view>

namespace buckthorngate {

enum class ResultCode : uint16_t {
  kOk = 0,
  // Service files and publications.
  kFileUnreadable,
  kSyntaxError,
  kUnknownKey,
  kWrongType,
  kMissingKey,
  kDuplicateService,
  kDuplicateRoute,
  kUnknownVersion,
  kUnknownService,
  kDeadlinePassed,
  kShareOutOfRange,
  kVersionNotInForce,
  kConflictingOptions,
  kNumberConflict,
  kNumberStale,
  kDigestMismatch,
  // Sources.
  kNotLeader,
  kNoQuorum,
  kOutcomeUnknown,
  kMembershipBusy,
  kUnknownMember,
  kIdentityRetired,
  kOverloaded,
  // Storage.
  kStorageFailed,
  kStorageCorrupt,
  kStorageFull,
  // Distribution.
  kRevisionGap,
  kRevisionOld,
  kSnapshotDigestWrong,
  kDanglingRoute,
  // The path of a request.
  kNoRoute,
  kNoEndpoint,
  kEndpointDraining,
  kEndpointOverloaded,
  kDeadlineExceeded,
  kConnectFailed,
  kUpstreamFailed,
  kAnswerCrossed,
  kRetryBudgetSpent,
  kKeyMissing,
  kKeyReused,
  kClaimNoQuorum,
  kClaimOutcomeUnknown,
  kClaimEpochOld,
  kClaimTransferring,
  kQuarantined,
  kBelowFloor,
  kShuttingDown,
  kCallerGone,
  // Programs.
  kBadSettings,
  kConnectionLost,
  kTimedOut,
  // Routes of the mesh and ordered moves.
  kBaseNotCurrent,
  kInvalidValue,
  kMoveInProgress,
  kMalformed,
  // The path of a request.
  kUpstreamReplaced,
  kUpstreamShed,
  kAnswerMalformed,
  // Announcements of upstreams.
  kAddressHeld,
  kForeignAddress,
  // Client accounts.
  kDuplicateAccount,
  kDuplicateAccountKey,
  kAccountKeyMissing,
  kAccountKeyUnknown,
  kAuthorityExpired,
  kQuotaExceeded,
  kQuotaUnavailable,
  // Availability zones and cold upstreams.
  kZoneEvacuated,
  kUnknownZone,
  kOrderAmbiguous,
  kEndpointCold,
};

// Number of codes; codes are the integers below it.
inline constexpr int kResultCodeCount =
    static_cast<int>(ResultCode::kEndpointCold) + 1;

struct ResultCodeInfo {
  ResultCode code_;
  std::string_view name_;
  std::string_view message_;
};

// Returns the table's row for `code`; valid for the life of the process.
const ResultCodeInfo& Describe(ResultCode code);

// Returns the code with this number, or kOutcomeUnknown for a number from a
// newer version that this one does not know.
ResultCode ResultCodeFromNumber(uint32_t number);

}  // namespace buckthorngate

#endif  // BUCKTHORNGATE_RESULT_CODE_H_
