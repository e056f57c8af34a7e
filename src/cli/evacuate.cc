// evacuate start, end and status.
#include <google/protobuf/util/json_util.h>

#include <iostream>

#include "cli/commands.h"
#include "mesh.pb.h"

namespace buckthorngate::cli {
namespace {

int Order(const Options& options, bool start) {
  rpc::EvacuationOrder order;
  order.set_zone(options.evacuated_zone_);
  order.set_start(start);
  order.set_author(options.author_);
  const tl::expected<rpc::PublishReply, ResultCode> reply =
      options.Connect()->OrderEvacuation(order);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  const ResultCode code = ResultCodeFromNumber(reply->result_code());
  if (code != ResultCode::kOk) {
    ReportFailure(code);
    return kExitRefused;
  }
  std::cout << options.evacuated_zone_
            << (start ? ": the evacuation is ordered"
                      : ": the end of the evacuation is ordered")
            << ", revision " << reply->revision() << "\n";
  return kExitOk;
}

void PrintZone(const Options& options, const rpc::ZoneEvacuation& zone) {
  if (options.json_) {
    google::protobuf::util::JsonPrintOptions json;
    json.preserve_proto_field_names = true;
    json.always_print_primitive_fields = true;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(zone, &text, json);
    std::cout << text << "\n";
    return;
  }
  std::cout << zone.zone() << ": "
            << (zone.evacuated() ? "evacuated" : "in use") << "\n";
}

}  // namespace

int EvacuateStart(const Options& options) {
  return Order(options, true);
}

int EvacuateEnd(const Options& options) {
  return Order(options, false);
}

int EvacuateStatus(const Options& options) {
  rpc::QueryRequest request;
  request.set_kind(rpc::QueryRequest::EVACUATIONS);
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      options.Connect()->QueryLeader(request);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  rpc::ZoneEvacuation shown;
  shown.set_zone(options.evacuated_zone_);
  for (const rpc::ZoneEvacuation& zone : reply->evacuations()) {
    if (zone.zone() == options.evacuated_zone_) {
      shown = zone;
    }
  }
  PrintZone(options, shown);
  return kExitOk;
}

}  // namespace buckthorngate::cli
