// check, publish and diff.
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>

#include <iostream>
#include <map>
#include <optional>
#include <thread>

#include "base/time.h"
#include "cli/commands.h"
#include "config/check.h"
#include "config/service_file.h"
#include "mesh.pb.h"

namespace buckthorngate::cli {
namespace {

constexpr std::chrono::milliseconds kProgressInterval{100};

void Print(const config::Problems& problems) {
  for (const config::Problem& problem : problems) {
    std::cerr << config::Format(problem) << "\n";
  }
}

// Loads and checks the folder; prints what is wrong.
std::optional<std::vector<rpc::Service>> Load(const std::string& folder,
                                              bool check_deadlines) {
  config::Problems problems;
  config::LoadedServices loaded = config::LoadServiceFolder(folder, problems);
  if (problems.empty()) {
    problems = config::CheckServices(loaded.services_);
    if (check_deadlines) {
      config::CheckDeadlines(loaded.services_, base::SystemClock().Read().wall_,
                             problems);
    }
    // Whole-publication checks name the service; operators know its file.
    for (config::Problem& problem : problems) {
      for (size_t i = 0; i < loaded.services_.size(); ++i) {
        if (loaded.services_[i].name() == problem.file_) {
          problem.file_ = loaded.files_[i];
          break;
        }
      }
    }
  }
  if (!problems.empty()) {
    Print(problems);
    return std::nullopt;
  }
  return std::move(loaded.services_);
}

rpc::Publication MakePublication(const Options& options,
                                 const std::vector<rpc::Service>& services) {
  rpc::Publication publication;
  publication.set_author(options.author_);
  publication.set_number(options.number_);
  publication.set_digest(config::PublicationDigest(services, options.lifted_));
  for (const rpc::Service& service : services) {
    *publication.add_services() = service;
  }
  for (const std::string& fingerprint : options.lifted_) {
    publication.add_lift_fingerprints(fingerprint);
  }
  return publication;
}

bool InForce(const rpc::QueryReply& status, uint64_t revision) {
  for (const rpc::ZoneAck& zone : status.zones()) {
    if (zone.proxies() > 0 && zone.min_revision() < revision) {
      return false;
    }
  }
  return status.revision() >= revision && status.zones_size() > 0;
}

std::string Progress(const rpc::QueryReply& status, uint64_t revision) {
  std::string text;
  for (const rpc::ZoneAck& zone : status.zones()) {
    const bool there = zone.min_revision() >= revision;
    text += "  " + zone.zone() + ": " +
            (there ? "in force at " : "waiting for ") +
            std::to_string(zone.proxies()) + " proxies\n";
  }
  return text;
}

int WaitInForce(const Options& options, uint64_t revision) {
  const std::unique_ptr<ControlClient> client = options.Connect();
  const std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  std::string shown;
  while (std::chrono::steady_clock::now() - begin < options.Timeout()) {
    rpc::QueryRequest request;
    request.set_kind(rpc::QueryRequest::STATUS);
    const tl::expected<rpc::QueryReply, ResultCode> status =
        client->QueryLeader(request);
    if (status) {
      const std::string progress = Progress(*status, revision);
      if (progress != shown && !options.json_) {
        std::cerr << progress;
        shown = progress;
      }
      if (InForce(*status, revision)) {
        const double seconds = std::chrono::duration<double>(
                                   std::chrono::steady_clock::now() - begin)
                                   .count();
        if (options.json_) {
          std::cout << "{\"revision\":" << revision
                    << ",\"in_force\":true,\"seconds\":" << seconds << "}\n";
        } else {
          std::cout << "Revision " << revision << " is in force everywhere.\n";
        }
        return kExitOk;
      }
    }
    std::this_thread::sleep_for(kProgressInterval);
  }
  std::cerr << "Accepted, but not yet in force everywhere.\n";
  return kExitUnreached;
}

}  // namespace

int ReportFailure(ResultCode code) {
  const ResultCodeInfo& info = Describe(code);
  std::cerr << static_cast<int>(code) << " " << info.name_ << ": "
            << info.message_ << "\n";
  return kExitUnreached;
}

int Check(const Options& options) {
  const std::optional<std::vector<rpc::Service>> services =
      Load(options.folder_, /*check_deadlines=*/true);
  if (!services) {
    return kExitBadInput;
  }
  std::cout << services->size() << " services are valid.\n";
  return kExitOk;
}

int Publish(const Options& options) {
  // Deadlines are judged by the sources: a move that is done keeps its own.
  const std::optional<std::vector<rpc::Service>> services =
      Load(options.folder_, /*check_deadlines=*/false);
  if (!services) {
    return kExitBadInput;
  }
  const std::unique_ptr<ControlClient> client = options.Connect();
  const tl::expected<rpc::PublishReply, ResultCode> reply =
      client->Publish(MakePublication(options, *services));
  if (!reply) {
    return ReportFailure(reply.error());
  }
  const ResultCode code = ResultCodeFromNumber(reply->result_code());
  if (code != ResultCode::kOk) {
    std::cerr << reply->result_code() << " " << Describe(code).name_ << ": "
              << reply->message() << "\n";
    return kExitRefused;
  }
  if (options.wait_) {
    return WaitInForce(options, reply->revision());
  }
  if (options.json_) {
    std::cout << "{\"revision\":" << reply->revision() << "}\n";
  } else {
    std::cout << "Publication " << options.number_
              << " is accepted as revision " << reply->revision() << ".\n";
  }
  return kExitOk;
}

int Diff(const Options& options) {
  const std::optional<std::vector<rpc::Service>> services =
      Load(options.folder_, /*check_deadlines=*/false);
  if (!services) {
    return kExitBadInput;
  }
  rpc::QueryRequest request;
  request.set_kind(rpc::QueryRequest::CONFIG);
  const tl::expected<rpc::QueryReply, ResultCode> reply =
      options.Connect()->Query(request);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  std::map<std::string, rpc::Service> current;
  for (const rpc::ServiceState& state : reply->config().services()) {
    current[state.service().name()] = state.service();
  }
  for (const rpc::Service& service : *services) {
    const auto found = current.find(service.name());
    if (found == current.end()) {
      std::cout << "+ " << service.name() << "\n";
      continue;
    }
    std::string report;
    google::protobuf::util::MessageDifferencer differencer;
    differencer.ReportDifferencesToString(&report);
    if (!differencer.Compare(found->second, service)) {
      std::cout << "~ " << service.name() << "\n" << report;
    }
    current.erase(found);
  }
  for (const auto& [name, service] : current) {
    std::cout << "- " << name << "\n";
  }
  return kExitOk;
}

}  // namespace buckthorngate::cli
