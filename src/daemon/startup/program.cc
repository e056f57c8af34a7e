// Startup, signal handling and shutdown of a daemon process.
#include "daemon/startup/program.h"

#include <pthread.h>
#include <signal.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "base/events.h"
#include "base/exception_text.h"
#include "daemon/startup/daemon.h"

namespace buckthorngate::daemon::startup {
namespace {

// Blocks the signals that RunProgram waits for, in this thread and all threads
// that it will start.
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

// Keys of the host's identity in which the two settings differ. A daemon keeps
// the identity that it had at its start.
std::string ChangedIdentity(const Settings& running, const Settings& read) {
  std::string keys;
  const auto compare = [&keys](const char* key, const std::string& a,
                               const std::string& b) {
    if (a != b) {
      keys += (keys.empty() ? "" : ",") + std::string(key);
    }
  };
  compare("host", running.host_, read.host_);
  compare("zone", running.zone_, read.zone_);
  compare("service", running.service_, read.service_);
  compare("upstream", running.upstream_address_, read.upstream_address_);
  return keys;
}

// Validates the settings file again and logs the result. Nothing is applied:
// settings that can change at run time are distributed by the mesh.
void RecheckSettings(const Settings& running, const std::string& file) {
  Settings settings;
  const bool valid = !file.empty() && LoadSettings(file, settings);
  std::string seeds;
  for (const std::string& seed : settings.seeds_) {
    seeds += (seeds.empty() ? "" : ",") + seed;
  }
  base::LogEvent(
      base::EventId::kSettingsReloaded,
      {{"file", file}, {"valid", valid ? "true" : "false"}, {"seeds", seeds}});
  const std::string changed = valid ? ChangedIdentity(running, settings) : "";
  if (!changed.empty()) {
    base::LogEvent(base::EventId::kRestartNeeded,
                   {{"file", file}, {"keys", changed}});
  }
}

// Tells what ends the process before it is ended.
[[noreturn]] void OnTerminate() {
  base::WriteEventNow(base::EventId::kTerminated,
                      {{"what", base::TextOf(std::current_exception())}});
  std::abort();
}

int ExitOnStartFailure(ResultCode code) {
  std::cerr << "The daemon cannot start: " << Describe(code).message_ << "\n";
  // Threads that are already running end with the process.
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
  std::set_terminate(OnTerminate);
  Daemon daemon(program.settings_, program.dialect_);
  const ResultCode started = daemon.Start();
  if (started != ResultCode::kOk) {
    return ExitOnStartFailure(started);
  }
  std::unique_ptr<control::Adapter> adapter;
  if (program.make_adapter_) {
    adapter = program.make_adapter_(program.settings_, daemon.Api());
    const ResultCode adapted = adapter->Start();
    if (adapted != ResultCode::kOk) {
      return ExitOnStartFailure(adapted);
    }
  }
  int signal_number = 0;
  while (sigwait(&signals, &signal_number) == 0 && signal_number == SIGHUP) {
    RecheckSettings(program.settings_, program.settings_file_);
  }
  daemon.Drain();
  base::LogEvent(base::EventId::kStopped, {{"host", program.settings_.host_}});
  base::StopLogging();
  // Persistent state is synced and no request is in flight: exiting here closes
  // idle connections without waiting for the threads of each server.
  std::quick_exit(0);
}

}  // namespace buckthorngate::daemon::startup
