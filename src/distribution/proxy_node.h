// Control-plane client of a proxy: provides the configuration, endpoints and
// quarantine that its request path works from.
//
// Receives them from the zone's relays, announces the host's upstreams,
// coordinates claims and reports evidence. While no relay responds, it
// exchanges revisions with other proxies of the zone (anti-entropy), so that
// all reach the newest revision that any of them has.
#ifndef SRC_DISTRIBUTION_PROXY_NODE_H_
#define SRC_DISTRIBUTION_PROXY_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/node.h"
#include "base/random.h"
#include "distribution/config_store.h"
#include "distribution/control_hosts.h"
#include "distribution/departure_delivery.h"
#include "distribution/parent_selector.h"
#include "distribution/revision_lag.h"
#include "distribution/snapshot_cache.h"
#include "registry/endpoint_registry.h"
#include "registry/local_endpoints.h"
#include "request/authority_lease.h"
#include "request/claim_coordinator.h"
#include "request/quota_client.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

struct ProxyOptions {
  registry::HostIdentity identity_;
  std::vector<std::string> relays_;
  // Addresses of control hosts, used instead of the list of relays.
  std::vector<std::string> seeds_;
  uint64_t seed_ = 0;
  // Lease of an upstream's announcement.
  base::Duration announce_lease_ = registry::kAnnounceLease;
  // Time within which a revoked key of a client account is refused; 0: no
  // bound.
  base::Duration revocation_bound_{0};
  // Time within which an accepted configuration is in force everywhere; 0: no
  // bound. With a bound, a proxy serves no revision that it can know to be
  // older.
  base::Duration apply_bound_{0};
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

  // The upstreams that announced themselves on this host.
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
  void SendAnswered(const rpc::AnsweredReport& report);

  // Whether the relays have reported the departures that an earlier start of
  // this daemon was told of. Before that, announcements must not be accepted.
  bool DeparturesKnown(base::MonoTime now);
  // Ids of this host's endpoints that were announced before their departure
  // became known, since the last call.
  std::vector<std::string> TakeDepartedEndpoints();
  // Whether a majority of the relays has synced the departures of the instance,
  // if there are any: then a start of this daemon, or of relays, finds them.
  bool DepartureStored(const std::string& instance) const {
    return departures_.Stored(instance, parents_.Candidates());
  }
  DepartureHolders HoldersOf(const std::string& instance) const;

  // Whether the request path may serve: the floor is known, the configuration
  // is not below it nor known to be too old, and with discovery a registry has
  // been received.
  bool MayServe() const {
    return floor_known_ && config_.MayServe() && !AwaitsCurrency() &&
           !outdated_ && (registry_received_ || !hosts_.UsesDiscovery());
  }
  // How long this proxy has known of a newer revision than its own; 0 while it
  // knows of none, or is not connected to any relay that could send it.
  base::Duration BehindFor(const base::Now& now) const;
  const config::ConfigState& Config() const { return config_.State(); }
  const registry::EndpointRegistry& Endpoints() const { return endpoints_; }
  // For the builder of views, which calls TakeChangedServices.
  registry::EndpointRegistry& MutableEndpoints() { return endpoints_; }
  const std::map<std::string, rpc::QuarantineEntry>& Quarantine() const {
    return quarantine_;
  }
  // The lease on the authority to accept keys of client accounts.
  const request::AuthorityLease& Authority() const { return authority_; }
  // Incremented whenever the request path needs a new view.
  uint64_t ViewVersion() const { return view_version_; }
  // Tokens of client accounts' quotas, for the request path.
  request::QuotaClient& Quota() { return quota_; }
  bool RelayConnected(base::MonoTime now) const {
    return parents_.Connected(now);
  }
  // Bytes of control messages received and sent, as serialized envelopes.
  uint64_t BytesIn() const { return bytes_in_; }
  uint64_t BytesOut() const { return bytes_out_; }

 private:
  ProxyNode(ProxyOptions options, storage::Journal& journal);

