// status, config show, endpoints, audit, quarantine and members list.
#include <google/protobuf/util/json_util.h>

#include <iomanip>
#include <iostream>
#include <string>

#include "base/time.h"
#include "cli/commands.h"
#include "mesh.pb.h"

namespace buckthorngate::cli {
namespace {

constexpr int64_t kStaleMs = 2000;

std::string FormatTime(int64_t unix_ms) {
  const time_t seconds = static_cast<time_t>(unix_ms / 1000);
  tm parts = {};
  gmtime_r(&seconds, &parts);
  char text[32] = {};
  strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

bool PrintJson(const Options& options,
               const google::protobuf::Message& message) {
  if (!options.json_) {
    return false;
  }
  google::protobuf::util::JsonPrintOptions json;
  json.preserve_proto_field_names = true;
  json.always_print_primitive_fields = true;
  std::string text;
  (void)google::protobuf::util::MessageToJsonString(message, &text, json);
  std::cout << text << "\n";
  return true;
}

tl::expected<rpc::QueryReply, ResultCode> Ask(const Options& options,
                                              rpc::QueryRequest::Kind kind,
                                              bool leader) {
  rpc::QueryRequest request;
  request.set_kind(kind);
  request.set_revision(options.revision_);
  request.set_limit(options.limit_);
  const std::unique_ptr<ControlClient> client = options.Connect();
  return leader ? client->QueryLeader(request) : client->Query(request);
}

void PrintAge(const rpc::QueryReply& reply) {
  if (reply.contact_age_ms() > kStaleMs) {
    std::cout << "warning: this source last agreed with a majority "
              << reply.contact_age_ms() << " ms ago\n";
  }
}

const char* StateName(rpc::EndpointState state) {
  switch (state) {
    case rpc::ENDPOINT_STATE_READY:
      return "ready";
    case rpc::ENDPOINT_STATE_DRAINING:
      return "draining";
    case rpc::ENDPOINT_STATE_CRASHED:
      return "crashed";
    default:
      return "gone";
  }
}

// State of an entry of the quarantine list.
const char* StateOf(const rpc::QuarantineEntry& entry) {
  if (entry.answered()) {
    return "answered";
  }
  return entry.quarantined() ? "quarantined" : "suspect";
}

}  // namespace

int Status(const Options& options) {
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      Ask(options, rpc::QueryRequest::STATUS, /*leader=*/true);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (PrintJson(options, *reply)) {
    return kExitOk;
  }
  std::cout << "node " << reply->node() << ", leader "
            << (reply->leader().empty() ? "none" : reply->leader()) << ", term "
            << reply->term() << ", revision " << reply->revision() << ", age "
            << reply->contact_age_ms() << " ms\n";
  PrintAge(*reply);
  for (const rpc::ZoneAck& zone : reply->zones()) {
    std::cout << "zone " << zone.zone() << ": " << zone.proxies()
              << " proxies, lowest revision " << zone.min_revision()
              << ", refusing " << zone.refused() << "\n";
  }
  return kExitOk;
}

int ConfigShow(const Options& options) {
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      Ask(options, rpc::QueryRequest::CONFIG, /*leader=*/false);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (options.revision_ != 0 && reply->revision() != options.revision_) {
    std::cerr << "Revision " << reply->revision()
              << " is in force; only this one is kept.\n";
    return kExitRefused;
  }
  if (PrintJson(options, reply->config())) {
    return kExitOk;
  }
  std::cout << "revision " << reply->config().revision() << ", "
            << reply->config().services_size() << " services\n";
  PrintAge(*reply);
  std::cout << reply->config().DebugString();
  return kExitOk;
}

int Endpoints(const Options& options) {
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      Ask(options, rpc::QueryRequest::ENDPOINTS, /*leader=*/false);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (PrintJson(options, *reply)) {
    return kExitOk;
  }
  for (const rpc::Endpoint& endpoint : reply->endpoints()) {
    std::cout << endpoint.service() << " " << endpoint.version() << " "
              << endpoint.zone() << " " << endpoint.id() << " "
              << StateName(endpoint.state()) << " slots " << endpoint.slots()
              << "\n";
  }
  return kExitOk;
}

int Audit(const Options& options) {
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      Ask(options, rpc::QueryRequest::AUDIT, /*leader=*/true);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (PrintJson(options, *reply)) {
    return kExitOk;
  }
  PrintAge(*reply);
  for (const rpc::AuditRecord& record : reply->audit()) {
    std::cout << record.index() << " " << FormatTime(record.at_ms()) << " "
              << record.author() << " " << record.action();
    if (record.number() != 0) {
      std::cout << " number " << record.number() << " digest " << std::hex
                << record.digest() << std::dec;
    }
    std::cout << " "
              << Describe(ResultCodeFromNumber(record.result_code())).name_
              << " " << record.detail() << "\n";
  }
  return kExitOk;
}

int Quarantine(const Options& options) {
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      Ask(options, rpc::QueryRequest::QUARANTINE, /*leader=*/false);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (PrintJson(options, *reply)) {
    return kExitOk;
  }
  for (const rpc::QuarantineEntry& entry : reply->quarantine()) {
    std::cout << entry.fingerprint() << " crashes " << entry.crashes() << " "
              << StateOf(entry) << " until " << FormatTime(entry.expires_ms())
              << "\n";
  }
  return kExitOk;
}

int MembersList(const Options& options) {
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      Ask(options, rpc::QueryRequest::MEMBERS, /*leader=*/true);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (PrintJson(options, reply->membership())) {
    return kExitOk;
  }
  for (const rpc::Member& member : reply->membership().members()) {
    std::cout << member.id() << " " << member.address() << " "
              << (member.learner() ? "learner" : "voter")
              << (member.id() == reply->leader() ? " leader" : "") << "\n";
  }
  return kExitOk;
}

}  // namespace buckthorngate::cli
