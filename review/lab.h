// A small deployment of the daemons as separate processes, for the cases 11 to
// 15: machines with loopback addresses of their own, and stand-ins for their
// endpoints, clients and operator.
#ifndef REVIEW_LAB_H_
#define REVIEW_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline constexpr int kControlPort = 8620;
inline constexpr int kInboundPort = 8624;
inline constexpr int kReadyPort = 8625;
inline constexpr int kAppPort = 8628;
inline constexpr int kOutboundPort = 8629;
inline constexpr int kMeshPort = 7600;
inline constexpr int kAdminPort = 7601;

// No case runs for longer; the rest of the two minutes is for its end.
inline constexpr std::chrono::seconds kMostRunTime{105};

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kNotRun = 2;

// Whether the case runs with its disruption: unless TROUBLE is 0.
bool WithTrouble();

// The file `record.txt` of a case, with the time since its start.
class Record {
 public:
  explicit Record(const std::string& folder);
  void Add(const std::string& line);
  std::chrono::milliseconds Elapsed() const;

 private:
  const std::chrono::steady_clock::time_point start_;
  std::mutex mutex_;
  std::ofstream file_;
};

struct Answer {
  int status_ = 0;    // 0: no whole answer.
  std::string head_;  // With its status line, without the empty line.
  std::string body_;
  bool whole_ = false;

  // The first value of a header; empty if there is none.
  std::string Header(const std::string& name) const;
};

// A blocking TCP connection.
class Socket {
 public:
  // Invalid if nobody takes the connection within a second.
  Socket(const std::string& ip, int port);
  // Takes over an accepted connection.
  explicit Socket(int file) : file_(file) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Valid() const { return file_ >= 0; }
  bool Send(const std::string& bytes);
  void Close();
  // Closes so that the other side is told of a reset.
  void Reset();
  // Reads one answer; the rest of what has come stays for the next one. With
  // `to_head`, it is an answer to HEAD, which has no body.
  Answer ReadAnswer(std::chrono::milliseconds timeout, bool to_head = false);
  // Waits for bytes and returns what has come, without taking it.
  std::string Peek(std::chrono::milliseconds timeout);
  // Reads a request: its head, and its body behind the empty line. Empty if the
  // connection ends before its end.
  std::string ReadRequest();

 private:
  bool Fill(std::chrono::steady_clock::time_point until);
  bool ReadChunks(std::string& body,
                  std::chrono::steady_clock::time_point until);
  bool ReadHead(std::string& head, std::chrono::steady_clock::time_point until);

  int file_ = -1;
  std::string unread_;
};

// One call on a connection of its own.
Answer Call(const std::string& ip,
            int port,
            const std::string& method,
            const std::string& target,
            const std::string& headers,
            const std::string& body,
            std::chrono::milliseconds timeout);

// The value of a header in a head; empty if there is none.
std::string HeaderOf(const std::string& head, const std::string& name);

struct Machine {
  std::string name_;
  std::string ip_;
  std::string zone_;
  std::string service_;  // Empty: a machine of the core.
};

class Lab {
 public:
  // Creates three core machines in three zones, and one sidecar machine for
  // each of `services`, in turn in these zones. With `spare`, there is one more
  // core machine in the first zone, which is started by Start only. Labs of one
  // process differ in `number`, which is below 50.
  Lab(const std::vector<std::string>& services,
      Record& record,
      bool spare = false,
      unsigned number = 0);
  // Ends all processes.
  ~Lab();
  Lab(const Lab&) = delete;
  Lab& operator=(const Lab&) = delete;

  const Machine& Core(size_t number) const { return machines_.at(number); }
  const Machine& Spare() const { return machines_.back(); }
  const Machine& Side(size_t number) const { return machines_.at(3 + number); }

  bool StartAll();
  bool Start(const Machine& machine);
  void Signal(const Machine& machine, int signal);
  // Kills the process and waits for its end.
  void Kill(const Machine& machine);
  // Ends all processes. To be called before the endpoints end, which wait for
  // the ends of their connections.
  void EndAll();
  // Whether the process is there.
  bool Runs(const Machine& machine);

  // Whether a read of the configuration is answered with one that contains
  // `text`, by any core machine within `timeout`.
  bool Reads(const std::string& text, std::chrono::milliseconds timeout);
  // Sends a configuration until it is acknowledged, as the operator does; false
  // if it is refused or not acknowledged within `timeout`.
  bool Put(uint64_t base,
           const std::string& configuration,
           std::chrono::milliseconds timeout);
  // Waits until the machine's readiness check passes.
  bool AwaitReady(const Machine& machine, std::chrono::milliseconds timeout);

  static bool Await(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout);

 private:
  void WriteSettings(const Machine& machine, bool first_start);
  // Calls control at a core machine, and follows it to the leader.
  Answer CallControl(size_t machine,
                     const std::string& method,
                     const std::string& target,
                     const std::string& headers,
                     const std::string& body);
  // Ends the case as one that could not run, once it has taken too long.
  void Watch();

  Record& record_;
  std::string folder_;
  const bool spare_;
  std::vector<Machine> machines_;
  std::mutex mutex_;
  std::map<std::string, pid_t> processes_;
  std::map<std::string, bool> started_;
  std::atomic<bool> over_{false};
  std::thread watch_;
};

// A route of a configuration.
struct Rule {
  std::string kind_;  // route_type
  std::string prefix_;
  std::string service_;
};

// A configuration with these routes of the host kHost.
inline constexpr char kHost[] = "h.example";
std::string Configuration(uint64_t version, const std::vector<Rule>& rules);

// The head of a client's request on the host kHost, with its empty line.
std::string RequestHead(const std::string& method,
                        const std::string& target,
                        const std::string& id);

// Handles one request of an endpoint: its head with its body behind the empty
// line. Returns whether the connection stays open.
using EndpointHandler = std::function<bool(const std::string&, Socket&)>;

// A stand-in endpoint on a sidecar machine: it serves, and reports to the
// daemon beside it each 1.5 s.
class Endpoint {
 public:
  Endpoint(const Machine& machine,
           const std::string& id,
           EndpointHandler handler,
           Record& record);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // Begins to report; before it, the endpoint only serves.
  void BeginReports();
  // The body of a heartbeat in this state.
  std::string Heartbeat(const std::string& state);
  // Sends a heartbeat; its status.
  int Report(const std::string& state);

 private:
  void Accept();

  const Machine machine_;
  const std::string id_;
  const EndpointHandler handler_;
  Record& record_;
  const int64_t born_ms_;
  int listener_ = -1;
  std::atomic<uint64_t> sequence_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::vector<std::thread> threads_;
};

// An answer of an endpoint to the request with this head.
std::string OkAnswer(const std::string& request,
                     const std::string& id,
                     const std::string& body);

}  // namespace review

#endif  // REVIEW_LAB_H_
