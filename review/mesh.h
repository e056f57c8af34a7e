// Stand-ins for the second review: a small deployment of the project's daemons
// on loopback addresses, with endpoints, clients and an operator that speak the
// platform's protocol on raw sockets.
#ifndef REVIEW_MESH_H_
#define REVIEW_MESH_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace buckthorngate::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// What was sent, answered and run, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : file_(file) {}
  void Write(const std::string& line);

 private:
  const Clock::time_point began_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

struct Message {
  std::string first_line_;
  std::multimap<std::string, std::string> headers_;  // Names in lower case.
  std::string body_;
  bool head_arrived_ = false;
  bool whole_ = false;  // Nothing is missing.

  std::string Header(const std::string& name) const;
  // 0 if no answer came.
  int Status() const;
};

// One TCP connection. Not safe for concurrent use.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const std::string& address, Milliseconds timeout);
  bool Send(const std::string& bytes);
  // Reads a request or an answer.
  Message Read(Milliseconds timeout);
  // Whether the other side has closed; bytes that wait count as open.
  bool Closed() const;
  bool Open() const { return fd_ >= 0; }
  void Close();

 private:
  // False at an end, an error or after `until`.
  bool Fill(Clock::time_point until);

  int fd_ = -1;
  std::string buffer_;
};

// Sends one call on a connection of its own. `headers` may begin with the host.
Message Call(const std::string& address,
             const std::string& method,
             const std::string& path,
             const std::string& headers,
             const std::string& body,
             Milliseconds timeout);

// A process that the case started.
class Process {
 public:
  Process(std::vector<std::string> command,
          std::string boot_file,
          std::string log_file);
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int signal) const;
  void Kill();
  // True once it has ended by itself; `how` tells the cause.
  bool Ended(std::string& how);

 private:
  const std::vector<std::string> command_;
  const std::string boot_file_;
  const std::string log_file_;
  pid_t pid_ = -1;
};

struct Machine {
  std::string name_;
  std::string zone_;
  std::string service_;  // Empty for machines of the core.
  std::string ip_;
  std::unique_ptr<Process> daemon_;
};

class Endpoint;

// Three machines of the core and some with an endpoint each.
class Mesh {
 public:
  Mesh(std::string daemon, Record& record);
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  // Starts the core and one machine for each service that is named.
  void Start(const std::vector<std::string>& services);
  Machine& Core(size_t index) { return *core_.at(index); }
  Machine& Sidecar(size_t index) { return *sidecars_.at(index); }
  size_t Sidecars() const { return sidecars_.size(); }

  std::string Outbound(const Machine& machine) const;
  std::string Control(const Machine& machine) const;
  std::string App(const Machine& machine) const;
  std::string Ready(const Machine& machine) const;

  // Sends an operator's call to machines of the core in turn, as the platform's
  // callers do, until one answers with something else than a 5xx; follows two
  // redirections.
  Message Operate(const std::string& method,
                  const std::string& path,
                  const std::string& headers,
                  const std::string& body,
                  Milliseconds timeout);
  bool Publish(const std::string& body, uint64_t base, Milliseconds timeout);
  // Whether each machine with an endpoint says that it is ready.
  bool AwaitReady(Milliseconds timeout);
  // Stops a daemon with SIGTERM and starts it again. False if it did not end.
  bool Restart(Machine& machine, Milliseconds grace);
  // Starts daemons again that ended by themselves, as the platform does.
  // Returns how many it found since the last call.
  int RestartEnded();

 private:
  void WriteSettings(const Machine& machine, bool first_start) const;
  std::unique_ptr<Machine> MakeMachine(const std::string& name,
                                       const std::string& zone,
                                       const std::string& service);

  const std::string daemon_;
  Record& record_;
  std::string folder_;
  std::string network_;  // The first two bytes of all addresses.
  int port_ = 0;         // The first port; the same on all machines.
  std::vector<std::unique_ptr<Machine>> core_;
  std::vector<std::unique_ptr<Machine>> sidecars_;
};

// A piece of an answer, and the pause before it.
struct Piece {
  Milliseconds pause_{0};
  std::string bytes_;
  bool close_ = false;  // Ends the connection after it.
};

// An endpoint beside a machine's daemon. Sends its heartbeats.
class Endpoint {
 public:
  using Handler = std::function<std::vector<Piece>(const Message&)>;

  Endpoint(Mesh& mesh,
           const Machine& machine,
           std::string id,
           Record& record,
           Handler handler,
           std::string version = "v1");
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  const std::string& Id() const { return id_; }
  // From now on the endpoint is silent: it sends and reads nothing, also no
  // heartbeats, and its connections stay open.
  void GoDark() { dark_ = true; }
  // Requests that have begun to run.
  size_t AllRuns() const;
  // Whether a request with this id has begun to run.
  bool HasRun(const std::string& request) const;
  size_t Runs(const std::string& request) const;

 private:
  void Accept();
  void Serve(int fd);
  void Beat();
  bool Answer(Connection& connection, const Message& request);

  Mesh& mesh_;
  const Machine& machine_;
  const std::string id_;
  const std::string version_;
  Record& record_;
  const Handler handler_;
  const int64_t born_ms_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> dark_{false};
  std::atomic<int> serving_{0};
  mutable std::mutex mutex_;
  std::multiset<std::string> run_;
  std::thread accept_;
  std::thread beat_;
};

// A whole answer as a sound endpoint gives it.
std::string SoundAnswer(const Message& request, const std::string& body);

struct RouteOf {
  std::string prefix_;  // Begins and ends with a slash.
  std::string type_;
  std::string service_;
  std::string timeout_s_;
};

// A configuration with one host, "site.example".
std::string Configuration(uint64_t version, const std::vector<RouteOf>& routes);

// Whether the disruption is to be left out.
bool Untroubled();

}  // namespace buckthorngate::review

#endif  // REVIEW_MESH_H_
