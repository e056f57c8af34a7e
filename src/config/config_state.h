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
#include "mesh.pb.h"

namespace buckthorngate::config {

// Unchanged services are shared between revisions.
using ServicePtr = std::shared_ptr<const rpc::ServiceState>;

class ConfigState {
 public:
  uint64_t Revision() const { return revision_; }
  uint64_t Digest() const;
  const std::map<std::string, ServicePtr>& Services() const {
    return services_;
  }
  const rpc::ClaimGroup& Claims() const { return claim_group_; }
  const std::set<std::string>& LiftedFingerprints() const { return lifted_; }

  // Returns null if there is no such service.
  ServicePtr Find(const std::string& service) const;

  void SetRevision(uint64_t revision) { revision_ = revision; }
  void Put(rpc::ServiceState service);
  void Remove(const std::string& service);
  void SetClaimGroup(rpc::ClaimGroup group);
  void SetLifted(std::set<std::string> lifted);

  rpc::ConfigSnapshot ToSnapshot() const;

  // Replaces the whole state, or leaves it and returns why:
  // kRevisionOld, kSnapshotDigestWrong, kDanglingRoute.
  ResultCode ApplySnapshot(const rpc::ConfigSnapshot& snapshot);

  // Applies the whole delta, or leaves the state and returns why:
  // kRevisionOld, kRevisionGap, kSnapshotDigestWrong, kDanglingRoute.
  ResultCode ApplyDelta(const rpc::ConfigDelta& delta);

 private:
  struct Hashed {
    ServicePtr service_;
    uint64_t hash_ = 0;
  };

  // Returns kDanglingRoute unless each service's version and its move's
  // target are among its versions.
  static ResultCode CheckClosed(const rpc::ServiceState& service);

  uint64_t revision_ = 0;
  std::map<std::string, ServicePtr> services_;
  std::map<std::string, uint64_t> hashes_;
  // Invariant: the sum of hashes_.
  uint64_t services_digest_ = 0;
  rpc::ClaimGroup claim_group_;
  std::set<std::string> lifted_;
};

// Deltas of the latest revisions, to bring a follower up to date.
class DeltaWindow {
 public:
  explicit DeltaWindow(size_t most_deltas) : most_(most_deltas) {}

  // `delta` must start where the previous one ended; else the window restarts.
  void Add(rpc::ConfigDelta delta);

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
