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

template <typename Message>
using Repeated = google::protobuf::RepeatedPtrField<Message>;

// Adds up the changes of successive deltas: the last one of each name stays.
template <typename Message>
class MergedChanges {
 public:
  template <typename NameOf>
  void Add(const Repeated<Message>& changed,
           const Repeated<std::string>& removed,
           const NameOf& name_of) {
    for (const Message& message : changed) {
      changed_[name_of(message)] = &message;
      removed_.erase(name_of(message));
    }
    for (const std::string& name : removed) {
      changed_.erase(name);
      removed_.insert(name);
    }
  }

  void Fill(Repeated<Message>& changed, Repeated<std::string>& removed) const {
    for (const auto& [name, message] : changed_) {
      *changed.Add() = *message;
    }
    for (const std::string& name : removed_) {
      *removed.Add() = name;
    }
  }

 private:
  std::map<std::string, const Message*> changed_;
  std::set<std::string> removed_;
};

// Resources that did not change are the same object in both maps.
template <typename Message>
void AddDifferences(
    const std::map<std::string, std::shared_ptr<const Message>>& older,
    const std::map<std::string, std::shared_ptr<const Message>>& newer,
    Repeated<Message>& changed,
    Repeated<std::string>& removed) {
  for (const auto& [name, message] : newer) {
    const auto held = older.find(name);
    if (held == older.end() || held->second != message) {
      *changed.Add() = *message;
    }
  }
  for (const auto& [name, message] : older) {
    if (newer.count(name) == 0) {
      *removed.Add() = name;
    }
  }
}

}  // namespace

std::string RouteKey(const rpc::Route& route) {
  return route.host() + " " + route.path_prefix();
}

uint64_t ConfigState::Digest() const {
  uint64_t digest = services_.Digest() + base::DigestOf(claim_group_);
  // 0 without accounts, as in revisions that were made before there were any.
  digest += accounts_.Digest();
  for (const std::string& fingerprint : lifted_) {
    digest += base::Hash(fingerprint);
  }
  if (routing_.number() != 0) {
    digest += routes_.Digest() + base::DigestOf(routing_);
  }
  digest += evacuations_.Digest();
  return digest + base::Hash(std::to_string(revision_));
}

ServicePtr ConfigState::Find(const std::string& service) const {
  return services_.Find(service);
}

void ConfigState::Put(rpc::ServiceState service) {
  const std::string name = service.service().name();
  services_.Put(name, std::move(service));
}

void ConfigState::Remove(const std::string& service) {
  services_.Remove(service);
}

void ConfigState::SetRouting(
    rpc::RoutingHeader header,
    const google::protobuf::RepeatedPtrField<rpc::Route>& routes) {
  routing_ = std::move(header);
  std::set<std::string> kept;
  for (const rpc::Route& route : routes) {
    kept.insert(RouteKey(route));
    routes_.Put(RouteKey(route), route);
  }
  std::vector<std::string> dropped;
  for (const auto& [key, route] : routes_.Items()) {
    if (kept.count(key) == 0) {
      dropped.push_back(key);
    }
  }
  for (const std::string& key : dropped) {
    routes_.Remove(key);
  }
}

void ConfigState::SetAccounts(
    const google::protobuf::RepeatedPtrField<rpc::ClientAccount>& accounts) {
  std::set<std::string> removed;
  for (const auto& [name, account] : accounts_.Items()) {
    removed.insert(name);
  }
  for (const rpc::ClientAccount& account : accounts) {
    removed.erase(account.name());
    accounts_.Put(account.name(), account);
  }
  for (const std::string& name : removed) {
    accounts_.Remove(name);
  }
}

void ConfigState::SetClaimGroup(rpc::ClaimGroup group) {
  claim_group_ = std::move(group);
}

void ConfigState::SetLifted(std::set<std::string> lifted) {
  lifted_ = std::move(lifted);
}

void ConfigState::PutEvacuation(rpc::ZoneEvacuation evacuation) {
  const std::string zone = evacuation.zone();
  evacuations_.Put(zone, std::move(evacuation));
}

