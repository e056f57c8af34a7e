// Selects the parent that a node receives its configuration from: the source of
// a relay, or the relay of a proxy.
//
// One candidate is active and sends configuration; the others are on standby
// and report only their revision. The selector fails over when the active
// parent is unresponsive, has lost its own contact, or lags behind a standby.
#ifndef SRC_DISTRIBUTION_PARENT_SELECTOR_H_
#define SRC_DISTRIBUTION_PARENT_SELECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// A candidate that sends nothing for this long is unresponsive.
inline constexpr base::Duration kParentTimeout =
    std::chrono::milliseconds(2500);
// A parent whose last contact, with a majority, a leader or its own parent, is
// older than this is stale and treated as unhealthy.
inline constexpr base::Duration kMaxContactAge =
    std::chrono::milliseconds(2000);
// Minimum time on a parent before failing back to a preferred, healthy one.
inline constexpr base::Duration kFailbackInterval = std::chrono::seconds(5);
inline constexpr base::Duration kResumeBackoffMin =
    std::chrono::milliseconds(100);
inline constexpr base::Duration kResumeBackoffMax = std::chrono::seconds(5);
// A candidate whose heartbeats don't name the last Resume after this time has
// not received it.
inline constexpr base::Duration kResumeAnswerTimeout = std::chrono::seconds(2);

class ParentSelector {
 public:
  // Candidates are ranked by rendezvous hashing with `self`, which spreads
  // nodes over them.
  ParentSelector(const std::string& self,
                 std::vector<std::string> candidates,
                 uint64_t seed);

  // Replaces the candidates; those that remain keep their state. Candidates for
  // which `prefers` returns true rank first.
  void SetCandidates(const std::vector<std::string>& candidates,
                     const std::function<bool(const std::string&)>& prefers);

  // Records a message from `candidate`, which holds `revision` and whose own
  // last contact is `contact_age` old.
  void RecordContact(const std::string& candidate,
                     uint64_t revision,
                     base::Duration contact_age,
                     base::MonoTime now);

  // Handles what a heartbeat tells of the updates that `candidate` has sent;
  // see SourceHeartbeat. Makes a Resume due if an update, or the last Resume,
  // is lost. Returns whether an update of the active parent is lost.
  bool RecordSentUpdates(const std::string& candidate,
                         const rpc::SourceHeartbeat& heartbeat,
                         uint64_t own_revision,
                         base::MonoTime now);

  // Number of the last Resume to `candidate`; 0 if it is none.
  uint64_t ResumeNumber(const std::string& candidate) const;
  // Whether an update is meant for the present state of this node: it comes
  // from no candidate, or answers the last Resume to it. Others were sent to an
  // earlier start of this node or before its last Resume.
  bool AnswersLastResume(const rpc::Envelope& update) const;

  // Schedules the next Resume to `candidate` after `delay`.
  void DelayResume(const std::string& candidate,
                   base::Duration delay,
                   base::MonoTime now);

  // Fails over if needed, then returns the candidates that are due a Resume and
  // marks them as sent. Resumes to unresponsive candidates are repeated with
  // full-jitter exponential backoff.
  std::vector<std::string> DueResumes(uint64_t own_revision,
                                      base::MonoTime now);

  // Makes a new Resume to the active parent due, after a lost or refused
  // update.
  void ForceResume();

  const std::string& Active() const { return active_; }
  // Whether the active parent is healthy.
  bool Connected(base::MonoTime now) const;
  // Whether any candidate is healthy.
  bool AnyConnected(base::MonoTime now) const;
  const std::vector<std::string>& Candidates() const { return order_; }
  // Age of the active parent's own contact plus the time since its last
  // message; kMaxContactAge if it never sent one.
  base::Duration ContactAge(base::MonoTime now) const;
  // Highest revision that any candidate has reported.
  uint64_t HighestRevision() const;

 private:
  struct Candidate {
    base::MonoTime last_contact_;
    bool contacted_ = false;  // Has sent a message.
    uint64_t revision_ = 0;
    base::Duration contact_age_{0};
    base::MonoTime next_resume_;
    base::Duration backoff_ = kResumeBackoffMin;
    bool resumed_ = false;  // A Resume was sent and not invalidated since.
    base::MonoTime resumed_at_;
    std::optional<base::MonoTime> first_resumed_at_;
    // Number of the last Resume, or of the next one after it was renewed.
    uint64_t resume_number_ = 0;
  };

  // Makes a Resume due that is not a repetition of the last one.
  void RenewResume(Candidate& candidate);
  bool Healthy(const Candidate& candidate, base::MonoTime now) const;
  // Whether the candidate's first answer, or an update that it has, is still
  // awaited.
  static bool IsAwaited(const Candidate& candidate,
                        uint64_t own_revision,
                        base::MonoTime now);
  void ChooseActive(uint64_t own_revision, base::MonoTime now);
  void Activate(const std::string& id, base::MonoTime now);
  void FailBackToPreferred(base::MonoTime now);

  // Orders candidates by rendezvous score with `self_`.
  void SortByScore();

  const std::string self_;
  base::Random random_;
  // Starts at a random number, so that those of two starts differ.
  uint64_t next_resume_number_;
  std::vector<std::string> order_;  // Most preferred first.
  std::map<std::string, Candidate> candidates_;
  std::string active_;
  // Since when a standby has had a newer revision; valid while lagging_.
  base::MonoTime lag_since_;
  bool lagging_ = false;
  // Whether the first of order_ is preferred rather than first by score only.
  bool has_preferred_ = false;
  base::MonoTime next_failback_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_PARENT_SELECTOR_H_
