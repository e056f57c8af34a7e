// Configuration state and deltas.
#include "config/config_state.h"

#include <algorithm>

#include "base/hash.h"
#include "config/versions.h"

namespace buckthorngate::config {
namespace {

bool ShareActive(const rpc::Move& move) {
  return move.share_permille() > 0;
}

}  // namespace

uint64_t ConfigState::Digest() const {
  uint64_t digest = services_digest_ + base::DigestOf(claim_group_);
  for (const std::string& fingerprint : lifted_) {
    digest += base::Hash(fingerprint);
  }
  return digest + base::Hash(std::to_string(revision_));
}

ServicePtr ConfigState::Find(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

void ConfigState::Put(rpc::ServiceState service) {
  const std::string name = service.service().name();
  const uint64_t hash = base::DigestOf(service);
  uint64_t& stored_hash = hashes_[name];
  services_digest_ += hash - stored_hash;
  stored_hash = hash;
  services_[name] =
      std::make_shared<const rpc::ServiceState>(std::move(service));
}

void ConfigState::Remove(const std::string& service) {
  const auto hash = hashes_.find(service);
  if (hash == hashes_.end()) {
    return;
  }
  services_digest_ -= hash->second;
  hashes_.erase(hash);
  services_.erase(service);
}

void ConfigState::SetClaimGroup(rpc::ClaimGroup group) {
  claim_group_ = std::move(group);
}

void ConfigState::SetLifted(std::set<std::string> lifted) {
  lifted_ = std::move(lifted);
}

rpc::ConfigSnapshot ConfigState::ToSnapshot() const {
  rpc::ConfigSnapshot snapshot;
  snapshot.set_revision(revision_);
  snapshot.set_digest(Digest());
  for (const auto& [name, service] : services_) {
    *snapshot.add_services() = *service;
  }
  *snapshot.mutable_claim_group() = claim_group_;
  for (const std::string& fingerprint : lifted_) {
    snapshot.add_lifted_fingerprints(fingerprint);
  }
  return snapshot;
}

ResultCode ConfigState::CheckClosed(const rpc::ServiceState& state) {
  const rpc::Service& service = state.service();
  if (service.name().empty() || !HasVersion(service, service.version())) {
    return ResultCode::kDanglingRoute;
  }
  if (!state.has_move() || !ShareActive(state.move())) {
    return ResultCode::kOk;
  }
  const bool closed = HasVersion(service, state.move().to()) &&
                      (HasVersion(service, state.move().from()) ||
                       state.move().share_permille() == 1000);
  return closed ? ResultCode::kOk : ResultCode::kDanglingRoute;
}

ResultCode ConfigState::ApplySnapshot(const rpc::ConfigSnapshot& snapshot) {
  if (snapshot.revision() < revision_) {
    return ResultCode::kRevisionOld;
  }
  ConfigState next;
  next.revision_ = snapshot.revision();
  for (const rpc::ServiceState& service : snapshot.services()) {
    const ResultCode closed = CheckClosed(service);
    if (closed != ResultCode::kOk) {
      return closed;
    }
    next.Put(service);
  }
  next.claim_group_ = snapshot.claim_group();
  next.lifted_.insert(snapshot.lifted_fingerprints().begin(),
                      snapshot.lifted_fingerprints().end());
  if (next.Digest() != snapshot.digest()) {
    return ResultCode::kSnapshotDigestWrong;
  }
  *this = std::move(next);
  return ResultCode::kOk;
}

ResultCode ConfigState::ApplyDelta(const rpc::ConfigDelta& delta) {
  if (delta.to_revision() <= revision_) {
    return ResultCode::kRevisionOld;
  }
  if (delta.from_revision() != revision_) {
    return ResultCode::kRevisionGap;
  }
  for (const rpc::ServiceState& service : delta.changed()) {
    const ResultCode closed = CheckClosed(service);
    if (closed != ResultCode::kOk) {
      return closed;
    }
  }
  // Copies pointers and hashes only; the services themselves are shared.
  ConfigState next = *this;
  next.revision_ = delta.to_revision();
  for (const rpc::ServiceState& service : delta.changed()) {
    next.Put(service);
  }
  for (const std::string& service : delta.removed()) {
    next.Remove(service);
  }
  if (delta.has_claim_group()) {
    next.claim_group_ = delta.claim_group();
  }
  next.lifted_.insert(delta.lifted_fingerprints().begin(),
                      delta.lifted_fingerprints().end());
  if (next.Digest() != delta.digest()) {
    return ResultCode::kSnapshotDigestWrong;
  }
  *this = std::move(next);
  return ResultCode::kOk;
}

void DeltaWindow::Add(rpc::ConfigDelta delta) {
  if (!deltas_.empty() &&
      deltas_.back().to_revision() != delta.from_revision()) {
    deltas_.clear();
  }
  deltas_.push_back(std::move(delta));
  if (deltas_.size() > most_) {
    deltas_.pop_front();
  }
}

bool DeltaWindow::Collect(uint64_t from, rpc::ConfigDelta& merged) const {
  const auto first = std::find_if(deltas_.begin(), deltas_.end(),
                                  [from](const rpc::ConfigDelta& delta) {
                                    return delta.from_revision() == from;
                                  });
  if (first == deltas_.end()) {
    return false;
  }
  std::map<std::string, const rpc::ServiceState*> changed;
  std::set<std::string> removed;
  merged.set_from_revision(from);
  for (auto delta = first; delta != deltas_.end(); ++delta) {
    for (const rpc::ServiceState& service : delta->changed()) {
      changed[service.service().name()] = &service;
      removed.erase(service.service().name());
    }
    for (const std::string& service : delta->removed()) {
      changed.erase(service);
      removed.insert(service);
    }
    if (delta->has_claim_group()) {
      *merged.mutable_claim_group() = delta->claim_group();
    }
    merged.mutable_lifted_fingerprints()->MergeFrom(
        delta->lifted_fingerprints());
    merged.set_to_revision(delta->to_revision());
    merged.set_digest(delta->digest());
  }
  for (const auto& [name, service] : changed) {
    *merged.add_changed() = *service;
  }
  for (const std::string& service : removed) {
    merged.add_removed(service);
  }
  return true;
}

rpc::ConfigDelta MakeDelta(const ConfigState& older, const ConfigState& newer) {
  rpc::ConfigDelta delta;
  delta.set_from_revision(older.Revision());
  delta.set_to_revision(newer.Revision());
  delta.set_digest(newer.Digest());
  for (const auto& [name, service] : newer.Services()) {
    // Services that did not change are the same object.
    if (older.Find(name) != service) {
      *delta.add_changed() = *service;
    }
  }
  for (const auto& [name, service] : older.Services()) {
    if (newer.Find(name) == nullptr) {
      delta.add_removed(name);
    }
  }
  if (older.Claims().epoch() != newer.Claims().epoch()) {
    *delta.mutable_claim_group() = newer.Claims();
  }
  for (const std::string& fingerprint : newer.LiftedFingerprints()) {
    if (older.LiftedFingerprints().count(fingerprint) == 0) {
      delta.add_lifted_fingerprints(fingerprint);
    }
  }
  return delta;
}

}  // namespace buckthorngate::config
