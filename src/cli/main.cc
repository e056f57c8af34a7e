// buckthorngate: the operators' tool.
#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <string>

#include "cli/commands.h"

namespace {

using buckthorngate::cli::Options;

constexpr char kVersion[] = "buckthorngate 0.1.0";

CLI::App* AddCommand(CLI::App& app,
                     const std::string& name,
                     const std::string& text,
                     Options& options,
                     int& exit_code,
                     const std::function<int(const Options&)>& run) {
  CLI::App* const command = app.add_subcommand(name, text);
  command->fallthrough();
  command->callback([&options, &exit_code, run] { exit_code = run(options); });
  return command;
}

void AddPublishing(CLI::App& app, Options& options, int& exit_code) {
  namespace cli = buckthorngate::cli;
  CLI::App* const init =
      AddCommand(app, "init", "Write commented example files", options,
                 exit_code, cli::Init);
  init->add_option("DIR", options.folder_, "Folder to write to")->required();
  CLI::App* const check =
      AddCommand(app, "check", "Check service files offline", options,
                 exit_code, cli::Check);
  check->add_option("DIR", options.folder_, "Folder of files")->required();
  CLI::App* const publish = AddCommand(app, "publish", "Publish service files",
                                       options, exit_code, cli::Publish);
  publish->add_option("DIR", options.folder_, "Folder of files")->required();
  publish
      ->add_option("--number", options.number_,
                   "Number of the publication; higher than all before")
      ->required();
  publish->add_flag("--wait", options.wait_,
                    "Wait until it is in force everywhere");
  publish->add_option("--lift", options.lifted_,
                      "End the quarantine of this fingerprint");
  CLI::App* const diff =
      AddCommand(app, "diff", "Compare files with what is in force", options,
                 exit_code, cli::Diff);
  diff->add_option("DIR", options.folder_, "Folder of files")->required();
}

void AddQueries(CLI::App& app, Options& options, int& exit_code) {
  namespace cli = buckthorngate::cli;
  AddCommand(app, "status", "Show the sources and zones", options, exit_code,
             cli::Status);
  CLI::App* const config = app.add_subcommand("config", "Configuration");
  config->fallthrough();
  config->require_subcommand(1);
  CLI::App* const show =
      AddCommand(*config, "show", "Show the configuration in force", options,
                 exit_code, cli::ConfigShow);
  show->add_option("--revision", options.revision_, "Revision to show");
  AddCommand(app, "endpoints", "List the endpoints", options, exit_code,
             cli::Endpoints);
  CLI::App* const moves = AddCommand(app, "moves", "Show the moves", options,
                                     exit_code, cli::Moves);
  moves->add_flag("--watch", options.watch_, "Follow until all have ended");
  CLI::App* const audit = AddCommand(app, "audit", "Show the audit trail",
                                     options, exit_code, cli::Audit);
  audit->add_option("--limit", options.limit_, "Most records");
  AddCommand(app, "quarantine", "List requests that crash upstreams", options,
             exit_code, cli::Quarantine);
}

void AddMembers(CLI::App& app, Options& options, int& exit_code) {
  namespace cli = buckthorngate::cli;
  CLI::App* const members = app.add_subcommand("members", "The sources");
  members->fallthrough();
  members->require_subcommand(1);
  AddCommand(*members, "list", "List the sources", options, exit_code,
             cli::MembersList);
  CLI::App* const add = AddCommand(*members, "add", "Add a source", options,
                                   exit_code, cli::MembersAdd);
  add->add_option("ID", options.member_id_, "New identity")->required();
  add->add_option("ADDRESS", options.member_address_, "IP:port")->required();
  CLI::App* const remove = AddCommand(*members, "remove", "Remove a source",
                                      options, exit_code, cli::MembersRemove);
  remove->add_option("ID", options.member_id_, "Identity")->required();
}

void AddEvacuation(CLI::App& app, Options& options, int& exit_code) {
  namespace cli = buckthorngate::cli;
  CLI::App* const evacuate =
      app.add_subcommand("evacuate", "Take an availability zone out of use");
  evacuate->fallthrough();
  evacuate->require_subcommand(1);
  evacuate->add_option("ZONE", options.evacuated_zone_, "Availability zone")
      ->required();
  AddCommand(*evacuate, "start", "Its endpoints get no more requests", options,
             exit_code, cli::EvacuateStart);
  AddCommand(*evacuate, "end", "Its endpoints get requests again", options,
             exit_code, cli::EvacuateEnd);
  AddCommand(*evacuate, "status", "Show whether it is evacuated", options,
             exit_code, cli::EvacuateStatus);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Publishes configuration to buckthorngate and shows its state."};
  Options options;
  const char* const user = std::getenv("USER");
  options.author_ = user != nullptr ? user : "operator";
  int exit_code = 0;
  app.set_version_flag("--version", kVersion);
  app.add_option("--server", options.servers_,
                 "Daemons' control addresses, tried in turn")
      ->delimiter(',');
  app.add_flag("--json", options.json_, "Print data as JSON");
  app.add_option("--timeout", options.timeout_s_, "Seconds to wait");
  app.add_option("--author", options.author_,
                 "Name for the audit trail; TLS certificates go before it");
  app.add_option("--tls-ca", options.tls_.ca_file_, "CA certificate");
  app.add_option("--tls-cert", options.tls_.cert_file_, "Certificate");
  app.add_option("--tls-key", options.tls_.key_file_, "Key");
  app.add_option("--tls-server-name", options.tls_.server_name_,
                 "Name in the servers' certificates");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done, 1 refused, 2 bad input, 3 no answer in time,\n"
      "4 moves: one was taken back.\n"
      "Examples:\n"
      "  buckthorngate check services/\n"
      "  buckthorngate publish services/ --number 42 --wait\n"
      "  buckthorngate moves --watch --server 10.0.0.1:7400,10.0.0.2:7400");
  AddPublishing(app, options, exit_code);
  AddQueries(app, options, exit_code);
  AddMembers(app, options, exit_code);
  AddEvacuation(app, options, exit_code);
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
