// buckthorngated: the daemon's program.
#include <CLI/CLI.hpp>

#include <pthread.h>
#include <signal.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "base/events.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

namespace {

using buckthorngate::Describe;
using buckthorngate::ResultCode;

constexpr int kExitBadSettings = 2;
constexpr int kExitFailed = 1;
constexpr char kVersion[] = "buckthorngated 0.1.0";

// Blocks the signals that end the daemon, in all threads; Wait takes them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

bool LoadSettings(const std::string& file,
                  buckthorngate::daemon::Settings& settings) {
  buckthorngate::config::Problems problems;
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    problems.push_back({ResultCode::kFileUnreadable, file, 0, ""});
  } else {
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    settings = buckthorngate::daemon::ParseSettings(text, file, problems);
  }
  for (const buckthorngate::config::Problem& problem : problems) {
    std::cerr << Format(problem) << "\n";
  }
  return problems.empty();
}

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

  buckthorngate::daemon::Settings settings;
  if (!settings_file.empty() && !LoadSettings(settings_file, settings)) {
    return kExitBadSettings;
  }
  if (!data_folder.empty()) {
    settings.data_folder_ = data_folder;
  }
  if (settings.data_folder_.empty() && settings_file.empty()) {
    std::cerr << "Either --settings or --data is needed; see --help.\n";
    return kExitBadSettings;
  }
  buckthorngate::daemon::CompleteSettings(settings);
  if (check_only) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  const sigset_t signals = BlockStopSignals();
  buckthorngate::base::InitLogging(settings.log_format_);
  buckthorngate::daemon::Daemon daemon(settings);
  const ResultCode started = daemon.Start();
  if (started != ResultCode::kOk) {
    std::cerr << "The daemon cannot start: " << Describe(started).message_
              << "\n";
    // Threads that already run are ended with the process.
    std::quick_exit(kExitFailed);
  }
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  daemon.Stop();
  return 0;
}
