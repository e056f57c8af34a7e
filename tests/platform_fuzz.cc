// Fuzz targets for the documents of the platform.
#include "platform_fuzz.h"

#include "platform/documents.h"

namespace buckthorngate::tests {
namespace {

// What is taken from an operator names its routes and their targets.
bool OperatorDocument(std::string_view input) {
  const auto order = platform::DecodeOrder(input);
  if (order && (order->service().empty() || order->to().empty())) {
    return false;
  }
  const auto routing = platform::DecodeConfiguration(input);
  if (!routing) {
    return !routing.error().place_.empty();
  }
  for (const rpc::Route& route : routing->routes()) {
    if (route.targets_size() == 0 || route.timeout_ms() == 0) {
      return false;
    }
  }
  return routing->document() == input;
}

// A heartbeat that is taken names an endpoint that can be used.
bool UpstreamHeartbeat(std::string_view input) {
  const auto heartbeat = platform::DecodeHeartbeat(input, "i-1");
  return !heartbeat || (!heartbeat->service_.empty() && heartbeat->slots_ > 0);
}

std::vector<std::string> OperatorSeeds() {
  return {
      R"({"version":7,"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15.5},)"
      R"("listeners":[{"host":"h","rules":[{"name":"r",)"
      R"("route_type":"unsafe","target_latency_s":0.5,"priority":1,)"
      R"("match":{"path_prefix":"/a/"},"action":{"traffic_split":[)"
      R"({"service":"x","weight":90},{"service":"y","weight":10}],)"
      R"("timeout_s":1.2,"max_attempts":2}}]}],"clusters":[{"name":"x"},)"
      R"({"name":"y"}]})",
      R"({"service":"x","target_version":"v2","duration_s":12})"};
}

std::vector<std::string> HeartbeatSeeds() {
  return {R"({"service":"x","address":"10.0.0.9:8080","zone":"z",)"
          R"("version":"v1","slots":18,"state":"ready","cold_remaining_s":0,)"
          R"("sequence":4,"born":1700000000000})"};
}

}  // namespace

std::vector<fuzz::FuzzTarget> PlatformFuzzTargets() {
  return {{"operator_document", OperatorDocument, OperatorSeeds},
          {"upstream_heartbeat", UpstreamHeartbeat, HeartbeatSeeds}};
}

}  // namespace buckthorngate::tests
