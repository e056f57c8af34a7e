// Events and fields of log lines about endpoint entries.
#include "registry/endpoint_log.h"

#include <string>
#include <string_view>

namespace buckthorngate::registry {
namespace {

using base::EventId;

std::string_view NameOf(rpc::EndpointCause cause) {
  switch (cause) {
    case rpc::ENDPOINT_CAUSE_UPSTREAM_SILENT:
      return "upstream-silent";
    case rpc::ENDPOINT_CAUSE_HOST_SILENT:
      return "host-silent";
    case rpc::ENDPOINT_CAUSE_DEREGISTERED:
      return "deregistered";
    case rpc::ENDPOINT_CAUSE_DAEMON_STOPPED:
      return "daemon-stopped";
    case rpc::ENDPOINT_CAUSE_CRASHED:
      return "crashed";
    case rpc::ENDPOINT_CAUSE_REPLACED:
      return "replaced";
    default:
      return "";
  }
}

EventId EventOfCrashed(rpc::EndpointCause cause) {
  return cause == rpc::ENDPOINT_CAUSE_REPLACED ? EventId::kEndpointReplaced
                                               : EventId::kEndpointCrashed;
}

EventId EventOfGone(rpc::EndpointCause cause) {
  switch (cause) {
    case rpc::ENDPOINT_CAUSE_DEREGISTERED:
      return EventId::kEndpointDeregistered;
    case rpc::ENDPOINT_CAUSE_DAEMON_STOPPED:
      return EventId::kEndpointWithdrawn;
    default:
      return EventId::kEndpointExpired;
  }
}

std::string_view NameOf(rpc::EndpointState state) {
  switch (state) {
    case rpc::ENDPOINT_STATE_READY:
      return "ready";
    case rpc::ENDPOINT_STATE_DRAINING:
      return "draining";
    case rpc::ENDPOINT_STATE_CRASHED:
      return "crashed";
    case rpc::ENDPOINT_STATE_GONE:
      return "gone";
    default:
      return "unknown";
  }
}

}  // namespace

EventId EventOf(const rpc::Endpoint& endpoint) {
  switch (endpoint.state()) {
    case rpc::ENDPOINT_STATE_DRAINING:
      return EventId::kEndpointDraining;
    case rpc::ENDPOINT_STATE_CRASHED:
      return EventOfCrashed(endpoint.cause());
    case rpc::ENDPOINT_STATE_GONE:
      return EventOfGone(endpoint.cause());
    default:
      return EventId::kEndpointReady;
  }
}

void LogEndpointChange(const std::optional<rpc::Endpoint>& before,
                       const rpc::Endpoint& endpoint,
                       const std::string& via) {
  base::LogEvent(
      EventOf(endpoint),
      {{"endpoint", endpoint.id()},
       {"service", endpoint.service()},
       {"version", endpoint.version()},
       {"cause", std::string(NameOf(endpoint.cause()))},
       {"before", before ? std::string(NameOf(before->state())) : "unknown"},
       {"incarnation", std::to_string(endpoint.incarnation())},
       {"sequence", std::to_string(endpoint.sequence())},
       {"via", via}});
}

}  // namespace buckthorngate::registry
