// Test harness that runs real daemons as child processes.
#include "process_harness.h"

#include <fcntl.h>
#include <httplib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

#include "loopback.h"

namespace buckthorngate::tests {
namespace {

constexpr char kDaemon[] = BUCKTHORNGATE_BIN "/src/buckthorngated";
constexpr char kTool[] = BUCKTHORNGATE_BIN "/src/buckthorngate";
constexpr char kUpstream[] = BUCKTHORNGATE_BIN "/tools/stand_in_upstream";
constexpr std::chrono::milliseconds kPollInterval{50};

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

std::string HttpAnswer::Header(const std::string& name) const {
  const auto found = headers_.find(name);
  return found == headers_.end() ? "" : found->second;
}

ProcessMesh::ProcessMesh(int zones, int proxies) : zones_(zones) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mesh-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  for (int zone = 1; zone <= zones; ++zone) {
    hosts_.push_back("control-" + std::to_string(zone));
    for (int i = 1; i <= proxies; ++i) {
      proxies_.push_back("proxy-" + std::to_string(zone) + "-" +
                         std::to_string(i));
      hosts_.push_back(proxies_.back());
    }
  }
  for (const std::string& host : hosts_) {
    ports_[host] = {ReserveFreePort(), ReserveFreePort(), ReserveFreePort(),
                    ReserveFreePort()};
  }
  for (const std::string& host : hosts_) {
    WriteSettings(host);
  }
}

ProcessMesh::~ProcessMesh() {
  for (const auto& [name, pid] : processes_) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  for (const int file : reserved_) {
    close(file);
  }
  std::filesystem::remove_all(folder_);
}

void ProcessMesh::SetHttpThreads(int threads) {
  http_threads_ = threads;
  for (const std::string& host : hosts_) {
    WriteSettings(host);
  }
}

void ProcessMesh::SetDrainTime(std::chrono::milliseconds time) {
  drain_time_ = time;
  for (const std::string& host : hosts_) {
    WriteSettings(host);
  }
}

int ProcessMesh::ReserveFreePort() {
  int port = 0;
  reserved_.push_back(ReservePort(port));
  return port;
}

void ProcessMesh::WriteSettings(const std::string& host) {
  const HostPorts& own = ports_[host];
  const bool control = host.starts_with("control");
  const size_t dash = host.find('-');
  const std::string zone =
      host.substr(dash + 1, host.find('-', dash + 1) - dash - 1);
  std::ofstream file(folder_ + "/" + host + ".toml");
  file << "host = \"" << host << "\"\nzone = \"zone-" << zone << "\"\n";
  if (control) {
    file << "roles = [\"source\", \"relay\"]\n"
         << "data_folder = \"" << folder_ << "/" << host << "\"\n"
         << "source_id = \"source-" << zone << "\"\n"
         << "relay_id = \"relay-" << zone << "\"\n";
  } else {
    file << "roles = [\"proxy\"]\n";
  }
  file << "[listen]\ncontrol = \"" << Address(own.control_)
       << "\"\ncallers = \"" << Address(own.callers_) << "\"\npeers = \""
       << Address(own.peers_) << "\"\nadmin = \"" << Address(own.admin_)
       << "\"\n[sources]\n";
  for (int i = 1; i <= zones_; ++i) {
    file << "source-" << i << " = \""
         << Address(ports_["control-" + std::to_string(i)].control_) << "\"\n";
  }
  file << "[relays]\n";
  for (int i = 1; i <= zones_; ++i) {
    file << "relay-" << i << " = { address = \""
         << Address(ports_["control-" + std::to_string(i)].control_)
         << "\", zone = \"zone-" << i << "\" }\n";
  }
  file << "[limits]\nhttp_threads = " << http_threads_
       << "\ndrain_time_ms = " << drain_time_.count() << "\n";
}

pid_t ProcessMesh::Spawn(const std::string& name,
                         const std::vector<std::string>& command) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + name + ".log";
  const int flags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), flags, 0644);
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), flags, 0644);
  pid_t pid = 0;
  if (posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(),
                  environ) != 0) {
    std::abort();
  }
  posix_spawn_file_actions_destroy(&actions);
  processes_[name] = pid;
  return pid;
}

std::vector<std::string> ProcessMesh::LogLines(
    const std::string& host,
    const std::vector<std::string>& texts) const {
  std::ifstream stream(folder_ + "/" + host + ".log");
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(stream, line)) {
    const bool all = std::all_of(texts.begin(), texts.end(),
                                 [&line](const std::string& text) {
                                   return line.find(text) != std::string::npos;
                                 });
    if (all) {
      lines.push_back(line);
    }
  }
  return lines;
}

void ProcessMesh::StartAll() {
  for (const std::string& host : hosts_) {
    Start(host);
  }
}

void ProcessMesh::Start(const std::string& host) {
  Spawn(host, {kDaemon, "--settings", folder_ + "/" + host + ".toml"});
}

void ProcessMesh::Signal(const std::string& host, int signal) {
  kill(processes_.at(host), signal);
}

