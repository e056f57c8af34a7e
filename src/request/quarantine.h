// Requests that crash upstreams: suspects and quarantine.
//
// When an upstream dies, the fingerprints of the requests that it was running
// are suspects. A fingerprint that was there at two crashes is quarantined:
// daemons refuse it as not run, until the entry expires or a publication
// lifts it. The book is kept by relays and journaled.
#ifndef SRC_REQUEST_QUARANTINE_H_
#define SRC_REQUEST_QUARANTINE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

inline constexpr uint32_t kCrashesToQuarantine = 2;
inline constexpr std::chrono::minutes kSuspectLifetime{30};
inline constexpr std::chrono::hours kQuarantineLifetime{24};

class QuarantineList {
 public:
  // Counts a crash for each of its fingerprints; a crash that is reported
  // again counts once. Returns the entries that changed.
  std::vector<rpc::QuarantineEntry> OnCrash(const rpc::CrashReport& report,
                                            base::WallTime now);

  // Merges entries from another book or the journal; returns those that said
  // something new.
  std::vector<rpc::QuarantineEntry> Merge(const rpc::QuarantineNotice& notice);

  // Removes what a publication lifted. Crashes before the lift no longer
  // count; new ones do.
  void Lift(const std::set<std::string>& fingerprints);
  void Expire(base::WallTime now);

  const std::map<std::string, rpc::QuarantineEntry>& Entries() const {
    return entries_;
  }

 private:
  uint32_t LiftedCrashes(const std::string& fingerprint) const;

  std::map<std::string, rpc::QuarantineEntry> entries_;
  // Crashes that each lifted fingerprint had when it was lifted.
  std::map<std::string, uint32_t> lifted_;
  std::set<std::string> seen_crashes_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_QUARANTINE_H_
