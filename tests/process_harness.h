// Test harness that runs real daemons and stand-in upstreams as child processes
// on the loopback interface.
#ifndef TESTS_PROCESS_HARNESS_H_
#define TESTS_PROCESS_HARNESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthorngate::tests {

struct HostPorts {
  int control_ = 0;
  int callers_ = 0;
  int peers_ = 0;
  int admin_ = 0;
};

struct HttpAnswer {
  int status_ = 0;  // 0: no complete answer.
  std::string body_;
  std::multimap<std::string, std::string> headers_;

  std::string Header(const std::string& name) const;
};

// A mesh of child processes, which are killed on destruction.
class ProcessMesh {
 public:
  // Creates `zones` availability zones. Each has one control host, with a
  // source and a relay, and `proxies` proxy hosts.
  ProcessMesh(int zones, int proxies);
  ~ProcessMesh();
  ProcessMesh(const ProcessMesh&) = delete;
  ProcessMesh& operator=(const ProcessMesh&) = delete;

  // Sets http_threads of each daemon; to be called before StartAll.
  void SetHttpThreads(int threads);
  // Sets how long a stopping daemon waits for its requests; to be called before
  // StartAll.
  void SetDrainTime(std::chrono::milliseconds time);

  // Host names are "control-Z" and "proxy-Z-P", numbered from 1.
  void StartAll();
  void Start(const std::string& host);
  void Signal(const std::string& host, int signal);
  // Suspends the process with SIGSTOP and waits until it has stopped, since its
  // threads may still serve a call when kill() returns. SIGCONT resumes it.
  void Freeze(const std::string& host);
  // Waits for the process to end.
  void Wait(const std::string& host);
  void Kill(const std::string& host);

  // Starts a stand-in upstream that announces itself to the host's daemon;
  // returns its process name.
  std::string StartUpstream(const std::string& host,
                            const std::string& service,
                            const std::string& version = "v1",
                            const std::vector<std::string>& options = {});

  // The port that a stand-in upstream listens on.
  int UpstreamPort(const std::string& upstream) const;
  // User and system CPU time that a process has used so far.
  std::chrono::milliseconds CpuTime(const std::string& host) const;
  const std::string& Folder() const { return folder_; }
  // Lines of the process's output that contain all of `texts`.
  std::vector<std::string> LogLines(
      const std::string& host,
      const std::vector<std::string>& texts) const;

  // Runs the command line tool `buckthorngate`; returns its exit code and
  // stores its output in `output`.
  int Tool(const std::vector<std::string>& arguments,
           std::string* output = nullptr);
  // Publishes one service file with this text.
  int Publish(uint64_t number, const std::string& text);

  HttpAnswer Call(const std::string& host,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = "",
                  const std::multimap<std::string, std::string>& headers = {},
                  std::chrono::milliseconds timeout = std::chrono::seconds(10));
  HttpAnswer Admin(const std::string& host, const std::string& path);

  // Polls until the condition holds; false after `timeout`.
  static bool Await(
      const std::function<bool()>& condition,
      std::chrono::milliseconds timeout = std::chrono::seconds(15));
  // Waits until each proxy answers this path with 200.
  bool AwaitServed(const std::string& path);

  const HostPorts& Ports(const std::string& host) const {
    return ports_.at(host);
  }
  const std::vector<std::string>& Proxies() const { return proxies_; }
  const std::vector<std::string>& Hosts() const { return hosts_; }
  // Resident memory of a process.
  size_t RssBytes(const std::string& host) const;

 private:
  pid_t Spawn(const std::string& name, const std::vector<std::string>& command);
  void WriteSettings(const std::string& host);
  // Reserves a port for the lifetime of the mesh.
  int ReserveFreePort();
  // Prints the last lines of all logs to standard error, for the diagnosis of
  // failures after the folder was removed.
  void PrintLogTails() const;

  const int zones_;
  std::string folder_;
  std::vector<std::string> hosts_;
  std::vector<std::string> proxies_;
  std::map<std::string, HostPorts> ports_;
  std::map<std::string, pid_t> processes_;
  std::vector<int> reserved_;
  int next_upstream_ = 1;
  int http_threads_ = 64;
  std::chrono::milliseconds drain_time_ = std::chrono::seconds(60);
};

}  // namespace buckthorngate::tests

#endif  // TESTS_PROCESS_HARNESS_H_
