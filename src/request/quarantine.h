// Quarantine of requests that crash upstreams.
//
// When an upstream crashes, the fingerprints of the requests that it was
// running become suspects. A fingerprint that was running at two crashes is
// quarantined: daemons refuse its requests as not run, until the entry expires
// or a publication lifts it. Relays keep the list and store it in their
// journals.
//
// Running at a crash is weak evidence: a page that is asked for often is
// running somewhere at each crash. An answer outweighs it, because a request
// that crashes upstreams is never answered. Daemons name no suspects that they
// have answered lately, and report listed ones that they answer
// (answered_requests.h); a relay then clears the entry and counts no crashes
// for kAnswerEvidenceAge.
#ifndef SRC_REQUEST_QUARANTINE_H_
#define SRC_REQUEST_QUARANTINE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

// Crashes after which a fingerprint is quarantined.
inline constexpr uint32_t kCrashesToQuarantine = 2;
inline constexpr std::chrono::minutes kSuspectLifetime{30};
inline constexpr std::chrono::hours kQuarantineLifetime{24};

class QuarantineList {
 public:
  // Counts a crash for each fingerprint of the report. Each crash counts once
  // for a fingerprint, however often it is reported. Returns the entries that
  // changed.
  std::vector<rpc::QuarantineEntry> OnCrash(const rpc::CrashReport& report,
                                            base::WallTime now);

  // Clears the listed fingerprints of the report. Returns the entries that
  // changed.
  std::vector<rpc::QuarantineEntry> OnAnswered(
      const rpc::AnsweredReport& report,
      base::WallTime now);

  // Merges entries of another relay's list or of the journal. Returns those
  // that changed this list.
  std::vector<rpc::QuarantineEntry> Merge(const rpc::QuarantineNotice& notice);

  // Removes the entries that a publication has lifted. Only crashes after the
  // lift count from then on.
  void Lift(const std::set<std::string>& fingerprints);
  // Removes expired entries.
  void Expire(base::WallTime now);

  const std::map<std::string, rpc::QuarantineEntry>& Entries() const {
    return entries_;
  }

 private:
  // Crashes of the fingerprint that no longer count since a lift.
  uint32_t LiftedCrashes(const std::string& fingerprint) const;

  std::map<std::string, rpc::QuarantineEntry> entries_;
  // Number of crashes of each lifted fingerprint at the time of its lift.
  std::map<std::string, uint32_t> lifted_;
  // Crash ids with fingerprints, to recognize repeated reports.
  std::set<std::string> seen_crashes_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_QUARANTINE_H_
