// Claims of requests that may run at most once: the daemon's side.
//
// Asks each member of the claim group and counts the answers. A request runs
// only after a majority has synced its claim. Without a majority the claim is
// given back and the request refused as not run.
//
// A claim that is given back is asked for until each member has said that it
// holds none of this owner: one that still did would refuse the key for as
// long as claims last, and hand it to the next group.
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
// Members that have not answered are asked again at this interval.
inline constexpr base::Duration kClaimResendInterval =
    std::chrono::milliseconds(200);

// Members that have not taken a release are asked less and less often.
inline constexpr base::Duration kMostReleaseInterval = std::chrono::seconds(5);
// Bounds memory and messages while a member is away; beyond it a release is
// given up at kClaimTimeout.
inline constexpr size_t kMostOpenClaims = 4096;

// What became of one claim, answer or release.
struct ClaimOutcome {
  std::string owner_;
  rpc::ClaimRequest::Action action_ = rpc::ClaimRequest::CLAIM;
  // kOk: run it. kKeyReused, kClaimOutcomeUnknown: do not run, ever.
  // kClaimNoQuorum: not run; may be sent again.
  ResultCode code_ = ResultCode::kOk;
  // The stored answer, if an earlier run has one.
  std::optional<rpc::StoredAnswer> answer_;
};

class ClaimCoordinator {
 public:
  explicit ClaimCoordinator(std::string self);

  // Ignores an older group than the one that is known.
  void SetGroup(const rpc::ClaimGroup& group);

  // `record.owner` must be unique to the request and action. A release marks
  // the record and ends its owner's claim, which has no outcome any more, even
  // if it is granted.
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
    size_t members_ = 0;
    std::set<std::string> granted_;
    std::set<std::string> answered_;
    // A release whose outcome is out may still be asked for.
    bool told_ = false;
    // Strongest refusal so far.
    ResultCode refusal_ = ResultCode::kClaimNoQuorum;
    std::optional<rpc::StoredAnswer> answer_;
  };
  using Key = std::pair<std::string, rpc::ClaimRequest::Action>;

  // Starts over with the group that a member has told of: this daemon may be
  // cut off from its relay.
  void Restart(Pending& pending, base::Outbox& outbox);
  // To the members that have not granted it.
  void Send(const Pending& pending, base::Outbox& outbox);
  void OnReleased(const Key& key, const std::string& from);
  void Finish(const Key& key,
              ResultCode code,
              const base::Now& now,
              base::Outbox& outbox);
  void Tell(const Key& key, const Pending& pending, ResultCode code);
  // False if the release is given up.
  bool KeepReleasing(const Key& key, Pending& pending, const base::Now& now);

  const std::string self_;
  rpc::ClaimGroup group_;
  std::map<Key, Pending> pending_;
  std::vector<ClaimOutcome> outcomes_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_CLAIM_COORDINATOR_H_
