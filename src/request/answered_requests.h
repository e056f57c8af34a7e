// Requests that upstreams have answered lately, as evidence against a
// quarantine.
//
// A request that crashes upstreams is never answered. One that was merely
// running when an upstream crashed by itself has usually been answered before,
// or is answered later.
#ifndef SRC_REQUEST_ANSWERED_REQUESTS_H_
#define SRC_REQUEST_ANSWERED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace buckthorngate::request {

// How long an answer counts as evidence: after it, another version of the
// upstream may be the one that crashes.
inline constexpr std::chrono::seconds kAnswerEvidenceAge{60};

// Remembers fingerprints (see quarantine.h) in bounded memory. Recording and
// looking up take constant time.
class AnsweredRequests {
 public:
  void Record(const std::string& fingerprint, base::MonoTime now);
  // Whether the request was answered within kAnswerEvidenceAge. False for older
  // answers and for those that made room for newer ones.
  bool AnsweredLately(const std::string& fingerprint, base::MonoTime now) const;

 private:
  // Hash of a fingerprint to the time of its last answer.
  using Generation = std::unordered_map<uint64_t, base::MonoTime>;

  // Invariant: neither has more than kMaxGeneration entries. A full one
  // replaces the previous one.
  Generation current_;
  Generation previous_;
};

// Entries of one generation.
inline constexpr size_t kMaxGeneration = 2048;

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ANSWERED_REQUESTS_H_
