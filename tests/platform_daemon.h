// One daemon with all roles and the platform's adapter in the test's process,
// and an upstream beside it that records the requests that it gets.
#ifndef TESTS_PLATFORM_DAEMON_H_
#define TESTS_PLATFORM_DAEMON_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include "daemon/startup/daemon.h"
#include "platform/platform_adapter.h"

namespace buckthorngate::tests {

// Polls until the condition holds; false after `timeout`.
bool PollUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout = std::chrono::seconds(15));

// A request that the upstream has run.
struct UpstreamCall {
  std::string path_;
  std::string body_;
  std::multimap<std::string, std::string> headers_;
};

// Answers each request with 200 once its path's delay has passed.
class RecordingUpstream {
 public:
  RecordingUpstream();
  ~RecordingUpstream();
  RecordingUpstream(const RecordingUpstream&) = delete;
  RecordingUpstream& operator=(const RecordingUpstream&) = delete;

  int Port() const { return port_; }
  // The requests with this path, in the order of their arrival.
  std::vector<UpstreamCall> Calls(const std::string& path) const;
  // Time that each request takes from now on.
  void SetWork(std::chrono::milliseconds work);
  // Rejects requests that expect another instance from now on.
  void SetInstance(const std::string& instance);

 private:
  void Run(const httplib::Request& request, httplib::Response& response);

  httplib::Server server_;
  int port_ = 0;
  mutable std::mutex mutex_;
  std::vector<UpstreamCall> calls_;
  std::chrono::milliseconds work_{0};
  std::string instance_;  // Empty: any is expected rightly.
  std::thread thread_;
};

// What an upstream says of itself.
struct HeartbeatFields {
  std::string instance_ = "i-1";
  std::string service_ = "shop";
  std::string version_ = "v1";
  std::string address_;
  std::string state_ = "ready";
  int slots_ = 18;
  uint64_t sequence_ = 1;
  int64_t born_ms_ = 1'700'000'000'000;  // 0: not said.
};

class PlatformDaemon {
 public:
  // The daemon's host runs the service "shop". The configuration has one route,
  // "/shop/" of the host "h", to it.
  explicit PlatformDaemon(
      std::chrono::milliseconds lease = std::chrono::seconds(60));
  ~PlatformDaemon();
  PlatformDaemon(const PlatformDaemon&) = delete;
  PlatformDaemon& operator=(const PlatformDaemon&) = delete;

  // Has no proxy, but a source and a relay; to be called before Start.
  void ServeNoCallers();
  // Has a proxy only, which follows the source and the relay of `core`; to be
  // called before Start.
  void Follow(const PlatformDaemon& core);
  // Bounds revocations; to be called before Start.
  void SetRevocationBound(std::chrono::milliseconds bound) {
    settings_.revocation_bound_ = bound;
  }
  // Starts the daemon, and publishes the configuration if it has none.
  void Start();
  // Ends it without telling anybody, as a crash would.
  void Stop();

  // Publishes a configuration on top of the one with this number; the answer's
  // status, and its text in `body`.
  int PutConfiguration(const std::string& base,
                       const std::string& configuration,
                       std::string* body = nullptr);
  // The page of the daemon's metrics.
  std::string Metrics();

  // Status of the answer to a heartbeat or a deregistration.
  int Beat(const HeartbeatFields& fields);
  int Deregister(const HeartbeatFields& fields);
  // Status of the answer to a caller's request.
  int Get(const std::string& path, const httplib::Headers& headers = {});
  // The same with a body in chunks.
  int PostChunked(const std::string& path, const httplib::Headers& headers);
  // Waits until the path is answered with 200.
  bool AwaitServed(const std::string& path);
  // Sends a caller's bytes; the start line of the answer.
  std::string SendRaw(const std::string& bytes);

 private:
  int Post(const std::string& path, const std::string& body);
  bool Publish();

  std::string folder_;
  daemon::startup::Settings settings_;
  int control_port_ = 0;
  int callers_port_ = 0;
  std::unique_ptr<daemon::startup::Daemon> daemon_;
  std::unique_ptr<platform::PlatformAdapter> adapter_;
};

// A daemon that serves its host's upstream. Throws if it does not come to that.
class ServedShop {
 public:
  explicit ServedShop(
      std::chrono::milliseconds lease = std::chrono::seconds(60));

  // Ends the daemon without notice and starts it again.
  void Restart();

  PlatformDaemon daemon_;
  RecordingUpstream upstream_;
  HeartbeatFields own_;  // Of the upstream's last heartbeat.
};

}  // namespace buckthorngate::tests

#endif  // TESTS_PLATFORM_DAEMON_H_