void ProcessMesh::Freeze(const std::string& host) {
  Signal(host, SIGSTOP);
  int status = 0;
  waitpid(processes_.at(host), &status, WUNTRACED);
}

void ProcessMesh::Wait(const std::string& host) {
  waitpid(processes_.at(host), nullptr, 0);
  processes_.erase(host);
}

void ProcessMesh::Kill(const std::string& host) {
  Signal(host, SIGKILL);
  Wait(host);
}

std::string ProcessMesh::StartUpstream(
    const std::string& host,
    const std::string& service,
    const std::string& version,
    const std::vector<std::string>& options) {
  std::string name = "upstream-" + std::to_string(next_upstream_++);
  std::vector<std::string> command = {
      kUpstream,   "--admin", Address(ports_.at(host).admin_),
      "--service", service,   "--service-version",
      version};
  command.insert(command.end(), options.begin(), options.end());
  Spawn(name, command);
  return name;
}

int ProcessMesh::Tool(const std::vector<std::string>& arguments,
                      std::string* output) {
  std::string servers;
  for (int i = 1; i <= zones_; ++i) {
    servers += (i == 1 ? "" : ",") +
               Address(ports_["control-" + std::to_string(i)].control_);
  }
  std::vector<std::string> command = {kTool, "--server", servers};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string name = "tool";
  std::filesystem::remove(folder_ + "/tool.log");
  const pid_t pid = Spawn(name, command);
  int status = 0;
  waitpid(pid, &status, 0);
  processes_.erase(name);
  if (output != nullptr) {
    std::ifstream stream(folder_ + "/tool.log");
    std::ostringstream text;
    text << stream.rdbuf();
    *output = text.str();
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int ProcessMesh::Publish(uint64_t number, const std::string& text) {
  const std::string services = folder_ + "/services";
  std::filesystem::remove_all(services);
  std::filesystem::create_directories(services);
  std::ofstream(services + "/service.toml") << text;
  const int result =
      Tool({"publish", services, "--number", std::to_string(number), "--wait"});
  if (result != 0) {
    PrintLogTails();
  }
  return result;
}

void ProcessMesh::PrintLogTails() const {
  constexpr size_t kLines = 15;
  std::vector<std::string> names = hosts_;
  names.push_back("tool");
  for (const std::string& name : names) {
    const std::vector<std::string> lines = LogLines(name, {});
    std::cerr << name << ", the last of " << lines.size() << " lines:\n";
    for (size_t i = lines.size() - std::min(lines.size(), kLines);
         i < lines.size(); ++i) {
      std::cerr << "  " << lines[i] << "\n";
    }
  }
}

HttpAnswer ProcessMesh::Call(
    const std::string& host,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::multimap<std::string, std::string>& headers,
    std::chrono::milliseconds timeout) {
  httplib::Client client("127.0.0.1", ports_.at(host).callers_);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(timeout);
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  for (const auto& [name, value] : headers) {
    request.headers.emplace(name, value);
  }
  const httplib::Result result = client.send(request);
  HttpAnswer answer;
  if (result) {
    answer.status_ = result->status;
    answer.body_ = result->body;
    for (const auto& [name, value] : result->headers) {
      answer.headers_.emplace(name, value);
    }
  }
  return answer;
}

HttpAnswer ProcessMesh::Admin(const std::string& host,
                              const std::string& path) {
  httplib::Client client("127.0.0.1", ports_.at(host).admin_);
  const httplib::Result result = client.Get(path);
  HttpAnswer answer;
  if (result) {
    answer.status_ = result->status;
    answer.body_ = result->body;
  }
  return answer;
}

bool ProcessMesh::Await(const std::function<bool()>& condition,
                        std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

bool ProcessMesh::AwaitServed(const std::string& path) {
  return Await([this, &path] {
    for (const std::string& proxy : proxies_) {
      if (Call(proxy, "GET", path).status_ != 200) {
        return false;
      }
    }
    return true;
  });
}

int ProcessMesh::UpstreamPort(const std::string& upstream) const {
  int port = 0;
  Await([&] {
    std::ifstream stream(folder_ + "/" + upstream + ".log");
    std::string word;
    stream >> word >> port;
    return port != 0;
  });
  return port;
}

std::chrono::milliseconds ProcessMesh::CpuTime(const std::string& host) const {
  std::ifstream file("/proc/" + std::to_string(processes_.at(host)) + "/stat");
  std::string word;
  long ticks = 0;
  // Fields 14 and 15 are the user and system time.
  for (int field = 1; field <= 15 && file >> word; ++field) {
    ticks += field >= 14 ? std::stol(word) : 0;
  }
  return std::chrono::milliseconds(ticks * 1000 / sysconf(_SC_CLK_TCK));
}

size_t ProcessMesh::RssBytes(const std::string& host) const {
  std::ifstream file("/proc/" + std::to_string(processes_.at(host)) + "/statm");
  size_t whole = 0;
  size_t resident = 0;
  file >> whole >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace buckthorngate::tests
