// The daemon as a program.
#include "daemon/program.h"

#include <pthread.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "base/events.h"
#include "daemon/daemon.h"

namespace buckthorngate::daemon {
namespace {

// Blocks the signals that the program waits for, in all threads.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// The settings that matter while a daemon runs are learned from the mesh;
// reading them again tells an operator whether the file is still valid.
void Reload(const std::string& file) {
  Settings settings;
  const bool valid = !file.empty() && LoadSettings(file, settings);
  std::string seeds;
  for (const std::string& seed : settings.seeds_) {
    seeds += (seeds.empty() ? "" : ",") + seed;
  }
  base::LogEvent(
      base::EventId::kSettingsReloaded,
      {{"file", file}, {"valid", valid ? "true" : "false"}, {"seeds", seeds}});
}

int Fail(ResultCode code) {
  std::cerr << "The daemon cannot start: " << Describe(code).message_ << "\n";
  // Threads that already run are ended with the process.
  std::quick_exit(kExitFailed);
}

}  // namespace

bool LoadSettings(const std::string& file, Settings& settings) {
  config::Problems problems;
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    problems.push_back({ResultCode::kFileUnreadable, file, 0, ""});
  } else {
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    settings = ParseSettings(text, file, problems);
  }
  for (const config::Problem& problem : problems) {
    std::cerr << Format(problem) << "\n";
  }
  return problems.empty();
}

int RunProgram(Program program) {
  const sigset_t signals = BlockSignals();
  base::InitLogging(program.settings_.log_format_);
  Daemon daemon(program.settings_, program.dialect_);
  const ResultCode started = daemon.Start();
  if (started != ResultCode::kOk) {
    return Fail(started);
  }
  std::unique_ptr<Adapter> adapter;
  if (program.make_adapter_) {
    adapter = program.make_adapter_(program.settings_, daemon.Api());
    const ResultCode adapted = adapter->Start();
    if (adapted != ResultCode::kOk) {
      return Fail(adapted);
    }
  }
  int signal_number = 0;
  while (sigwait(&signals, &signal_number) == 0 && signal_number == SIGHUP) {
    Reload(program.settings_file_);
  }
  daemon.Drain();
  base::LogEvent(base::EventId::kStopped, {{"host", program.settings_.host_}});
  base::StopLogging();
  // What must last is synced and no request is left: ending here closes idle
  // connections without waiting for each server's threads.
  std::quick_exit(0);
}

}  // namespace buckthorngate::daemon