rpc::ConfigSnapshot ConfigState::ToSnapshot() const {
  rpc::ConfigSnapshot snapshot;
  snapshot.set_revision(revision_);
  snapshot.set_digest(Digest());
  for (const auto& [name, service] : services_.Items()) {
    *snapshot.add_services() = *service;
  }
  if (routing_.number() != 0) {
    *snapshot.mutable_routing() = routing_;
  }
  for (const auto& [key, route] : routes_.Items()) {
    *snapshot.add_routes() = *route;
  }
  for (const auto& [name, account] : accounts_.Items()) {
    *snapshot.add_accounts() = *account;
  }
  *snapshot.mutable_claim_group() = claim_group_;
  for (const std::string& fingerprint : lifted_) {
    snapshot.add_lifted_fingerprints(fingerprint);
  }
  for (const auto& [zone, evacuation] : evacuations_.Items()) {
    *snapshot.add_evacuations() = *evacuation;
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

ResultCode ConfigState::CheckRoutesClosed() const {
  const std::set<std::string_view> known(routing_.services().begin(),
                                         routing_.services().end());
  for (const auto& [key, route] : routes_.Items()) {
    for (const rpc::RouteTarget& target : route->targets()) {
      if (known.count(target.service()) == 0) {
        return ResultCode::kDanglingRoute;
      }
    }
  }
  return ResultCode::kOk;
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
  next.SetRouting(snapshot.routing(), snapshot.routes());
  next.SetAccounts(snapshot.accounts());
  if (next.CheckRoutesClosed() != ResultCode::kOk) {
    return ResultCode::kDanglingRoute;
  }
  next.claim_group_ = snapshot.claim_group();
  next.lifted_.insert(snapshot.lifted_fingerprints().begin(),
                      snapshot.lifted_fingerprints().end());
  for (const rpc::ZoneEvacuation& evacuation : snapshot.evacuations()) {
    next.PutEvacuation(evacuation);
  }
  if (next.Digest() != snapshot.digest()) {
    return ResultCode::kSnapshotDigestWrong;
  }
  *this = std::move(next);
  return ResultCode::kOk;
}

void ConfigState::ApplyRouteChanges(const rpc::ConfigDelta& delta) {
  if (delta.has_routing()) {
    routing_ = delta.routing();
  }
  for (const rpc::Route& route : delta.changed_routes()) {
    routes_.Put(RouteKey(route), route);
  }
  for (const std::string& key : delta.removed_routes()) {
    routes_.Remove(key);
  }
}

void ConfigState::ApplyAccountChanges(const rpc::ConfigDelta& delta) {
  for (const rpc::ClientAccount& account : delta.changed_accounts()) {
    accounts_.Put(account.name(), account);
  }
  for (const std::string& name : delta.removed_accounts()) {
    accounts_.Remove(name);
  }
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
  next.ApplyRouteChanges(delta);
  next.ApplyAccountChanges(delta);
  if (next.CheckRoutesClosed() != ResultCode::kOk) {
    return ResultCode::kDanglingRoute;
  }
  if (delta.has_claim_group()) {
    next.claim_group_ = delta.claim_group();
  }
  next.lifted_.insert(delta.lifted_fingerprints().begin(),
                      delta.lifted_fingerprints().end());
  for (const rpc::ZoneEvacuation& evacuation : delta.changed_evacuations()) {
    next.PutEvacuation(evacuation);
  }
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

bool DeltaWindow::Reaches(uint64_t from) const {
  return std::any_of(deltas_.begin(), deltas_.end(),
                     [from](const rpc::ConfigDelta& delta) {
                       return delta.from_revision() == from;
                     });
}

bool DeltaWindow::Collect(uint64_t from, rpc::ConfigDelta& merged) const {
  const auto first = std::find_if(deltas_.begin(), deltas_.end(),
                                  [from](const rpc::ConfigDelta& delta) {
                                    return delta.from_revision() == from;
                                  });
  if (first == deltas_.end()) {
    return false;
  }
  MergedChanges<rpc::ServiceState> services;
  MergedChanges<rpc::Route> routes;
  MergedChanges<rpc::ZoneEvacuation> evacuations;
  MergedChanges<rpc::ClientAccount> accounts;
  merged.set_from_revision(from);
  for (auto delta = first; delta != deltas_.end(); ++delta) {
    services.Add(
        delta->changed(), delta->removed(),
        [](const rpc::ServiceState& state) { return state.service().name(); });
    routes.Add(delta->changed_routes(), delta->removed_routes(), RouteKey);
    evacuations.Add(
        delta->changed_evacuations(), {},
        [](const rpc::ZoneEvacuation& zone) { return zone.zone(); });
    accounts.Add(
        delta->changed_accounts(), delta->removed_accounts(),
        [](const rpc::ClientAccount& account) { return account.name(); });
    if (delta->has_claim_group()) {
      *merged.mutable_claim_group() = delta->claim_group();
    }
    if (delta->has_routing()) {
      *merged.mutable_routing() = delta->routing();
    }
    merged.mutable_lifted_fingerprints()->MergeFrom(
        delta->lifted_fingerprints());
    merged.set_to_revision(delta->to_revision());
    merged.set_digest(delta->digest());
  }
  services.Fill(*merged.mutable_changed(), *merged.mutable_removed());
  routes.Fill(*merged.mutable_changed_routes(),
              *merged.mutable_removed_routes());
  Repeated<std::string> never_removed;
  evacuations.Fill(*merged.mutable_changed_evacuations(), never_removed);
  accounts.Fill(*merged.mutable_changed_accounts(),
                *merged.mutable_removed_accounts());
  return true;
}

rpc::ConfigDelta MakeDelta(const ConfigState& older, const ConfigState& newer) {
  rpc::ConfigDelta delta;
  delta.set_from_revision(older.Revision());
  delta.set_to_revision(newer.Revision());
  delta.set_digest(newer.Digest());
  AddDifferences(older.Services(), newer.Services(), *delta.mutable_changed(),
                 *delta.mutable_removed());
  AddDifferences(older.Routes(), newer.Routes(),
                 *delta.mutable_changed_routes(),
                 *delta.mutable_removed_routes());
  Repeated<std::string> never_removed;
  AddDifferences(older.Evacuations(), newer.Evacuations(),
                 *delta.mutable_changed_evacuations(), never_removed);
  AddDifferences(older.Accounts(), newer.Accounts(),
                 *delta.mutable_changed_accounts(),
                 *delta.mutable_removed_accounts());
  if (older.Routing().number() != newer.Routing().number()) {
    *delta.mutable_routing() = newer.Routing();
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
