// Stand-ins for the review's scripts: a small deployment of the project's own
// daemons on loopback addresses, upstreams, callers and an operator.
//
// Each machine has a loopback address of its own; ports are the same on all of
// them. Everything that is sent, answered and run goes into the record.
#ifndef REVIEW_HARNESS_H_
#define REVIEW_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace buckthorngate::review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// The record of a run: one line per event, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  // Time since the start of the record.
  Milliseconds Since(Time time) const;

 private:
  const Time started_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

struct Message {
  // "POST /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string start_line_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;

  std::string Header(const std::string& name) const;
  // Second word of the start line: target of a request, status of an answer.
  std::string SecondWord() const;
};

// Address of a machine and one of its ports.
struct Address {
  std::string ip_;
  int port_ = 0;
};

struct Answer {
  int status_ = 0;  // 0: no complete answer.
  Message message_;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Sends one request on a new connection and waits for the whole answer.
Answer Call(const Address& to,
            const std::string& method,
            const std::string& target,
            const HeaderList& headers,
            const std::string& body,
            Milliseconds timeout);

struct Ports {
  int control_ = 0;
  int mesh_ = 0;
  int admin_ = 0;
  int callers_ = 0;
  int peers_ = 0;
  int ready_ = 0;
  int upstream_ = 0;
};

struct MachineOptions {
  std::string name_;
  std::string zone_;
  // Service of the machine's upstream; empty on core machines.
  std::string service_;
};

// A deployment of real daemons, which end with it.
class Deployment {
 public:
  // `program` is the daemon of the deploy file. The first three core machines
  // are the seeds. `grace` is the time between SIGTERM and SIGKILL.
  Deployment(std::string program,
             std::vector<MachineOptions> core,
             std::vector<MachineOptions> sidecars,
             std::chrono::seconds grace,
             Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all daemons.
  void StartAll();
  void Start(const std::string& machine);
  // SIGKILL, and waits for the end of the process.
  void Kill(const std::string& machine);
  void Signal(const std::string& machine, int signal);
  bool Running(const std::string& machine);

  Address At(const std::string& machine, int Ports::*port) const;
  const Ports& AllPorts() const { return ports_; }
  const std::string& Folder() const { return folder_; }

  // Sends the configuration, which builds on version `base`, to the core until
  // it is acknowledged; false after `timeout`.
  bool Publish(const std::string& document,
               uint64_t base,
               std::chrono::seconds timeout);
  // Waits until each sidecar answers its readiness check with 200.
  bool AwaitReady(std::chrono::seconds timeout);

 private:
  struct Machine {
    MachineOptions options_;
    std::string ip_;
    bool core_ = false;
    bool started_before_ = false;
    pid_t pid_ = 0;
  };

  void WriteSettings(const Machine& machine) const;
  Machine& Find(const std::string& name);
  std::string Seeds() const;

  const std::string program_;
  const std::chrono::seconds grace_;
  Record& record_;
  std::string folder_;
  Ports ports_;
  std::vector<Machine> machines_;
};

// How an upstream describes itself.
struct UpstreamOptions {
  std::string id_;
  std::string service_;
  std::string version_ = "v1";
  std::string zone_;
  Address address_;
  Address control_;
  int slots_ = 18;
  std::chrono::milliseconds heartbeat_interval_{1500};
};

// One request that an upstream has received.
struct Arrival {
  Time at_;
  std::string upstream_;
  std::string service_;
  std::string request_id_;
  std::string target_;
  std::string caller_service_;
  // Answered with 421, not run.
  bool rejected_ = false;
};

// A sound upstream: runs requests, and sends heartbeats to the daemon beside
// it.
class Upstream {
 public:
  Upstream(UpstreamOptions options, Record& record);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Time that a request takes.
  void SetWork(Milliseconds work) { work_ms_ = work.count(); }
  // Starts to send heartbeats periodically.
  void StartHeartbeats();
  void StopHeartbeats();
  // Body of the next heartbeat.
  std::string NextHeartbeat(const std::string& state);
  // Sends one heartbeat; whether it was acknowledged.
  bool SendHeartbeat(const std::string& state);
  // Reports `draining` from now on; time of the acknowledgement, if there was
  // one.
  std::optional<Time> ReportDraining();
  // Deregisters without having reported `draining`, and sends no heartbeat any
  // more; time of the acknowledgement, if there was one.
  std::optional<Time> Deregister();
  // Stops listening and closes all connections, as at the end of the process.
  void End();

  std::vector<Arrival> Arrivals() const;
  const UpstreamOptions& Options() const { return options_; }

 private:
  void Accept();
  void Serve(int fd);
  void AnswerOne(int fd, const Message& request);

  const UpstreamOptions options_;
  Record& record_;
  const int64_t born_ms_;
  std::atomic<int64_t> work_ms_{100};
  std::atomic<uint64_t> sequence_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> heartbeats_{false};
  std::atomic<bool> ended_{false};
  std::atomic<int> connections_{0};
  std::atomic<uint64_t> answers_{0};
  int listener_ = -1;
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::set<int> fds_;
  std::thread acceptor_;
  std::thread heart_;
};

// One request of a caller, and the status of its answer; 0: none.
struct Sent {
  Time at_;
  std::string target_;
  int status_ = 0;
};

// Callers on one machine. Each request has an id of its own.
class Callers {
 public:
  Callers(Deployment& deployment, std::string machine, Record& record);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Sends one request and waits for its answer.
  Answer Send(const std::string& host,
              const std::string& method,
              const std::string& target,
              const std::string& body,
              Milliseconds deadline);
  // The same on a thread of its own.
  void SendInBackground(const std::string& host,
                        const std::string& method,
                        const std::string& target,
                        const std::string& body,
                        Milliseconds deadline);
  // Waits until all requests are answered or given up.
  void AwaitAll();
  // The requests that are answered or given up.
  std::vector<Sent> Requests() const;

 private:
  Deployment& deployment_;
  const std::string machine_;
  Record& record_;
  std::atomic<uint64_t> next_{1};
  std::atomic<int> open_{0};
  mutable std::mutex mutex_;
  std::vector<Sent> requests_;
};

// One route of a configuration.
struct RouteOptions {
  std::string host_;
  std::string prefix_;
  std::string service_;
  std::string kind_;
  double target_latency_s_ = 0.5;
  double timeout_s_ = 1.2;
  int max_attempts_ = 2;
};

// The configuration with these routes, in the form of the operator's API.
std::string Configuration(uint64_t version,
                          const std::vector<RouteOptions>& routes,
                          const std::vector<std::string>& services);

// What a case gets from its script.
struct CaseOptions {
  std::string program_;
  std::string record_path_;
  // Without it the case does the same without the disruption.
  bool trouble_ = true;
};

// Runs a case with the options from the command line (PROGRAM RECORD) and the
// environment (TROUBLE); prints the result and returns the exit code.
int RunCase(int argc,
            char** argv,
            const std::function<int(const CaseOptions&, Record&)>& run);

}  // namespace buckthorngate::review

#endif  // REVIEW_HARNESS_H_
