// Fuzz targets.
#include "fuzz_targets.h"

#include <algorithm>

#include "config/check.h"
#include "config/publication.h"
#include "config/service_file.h"
#include "daemon/serving/hop_codec.h"
#include "daemon/startup/settings.h"
#include "request/route_table.h"
#include "storage/file_journal.h"
#include "test_mesh.h"

namespace buckthorngate::fuzz {
namespace {

// Whatever a file holds: either problems, or a service that passes the checks
// for what a single file can get wrong.
bool ServiceFile(std::string_view input) {
  config::Problems problems;
  const rpc::Service service =
      config::ParseServiceFile(input, "fuzz.toml", problems);
  if (!problems.empty()) {
    return true;
  }
  return !service.name().empty() &&
         service.retry_percent() <= config::kMaxRetryPercent;
}

bool SettingsFile(std::string_view input) {
  config::Problems problems;
  const daemon::startup::Settings settings =
      daemon::startup::ParseSettings(input, "fuzz.toml", problems);
  return !problems.empty() ||
         daemon::startup::IsIpAddress(settings.control_address_);
}

// Decoding a prefix again gives the same records.
bool JournalFile(std::string_view input) {
  const auto decoded = storage::DecodeJournal(input);
  if (!decoded) {
    return true;
  }
  const auto again =
      storage::DecodeJournal(input.substr(0, decoded->valid_bytes_));
  return again && again->records_.size() == decoded->records_.size();
}

// Targets and hosts of requests, as headers bring them.
bool RequestTarget(std::string_view input) {
  static const auto table = [] {
    rpc::ServiceState state;
    *state.mutable_service() = tests::MakeService("a");
    return request::RouteTable::Build(
        {{"a", std::make_shared<const rpc::ServiceState>(state)}});
  }();
  const size_t middle = input.size() / 2;
  const request::RouteMatch match =
      table->Match(input.substr(0, middle), input.substr(middle), "GET");
  return match.route_ == nullptr || match.service_ != nullptr;
}

// Messages of a peer: a mesh that gets one keeps serving, in order.
bool PeerMessage(std::string_view input) {
  static tests::TestMesh* const mesh = [] {
    tests::TestMesh* made = new tests::TestMesh(1);
    made->AddSources(1);
    made->AddRelay("relay-1", "zone-1");
    made->AddProxy("proxy-1", "zone-1");
    made->AwaitLeader();
    made->Net().Run(std::chrono::seconds(3));
    made->Publish(tests::MakePublication(1, {tests::MakeService("a")}));
    made->Net().Run(std::chrono::seconds(1));
    return made;
  }();
  rpc::Envelope envelope;
  if (!envelope.ParseFromArray(input.data(), static_cast<int>(input.size()))) {
    return true;
  }
  const uint64_t before = mesh->Proxy("proxy-1").Config().Revision();
  const base::Now now = mesh->Net().Now();
  mesh->Source("source-1").OnMessage(envelope, now);
  mesh->Relay("relay-1").OnMessage(envelope, now);
  mesh->Proxy("proxy-1").OnMessage(envelope, now);
  mesh->Net().Run(std::chrono::milliseconds(20));
  return mesh->Proxy("proxy-1").Config().Revision() >= before;
}

// A head from a peer: its lines are names and values, split at the first colon.
bool PeerRequestHead(std::string_view input) {
  http::RequestHead head;
  while (!input.empty()) {
    const std::string_view line = input.substr(0, input.find('\n'));
    input.remove_prefix(std::min(input.size(), line.size() + 1));
    const size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      head.headers_.Add(std::string(line.substr(0, colon)),
                        std::string(line.substr(colon + 1)));
    }
  }
  const base::MonoTime now{std::chrono::hours(1)};
  const auto request = daemon::serving::DecodeHopRequest(head, now);
  return !request || (!request->endpoint_id_.empty() &&
                      request->deadline_ >= now && request->objective_ >= now);
}

std::vector<std::string> HeadSeeds() {
  return {
      "Bg-Attempt:a/1\nBg-Endpoint:h/1.2.3.4:5\nBg-Deadline-Ms:900\n"
      "Bg-Objective-Ms:400\nBg-Priority:2\nBg-Nested:1\nBg-Route:r\n"};
}

std::vector<std::string> ServiceSeeds() {
  return {
      "service = \"a\"\nversions = [\"v1\"]\nversion = \"v1\"\n"
      "[[route]]\nname = \"r\"\npath = \"/a\"\nmethods = [\"GET\"]\n"
      "timeout_ms = 5\nkey = \"digest\"\n[move]\nto = \"v2\"\n"
      "deadline = 2030-01-31T12:00:00Z\nunproven_share = 2.5\n"};
}

std::vector<std::string> SettingsSeeds() {
  return {
      "host = \"h\"\nzone = \"z\"\nroles = [\"proxy\"]\n"
      "[listen]\ncontrol = \"127.0.0.1:1\"\n[sources]\n"
      "s = \"127.0.0.1:1\"\n[relays]\n"
      "r = { address = \"127.0.0.1:1\", zone = \"z\" }\n"};
}

std::vector<std::string> JournalSeeds() {
  std::string bytes;
  for (uint64_t i = 1; i <= 3; ++i) {
    rpc::JournalRecord record;
    record.mutable_entry()->set_index(i);
    record.mutable_entry()->set_payload("payload");
    storage::EncodeRecord(record, storage::BatchPosition::kFirst, bytes);
  }
  return {bytes};
}

std::vector<std::string> TargetSeeds() {
  return {"shop.ge:80/a/b/c?d=e", "*//a//", "/a/%2e%2e/"};
}

std::vector<std::string> MessageSeeds() {
  std::vector<std::string> seeds;
  rpc::Envelope envelope;
  envelope.set_from("peer");
  envelope.mutable_raft()->set_type(rpc::RAFT_TYPE_APPEND);
  envelope.mutable_raft()->set_log_index(3);
  envelope.mutable_raft()->add_entries()->set_index(4);
  seeds.push_back(envelope.SerializeAsString());
  envelope.mutable_delta()->set_from_revision(1);
  envelope.mutable_delta()->set_to_revision(2);
  seeds.push_back(envelope.SerializeAsString());
  envelope.mutable_registry()->add_endpoints()->set_id("a/b");
  seeds.push_back(envelope.SerializeAsString());
  envelope.mutable_claim()->mutable_record()->set_key("k");
  seeds.push_back(envelope.SerializeAsString());
  envelope.mutable_evidence()->add_routes()->add_latency_buckets(1);
  seeds.push_back(envelope.SerializeAsString());
  return seeds;
}

}  // namespace

const std::vector<FuzzTarget>& FuzzTargets() {
  static const std::vector<FuzzTarget> targets = {
      {"service_file", ServiceFile, ServiceSeeds},
      {"settings_file", SettingsFile, SettingsSeeds},
      {"journal_file", JournalFile, JournalSeeds},
      {"request_target", RequestTarget, TargetSeeds},
      {"peer_message", PeerMessage, MessageSeeds},
      {"peer_request_head", PeerRequestHead, HeadSeeds},
  };
  return targets;
}

}  // namespace buckthorngate::fuzz
