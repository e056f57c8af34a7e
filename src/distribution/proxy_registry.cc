// A proxy: the endpoint registry that it mirrors from its active relay, and the
// announcements of its own endpoints.
#include <algorithm>
#include <utility>

#include "base/events.h"
#include "distribution/proxy_node.h"
#include "registry/endpoint_log.h"

namespace buckthorngate::distribution {
namespace {

// After the first relay has reported departures, those beyond a majority have
// this long.
constexpr base::Duration kOtherRelaysDelay = std::chrono::milliseconds(300);
// Without a majority of the relays, a daemon accepts announcements after this
// long: a zone that is cut off must serve what it can.
constexpr base::Duration kNoMajorityDelay = std::chrono::seconds(10);

}  // namespace

void ProxyNode::OnRegistry(const rpc::Envelope& envelope,
                           const base::Now& now) {
  const rpc::RegistryUpdate& update = envelope.registry();
  if (!registry_received_) {
    registry_received_ = true;
    ++view_version_;
  }
  const uint64_t before = endpoints_.Version();
  if (update.full() && envelope.from() == parents_.Active()) {
    endpoints_.Follow(update.endpoints(), options_.identity_.host_, now.mono_);
  } else {
    for (const rpc::Endpoint& endpoint : update.endpoints()) {
      endpoints_.Merge(endpoint, now.mono_);
    }
  }
  if (endpoints_.Version() != before) {
    ++view_version_;
    ReannounceIfSuperseded();
  }
}

void ProxyNode::ReannounceIfSuperseded() {
  for (const rpc::Endpoint& own : local_.Entries()) {
    const rpc::Endpoint* held = endpoints_.Find(own.id());
    if (held != nullptr && held->incarnation() > own.incarnation()) {
      local_.RaiseIncarnationAbove(held->incarnation());
      return;
    }
    const bool expired = held != nullptr &&
                         held->state() == rpc::ENDPOINT_STATE_GONE &&
                         own.state() != rpc::ENDPOINT_STATE_GONE &&
                         held->sequence() == own.sequence();
    if (expired) {
      local_.Reannounce();
      return;
    }
  }
}

void ProxyNode::OnRegistryDigest(const rpc::Envelope& envelope,
                                 const base::Now& now) {
  parents_.RecordContact(envelope.from(), 0, base::Duration(0), now.mono_);
  const bool stale = endpoints_.Digest() != envelope.registry_digest().digest();
  if (stale && envelope.from() == parents_.Active()) {
    outbox_.Add(options_.identity_.host_, envelope.from())
        .mutable_registry_digest()
        ->set_digest(endpoints_.Digest());
  }
}

void ProxyNode::SendLocalChanges() {
  if (local_.Version() == local_version_sent_) {
    return;
  }
  local_version_sent_ = local_.Version();
  for (const rpc::Endpoint& endpoint : local_.Entries()) {
    uint64_t& sent = sent_sequences_[endpoint.id()];
    if (sent == endpoint.sequence()) {
      continue;
    }
    sent = endpoint.sequence();
    if (endpoint.state() == rpc::ENDPOINT_STATE_GONE) {
      registry::LogEndpointChange(endpoints_.Copy(endpoint.id()), endpoint);
    }
    // Updates the own registry at once; relays inform the other daemons.
    endpoints_.Merge(endpoint, base::MonoTime());
    ++view_version_;
    for (const std::string& relay : parents_.Candidates()) {
      *outbox_.Add(options_.identity_.host_, relay).mutable_endpoint() =
          endpoint;
    }
  }
}

void ProxyNode::SendDepartures(const base::Now& now) {
  for (rpc::Departure& departure : local_.TakeDepartures()) {
    departures_.Add(std::move(departure), now);
  }
  departures_.Send(options_.identity_.host_, parents_.Candidates(), now,
                   outbox_);
}

DepartureHolders ProxyNode::HoldersOf(const std::string& instance) const {
  const std::vector<std::string>& relays = parents_.Candidates();
  return {departures_.StoredBy(instance, relays), relays.size()};
}

void ProxyNode::LearnDepartures(const rpc::Envelope& envelope,
                                const base::Now& now) {
  departures_from_.insert(envelope.from());
  first_departures_ = first_departures_.value_or(now.mono_);
  learned_departures_ += envelope.floor().departures_size();
  for (const rpc::Departure& departure : envelope.floor().departures()) {
    departures_.OnReported(envelope.from(), departure, now);
    const std::string address = local_.AddressOf(departure.instance());
    if (local_.Learn(departure)) {
      departed_endpoints_.push_back(local_.EndpointId(address));
    }
  }
}

std::vector<std::string> ProxyNode::TakeDepartedEndpoints() {
  return std::exchange(departed_endpoints_, {});
}

bool ProxyNode::DeparturesKnown(base::MonoTime now) {
  const std::vector<std::string>& relays = parents_.Candidates();
  const size_t reported = static_cast<size_t>(std::count_if(
      relays.begin(), relays.end(), [this](const std::string& relay) {
        return departures_from_.contains(relay);
      }));
  const bool others_late =
      first_departures_ && now - *first_departures_ >= kOtherRelaysDelay;
  const bool enough = reported == relays.size() ||
                      (others_late && reported >= MajorityOf(relays.size()));
  const bool no_majority =
      first_timer_ && now - *first_timer_ >= kNoMajorityDelay;
  const bool known = departures_known_ || enough || no_majority;
  if (known && !departures_known_) {
    LogDeparturesKnown(now);
  }
  departures_known_ = known;
  return known;
}

void ProxyNode::LogDeparturesKnown(base::MonoTime now) const {
  std::string relays;
  for (const std::string& relay : departures_from_) {
    relays += (relays.empty() ? "" : " ") + relay;
  }
  const base::Duration waited = now - first_timer_.value_or(now);
  base::LogEvent(
      base::EventId::kDeparturesKnown,
      {{"relays", relays},
       {"followed", std::to_string(parents_.Candidates().size())},
       {"learned", std::to_string(learned_departures_)},
       {"waited_ms", std::to_string(waited / std::chrono::milliseconds(1))}});
}

void ProxyNode::SendAllLocal(const std::string& relay) {
  for (const rpc::Endpoint& endpoint : local_.Entries()) {
    *outbox_.Add(options_.identity_.host_, relay).mutable_endpoint() = endpoint;
  }
}

}  // namespace buckthorngate::distribution
