// Proxies' questions for an authority lease, as a relay keeps them until the
// leader has confirmed a nonce of the relay that was sent after the question
// had arrived.
#ifndef SRC_DISTRIBUTION_AUTHORITY_QUESTIONS_H_
#define SRC_DISTRIBUTION_AUTHORITY_QUESTIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace buckthorngate::distribution {

// Shortest interval of a relay's acknowledgements to the sources while
// questions are open. All questions that arrive within it share a nonce, so the
// rate does not follow the number of proxies.
inline constexpr base::Duration kQuestionAckInterval =
    std::chrono::milliseconds(250);

struct ConfirmedQuestion {
  std::string proxy_;
  uint64_t lease_nonce_ = 0;  // Of the proxy.
};

class AuthorityQuestions {
 public:
  void Add(const std::string& proxy, uint64_t lease_nonce, base::MonoTime now);
  // Whether questions wait for a confirmation.
  bool Open() const { return !questions_.empty(); }
  // Whether questions need a nonce that is newer than all that were sent.
  bool NeedNonce() const;
  // All questions without a nonce are sent to the sources with this one.
  void AssignNonce(uint64_t relay_nonce);
  // Removes the questions whose nonces are `covered` and returns the newest one
  // of each proxy.
  std::vector<ConfirmedQuestion> TakeConfirmed(
      const std::function<bool(uint64_t relay_nonce)>& covered);
  // Drops questions that are too old for their reply to be of use.
  void Expire(base::MonoTime now);

 private:
  struct Question {
    uint64_t lease_nonce_ = 0;
    uint64_t relay_nonce_ = 0;  // 0: not sent to the sources yet.
    base::MonoTime arrived_;
  };

  // By proxy, in the order of arrival. Invariant: only the last question of a
  // proxy may have no nonce.
  std::map<std::string, std::vector<Question>> questions_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_AUTHORITY_QUESTIONS_H_
