// Proxies' questions for an authority lease, as a relay keeps them.
#include "distribution/authority_questions.h"

#include <algorithm>
#include <iterator>

namespace buckthorngate::distribution {
namespace {

// A lease counts from its question, so a later reply would hardly extend one.
constexpr base::Duration kMaxQuestionAge = std::chrono::seconds(5);

}  // namespace

void AuthorityQuestions::Add(const std::string& proxy,
                             uint64_t lease_nonce,
                             base::MonoTime now) {
  std::vector<Question>& questions = questions_[proxy];
  const bool unsent = !questions.empty() && questions.back().relay_nonce_ == 0;
  if (unsent) {
    // Answered by the same confirmation, and the lease of the newer question
    // lasts longer.
    questions.pop_back();
  }
  questions.push_back({lease_nonce, 0, now});
}

bool AuthorityQuestions::NeedNonce() const {
  return std::any_of(
      questions_.begin(), questions_.end(),
      [](const auto& item) { return item.second.back().relay_nonce_ == 0; });
}

void AuthorityQuestions::AssignNonce(uint64_t relay_nonce) {
  for (auto& [proxy, questions] : questions_) {
    if (questions.back().relay_nonce_ == 0) {
      questions.back().relay_nonce_ = relay_nonce;
    }
  }
}

std::vector<ConfirmedQuestion> AuthorityQuestions::TakeConfirmed(
    const std::function<bool(uint64_t relay_nonce)>& covered) {
  std::vector<ConfirmedQuestion> confirmed;
  for (auto& [proxy, questions] : questions_) {
    // Nonces grow with the order of arrival.
    const auto end = std::find_if(questions.begin(), questions.end(),
                                  [&covered](const Question& question) {
                                    return question.relay_nonce_ == 0 ||
                                           !covered(question.relay_nonce_);
                                  });
    if (end != questions.begin()) {
      confirmed.push_back({proxy, std::prev(end)->lease_nonce_});
      questions.erase(questions.begin(), end);
    }
  }
  std::erase_if(questions_,
                [](const auto& item) { return item.second.empty(); });
  return confirmed;
}

void AuthorityQuestions::Expire(base::MonoTime now) {
  for (auto& [proxy, questions] : questions_) {
    std::erase_if(questions, [now](const Question& question) {
      return now - question.arrived_ > kMaxQuestionAge;
    });
  }
  std::erase_if(questions_,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace buckthorngate::distribution
