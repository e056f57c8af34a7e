// Choice of the process to follow: a relay's source, a proxy's relay.
//
// One candidate is active and feeds; the others are on standby and tell only
// their revision. The active one is left when it is silent, stale or behind.
#ifndef SRC_DISTRIBUTION_UPSTREAM_LINK_H_
#define SRC_DISTRIBUTION_UPSTREAM_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace buckthorngate::distribution {

inline constexpr base::Duration kLinkSilence = std::chrono::milliseconds(2500);
// A feeder whose own contact is older than this is stale.
inline constexpr base::Duration kStaleContact = std::chrono::milliseconds(2000);
// A preferred candidate that is healthy again is returned to this seldom.
inline constexpr base::Duration kReturnInterval = std::chrono::seconds(5);
inline constexpr base::Duration kResumeBackoffMin =
    std::chrono::milliseconds(100);
inline constexpr base::Duration kResumeBackoffMax = std::chrono::seconds(5);

class UpstreamLink {
 public:
  // `self` spreads followers over candidates by rendezvous hashing.
  UpstreamLink(const std::string& self,
               std::vector<std::string> candidates,
               uint64_t seed);

  // Replaces the candidates; what is known of those that stay is kept. Those
  // for which `prefers` holds come first.
  void SetCandidates(const std::vector<std::string>& candidates,
                     const std::function<bool(const std::string&)>& prefers);

  // Notes a sign of life. `contact_age` is the candidate's own staleness.
  void Heard(const std::string& candidate,
             uint64_t revision,
             base::Duration contact_age,
             base::MonoTime now);

  // Delays the next resume to `candidate`.
  void DelayResume(const std::string& candidate,
                   base::Duration delay,
                   base::MonoTime now);

  // Candidates to send a Resume to now; marks them as sent. Full-jitter
  // exponential backoff while they stay silent.
  std::vector<std::string> DueResumes(uint64_t own_revision,
                                      base::MonoTime now);

  // Forgets that resumes were sent, after a gap or refusal.
  void ResumeAgain();

  const std::string& Active() const { return active_; }
  bool Connected(base::MonoTime now) const;
  const std::vector<std::string>& Candidates() const { return order_; }
  // Age of the active candidate's own contact, its silence included.
  base::Duration ContactAge(base::MonoTime now) const;
  // Highest revision that any candidate has named.
  uint64_t HighestRevision() const;

 private:
  struct Candidate {
    base::MonoTime last_heard_;
    bool heard_ = false;
    uint64_t revision_ = 0;
    base::Duration contact_age_{0};
    base::MonoTime next_resume_;
    base::Duration backoff_ = kResumeBackoffMin;
    bool resumed_ = false;
  };

  bool Healthy(const Candidate& candidate, base::MonoTime now) const;
  void ChooseActive(uint64_t own_revision, base::MonoTime now);
  void Activate(const std::string& id, base::MonoTime now);
  void ReturnToPreferred(base::MonoTime now);

  void SortByScore();

  const std::string self_;
  base::Random random_;
  std::vector<std::string> order_;  // Most preferred first.
  std::map<std::string, Candidate> candidates_;
  std::string active_;
  base::MonoTime lag_since_;
  bool lagging_ = false;
  // Whether the first of order_ is preferred, not only first by its score.
  bool has_preferred_ = false;
  base::MonoTime next_return_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_UPSTREAM_LINK_H_
