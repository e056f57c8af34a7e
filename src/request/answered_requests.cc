// Two generations of fingerprints with the times of their answers.
#include "request/answered_requests.h"

#include <utility>

#include "base/hash.h"

namespace buckthorngate::request {

void AnsweredRequests::Record(const std::string& fingerprint,
                              base::MonoTime now) {
  if (current_.size() >= kMaxGeneration) {
    previous_ = std::exchange(current_, {});
  }
  current_[base::Hash(fingerprint)] = now;
}

bool AnsweredRequests::AnsweredLately(const std::string& fingerprint,
                                      base::MonoTime now) const {
  const uint64_t hash = base::Hash(fingerprint);
  for (const Generation* generation : {&current_, &previous_}) {
    const auto found = generation->find(hash);
    if (found != generation->end()) {
      return now - found->second <= kAnswerEvidenceAge;
    }
  }
  return false;
}

}  // namespace buckthorngate::request
