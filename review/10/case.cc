// Case 10: the tenants' keys are taken away, one tenant after the other. Once
// the last one is gone, requests run with the keys that were withdrawn, and
// with keys that never were.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../mesh.h"

namespace {

using buckthorngate::review::Call;
using buckthorngate::review::Clock;
using buckthorngate::review::Connection;
using buckthorngate::review::Message;
using buckthorngate::review::Milliseconds;
using buckthorngate::review::Process;
using buckthorngate::review::Record;
using buckthorngate::review::SoundAnswer;
using buckthorngate::review::Untroubled;

constexpr Milliseconds kStartTimeout{30000};
constexpr Milliseconds kCallTimeout{1500};
constexpr Milliseconds kPoll{50};
constexpr Milliseconds kPause{100};
// The site's revoke_s; requests are judged that are sent later than it by the
// margin, for as long as kPhase.
constexpr Milliseconds kRevokeBound{5000};
constexpr Milliseconds kMargin{300};
constexpr Milliseconds kPhase{2000};
constexpr Milliseconds kHeartbeatInterval{1500};
constexpr size_t kCores = 3;
constexpr size_t kSidecars = 2;
constexpr const char* kZones[] = {"riga-a", "riga-b", "riga-c"};

constexpr char kFirstKey[] = "th5mgjy5rcpihhacrudd";
constexpr char kSecondKey[] = "edev3nax7u27gxprymh2";
// No configuration ever holds it.
constexpr char kStrangeKey[] = "zz9qpv3wk1ynobodyhas";

// Ports of a machine, counted from its first one.
enum Port {
  kControlPort,
  kInboundPort,
  kReadyPort,
  kOutboundPort,
  kAppPort,
  kMeshPort,
  kAdminPort,
  kPorts
};

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

int Listen(const std::string& ip, int port) {
  constexpr int kBacklog = 64;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool listens = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0 &&
                       listen(fd, kBacklog) == 0;
  if (!listens) {
    close(fd);
    return -1;
  }
  return fd;
}

// Three machines of the core and two with an endpoint each, with the settings
// of a site that has strict_revoke. (The stand-in for the other cases has
// none.)
class Deployment {
 public:
  explicit Deployment(const std::string& daemon) {
    std::string folder =
        std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    folder_ = mkdtemp(folder.data());
    ChooseAddresses();
    for (size_t i = 0; i < kCores; ++i) {
      StartDaemon(daemon, "core-" + std::to_string(i + 1), CoreSettings(i));
    }
    for (size_t i = 0; i < kSidecars; ++i) {
      StartDaemon(daemon, "sidecar-" + std::to_string(i + 1),
                  SidecarSettings(i));
    }
  }
  ~Deployment() {
    daemons_.clear();
    std::error_code error;
    std::filesystem::remove_all(folder_, error);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  std::string CoreAddress(size_t index, Port port) const {
    return CoreIp(index) + ":" + std::to_string(port_ + port);
  }
  std::string SidecarAddress(size_t index, Port port) const {
    return SidecarIp(index) + ":" + std::to_string(port_ + port);
  }
  std::string SidecarIp(size_t index) const {
    return network_ + "2." + std::to_string(index + 1);
  }
  int PortOf(Port port) const { return port_ + port; }

 private:
  std::string CoreIp(size_t index) const {
    return network_ + "1." + std::to_string(index + 1);
  }

  // The ports are the same on all machines.
  void ChooseAddresses() {
    constexpr int kFirstPort = 12000;
    constexpr int kPortRange = 18000;
    std::random_device device;
    bool free = false;
    while (!free) {
      network_ = "127." + std::to_string(1 + device() % 250) + ".";
      port_ = kFirstPort + static_cast<int>(device() % kPortRange);
      free = true;
      for (int port = port_; port < port_ + kPorts; ++port) {
        const int fd = Listen("127.0.0.1", port);
        free = free && fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
  }

  // As deploy/control.toml.in and deploy/proxy.toml.in are filled in.
  std::string Head(const std::string& host, size_t zone) const {
    std::string seeds;
    for (size_t i = 0; i < kCores; ++i) {
      seeds += (i == 0 ? "" : ",") + Quoted(CoreAddress(i, kControlPort));
    }
    return "host = " + Quoted(host) + "\nzone = " + Quoted(kZones[zone]) +
           "\nlog_format = \"json\"\nzones = "
           "[\"riga-a\",\"riga-b\",\"riga-c\"]\nseeds = [" +
           seeds + "]\nmesh_port = " + std::to_string(port_ + kMeshPort) + "\n";
  }
  static std::string Bounds() {
    return "[revocation]\nbound_s = 5\n[quotas]\nwindow_s = 5\noverage = 0.1\n"
           "slack = 20\n";
  }
  std::string CoreSettings(size_t i) const {
    const std::string host = "core-" + std::to_string(i + 1);
    return Head(host, i) + "roles = [\"source\", \"relay\"]\ndata_folder = " +
           Quoted(folder_ + "/" + host) +
           "\nfirst_start = true\ntolerated_losses = 1\n[listen]\ncontrol = " +
           Quoted(CoreAddress(i, kMeshPort)) +
           "\nadmin = " + Quoted(CoreAddress(i, kAdminPort)) +
           "\n[adapter]\ncontrol = " + Quoted(CoreAddress(i, kControlPort)) +
           "\n" + Bounds() + "[link]\nmbps = 170.0\n";
  }
  std::string SidecarSettings(size_t i) const {
    return Head("sidecar-" + std::to_string(i + 1), i) +
           "roles = [\"proxy\"]\nservice = \"orders\"\nupstream = " +
           Quoted(SidecarAddress(i, kAppPort)) +
           "\n[listen]\ncontrol = " + Quoted(SidecarAddress(i, kMeshPort)) +
           "\nadmin = " + Quoted(SidecarAddress(i, kAdminPort)) +
           "\ncallers = " + Quoted(SidecarAddress(i, kOutboundPort)) +
           "\npeers = " + Quoted(SidecarAddress(i, kInboundPort)) +
           "\n[limits]\nannounce_lease_ms = 8000\nstop_grace_s = 6\n"
           "[adapter]\ncontrol = " +
           Quoted(SidecarAddress(i, kControlPort)) +
           "\nready = " + Quoted(SidecarAddress(i, kReadyPort)) + "\n" +
           Bounds() + "[link]\nmbps = 5.5\n";
  }

  void StartDaemon(const std::string& daemon,
                   const std::string& name,
                   const std::string& settings) {
    const std::string file = folder_ + "/" + name;
    std::ofstream(file + ".toml") << settings;
    daemons_.push_back(std::make_unique<Process>(
        std::vector<std::string>{daemon}, file + ".toml", file + ".log"));
    daemons_.back()->Start();
  }

  std::string folder_;
  std::string network_;  // The first two bytes of all addresses.
  int port_ = 0;
  std::vector<std::unique_ptr<Process>> daemons_;
};

// A sound endpoint beside a machine's daemon.
class Endpoint {
 public:
  Endpoint(const Deployment& deployment, size_t sidecar, Record& record)
      : deployment_(deployment),
        sidecar_(sidecar),
        id_("i-7f3a91c" + std::to_string(sidecar)),
        record_(record),
        listener_(Listen(deployment.SidecarIp(sidecar),
                         deployment.PortOf(kAppPort))) {
    accept_ = std::thread([this] { Accept(); });
    beat_ = std::thread([this] { Beat(); });
  }
  ~Endpoint() {
    stopping_ = true;
    accept_.join();
    beat_.join();
    while (serving_ > 0) {
      std::this_thread::sleep_for(kPoll);
    }
    close(listener_);
  }
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  bool HasRun(const std::string& request) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return run_.count(request) != 0;
  }

 private:
  static bool Readable(int fd) {
    pollfd waited = {fd, POLLIN, 0};
    return poll(&waited, 1, static_cast<int>(kPoll.count())) > 0;
  }

  void Accept() {
    while (!stopping_) {
      const int fd = Readable(listener_)
                         ? accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)
                         : -1;
      if (fd >= 0) {
        ++serving_;
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int fd) {
    Connection connection(fd);
    bool open = true;
    while (!stopping_ && open) {
      if (!Readable(fd)) {
        continue;
      }
      const Message request = connection.Read(kCallTimeout);
      open = request.whole_ && connection.Send(Run(request));
    }
    connection.Close();
    --serving_;
  }

  std::string Run(const Message& request) {
    const std::string request_id = request.Header("x-request-id");
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != id_) {
      return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ +
             "\r\nX-Request-Id: " + request_id +
             "\r\nContent-Length: 0\r\n\r\n";
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      run_.insert(request_id);
    }
    record_.Write(id_ + " runs " + request_id + " of tenant " +
                  Quoted(request.Header("x-tenant-id")));
    return SoundAnswer(request, "the tenant's orders");
  }

  void Beat() {
    const int64_t born =
        std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    Clock::time_point next = Clock::now();
    for (uint64_t sequence = 1; !stopping_;) {
      std::this_thread::sleep_for(kPoll);
      if (Clock::now() < next) {
        continue;
      }
      next = Clock::now() + kHeartbeatInterval;
      const std::string body =
          "{\"service\":\"orders\",\"address\":" +
          Quoted(deployment_.SidecarAddress(sidecar_, kAppPort)) +
          ",\"zone\":" + Quoted(kZones[sidecar_]) +
          ",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
          "\"cold_remaining_s\":0,\"sequence\":" +
          std::to_string(sequence++) + ",\"born\":" + std::to_string(born) +
          "}";
      (void)Call(deployment_.SidecarAddress(sidecar_, kControlPort), "POST",
                 "/instances/" + id_ + "/heartbeat", "", body, kCallTimeout);
    }
  }

  const Deployment& deployment_;
  const size_t sidecar_;
  const std::string id_;
  Record& record_;
  const int listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> serving_{0};
  mutable std::mutex mutex_;
  std::set<std::string> run_;
  std::thread accept_;
  std::thread beat_;
};

using Endpoints = std::vector<std::unique_ptr<Endpoint>>;

// A client that sends its requests on one kept connection.
class Client {
 public:
  Client(std::string address, std::string key, Record& record)
      : address_(std::move(address)), key_(std::move(key)), record_(record) {}

  const std::string& Key() const { return key_; }

  // The status, 0 without an answer.
  int Send(const std::string& request) {
    if (!connection_.Open() || connection_.Closed()) {
      connection_.Connect(address_, kCallTimeout);
    }
    record_.Write("client: " + request + " with the key " + key_);
    const bool sent = connection_.Send(
        "GET /orders/list HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " +
        request + "\r\nX-Deadline-Ms: 1200\r\nX-Key: " + key_ + "\r\n\r\n");
    const int status = sent ? connection_.Read(kCallTimeout).Status() : 0;
    record_.Write("client: " + request + " is answered " +
                  std::to_string(status));
    return status;
  }

 private:
  const std::string address_;
  const std::string key_;
  Record& record_;
  Connection connection_;
};

using Clients = std::vector<std::unique_ptr<Client>>;

std::string NextRequest() {
  static int number = 0;
  return "q" + std::to_string(++number);
}

// Sends requests of the clients that have one of these keys. Returns how many
// of them an endpoint has run.
int CountRuns(const Clients& clients,
              const std::set<std::string>& keys,
              const Endpoints& endpoints) {
  int runs = 0;
  const Clock::time_point until = Clock::now() + kPhase;
  while (Clock::now() < until) {
    for (const std::unique_ptr<Client>& client : clients) {
      if (keys.count(client->Key()) == 0) {
        continue;
      }
      const std::string request = NextRequest();
      client->Send(request);
      for (const std::unique_ptr<Endpoint>& endpoint : endpoints) {
        runs += endpoint->HasRun(request) ? 1 : 0;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return runs;
}

std::string Tenant(const std::string& name, const std::string& key) {
  return "{\"name\":" + Quoted(name) + ",\"api_keys\":[" + Quoted(key) +
         "],\"priority\":1,\"rate_per_s\":362,\"burst\":362}";
}

// One route, which needs a key.
std::string Configuration(int version, const std::string& tenants) {
  return "{\"version\":" + std::to_string(version) +
         ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_s\":3,\"idle_timeout_s\":15},\"tenants\":[" +
         tenants +
         "],\"listeners\":[{\"host\":\"site.example\",\"rules\":[{\"name\":"
         "\"r-orders\",\"route_type\":\"safe\",\"target_latency_s\":0.8,"
         "\"priority\":1,\"allow_anonymous\":false,\"match\":{\"path_prefix\":"
         "\"/orders/\"},\"action\":{\"service\":\"orders\",\"timeout_s\":1.2,"
         "\"max_attempts\":2}}]}],\"clusters\":[{\"name\":\"orders\","
         "\"health_path\":\"/health\",\"max_connections\":530,\"protocol\":"
         "\"h1\",\"tls\":false}]}";
}

// Sends the configuration to machines of the core in turn, until one answers
// with something else than a 5xx or a redirection. True if it is acknowledged.
bool Publish(const Deployment& deployment,
             int version,
             const std::string& tenants,
             Record& record) {
  const std::string body = Configuration(version, tenants);
  const std::string headers =
      "X-Base-Version: " + std::to_string(version - 1) + "\r\n";
  const Clock::time_point until = Clock::now() + kStartTimeout;
  int status = 0;
  const auto clear = [&status] { return status >= 200 && status < 300; };
  for (size_t i = 0; !clear() && Clock::now() < until; ++i) {
    status = Call(deployment.CoreAddress(i % kCores, kControlPort), "POST",
                  "/config/put", headers, body, kCallTimeout)
                 .Status();
    if (status >= 400 && status < 500) {
      break;
    }
    std::this_thread::sleep_for(kPoll);
  }
  record.Write("operator: version " + std::to_string(version) +
               " with tenants [" + tenants + "]: " + std::to_string(status));
  return clear();
}

bool AwaitServed(const Clients& clients) {
  const Clock::time_point until = Clock::now() + kStartTimeout;
  bool served = false;
  while (!served && Clock::now() < until) {
    served = true;
    for (const std::unique_ptr<Client>& client : clients) {
      served = client->Send(NextRequest()) == 200 && served;
    }
    std::this_thread::sleep_for(kPause);
  }
  return served;
}

// 2 if the case couldn't run.
int Run(const std::string& daemon, Record& record) {
  const Deployment deployment(daemon);
  Endpoints endpoints;
  Clients clients;
  Clients strangers;
  for (size_t i = 0; i < kSidecars; ++i) {
    endpoints.push_back(std::make_unique<Endpoint>(deployment, i, record));
    const std::string outbound = deployment.SidecarAddress(i, kOutboundPort);
    for (const char* key : {kFirstKey, kSecondKey}) {
      clients.push_back(std::make_unique<Client>(outbound, key, record));
    }
    strangers.push_back(
        std::make_unique<Client>(outbound, kStrangeKey, record));
  }
  const std::string first = Tenant("pulo780", kFirstKey);
  const std::string second = Tenant("lepu270", kSecondKey);
  if (!Publish(deployment, 1, first + "," + second, record) ||
      !AwaitServed(clients)) {
    return 2;
  }
  // The first tenant's key goes; the other tenant stays.
  if (!Publish(deployment, 2, second, record)) {
    return 2;
  }
  std::this_thread::sleep_for(kRevokeBound + kMargin);
  const int first_runs = CountRuns(clients, {kFirstKey}, endpoints);
  const int strange_before = CountRuns(strangers, {kStrangeKey}, endpoints);
  // The last tenant's key goes too.
  std::set<std::string> withdrawn = {kFirstKey, kSecondKey};
  if (Untroubled()) {
    withdrawn.erase(kSecondKey);
  }
  if (!Publish(deployment, 3, Untroubled() ? second : "", record)) {
    return 2;
  }
  std::this_thread::sleep_for(kRevokeBound + kMargin);
  const int last_runs = CountRuns(clients, withdrawn, endpoints);
  // Told only; the exit code goes by the withdrawn keys.
  const int strange_after = CountRuns(strangers, {kStrangeKey}, endpoints);
  const std::string result =
      "requests with withdrawn keys, run after version 2: " +
      std::to_string(first_runs) +
      ", after version 3: " + std::to_string(last_runs) +
      "; with a key that never was, after version 2: " +
      std::to_string(strange_before) +
      ", after version 3: " + std::to_string(strange_after);
  record.Write(result);
  std::cout << result << "\n";
  return first_runs + last_runs > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  Record record(argv[2]);
  const int result = Run(argv[1], record);
  if (result == 2) {
    std::cerr << "the case could not run\n";
  }
  return result;
}
