// A whole configuration at one revision, with its digest kept incrementally.
//
// Sources, relays and proxies hold the same state and check it by the same
// digest. The digest is a sum of one hash for each service, so that a change
// costs work for the changed services only.
#ifndef SRC_CONFIG_CONFIG_STATE_H_
#define SRC_CONFIG_CONFIG_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "buckthorngate/result_code.h"
#include "config/resource_map.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// Unchanged services, routes and accounts are shared between revisions.
using ServicePtr = std::shared_ptr<const rpc::ServiceState>;
using RoutePtr = std::shared_ptr<const rpc::Route>;
using EvacuationPtr = std::shared_ptr<const rpc::ZoneEvacuation>;
using AccountPtr = std::shared_ptr<const rpc::ClientAccount>;

// Names a route of the mesh: its host and path prefix.
std::string RouteKey(const rpc::Route& route);

class ConfigState {
 public:
  uint64_t Revision() const { return revision_; }
  uint64_t Digest() const;
  const std::map<std::string, ServicePtr>& Services() const {
    return services_.Items();
  }
  // Routes of the mesh, by RouteKey.
  const std::map<std::string, RoutePtr>& Routes() const {
    return routes_.Items();
  }
  // Client accounts, by name.
  const std::map<std::string, AccountPtr>& Accounts() const {
    return accounts_.Items();
  }
  // Whether the mesh has client accounts or has had some; the last one may
  // have been taken away.
  bool UsesAccounts() const {
    return routing_.uses_accounts() || !accounts_.Items().empty();
  }
  const rpc::RoutingHeader& Routing() const { return routing_; }
  const rpc::ClaimGroup& Claims() const { return claim_group_; }
  const std::set<std::string>& LiftedFingerprints() const { return lifted_; }
  // Evacuations of availability zones, current and past, by zone.
  const std::map<std::string, EvacuationPtr>& Evacuations() const {
    return evacuations_.Items();
  }

  // Returns null if there is no such service.
  ServicePtr Find(const std::string& service) const;

  void SetRevision(uint64_t revision) { revision_ = revision; }
  void Put(rpc::ServiceState service);
  void Remove(const std::string& service);
  // Replaces the routes of the mesh.
  void SetRouting(rpc::RoutingHeader header,
                  const google::protobuf::RepeatedPtrField<rpc::Route>& routes);
  // Replaces the client accounts.
  void SetAccounts(
      const google::protobuf::RepeatedPtrField<rpc::ClientAccount>& accounts);
  void SetClaimGroup(rpc::ClaimGroup group);
  void SetLifted(std::set<std::string> lifted);
  void PutEvacuation(rpc::ZoneEvacuation evacuation);

  rpc::ConfigSnapshot ToSnapshot() const;

  // Replaces the whole state, or leaves it and returns why:
  // kRevisionOld, kSnapshotDigestWrong, kDanglingRoute.
  ResultCode ApplySnapshot(const rpc::ConfigSnapshot& snapshot);

  // Applies the whole delta, or leaves the state and returns why:
  // kRevisionOld, kRevisionGap, kSnapshotDigestWrong, kDanglingRoute.
  ResultCode ApplyDelta(const rpc::ConfigDelta& delta);

 private:
  // Returns kDanglingRoute unless each service's version and its move's
  // target are among its versions.
  static ResultCode CheckClosed(const rpc::ServiceState& service);
  // Returns kDanglingRoute unless each target of each route is a service that
  // the header names.
  ResultCode CheckRoutesClosed() const;
  void ApplyRouteChanges(const rpc::ConfigDelta& delta);
  void ApplyAccountChanges(const rpc::ConfigDelta& delta);

  uint64_t revision_ = 0;
  ResourceMap<rpc::ServiceState> services_;
  ResourceMap<rpc::Route> routes_;
  ResourceMap<rpc::ClientAccount> accounts_;
  rpc::RoutingHeader routing_;
  rpc::ClaimGroup claim_group_;
  std::set<std::string> lifted_;
  ResourceMap<rpc::ZoneEvacuation> evacuations_;
};

// Deltas of the latest revisions, to bring a follower up to date.
class DeltaWindow {
 public:
  explicit DeltaWindow(size_t most_deltas) : most_(most_deltas) {}

  // `delta` must start where the previous one ended; else the window restarts.
  void Add(rpc::ConfigDelta delta);

  // Whether the window has all deltas after `from`.
  bool Reaches(uint64_t from) const;

  // Merges the deltas after `from` into one; false if the window does not
  // reach back that far.
  bool Collect(uint64_t from, rpc::ConfigDelta& merged) const;

  void Clear() { deltas_.clear(); }

 private:
  const size_t most_;
  // Invariant: each delta's from_revision is its predecessor's to_revision.
  std::deque<rpc::ConfigDelta> deltas_;
};

// The difference that leads from `older` to `newer`.
rpc::ConfigDelta MakeDelta(const ConfigState& older, const ConfigState& newer);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_CONFIG_STATE_H_
