// buckthorngated: command line of the daemon.
#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <utility>

#include "daemon/startup/program.h"

namespace {

constexpr char kVersion[] = "buckthorngated 0.1.0";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"The daemon of buckthorngate."};
  std::string settings_file;
  std::string data_folder;
  bool check_only = false;
  app.add_option("--settings", settings_file, "Settings file (TOML)");
  app.add_option("--data", data_folder,
                 "Data folder; alone, it starts the embedded default with all "
                 "roles on 127.0.0.1:7400-7403");
  app.add_flag("--check", check_only, "Check the settings and exit");
  app.set_version_flag("--version", kVersion);
  app.footer(
      "Examples:\n  buckthorngated --data /var/lib/buckthorngate\n"
      "  buckthorngated --settings /etc/buckthorngate.toml");
  CLI11_PARSE(app, argc, argv);

  buckthorngate::daemon::startup::Program program;
  buckthorngate::daemon::startup::Settings& settings = program.settings_;
  program.settings_file_ = settings_file;
  if (!settings_file.empty() &&
      !buckthorngate::daemon::startup::LoadSettings(settings_file, settings)) {
    return buckthorngate::daemon::startup::kExitBadSettings;
  }
  if (!data_folder.empty()) {
    settings.data_folder_ = data_folder;
  }
  if (settings.data_folder_.empty() && settings_file.empty()) {
    std::cerr << "Either --settings or --data is needed; see --help.\n";
    return buckthorngate::daemon::startup::kExitBadSettings;
  }
  buckthorngate::daemon::startup::CompleteSettings(settings);
  if (check_only) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  return buckthorngate::daemon::startup::RunProgram(std::move(program));
}
