// Claims for at-most-once requests: the ledger of one claim group member.
//
// A member of the claim group holds one record for each operation key. A key
// belongs to the first owner that claims it, until the record expires. The
// owner may store the answer, or release the key if the request certainly did
// not run. After a release no claim of the same owner is granted, so that a
// delayed claim message cannot take the key again. A claim is valid if a
// majority of the group has synced it to disk.
//
// When the group's membership changes, its epoch increases. A member of the new
// group first fences the old epoch, that is, stops granting claims in it. It
// then copies the ledgers of a majority of the previous members, which must
// have fenced the old epoch as well. Each claim of the old epoch was synced by
// a majority of the previous members, and any two majorities overlap, so the
// copy contains it.
#ifndef SRC_REQUEST_CLAIM_LEDGER_H_
#define SRC_REQUEST_CLAIM_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/node.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "mesh.pb.h"
#include "storage/journal.h"

namespace buckthorngate::request {

inline constexpr std::chrono::hours kClaimLifetime{24};
// Larger answers are not stored; a resent request is then refused with
// kClaimOutcomeUnknown.
inline constexpr size_t kMaxStoredAnswerBytes = 64 * 1024;
// How long a released owner is remembered: longer than a claim message sent
// before the release can be in transit.
inline constexpr base::Duration kReleasedOwnerRetention =
    std::chrono::seconds(30);
// Interval at which ledgers are requested again from previous members.
inline constexpr base::Duration kTransferRetryInterval =
    std::chrono::milliseconds(300);

class ClaimLedger {
 public:
  // `journal` must outlive the ledger and be loaded.
  ClaimLedger(std::string self, storage::Journal& journal);

  // Applies one record read from the journal at startup.
  void Restore(const rpc::JournalRecord& record);

  // Adopts the configured group if its epoch is newer, which fences older
  // epochs immediately.
  void SetGroup(const rpc::ClaimGroup& group);

  // Decides on a claim, an answer or a release. The caller must sync the
  // journal before it sends the reply.
  void OnRequest(const std::string& from,
                 const rpc::ClaimRequest& request,
                 const base::Now& now,
                 base::Outbox& outbox);
  // Sends the whole ledger to a member of the new group.
  void OnTransferRequest(const std::string& from,
                         const rpc::ClaimTransferRequest& request,
                         base::Outbox& outbox);
  // Merges the ledger of a previous member.
  void OnTransfer(const std::string& from, const rpc::ClaimTransfer& transfer);

  // Becomes ready once the ledgers of a majority of the previous members have
  // been merged and the journal has accepted the record of the new group.
  void FinishTransfer();

  // Requests missing ledgers from previous members and removes expired records.
  void OnTimer(const base::Now& now, base::Outbox& outbox);

  // Whether records have been appended to the journal since the last sync.
  bool Dirty() const { return dirty_; }
  void MarkSynced() { dirty_ = false; }
  // Whether this member may grant claims in the current group.
  bool Ready() const { return ready_; }
  size_t Size() const { return records_.size(); }

  // The records that a compacted journal must contain.
  std::vector<rpc::JournalRecord> AllRecords() const;

 private:
  // Whether this relay is a member of the current group.
  bool IsMember() const;
  rpc::ClaimReply Decide(const rpc::ClaimRequest& request,
                         const base::Now& now);
  ResultCode Claim(const rpc::ClaimRecord& wanted,
                   rpc::ClaimRecord& held,
                   bool exists);
  ResultCode Release(const rpc::ClaimRecord& wanted,
                     bool owns,
                     base::MonoTime now);
  // Appends to the journal; false if that fails.
  bool Append(const rpc::JournalRecord& record);
  // Appends the claim to the journal and updates records_; false if that fails.
  bool Store(const rpc::ClaimRecord& record);
  const std::string self_;
  storage::Journal& journal_;
  rpc::ClaimGroup group_;
  std::map<std::string, rpc::ClaimRecord> records_;
  // Owners that released their key, and when to remove them. Kept in memory
  // only: messages in transit to a process are lost when it ends.
  std::map<std::string, base::MonoTime> released_owners_;
  // Invariant: true exactly while this member may grant claims in group_.
  bool ready_ = false;
  // Previous members whose ledgers have been merged completely.
  std::set<std::string> transferred_;
  base::MonoTime next_transfer_;
  base::MonoTime next_sweep_;
  bool dirty_ = false;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_CLAIM_LEDGER_H_
