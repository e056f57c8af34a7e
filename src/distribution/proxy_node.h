// A proxy's control side: what its request path works from.
//
// Follows the zone's relays, announces the host's upstreams, coordinates
// claims and reports evidence. When no relay answers, it compares notes with
// other proxies of the zone, so that all reach the newest revision that any of
// them has.
#ifndef SRC_DISTRIBUTION_PROXY_NODE_H_
#define SRC_DISTRIBUTION_PROXY_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/node.h"
#include "base/random.h"
#include "distribution/config_follower.h"
#include "distribution/control_hosts.h"
#include "distribution/upstream_link.h"
#include "registry/endpoint_registry.h"
#include "registry/local_endpoints.h"
#include "request/claim_coordinator.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

struct ProxyOptions {
  registry::HostIdentity identity_;
  std::vector<std::string> relays_;
  // Addresses of control hosts, instead of the list of relays.
  std::vector<std::string> seeds_;
  uint64_t seed_ = 0;
  // How long an upstream's announcement holds.
  base::Duration announce_lease_ = registry::kAnnounceLease;
};

class ProxyNode : public base::Node {
 public:
  // Errors: those of Journal::Load. `journal` must outlive the node.
  static tl::expected<std::unique_ptr<ProxyNode>, ResultCode> Create(
      ProxyOptions options,
      storage::Journal& journal);

  void OnMessage(const rpc::Envelope& envelope, const base::Now& now) override;
  void OnTimer(const base::Now& now) override;
  std::vector<rpc::Envelope> Flush(const base::Now& now) override;

  // Announcements of the host's upstreams.
  registry::LocalEndpoints& Local() { return local_; }
  // Starts a claim, an answer or a release; see ClaimCoordinator.
  void StartClaim(rpc::ClaimRequest::Action action,
                  rpc::ClaimRecord record,
                  const base::Now& now);
  std::vector<request::ClaimOutcome> TakeClaimOutcomes() {
    return claims_.TakeOutcomes();
  }
  void SendEvidence(std::vector<rpc::RouteEvidence> routes);
  void SendBrake(const rpc::BrakeNotice& notice);
  void SendCrash(const rpc::CrashReport& report);

  // Whether the request path may serve.
  bool MayServe() const {
    return floor_known_ && follower_.MayServe() &&
           (registry_heard_ || !hosts_.Managed());
  }
  const config::ConfigState& Config() const { return follower_.State(); }
  const registry::EndpointRegistry& Endpoints() const { return endpoints_; }
  // For the builder of views, which takes the changes.
  registry::EndpointRegistry& MutableEndpoints() { return endpoints_; }
  const std::map<std::string, rpc::QuarantineEntry>& Quarantine() const {
    return quarantine_;
  }
  // Grows when the request path needs a new view.
  uint64_t ViewVersion() const { return view_version_; }
  bool RelayConnected(base::MonoTime now) const { return link_.Connected(now); }
  // Control bytes sent and received, as serialized envelopes.
  uint64_t BytesIn() const { return bytes_in_; }
  uint64_t BytesOut() const { return bytes_out_; }

 private:
  ProxyNode(ProxyOptions options, storage::Journal& journal);

  void OnConfig(const rpc::Envelope& envelope, const base::Now& now);
  void OnHeartbeat(const rpc::Envelope& envelope, const base::Now& now);
  // Follows the relays of the control hosts, those of the own zone first.
  void UseHosts();
  void OnFloor(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistry(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistryDigest(const rpc::Envelope& envelope, const base::Now& now);
  void OnQuarantine(const rpc::QuarantineNotice& notice);
  void OnPeerDigest(const rpc::Envelope& envelope);
  void SendResumes(const base::Now& now);
  void SendKeepalive(const base::Now& now);
  void SendLocalChanges();
  void ExchangeWithPeers(const base::Now& now);
  void NoteRelayLink(const base::Now& now);
  void ReannounceIfExpired();

  const ProxyOptions options_;
  storage::Journal& journal_;
  base::Random random_;
  ControlHosts hosts_;
  std::set<std::string> relays_nearby_;
  ConfigFollower follower_;
  UpstreamLink link_;
  registry::EndpointRegistry endpoints_;
  registry::LocalEndpoints local_;
  request::ClaimCoordinator claims_;
  std::map<std::string, rpc::QuarantineEntry> quarantine_;
  base::Outbox outbox_;
  // Sequence of each local entry that was sent last.
  std::map<std::string, uint64_t> sent_sequences_;
  uint64_t local_version_sent_ = 0;
  uint64_t evidence_sequence_ = 0;
  uint64_t view_version_ = 0;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
  // A proxy without memory must learn first what its zone has seen: from a
  // relay that the leader has confirmed, or from all relays of the zone.
  bool floor_known_ = false;
  std::set<std::string> floors_heard_;
  // Some relay has told which endpoints there are.
  bool registry_heard_ = false;
  bool journal_dirty_ = false;
  bool relay_connected_ = false;
  uint32_t last_result_code_ = 0;
  base::MonoTime next_keepalive_;
  base::MonoTime next_exchange_;
  base::MonoTime next_digest_;
  size_t size_after_compaction_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_PROXY_NODE_H_
