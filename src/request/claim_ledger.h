// Claims of requests that may run at most once: one member's ledger.
//
// A member of the claim group holds one record for each operation key. A key
// belongs to the first owner that claims it, until the record expires; the
// owner may store the answer, or give the key back if the request certainly
// did not run; after that no claim of this owner is granted, however late it
// comes. A claim stands if a majority of the group has synced it.
//
// When the group's membership changes (its epoch grows), a member first fences
// the old epoch, then copies the ledgers of a majority of the previous members
// that have fenced it too. Each claim of the old epoch was synced by a
// majority of them, so that the copy holds it.
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
// A stored answer larger than this is not kept; a resend is told that the
// outcome is unknown.
inline constexpr size_t kMaxStoredAnswerBytes = 64 * 1024;
// How long an owner that gave its key back is remembered: longer than a claim
// that was sent before may be under way.
inline constexpr base::Duration kReleasedMemory = std::chrono::seconds(30);
inline constexpr base::Duration kTransferRetryInterval =
    std::chrono::milliseconds(300);

class ClaimLedger {
 public:
  // `journal` must outlive the ledger and be loaded.
  ClaimLedger(std::string self, storage::Journal& journal);

  // Restores one record of the journal.
  void Restore(const rpc::JournalRecord& record);

  // Adopts the group of the configuration; fences older epochs at once.
  void SetGroup(const rpc::ClaimGroup& group);

  // Decides on a claim, an answer or a release. The reply may leave only
  // after the journal has been synced.
  void OnRequest(const std::string& from,
                 const rpc::ClaimRequest& request,
                 const base::Now& now,
                 base::Outbox& outbox);
  void OnTransferRequest(const std::string& from,
                         const rpc::ClaimTransferRequest& request,
                         base::Outbox& outbox);
  void OnTransfer(const std::string& from, const rpc::ClaimTransfer& transfer);

  // Becomes ready once the previous members whose ledgers have arrived suffice
  // and the journal takes the record of that.
  void FinishTransfer();

  // Asks previous members for their ledgers, and drops expired records.
  void OnTimer(const base::Now& now, base::Outbox& outbox);

  // True if there are records since the last sync.
  bool Dirty() const { return dirty_; }
  void MarkSynced() { dirty_ = false; }
  bool Ready() const { return ready_; }
  size_t Size() const { return records_.size(); }

  // All that a compacted journal must hold.
  std::vector<rpc::JournalRecord> AllRecords() const;

 private:
  bool IsMember() const;
  rpc::ClaimReply Decide(const rpc::ClaimRequest& request,
                         const base::Now& now);
  ResultCode Claim(const rpc::ClaimRecord& wanted,
                   rpc::ClaimRecord& held,
                   bool exists);
  ResultCode Release(const rpc::ClaimRecord& wanted,
                     bool owns,
                     base::MonoTime now);
  bool Append(const rpc::JournalRecord& record);
  bool Store(const rpc::ClaimRecord& record);
  const std::string self_;
  storage::Journal& journal_;
  rpc::ClaimGroup group_;
  std::map<std::string, rpc::ClaimRecord> records_;
  // Owners that gave their key back, and when to forget them. In memory only:
  // what was under way to a process ends with it.
  std::map<std::string, base::MonoTime> released_;
  // Invariant: true exactly while this member may grant claims in group_.
  bool ready_ = false;
  // Previous members whose whole ledger is merged.
  std::set<std::string> transferred_;
  base::MonoTime next_transfer_;
  base::MonoTime next_sweep_;
  bool dirty_ = false;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_CLAIM_LEDGER_H_
