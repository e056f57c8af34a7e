// A relay: serves one availability zone.
//
// Receives the configuration from a source and syncs each revision to its
// journal before it distributes it to the zone's proxies. Owns the zone's
// endpoint registry, holds a claim ledger and the quarantined requests, and
// merges rollout evidence. While it is disconnected from the sources it keeps
// serving its last state.
#ifndef SRC_DISTRIBUTION_RELAY_NODE_H_
#define SRC_DISTRIBUTION_RELAY_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/node.h"
#include "distribution/authority_questions.h"
#include "distribution/config_distributor.h"
#include "distribution/config_store.h"
#include "distribution/control_hosts.h"
#include "distribution/parent_selector.h"
#include "registry/departures.h"
#include "registry/endpoint_registry.h"
#include "request/claim_ledger.h"
#include "request/quarantine.h"
#include "request/quota_token_allocator.h"
#include "rollout/evidence.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

// Interval of a relay's keepalives to sources and to subscribers on standby.
inline constexpr base::Duration kKeepaliveInterval = std::chrono::seconds(1);

// Width of the counter in the lower bits of a relay's nonces.
inline constexpr int kRelayNonceCounterBits = 32;

struct RelayOptions {
  std::string id_;
  std::string zone_;
  std::vector<std::string> sources_;
  // The other relays, of this and of other zones.
  std::vector<std::string> relays_;
  // Addresses of control hosts, used instead of the two lists: sources and
  // relays are then taken from the sources' membership.
  std::vector<std::string> seeds_;
  bool has_disk_ = true;
  uint64_t incarnation_ = 0;
  uint64_t seed_ = 0;
};

class RelayNode : public base::Node {
 public:
  // Errors: those of Journal::Load. `journal` must outlive the node.
  static tl::expected<std::unique_ptr<RelayNode>, ResultCode> Create(
      RelayOptions options,
      storage::Journal& journal);

  void OnMessage(const rpc::Envelope& envelope, const base::Now& now) override;
  void OnTimer(const base::Now& now) override;
  std::vector<rpc::Envelope> Flush(const base::Now& now) override;

  rpc::QueryReply Query(const rpc::QueryRequest& request,
                        const base::Now& now) const;

  const config::ConfigState& Config() const { return config_.State(); }
  const registry::EndpointRegistry& Endpoints() const { return endpoints_; }
  const request::ClaimLedger& Claims() const { return claims_; }
  request::QuotaTokenAllocator& Quota() { return quota_; }
  const request::QuotaTokenAllocator& Quota() const { return quota_; }
  SubscriberSummary ProxySummary() const { return distributor_.Summary(); }

 private:
  RelayNode(RelayOptions options, storage::Journal& journal);

  void Restore(const std::vector<rpc::JournalRecord>& records);

  // relay_node.cc: subscribers. relay_sources.cc: the configuration from the
  // sources, and confirmations.
  void OnResume(const rpc::Envelope& envelope, const base::Now& now);
  void OnAck(const rpc::Envelope& envelope, const base::Now& now);
  void OnConfig(const rpc::Envelope& envelope, const base::Now& now);
  void OnSourceHeartbeat(const rpc::Envelope& envelope, const base::Now& now);
  // Rebuilds sources_, relays_ and the candidate parents from hosts_.
  void UpdateTopology();
  void SendResumes(const base::Now& now);
  // Sends a confirmed floor to each proxy whose nonce the leader has confirmed:
  // no newer revision was committed when that proxy asked.
  void ConfirmFloors(const rpc::SourceHeartbeat& heartbeat);
  // Sends an authority lease to each proxy whose question the leader has
  // confirmed.
  void ConfirmAuthority(const rpc::SourceHeartbeat& heartbeat);
  // relay_reports.cc: heartbeats and reports.
  // Reports this relay's revision to all subscribed proxies, also on standby.
  void SendHeartbeats(const base::Now& now);
  void SendHeartbeat(const std::string& to,
                     uint64_t held_members_digest,
                     const base::Now& now);
  void SendZoneAck(const base::Now& now);

  // relay_quota.cc: quotas of client accounts.
  void UpdateQuotaLimits();
  void SendQuotas(const base::Now& now);

  // relay_storage.cc: the journal.
  ResultCode SyncAndCompact();
  ResultCode RewriteJournal();
  // Rewrites the journal once the failed disk accepts writes again.
  void RepairStorage(const base::Now& now);

