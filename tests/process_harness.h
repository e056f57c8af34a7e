// Real daemons and stand-in upstreams as child processes, on loopback.
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
  int status_ = 0;  // 0: no whole answer.
  std::string body_;
  std::multimap<std::string, std::string> headers_;

  std::string Header(const std::string& name) const;
};

// Ends all its processes when it goes.
class ProcessMesh {
 public:
  // `zones` zones; each has one host with a source and a relay, and
  // `proxies` hosts with a proxy. The number of sources is `zones`.
  ProcessMesh(int zones, int proxies);
  ~ProcessMesh();
  ProcessMesh(const ProcessMesh&) = delete;
  ProcessMesh& operator=(const ProcessMesh&) = delete;

  // Threads of each daemon's servers; before StartAll.
  void SetHttpThreads(int threads);
  // How long a daemon that stops waits for its requests; before StartAll.
  void SetDrainTime(std::chrono::milliseconds time);

  // Hosts: "control-Z" and "proxy-Z-P", from 1.
  void StartAll();
  void Start(const std::string& host);
  void Signal(const std::string& host, int signal);
  // SIGSTOP, and waits until the process has stopped: the signal alone returns
  // while its threads may still serve a call. SIGCONT ends it.
  void Freeze(const std::string& host);
  // Waits for the process to end.
  void Wait(const std::string& host);
  void Kill(const std::string& host);

  // A stand-in upstream beside the host's daemon; returns its name.
  std::string StartUpstream(const std::string& host,
                            const std::string& service,
                            const std::string& version = "v1",
                            const std::vector<std::string>& options = {});

  // The port that a stand-in upstream listens on.
  int UpstreamPort(const std::string& upstream) const;
  // User and system time of a process so far.
  std::chrono::milliseconds CpuTime(const std::string& host) const;
  const std::string& Folder() const { return folder_; }
  // The lines of the process's output that have all of the texts.
  std::vector<std::string> LogLines(
      const std::string& host,
      const std::vector<std::string>& texts) const;

  // Runs the operators' tool; returns its exit code and fills `output`.
  int Tool(const std::vector<std::string>& arguments,
           std::string* output = nullptr);
  // Publishes one service file's text.
  int Publish(uint64_t number, const std::string& text);

  HttpAnswer Call(const std::string& host,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = "",
                  const std::multimap<std::string, std::string>& headers = {},
                  std::chrono::milliseconds timeout = std::chrono::seconds(10));
  HttpAnswer Admin(const std::string& host, const std::string& path);

  // Polls until the condition holds; false after `most`.
  static bool Await(const std::function<bool()>& condition,
                    std::chrono::milliseconds most = std::chrono::seconds(15));
  // Until each proxy answers 200 on this path.
  bool AwaitServed(const std::string& path);

  const HostPorts& Ports(const std::string& host) const {
    return ports_.at(host);
  }
  const std::vector<std::string>& Proxies() const { return proxies_; }
  const std::vector<std::string>& Hosts() const { return hosts_; }
  // Resident memory of a process.
  size_t RssBytes(const std::string& host) const;

 private:
  pid_t Spawn(const std::string& name, const std::vector<std::string>& words);
  void WriteSettings(const std::string& host);
  // A port that is held as long as the mesh lasts.
  int TakePort();
  // Standard error, so that a failure can be traced after the folder is gone.
  void TellEndsOfLogs() const;

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
