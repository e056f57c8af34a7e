// Authority of an entry to accept the keys of client accounts.
#include "request/authority_lease.h"

#include <algorithm>
#include <iterator>

namespace buckthorngate::request {
namespace {

// Nonces take seven bytes on the wire: the upper bits tell starts of the proxy
// apart, the lower ones count its questions.
constexpr int kCounterBits = 24;
constexpr uint64_t kStartMask = 0xffffff;
// More questions than are sent within the validity of a lease.
constexpr size_t kMaxOpenQuestions = 64;

base::Duration ValidityOf(base::Duration revocation_bound) {
  return std::max(revocation_bound - kAuthorityMargin, base::Duration(0));
}

}  // namespace

AuthorityLease::AuthorityLease(base::Duration revocation_bound, uint64_t start)
    : validity_(ValidityOf(revocation_bound)),
      last_nonce_((start & kStartMask) << kCounterBits) {}

uint64_t AuthorityLease::Ask(base::BootTime now) {
  ++last_nonce_;
  open_[last_nonce_] = now;
  if (open_.size() > kMaxOpenQuestions) {
    open_.erase(open_.begin());
  }
  return last_nonce_;
}

bool AuthorityLease::OnReply(const rpc::AuthorityLease& reply,
                             uint64_t held_revision) {
  const auto question = open_.find(reply.nonce());
  if (question == open_.end()) {
    return false;
  }
  if (reply.revision() > held_revision) {
    early_ = EarlyReply{reply.revision(), question->second};
    return false;
  }
  confirmed_at_ = std::max(confirmed_at_, question->second);
  // Replies to earlier questions cannot extend the lease any more.
  open_.erase(open_.begin(), std::next(question));
  return true;
}

void AuthorityLease::OnHeld(uint64_t held_revision) {
  if (early_ && early_->revision_ <= held_revision) {
    confirmed_at_ = std::max(confirmed_at_, early_->asked_at_);
    early_.reset();
  }
}

std::string PublishedAuthority::Render(base::BootTime now) const {
  const base::BootTime confirmed_at = confirmed_at_.load();
  if (!IsEnforced() || confirmed_at == kNeverConfirmed) {
    return "";
  }
  const std::chrono::duration<double> age = now - confirmed_at;
  return "# TYPE buckthorngate_authority_lease_age_seconds gauge\n"
         "buckthorngate_authority_lease_age_seconds " +
         std::to_string(age.count()) + "\n";
}

}  // namespace buckthorngate::request
