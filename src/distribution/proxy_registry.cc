// A proxy: the endpoint registry that it mirrors from its active relay, and the
// announcements of its own endpoints.
#include "distribution/proxy_node.h"

namespace buckthorngate::distribution {

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
    // Updates the own registry at once; relays inform the other daemons.
    endpoints_.Merge(endpoint, base::MonoTime());
    ++view_version_;
    for (const std::string& relay : parents_.Candidates()) {
      *outbox_.Add(options_.identity_.host_, relay).mutable_endpoint() =
          endpoint;
    }
  }
}

void ProxyNode::SendAllLocal(const std::string& relay) {
  for (const rpc::Endpoint& endpoint : local_.Entries()) {
    *outbox_.Add(options_.identity_.host_, relay).mutable_endpoint() = endpoint;
  }
}

}  // namespace buckthorngate::distribution
