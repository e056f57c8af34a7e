// Authority of an entry to accept the keys of client accounts, as a lease.
//
// A revoked key must be refused within a bounded time after the revocation was
// acknowledged, also by an entry that cannot reach the control hosts. So an
// entry accepts keys only for a while after it has asked whether its
// configuration is current and the leader has confirmed that with a majority.
// The time counts from the sending of the question, on the clock that also
// counts suspended time.
#ifndef SRC_REQUEST_AUTHORITY_LEASE_H_
#define SRC_REQUEST_AUTHORITY_LEASE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "mesh.pb.h"

namespace buckthorngate::request {

// Part of the revocation bound in which no key is accepted any more, for the
// way from the check of the lease to the upstream.
inline constexpr base::Duration kAuthorityMargin =
    std::chrono::milliseconds(250);

// Before all questions: there is no lease.
inline constexpr base::BootTime kNeverConfirmed{std::chrono::hours(-24)};

// Questions and replies of one start of a proxy. Not safe for concurrent use.
class AuthorityLease {
 public:
  // `start` tells the nonces of this start from those of earlier ones.
  AuthorityLease(base::Duration revocation_bound, uint64_t start);

  // Whether the deployment bounds revocations at all.
  bool Enforced() const { return validity_.count() > 0; }
  // The nonce of a question that leaves at `now`.
  uint64_t Ask(base::BootTime now);
  // Extends the lease; false if the reply answers no question of this start or
  // names a newer revision than `held_revision`. The configuration of that
  // revision must be in use before the lease is.
  bool OnReply(const rpc::AuthorityLease& reply, uint64_t held_revision);
  // Extends the lease by a reply that came before its revision did.
  void OnHeld(uint64_t held_revision);

  // When the latest question with an accepted reply was sent.
  base::BootTime ConfirmedAt() const { return confirmed_at_; }
  base::Duration Validity() const { return validity_; }
  bool IsValid(base::BootTime now) const {
    return now < confirmed_at_ + validity_;
  }

 private:
  const base::Duration validity_;
  uint64_t last_nonce_;
  // When the questions were sent that may still be answered, by nonce.
  std::map<uint64_t, base::BootTime> open_;
  base::BootTime confirmed_at_ = kNeverConfirmed;
  // The latest reply whose revision is not held yet.
  struct EarlyReply {
    uint64_t revision_ = 0;
    base::BootTime asked_at_;
  };
  std::optional<EarlyReply> early_;
};

// The lease as the request path reads it. Safe for concurrent use, by one
// writer.
class PublishedAuthority {
 public:
  // To be called before the first request. Without it, authority is never
  // missing.
  void Enforce(base::Duration validity) { validity_ = validity; }
  // Whether the deployment bounds revocations, and so has accounts.
  bool IsEnforced() const { return validity_.count() > 0; }
  // The configuration that the lease covers must have been published before.
  void Confirm(base::BootTime confirmed_at) {
    confirmed_at_.store(confirmed_at, std::memory_order_release);
  }

  // Whether keys may be accepted. The accounts must be read after the call:
  // those that were read before it may be older than the lease.
  bool IsValid(base::BootTime now) const {
    return !IsEnforced() ||
           now < confirmed_at_.load(std::memory_order_acquire) + validity_;
  }
  // Whether no question has been confirmed since the start.
  bool IsPending() const {
    return IsEnforced() && confirmed_at_.load() == kNeverConfirmed;
  }
  // The age of the lease as a metric in the Prometheus text exposition format;
  // empty if there is none.
  std::string Render(base::BootTime now) const;

 private:
  base::Duration validity_{0};
  std::atomic<base::BootTime> confirmed_at_{kNeverConfirmed};
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_AUTHORITY_LEASE_H_
