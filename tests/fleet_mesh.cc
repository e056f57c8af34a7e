// Creates the nodes of a fleet, and counts what they send.
#include "fleet_mesh.h"

#include <algorithm>
#include <utility>

#include "membership/node_id.h"

namespace buckthorngate::tests {
namespace {

constexpr char kDaemonPrefix[] = "daemon-";
constexpr char kUpstreamAddress[] = "127.0.0.1:1";
constexpr base::Duration kAnnounceInterval = std::chrono::seconds(1);

}  // namespace

FleetMesh::FleetMesh(FleetOptions options)
    : options_(options), net_(options.seed_), next_seed_(options.seed_ * 1000) {
  net_.SetTap([this](const rpc::Envelope& envelope) { Count(envelope); });
  const int control_hosts = options_.zones_ * options_.control_hosts_per_zone_;
  for (int host = 1; host <= control_hosts; ++host) {
    StartControlHost(host, /*lose_disk=*/false);
  }
  for (int daemon = 1; daemon <= options_.daemons_; ++daemon) {
    upstream_up_[daemon] = true;
    StartDaemon(daemon);
  }
}

std::string FleetMesh::DaemonId(int daemon) {
  return kDaemonPrefix + std::to_string(daemon);
}

std::string FleetMesh::ZoneOf(int number) const {
  return "zone-" + std::to_string(number % options_.zones_);
}

void FleetMesh::StartControlHost(int host, bool lose_disk) {
  const std::string address = ControlAddress(host);
  const bool first_start = host_ids_.count(host) == 0;
  const bool voter = host <= kSeedHosts && first_start;
  if (first_start || lose_disk) {
    host_ids_[host] =
        voter ? address : membership::FreshHostId(address, ++next_seed_);
    source_journals_[host] = std::make_unique<storage::MemoryJournal>();
    relay_journals_[host] = std::make_unique<storage::MemoryJournal>();
  }
  const std::string source_id =
      membership::NodeId(membership::kSourceRole, host_ids_[host]);
  distribution::SourceOptions source = ControlOptions(
      source_id, address, host_ids_[host] == address, ++next_seed_);
  source.zone_ = ZoneOf(host);
  source.tolerated_losses_ = options_.tolerated_losses_;
  sources_[host] = std::move(*distribution::SourceNode::Create(
      std::move(source), *source_journals_[host], net_.Now()));
  net_.Add(source_id, sources_[host].get());

  distribution::RelayOptions relay;
  relay.id_ = membership::NodeId(membership::kRelayRole, host_ids_[host]);
  relay.zone_ = ZoneOf(host);
  relay.seeds_ = SeedAddresses();
  relay.seed_ = ++next_seed_;
  relay.incarnation_ = next_seed_;
  relay_ids_[host] = relay.id_;
  relays_[host] = std::move(*distribution::RelayNode::Create(
      std::move(relay), *relay_journals_[host]));
  net_.Add(relay_ids_[host], relays_[host].get());
  const std::string alias =
      membership::NodeId(membership::kSourceRole, address);
  if (alias != source_id) {
    aliases_[host] = std::make_unique<AliasNode>(*sources_[host]);
    net_.Add(alias, aliases_[host].get());
  }
}

void FleetMesh::StopControlHost(int host) {
  net_.Remove(membership::NodeId(membership::kSourceRole, host_ids_[host]));
  net_.Remove(
      membership::NodeId(membership::kSourceRole, ControlAddress(host)));
  net_.Remove(relay_ids_[host]);
  source_journals_[host]->Crash();
  relay_journals_[host]->Crash();
  sources_.erase(host);
  relays_.erase(host);
}

void FleetMesh::StopDaemon(int daemon) {
  net_.Remove(DaemonId(daemon));
  daemons_.erase(daemon);
}

void FleetMesh::StartDaemon(int daemon) {
  daemon_journals_[daemon] = std::make_unique<storage::MemoryJournal>();
  distribution::ProxyOptions options;
  options.identity_.host_ = DaemonId(daemon);
  options.identity_.zone_ = ZoneOf(daemon);
  options.identity_.peer_address_ = "10.1." + std::to_string(daemon / 250) +
                                    "." + std::to_string(daemon % 250) +
                                    ":7602";
  options.identity_.control_address_ = options.identity_.peer_address_;
  options.identity_.incarnation_ = ++incarnations_[daemon];
  options.seeds_ = SeedAddresses();
  options.seed_ = ++next_seed_;
  daemons_[daemon] = std::move(*distribution::ProxyNode::Create(
      std::move(options), *daemon_journals_[daemon]));
  net_.Add(DaemonId(daemon), daemons_[daemon].get());
}

void FleetMesh::Run(base::Duration length) {
  base::MonoTime next_announcement;
  net_.Run(length, [this, &next_announcement] {
    const base::MonoTime now = net_.Now().mono_;
    if (now < next_announcement) {
      return;
    }
    next_announcement = now + kAnnounceInterval;
    for (auto& [number, daemon] : daemons_) {
      if (upstream_up_[number]) {
        daemon->Local().Announce({"a", "v1", kUpstreamAddress, 14, "x"}, now);
      }
    }
  });
}

size_t FleetMesh::ReadyEndpoints(int daemon) {
  const std::vector<rpc::Endpoint> live =
      daemons_.at(daemon)->Endpoints().Live();
  return static_cast<size_t>(std::count_if(
      live.begin(), live.end(), [](const rpc::Endpoint& endpoint) {
        return endpoint.state() == rpc::ENDPOINT_STATE_READY;
      }));
}

bool FleetMesh::AllKnow(size_t count) {
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    return ReadyEndpoints(item.first) == count;
  });
}

distribution::SourceNode* FleetMesh::Leader() {
  for (const auto& [host, source] : sources_) {
    if (source->Raft().CanServe()) {
      return source.get();
    }
  }
  return nullptr;
}

void FleetMesh::Count(const rpc::Envelope& envelope) {
  const uint64_t size = envelope.ByteSizeLong();
  bytes_[envelope.from()] += size;
  bytes_[envelope.to()] += size;
  const bool to_daemon = envelope.to().starts_with(kDaemonPrefix);
  deferrals_ += to_daemon && envelope.has_retry_after() &&
                envelope.retry_after().delay_ms() > 0;
  if (envelope.has_registry() && to_daemon) {
    entries_to_daemons_ +=
        static_cast<uint64_t>(envelope.registry().endpoints_size());
  }
}

uint64_t FleetMesh::DaemonBytes() const {
  uint64_t sum = 0;
  for (const auto& [node, bytes] : bytes_) {
    sum += node.starts_with(kDaemonPrefix) ? bytes : 0;
  }
  return sum;
}

uint64_t FleetMesh::ControlBytes() const {
  uint64_t sum = 0;
  for (const auto& [node, bytes] : bytes_) {
    sum += node.starts_with(kDaemonPrefix) ? 0 : bytes;
  }
  return sum;
}

}  // namespace buckthorngate::tests