  // proxy_config.cc: the configuration.
  void OnConfig(const rpc::Envelope& envelope, const base::Now& now);
  // Updates what depends on the configuration.
  void OnRevisionApplied();
  // Logs that the revision of an update is in force.
  void LogApplied(const rpc::Envelope& envelope, const base::Now& now) const;
  void OnHeartbeat(const rpc::Envelope& envelope, const base::Now& now);
  // Makes the relays of the control hosts the candidate parents, those of the
  // own zone first.
  void UpdateTopology();
  void OnFloor(const rpc::Envelope& envelope, const base::Now& now);
  // Serves from unconfirmed floors once kUnconfirmedFloorDelay has passed.
  void AcceptUnconfirmedFloors(const base::Now& now);
  // Whether this proxy, which started without state, must not serve before the
  // leader has confirmed that its revision is current.
  bool AwaitsCurrency() const;
  // Decides whether the revision is too old to serve.
  void UpdateCurrency(const base::Now& now);
  // proxy_registry.cc: the mirrored registry and own announcements.
  void OnRegistry(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistryDigest(const rpc::Envelope& envelope, const base::Now& now);
  void SendLocalChanges();
  // Sends departures until the relays have stored them.
  void SendDepartures(const base::Now& now);
  void LearnDepartures(const rpc::Envelope& envelope, const base::Now& now);
  void LogDeparturesKnown(base::MonoTime now) const;
  // Sends all entries of this host to a relay that lacks some of them.
  void SendAllLocal(const std::string& relay);

  void OnQuarantine(const rpc::QuarantineNotice& notice);
  void OnPeerDigest(const rpc::Envelope& envelope, const base::Now& now);
  void SendResumes(const base::Now& now);
  void SendKeepalive(const base::Now& now);
  // proxy_authority.cc: the lease on the authority to accept keys.
  bool NeedsAuthority() const;
  // Whether the last confirmed question is older than regular ones get.
  bool AuthorityOverdue(const base::Now& now) const;
  void OnAuthorityLease(const rpc::AuthorityLease& reply, const base::Now& now);
  // Logs a change between having a valid lease and having none.
  void UpdateAuthority(const base::Now& now);
  void ExchangeWithPeers(const base::Now& now);
  // proxy_quota.cc: quotas of client accounts.
  void UpdateQuotaLimits();
  void SendQuotaDemand(const base::Now& now);
  void UpdateRelayConnection(const base::Now& now);
  // Announces the own endpoints anew if the registry has marked one as gone, or
  // holds one of a higher incarnation.
  void ReannounceIfSuperseded();

  const ProxyOptions options_;
  storage::Journal& journal_;
  base::Random random_;
  ControlHosts hosts_;
  std::set<std::string> same_zone_relays_;
  ConfigStore config_;
  ParentSelector parents_;
  registry::EndpointRegistry endpoints_;
  registry::LocalEndpoints local_;
  request::ClaimCoordinator claims_;
  request::QuotaClient quota_;
  bool quota_obtainable_ = true;  // As last logged.
  request::AuthorityLease authority_;
  bool holds_authority_ = false;
  base::MonoTime next_quota_log_;
  std::map<std::string, rpc::QuarantineEntry> quarantine_;
  base::Outbox outbox_;
  // Last sequence sent of each local endpoint.
  std::map<std::string, uint64_t> sent_sequences_;
  uint64_t local_version_sent_ = 0;
  std::vector<std::string> departed_endpoints_;
  DepartureDelivery departures_;
  // Relays whose floors have brought departures, and when the first came.
  std::set<std::string> departures_from_;
  std::optional<base::MonoTime> first_departures_;
  std::optional<base::MonoTime> first_timer_;
  bool departures_known_ = false;
  // Departures that relays have reported, each as often as one did.
  int learned_departures_ = 0;
  uint64_t evidence_sequence_ = 0;
  uint64_t view_version_ = 0;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
  // A proxy without stored state must first learn the newest committed
  // revision, from a floor that the leader confirmed to a relay. If there is no
  // leader for long, the floors of all candidate relays suffice.
  bool floor_known_ = false;
  std::set<std::string> floors_received_;
  // When the floors of all candidate relays were known, none of them confirmed.
  std::optional<base::MonoTime> unconfirmed_since_;
  // The first revision was current when it was served; see AwaitsCurrency.
  bool start_current_ = false;
  // When the floor was first known and reached. Without a leader, a proxy
  // serves some time after that.
  std::optional<base::MonoTime> first_servable_;
  // The revision has been known to be replaced for too long.
  bool outdated_ = false;
  RevisionLag lag_;
  SnapshotCache peer_snapshots_;
  // Whether any relay has sent a registry.
  bool registry_received_ = false;
  bool journal_dirty_ = false;
  bool relay_connected_ = false;
  uint32_t last_result_code_ = 0;
  base::MonoTime last_resume_;  // To the active parent.
  base::MonoTime next_keepalive_;
  base::MonoTime next_exchange_;
  base::MonoTime next_digest_;
  size_t size_after_compaction_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_PROXY_NODE_H_
