// Claims for at-most-once requests: quorum coordinator on the daemon's side.
//
// Sends each claim to all members of the claim group and counts their replies.
// A request runs only after a majority of the members has synced its claim to
// disk. If no majority grants it, the claim is released and the request is
// refused as not run.
//
// A release is resent until every member has confirmed that it holds no claim
// of this owner. A member that still held one would refuse the key until the
// claim expires, and would transfer the claim to the next group.
#ifndef SRC_REQUEST_CLAIM_COORDINATOR_H_
#define SRC_REQUEST_CLAIM_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/node.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

inline constexpr base::Duration kClaimTimeout = std::chrono::milliseconds(800);
// Interval at which a request is resent to members that have not granted it.
inline constexpr base::Duration kClaimResendInterval =
    std::chrono::milliseconds(200);

// Upper bound of the resend interval of releases, which doubles with each
// resend.
inline constexpr base::Duration kMaxReleaseInterval = std::chrono::seconds(5);
// Bounds memory and messages while a member is down: with more pending requests
// than this, a release is abandoned once kClaimTimeout has passed.
inline constexpr size_t kMaxPendingClaims = 4096;

// Result of one claim, answer or release.
struct ClaimOutcome {
  std::string owner_;
  rpc::ClaimRequest::Action action_ = rpc::ClaimRequest::CLAIM;
  // For a claim: kOk means that the request may run; kKeyReused and
  // kClaimOutcomeUnknown that it must never run; kClaimNoQuorum that it did not
  // run and may be sent again.
  ResultCode code_ = ResultCode::kOk;
  // The stored answer of an earlier run, if there is one.
  std::optional<rpc::StoredAnswer> answer_;
};

class ClaimCoordinator {
 public:
  explicit ClaimCoordinator(std::string self);

  // Adopts the group if its epoch is newer than that of the current one.
  void SetGroup(const rpc::ClaimGroup& group);

  // Sends the record to the members; a later TakeOutcomes returns the outcome.
  // `record.owner` must be unique to the request and action. RELEASE marks the
  // record as released and cancels a pending claim of its owner: that claim no
  // longer gets an outcome, even if members grant it.
  void Start(rpc::ClaimRequest::Action action,
             rpc::ClaimRecord record,
             const base::Now& now,
             base::Outbox& outbox);
  void OnReply(const std::string& from,
               const rpc::ClaimReply& reply,
               const base::Now& now,
               base::Outbox& outbox);
  void OnTimer(const base::Now& now, base::Outbox& outbox);
  std::vector<ClaimOutcome> TakeOutcomes();

 private:
  struct Pending {
    rpc::ClaimRequest request_;
    base::MonoTime deadline_;
    base::MonoTime next_send_;
    base::Duration resend_interval_ = kClaimResendInterval;
    size_t members_ = 0;  // Size of the group.
    std::set<std::string> granted_;
    std::set<std::string> replied_;
    // Whether the outcome has been reported; only a release stays pending
    // after that.
    bool reported_ = false;
    // Outcome if no majority grants the request: kClaimNoQuorum, or the latest
    // code by which a member has ruled out that the request may run.
    ResultCode refusal_ = ResultCode::kClaimNoQuorum;
    std::optional<rpc::StoredAnswer> answer_;
  };
  using Key = std::pair<std::string, rpc::ClaimRequest::Action>;

  // Sends the request to the current group anew. Used when a member has replied
  // with a newer group, which this daemon may not have received if it is
  // disconnected from its relay.
  void Restart(Pending& pending, base::Outbox& outbox);
  // Sends the request to the members that have not granted it.
  void SendToMembers(const Pending& pending, base::Outbox& outbox);
  // Counts a member that has confirmed a release.
  void OnReleased(const Key& key, const std::string& from);
  // Removes the request and reports its outcome. Releases a claim that was sent
  // but not granted by a majority.
  void Finish(const Key& key,
              ResultCode code,
              const base::Now& now,
              base::Outbox& outbox);
  // Adds the outcome to those of TakeOutcomes.
  void ReportOutcome(const Key& key, const Pending& pending, ResultCode code);
  // Called by each OnTimer for a pending release: reports the outcome once
  // kClaimTimeout has passed. Returns false if the release is abandoned,
  // because its claim has expired or too many requests are pending.
  bool ContinueRelease(const Key& key, Pending& pending, const base::Now& now);

  const std::string self_;
  rpc::ClaimGroup group_;
  std::map<Key, Pending> pending_;
  std::vector<ClaimOutcome> outcomes_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_CLAIM_COORDINATOR_H_
