// A relay: serves one availability zone.
//
// Follows the sources, syncs each revision before it hands it to the zone's
// proxies, owns the zone's endpoint registry, and holds a ledger of claims, the
// book of quarantined requests and the merging of evidence. Cut off from the
// sources it goes on with what it has.
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
#include "distribution/config_distributor.h"
#include "distribution/config_follower.h"
#include "distribution/control_hosts.h"
#include "distribution/upstream_link.h"
#include "registry/endpoint_registry.h"
#include "request/claim_ledger.h"
#include "request/quarantine.h"
#include "rollout/evidence.h"
#include "storage/journal.h"

namespace buckthorngate::distribution {

struct RelayOptions {
  std::string id_;
  std::string zone_;
  std::vector<std::string> sources_;
  // The other relays, of this and of other zones.
  std::vector<std::string> relays_;
  // Addresses of control hosts, instead of the two lists: the membership of
  // the sources then tells who else there is.
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

  const config::ConfigState& Config() const { return follower_.State(); }
  const registry::EndpointRegistry& Endpoints() const { return endpoints_; }
  const request::ClaimLedger& Claims() const { return claims_; }
  SubscriberSummary ProxySummary() const { return distributor_.Summary(); }

 private:
  RelayNode(RelayOptions options, storage::Journal& journal);

  void Restore(const std::vector<rpc::JournalRecord>& records);

  // relay_node.cc: configuration.
  void OnResume(const rpc::Envelope& envelope, const base::Now& now);
  void OnAck(const rpc::Envelope& envelope, const base::Now& now);
  void OnConfig(const rpc::Envelope& envelope, const base::Now& now);
  void OnSourceHeartbeat(const rpc::Envelope& envelope, const base::Now& now);
  // Follows the control hosts that the sources' membership lists.
  void UseHosts();
  void SendResumes(const base::Now& now);
  // Tells new proxies that nothing newer was in force when they resumed.
  void ConfirmFloors(const rpc::SourceHeartbeat& heartbeat);
  // Tells proxies, those on standby too, how far this relay is.
  void SendHeartbeats(const base::Now& now);
  void SendHeartbeat(const std::string& to, const base::Now& now);
  void SendZoneAck(const base::Now& now);

  // relay_storage.cc: the journal.
  ResultCode SyncAndCompact();
  ResultCode ReplaceJournal();
  // Once a failed disk takes writes again.
  void RepairStorage(const base::Now& now);

  // relay_zone.cc: registry, evidence, quarantine.
  void OnEndpoint(const rpc::Envelope& envelope, const base::Now& now);
  void OnEndpointHeartbeat(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistry(const rpc::Envelope& envelope, const base::Now& now);
  void OnRegistryDigest(const rpc::Envelope& envelope, const base::Now& now);
  void OnCrash(const rpc::Envelope& envelope, const base::Now& now);
  void OnQuarantine(const rpc::Envelope& envelope);
  void ExpireEndpoints(const base::Now& now);
  // Whether at least half of the hosts that were heard lately still are. If
  // most fall silent together, that tells more of this relay than of them.
  bool HearsHosts(base::MonoTime now);
  void NoteHearing(bool hears);
  void SendRegistryDigests(const base::Now& now);
  void SendEvidence(const base::Now& now);
  void SendQuarantine(const std::vector<rpc::QuarantineEntry>& entries,
                      bool to_relays);
  void SendToProxies(const rpc::Envelope& content);
  void SendToRelaysAndSources(const rpc::Envelope& content);
  // A full list lets the receiver drop what is missing from it.
  void SendRegistry(const std::string& to, const std::string& zone, bool full);
  // Endpoints that changed are shared with the next SendShares.
  void ShareEndpoints(const std::vector<rpc::Endpoint>& endpoints,
                      bool beyond_zone);
  // Sends all that is to be shared as one update, and the next one a little
  // later: the hosts of a site that start together announce themselves one by
  // one, and each of them would cost a message to every proxy.
  void SendShares(const base::Now& now);
  // Whether the registry of the own zone is complete enough to be its owner's
  // word on who is gone.
  bool Warm(base::MonoTime now);
  bool IsRelay(const std::string& id) const;
  bool IsSource(const std::string& id) const;

  const RelayOptions options_;
  ControlHosts hosts_;
  std::vector<std::string> sources_;
  std::vector<std::string> relays_;  // The others.
  storage::Journal& journal_;
  ConfigFollower follower_;
  ConfigDistributor distributor_;
  UpstreamLink link_;
  registry::EndpointRegistry endpoints_;
  request::ClaimLedger claims_;
  request::QuarantineList quarantine_;
  rollout::EvidenceMerger evidence_;
  base::Outbox outbox_;
  uint64_t evidence_sequence_ = 0;
  bool journal_dirty_ = false;
  bool storage_failed_ = false;
  base::MonoTime next_storage_repair_;
  size_t size_after_compaction_ = 0;
  // Goes with each acknowledgement to the sources: a draw of this start in the
  // upper half, so that none of an earlier start is taken for it, and a count.
  uint64_t nonce_;
  // Proxies without memory, with the nonce that must be confirmed for each.
  std::map<std::string, uint64_t> unconfirmed_;
  // Until then the registry may lack endpoints that have not announced
  // themselves to this incarnation yet.
  std::optional<base::MonoTime> warm_at_;
  base::MonoTime next_zone_ack_;
  base::MonoTime next_keepalive_;
  base::MonoTime next_heartbeat_;
  base::MonoTime next_digest_;
  base::MonoTime next_expiry_;
  // Hosts that were heard lately, and when.
  std::map<std::string, base::MonoTime> heard_;
  // Invariant: what HearsHosts said when leases were checked last.
  bool hears_hosts_ = true;
  base::MonoTime next_evidence_;
  // To be shared with proxies, and what of it goes beyond the zone as well.
  rpc::RegistryUpdate share_near_;
  rpc::RegistryUpdate share_far_;
  base::MonoTime next_share_;
  rpc::ZoneAck last_zone_ack_;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_RELAY_NODE_H_
