// Control-plane client of a proxy.
#include "distribution/proxy_node.h"

#include <algorithm>
#include <utility>

#include "base/events.h"
#include "base/hash.h"
#include "distribution/update_log.h"

namespace buckthorngate::distribution {
namespace {

using base::EventId;
using base::LogEvent;

constexpr base::Duration kProxyKeepaliveInterval = std::chrono::seconds(1);
// Interval of keepalives with questions for an overdue authority lease.
constexpr base::Duration kOverdueLeaseInterval = std::chrono::milliseconds(500);
constexpr base::Duration kExchangeInterval = std::chrono::seconds(1);
constexpr size_t kPeersPerExchange = 3;
constexpr size_t kCompactBytes = size_t{4} * 1024 * 1024;

}  // namespace

ProxyNode::ProxyNode(ProxyOptions options, storage::Journal& journal)
    : options_(std::move(options)),
      journal_(journal),
      random_(options_.seed_ + 3),
      hosts_(options_.seeds_),
      config_(journal),
      parents_(options_.identity_.host_, options_.relays_, options_.seed_ + 2),
      local_(options_.identity_, options_.announce_lease_),
      claims_(options_.identity_.host_),
      quota_(options_.identity_.host_, options_.identity_.incarnation_),
      authority_(options_.revocation_bound_,
                 base::Hash(options_.identity_.host_,
                            options_.identity_.incarnation_ ^ options_.seed_)) {
  if (hosts_.UsesDiscovery()) {
    UpdateTopology();
  }
}

void ProxyNode::UpdateTopology() {
  const std::string& zone = options_.identity_.zone_;
  parents_.SetCandidates(hosts_.RelaysFor(options_.identity_.host_, zone),
                         [this, &zone](const std::string& relay) {
                           return same_zone_relays_.count(relay) != 0 ||
                                  hosts_.InZone(relay, zone);
                         });
}

tl::expected<std::unique_ptr<ProxyNode>, ResultCode> ProxyNode::Create(
    ProxyOptions options,
    storage::Journal& journal) {
  const tl::expected<std::vector<rpc::JournalRecord>, ResultCode> records =
      journal.Load();
  if (!records) {
    return tl::unexpected(records.error());
  }
  std::unique_ptr<ProxyNode> node(new ProxyNode(std::move(options), journal));
  for (const rpc::JournalRecord& record : *records) {
    node->config_.Restore(record);
  }
  node->claims_.SetGroup(node->config_.State().Claims());
  node->UpdateQuotaLimits();
  node->floor_known_ = node->config_.State().Revision() > 0;
  node->start_current_ = node->floor_known_;
  node->lag_.Held(node->config_.State().Revision());
  node->view_version_ = 1;
  return node;
}

void ProxyNode::OnMessage(const rpc::Envelope& envelope, const base::Now& now) {
  bytes_in_ += envelope.ByteSizeLong();
  switch (envelope.body_case()) {
    case rpc::Envelope::kSnapshot:
    case rpc::Envelope::kDelta:
      OnConfig(envelope, now);
      break;
    case rpc::Envelope::kFloor:
      OnFloor(envelope, now);
      break;
    case rpc::Envelope::kHeartbeat:
      OnHeartbeat(envelope, now);
      break;
    case rpc::Envelope::kRetryAfter:
      parents_.DelayResume(
          envelope.from(),
          std::chrono::milliseconds(envelope.retry_after().delay_ms()),
          now.mono_);
      break;
    case rpc::Envelope::kRegistry:
      OnRegistry(envelope, now);
      break;
    case rpc::Envelope::kRegistryDigest:
      OnRegistryDigest(envelope, now);
      break;
    case rpc::Envelope::kEndpointHeartbeat:
      if (envelope.endpoint_heartbeat().announce_again()) {
        SendAllLocal(envelope.from());
      }
      break;
    case rpc::Envelope::kQuarantine:
      OnQuarantine(envelope.quarantine());
      break;
    case rpc::Envelope::kDepartureStored:
      departures_.OnStored(envelope.from(), envelope.departure_stored());
      break;
    case rpc::Envelope::kClaimReply:
      claims_.OnReply(envelope.from(), envelope.claim_reply(), now, outbox_);
      break;
    case rpc::Envelope::kQuotaGrant:
      quota_.OnGrant(envelope.quota_grant(), now.boot_);
      break;
    case rpc::Envelope::kAuthorityLease:
      OnAuthorityLease(envelope.authority_lease(), now);
      break;
    case rpc::Envelope::kPeerDigest:
      OnPeerDigest(envelope, now);
      break;
    default:
      break;
  }
}

void ProxyNode::OnHeartbeat(const rpc::Envelope& envelope,
                            const base::Now& now) {
  const rpc::SourceHeartbeat& heartbeat = envelope.heartbeat();
  parents_.RecordContact(envelope.from(), heartbeat.revision(),
                         std::chrono::milliseconds(heartbeat.contact_age_ms()),
                         now.mono_);
  lag_.Heard(heartbeat.revision(), now.boot_);
  if (parents_.RecordSentUpdates(envelope.from(), heartbeat,
                                 config_.State().Revision(), now.mono_)) {
    LogUpdateLost(envelope, config_.State().Revision());
  }
  const bool added = hosts_.UsesDiscovery() &&
                     heartbeat.zone() == options_.identity_.zone_ &&
                     same_zone_relays_.insert(envelope.from()).second;
  if (hosts_.Update(heartbeat.members(), heartbeat.members_index()) || added) {
    UpdateTopology();
  }
}

void ProxyNode::OnQuarantine(const rpc::QuarantineNotice& notice) {
  for (const rpc::QuarantineEntry& entry : notice.entries()) {
    if (entry.answered()) {
      view_version_ += quarantine_.erase(entry.fingerprint());
      continue;
    }
    rpc::QuarantineEntry& held = quarantine_[entry.fingerprint()];
    if (entry.crashes() > held.crashes() || entry.quarantined()) {
      held = entry;
      ++view_version_;
    }
  }
}

void ProxyNode::StartClaim(rpc::ClaimRequest::Action action,
                           rpc::ClaimRecord record,
                           const base::Now& now) {
  claims_.Start(action, std::move(record), now, outbox_);
}

void ProxyNode::SendEvidence(std::vector<rpc::RouteEvidence> routes) {
  if (routes.empty() || parents_.Active().empty()) {
    return;
  }
  rpc::Evidence& report =
      *outbox_.Add(options_.identity_.host_, parents_.Active())
           .mutable_evidence();
  report.set_origin(options_.identity_.host_);
  report.set_incarnation(options_.identity_.incarnation_);
  report.set_sequence(++evidence_sequence_);
  for (rpc::RouteEvidence& route : routes) {
    *report.add_routes() = std::move(route);
  }
}

void ProxyNode::SendBrake(const rpc::BrakeNotice& notice) {
  LogEvent(EventId::kBrakeApplied, {{"service", notice.service()},
                                    {"version", notice.version()},
                                    {"reason", notice.reason()}});
  *outbox_.Add(options_.identity_.host_, parents_.Active()).mutable_brake() =
      notice;
}

void ProxyNode::SendCrash(const rpc::CrashReport& report) {
  for (const std::string& relay : parents_.Candidates()) {
    *outbox_.Add(options_.identity_.host_, relay).mutable_crash() = report;
  }
}

void ProxyNode::SendAnswered(const rpc::AnsweredReport& report) {
  for (const std::string& relay : parents_.Candidates()) {
    *outbox_.Add(options_.identity_.host_, relay).mutable_answered() = report;
  }
}

void ProxyNode::SendKeepalive(const base::Now& now) {
  if (now.mono_ < next_keepalive_) {
    return;
  }
  const bool overdue = AuthorityOverdue(now) || AwaitsCurrency();
  next_keepalive_ =
      now.mono_ + (overdue ? kOverdueLeaseInterval : kProxyKeepaliveInterval);
  const bool asks = NeedsAuthority() || AwaitsCurrency();
  const uint64_t lease_nonce = asks ? authority_.Ask(now.boot_) : 0;
  for (const std::string& relay : parents_.Candidates()) {
    rpc::Ack& ack = *outbox_.Add(options_.identity_.host_, relay).mutable_ack();
    ack.set_revision(config_.State().Revision());
    ack.set_result_code(last_result_code_);
    ack.set_needs_floor(!floor_known_);
    ack.set_standby(relay != parents_.Active());
    ack.set_resume_number(parents_.ResumeNumber(relay));
    ack.set_members_digest(hosts_.Digest());
    if (overdue || !ack.standby()) {
      ack.set_lease_nonce(lease_nonce);
    }
    rpc::EndpointHeartbeat& heartbeat =
        *outbox_.Add(options_.identity_.host_, relay)
             .mutable_endpoint_heartbeat();
    heartbeat.set_digest(local_.Digest());
    heartbeat.set_incarnation(local_.Incarnation());
  }
}

void ProxyNode::UpdateRelayConnection(const base::Now& now) {
  const bool connected = parents_.Connected(now.mono_);
  if (connected == relay_connected_) {
    return;
  }
  relay_connected_ = connected;
  LogEvent(connected ? EventId::kRelayConnected : EventId::kRelayLost,
           {{"relay", parents_.Active()}});
}

void ProxyNode::ExchangeWithPeers(const base::Now& now) {
  if (relay_connected_ || now.mono_ < next_exchange_) {
    return;
  }
  next_exchange_ =
      now.mono_ + kExchangeInterval + random_.Jitter(kExchangeInterval);
  std::vector<std::string> peers;
  for (const rpc::Endpoint& endpoint :
       endpoints_.Live(options_.identity_.zone_)) {
    const bool known = !peers.empty() && peers.back() == endpoint.host();
    if (endpoint.host() != options_.identity_.host_ && !known) {
      peers.push_back(endpoint.host());
    }
  }
  std::shuffle(peers.begin(), peers.end(), random_.Engine());
  peers.resize(std::min(peers.size(), kPeersPerExchange));
  for (const std::string& peer : peers) {
    rpc::PeerDigest& digest =
        *outbox_.Add(options_.identity_.host_, peer).mutable_peer_digest();
    digest.set_revision(config_.State().Revision());
    digest.set_digest(config_.State().Digest());
    digest.set_reads_packed(true);
  }
}

void ProxyNode::OnTimer(const base::Now& now) {
  first_timer_ = first_timer_.value_or(now.mono_);
  SendResumes(now);
  UpdateRelayConnection(now);
  AcceptUnconfirmedFloors(now);
  UpdateAuthority(now);
  UpdateCurrency(now);
  local_.Expire(now.mono_);
  claims_.OnTimer(now, outbox_);
  ExchangeWithPeers(now);
  const int64_t wall_ms = base::ToUnixMs(now.wall_);
  const size_t erased = std::erase_if(quarantine_, [wall_ms](const auto& item) {
    return item.second.expires_ms() <= wall_ms;
  });
  if (erased != 0) {
    ++view_version_;
  }
}

std::vector<rpc::Envelope> ProxyNode::Flush(const base::Now& now) {
  SendLocalChanges();
  SendDepartures(now);
  SendKeepalive(now);
  SendQuotaDemand(now);
  if (journal_dirty_) {
    // A proxy's journal only speeds up restarts and keeps the floor. The
    // journal logs a failure and the proxy continues.
    (void)journal_.Sync();
    journal_dirty_ = false;
    if (journal_.Size() > size_after_compaction_ + kCompactBytes) {
      (void)journal_.Replace(config_.AllRecords());
      size_after_compaction_ = journal_.Size();
    }
  }
  std::vector<rpc::Envelope> messages = outbox_.Take();
  std::erase_if(messages, [](const rpc::Envelope& envelope) {
    return envelope.to().empty();
  });
  for (const rpc::Envelope& envelope : messages) {
    bytes_out_ += envelope.ByteSizeLong();
  }
  return messages;
}

}  // namespace buckthorngate::distribution