  // relay_zone.cc: registry, departures, evidence. relay_quarantine.cc: the
  // quarantine.
  void OnEndpoint(const rpc::Envelope& envelope, const base::Now& now);
  // Returns a newer entry to the host whose announcement it supersedes, so that
  // the host announces the endpoint above it.
  void ReturnIfSuperseded(const rpc::Endpoint& endpoint);
  void OnEndpointHeartbeat(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistry(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistryDigest(const rpc::Envelope& envelope, const base::Now& now);
  void OnHostLeases(const rpc::HostLeases& leases, const base::Now& now);
  // Journals a departure and passes it on to the other relays. The host is told
  // that it is stored, once the journal has been synced.
  void OnDeparture(const rpc::Envelope& envelope);
  void OnCrash(const rpc::Envelope& envelope, const base::Now& now);
  void OnAnswered(const rpc::AnsweredReport& report, const base::Now& now);
  void OnQuarantine(const rpc::Envelope& envelope);
  // Tells the other relays of the zone which hosts this one hears, so that a
  // host that only some of them hear keeps its endpoints.
  void SendHostLeases(const base::Now& now);
  void ExpireEndpoints(const base::Now& now);
  // Whether at least half of the recently seen hosts still send heartbeats. If
  // most stop at once, this relay's own connectivity is the likelier cause.
  bool HostsReachable(base::MonoTime now);
  // Stores and logs a change of reachability.
  void UpdateHostsReachable(bool reachable);
  void SendRegistryDigests(const base::Now& now);
  void SendEvidence(const base::Now& now);
  void SendQuarantine(const std::vector<rpc::QuarantineEntry>& entries,
                      bool to_relays);
  // Sends to all subscribed proxies, or only to those that follow this relay as
  // their active parent.
  void SendToProxies(const rpc::Envelope& content, bool active_only);
  void SendToRelaysAndSources(const rpc::Envelope& content);
  // Sends all endpoints to a proxy. With `full` it drops those that the list
  // lacks.
  void SendRegistry(const std::string& to, bool full);
  // Queues changed endpoints for the next SendQueuedEndpoints: to proxies, and
  // with `beyond_zone` to other relays and sources as well.
  void QueueEndpoints(const std::vector<rpc::Endpoint>& endpoints,
                      bool beyond_zone);
  // Sends all queued endpoints as one update, at most once per interval. Hosts
  // of a site that start together announce themselves one by one; without
  // batching, each of them would cost a message to every proxy.
  void SendQueuedEndpoints(const base::Now& now);
  // Time since the first call.
  base::Duration Uptime(base::MonoTime now);
  // Whether the start is long enough ago for the own zone's registry to count
  // as complete. Only then may proxies drop endpoints that are not in it.
  bool RegistryComplete(base::MonoTime now);
  bool IsRelay(const std::string& id) const;
  bool IsSource(const std::string& id) const;

  const RelayOptions options_;
  ControlHosts hosts_;
  std::vector<std::string> sources_;
  std::vector<std::string> relays_;  // The other relays.
  storage::Journal& journal_;
  ConfigStore config_;
  ConfigDistributor distributor_;
  ParentSelector parents_;
  registry::EndpointRegistry endpoints_;
  registry::Departures departures_;
  request::ClaimLedger claims_;
  request::QuarantineList quarantine_;
  request::QuotaTokenAllocator quota_;
  rollout::EvidenceMerger evidence_;
  base::Outbox outbox_;
  uint64_t evidence_sequence_ = 0;
  bool journal_dirty_ = false;
  bool storage_failed_ = false;
  base::MonoTime next_storage_repair_;
  size_t size_after_compaction_ = 0;
  // Sent with each acknowledgement to the sources. The upper half is random per
  // start, so that a confirmation of an earlier start's nonce cannot match; the
  // lower half counts.
  uint64_t nonce_;
  // Proxies without stored state, with the nonce that must be confirmed before
  // each gets a confirmed floor.
  std::map<std::string, uint64_t> unconfirmed_floors_;
  AuthorityQuestions authority_questions_;
  base::MonoTime last_source_ack_;
  std::optional<base::MonoTime> started_at_;
  base::MonoTime next_zone_ack_;
  base::MonoTime next_keepalive_;
  base::MonoTime next_heartbeat_;
  base::MonoTime next_digest_;
  base::MonoTime next_host_leases_;
  base::MonoTime next_expiry_;
  // Last heartbeat of each host that was heard recently.
  struct HostContact {
    base::MonoTime heard_;
    uint64_t incarnation_ = 0;
  };
  std::map<std::string, HostContact> host_contacts_;
  // Invariant: result of HostsReachable at the last check of leases.
  bool hosts_reachable_ = true;
  base::MonoTime next_evidence_;
  // Endpoints queued for proxies, and the subset queued for other relays and
  // sources.
  rpc::RegistryUpdate queued_for_proxies_;
  rpc::RegistryUpdate queued_beyond_zone_;
  base::MonoTime next_endpoint_update_;
  rpc::ZoneAck last_zone_ack_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_RELAY_NODE_H_
