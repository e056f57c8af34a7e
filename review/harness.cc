// Processes, sockets and messages of the review's stand-ins.
#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace buckthorngate::review {
namespace {

constexpr Milliseconds kHeartbeatTimeout{1000};
constexpr Milliseconds kOrderTimeout{1000};
constexpr Milliseconds kPause{100};
constexpr int kBacklog = 256;
constexpr int kStatusOk = 200;
constexpr int kStatusRedirect = 307;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port_));
  inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
  return result;
}

int BindSocket(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in where = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// A port that is free on all of the addresses.
int FreePort(const std::vector<std::string>& ips, const std::set<int>& taken) {
  constexpr int kTries = 200;
  for (int i = 0; i < kTries; ++i) {
    const int first = BindSocket({ips.front(), 0});
    sockaddr_in bound = {};
    socklen_t size = sizeof(bound);
    getsockname(first, reinterpret_cast<sockaddr*>(&bound), &size);
    const int port = ntohs(bound.sin_port);
    close(first);
    bool free = taken.count(port) == 0;
    for (const std::string& ip : ips) {
      const int fd = free ? BindSocket({ip, port}) : -1;
      free = fd >= 0;
      if (fd >= 0) {
        close(fd);
      }
    }
    if (free) {
      return port;
    }
  }
  return 0;
}

int Connect(const Address& to, Time until) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in where = SocketAddress(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) !=
      0) {
    pollfd waits = {fd, POLLOUT, 0};
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    const int ready =
        poll(&waits, 1, static_cast<int>(std::max<int64_t>(left.count(), 0)));
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (ready != 1 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

// Reads one message with a Content-Length or in chunks.
class Reader {
 public:
  Reader(int fd, Time until) : fd_(fd), until_(until) {}

  bool ReadMessage(Message& message) {
    std::string line;
    if (!ReadLine(message.start_line_)) {
      return false;
    }
    while (ReadLine(line) && !line.empty()) {
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers_.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    return ended_ ? false : ReadBody(message);
  }

 private:
  bool More() {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until_ - Clock::now());
    pollfd waits = {fd_, POLLIN, 0};
    char bytes[16384];
    ssize_t got = 0;
    if (left.count() > 0 &&
        poll(&waits, 1, static_cast<int>(left.count())) == 1) {
      got = recv(fd_, bytes, sizeof(bytes), 0);
    }
    if (got <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(got));
    return true;
  }

  bool ReadLine(std::string& line) {
    size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
      if (!More()) {
        return false;
      }
      end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }

  bool ReadBytes(size_t count, std::string& into) {
    while (buffer_.size() < count) {
      if (!More()) {
        return false;
      }
    }
    into += buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }

  bool ReadBody(Message& message) {
    if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
      std::string line;
      while (ReadLine(line)) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!ReadBytes(size, message.body_) || !ReadLine(line)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
      return false;
    }
    const std::string length = message.Header("Content-Length");
    return ReadBytes(std::strtoul(length.c_str(), nullptr, 10), message.body_);
  }

  const int fd_;
  const Time until_;
  std::string buffer_;
  bool ended_ = false;
};

int64_t UnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Join(const Address& address) {
  return address.ip_ + ":" + std::to_string(address.port_);
}

}  // namespace

Record::Record(const std::string& path) : file_(path) {}

Milliseconds Record::Since(Time time) const {
  return std::chrono::duration_cast<Milliseconds>(time - started_);
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Since(Clock::now()).count() << " ms " << line << std::endl;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers_) {
    if (Lower(key) == Lower(name)) {
      return value;
    }
  }
  return {};
}

std::string Message::SecondWord() const {
  const size_t first = start_line_.find(' ');
  if (first == std::string::npos) {
    return {};
  }
  return start_line_.substr(first + 1,
                            start_line_.find(' ', first + 1) - first - 1);
}

Answer Call(const Address& to,
            const std::string& method,
            const std::string& target,
            const HeaderList& headers,
            const std::string& body,
            Milliseconds timeout) {
  const Time until = Clock::now() + timeout;
  Answer answer;
  const int fd = Connect(to, until);
  if (fd < 0) {
    return answer;
  }
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  if (!body.empty() || method == "POST") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  bytes += "\r\n" + body;
  Reader reader(fd, until);
  if (SendAll(fd, bytes) && reader.ReadMessage(answer.message_)) {
    answer.status_ = std::atoi(answer.message_.SecondWord().c_str());
  }
  close(fd);
  return answer;
}

Deployment::Deployment(std::string program,
                       std::vector<MachineOptions> core,
                       std::vector<MachineOptions> sidecars,
                       std::chrono::seconds grace,
                       Record& record)
    : program_(std::move(program)), grace_(grace), record_(record) {
  std::string pattern = "/tmp/review-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  // A second network per process keeps two runs apart.
  const int network = 1 + static_cast<int>(getpid() % 250);
  std::vector<std::string> ips;
  for (const std::vector<MachineOptions>* list : {&core, &sidecars}) {
    for (const MachineOptions& options : *list) {
      Machine& machine = machines_.emplace_back();
      machine.options_ = options;
      machine.core_ = list == &core;
      machine.ip_ = "127.77." + std::to_string(network) + "." +
                    std::to_string(machines_.size());
      ips.push_back(machine.ip_);
    }
  }
  std::set<int> taken;
  for (int Ports::*port :
       {&Ports::control_, &Ports::mesh_, &Ports::admin_, &Ports::callers_,
        &Ports::peers_, &Ports::ready_, &Ports::upstream_}) {
    ports_.*port = FreePort(ips, taken);
    taken.insert(ports_.*port);
  }
}

Deployment::~Deployment() {
  for (Machine& machine : machines_) {
    if (machine.pid_ > 0) {
      kill(machine.pid_, SIGKILL);
    }
  }
  for (Machine& machine : machines_) {
    if (machine.pid_ > 0) {
      waitpid(machine.pid_, nullptr, 0);
    }
  }
  const char* const keep = std::getenv("KEEP");
  std::error_code ignored;
  if (keep == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  } else {
    std::cout << "logs: " << folder_ << "\n";
  }
}

Deployment::Machine& Deployment::Find(const std::string& name) {
  return *std::find_if(machines_.begin(), machines_.end(),
                       [&name](const Machine& machine) {
                         return machine.options_.name_ == name;
                       });
}

Address Deployment::At(const std::string& machine, int Ports::*port) const {
  const auto found = std::find_if(machines_.begin(), machines_.end(),
                                  [&machine](const Machine& candidate) {
                                    return candidate.options_.name_ == machine;
                                  });
  return {found->ip_, ports_.*port};
}

std::string Deployment::Seeds() const {
  constexpr int kSeeds = 3;
  std::string seeds;
  int listed = 0;
  for (const Machine& machine : machines_) {
    if (machine.core_ && listed < kSeeds) {
      seeds += std::string(listed == 0 ? "" : ",") + "\"" +
               Join({machine.ip_, ports_.control_}) + "\"";
      ++listed;
    }
  }
  return seeds;
}

// The same lines as the templates in deploy/ give.
void Deployment::WriteSettings(const Machine& machine) const {
  const std::string& name = machine.options_.name_;
  std::ofstream file(folder_ + "/" + name + ".toml");
  file << "host = \"" << name << "\"\n"
       << "zone = \"" << machine.options_.zone_ << "\"\n";
  if (machine.core_) {
    file << "roles = [\"source\", \"relay\"]\n"
         << "data_folder = \"" << folder_ << "/" << name << ".data\"\n"
         << "first_start = " << (machine.started_before_ ? "false" : "true")
         << "\ntolerated_losses = 1\n";
  } else {
    file << "roles = [\"proxy\"]\n"
         << "service = \"" << machine.options_.service_ << "\"\n";
  }
  file << "log_format = \"json\"\nseeds = [" << Seeds() << "]\n"
       << "mesh_port = " << ports_.mesh_ << "\n[listen]\n"
       << "control = \"" << Join({machine.ip_, ports_.mesh_}) << "\"\n"
       << "admin = \"" << Join({machine.ip_, ports_.admin_}) << "\"\n";
  if (!machine.core_) {
    file << "callers = \"" << Join({machine.ip_, ports_.callers_}) << "\"\n"
         << "peers = \"" << Join({machine.ip_, ports_.peers_}) << "\"\n"
         << "[limits]\nannounce_lease_ms = 8000\n"
         << "stop_grace_s = " << grace_.count() << "\n";
  }
  file << "[adapter]\ncontrol = \"" << Join({machine.ip_, ports_.control_})
       << "\"\n";
  if (!machine.core_) {
    file << "ready = \"" << Join({machine.ip_, ports_.ready_}) << "\"\n";
  }
}

void Deployment::StartAll() {
  for (const Machine& machine : machines_) {
    Start(machine.options_.name_);
  }
}

void Deployment::Start(const std::string& name) {
  Machine& machine = Find(name);
  WriteSettings(machine);
  machine.started_before_ = true;
  const std::string settings =
      "BUCKTHORNGATE_BOOT=" + folder_ + "/" + name + ".toml";
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::string text = settings;
    char* const environment[] = {text.data(), nullptr};
    std::string path = program_;
    char* const arguments[] = {path.data(), nullptr};
    execve(path.c_str(), arguments, environment);
    _exit(127);
  }
  machine.pid_ = pid;
  record_.Write("platform starts the daemon of " + name);
}

void Deployment::Kill(const std::string& name) {
  Machine& machine = Find(name);
  kill(machine.pid_, SIGKILL);
  waitpid(machine.pid_, nullptr, 0);
  machine.pid_ = 0;
  record_.Write("platform kills the daemon of " + name);
}

void Deployment::Signal(const std::string& name, int signal) {
  kill(Find(name).pid_, signal);
  record_.Write("platform sends signal " + std::to_string(signal) + " to " +
                name);
}

bool Deployment::Running(const std::string& name) {
  Machine& machine = Find(name);
  if (machine.pid_ > 0 && waitpid(machine.pid_, nullptr, WNOHANG) != 0) {
    machine.pid_ = 0;
  }
  return machine.pid_ > 0;
}

bool Deployment::Publish(const std::string& document,
                         uint64_t base,
                         std::chrono::seconds timeout) {
  const Time until = Clock::now() + timeout;
  while (Clock::now() < until) {
    for (const Machine& machine : machines_) {
      if (!machine.core_) {
        continue;
      }
      Address to{machine.ip_, ports_.control_};
      const HeaderList headers = {{"Host", Join(to)},
                                  {"X-Base-Version", std::to_string(base)},
                                  {"Content-Type", "application/json"}};
      Answer answer =
          Call(to, "POST", "/config/put", headers, document, kOrderTimeout);
      if (answer.status_ == kStatusRedirect) {
        constexpr size_t kSchemeSize = 7;  // "http://"
        const std::string location =
            answer.message_.Header("Location").substr(kSchemeSize);
        to.ip_ = location.substr(0, location.find(':'));
        answer =
            Call(to, "POST", "/config/put", headers, document, kOrderTimeout);
      }
      if (answer.status_ == kStatusOk) {
        record_.Write("configuration acknowledged by " + to.ip_ + ": " +
                      document);
        return true;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

bool Deployment::AwaitReady(std::chrono::seconds timeout) {
  const Time until = Clock::now() + timeout;
  for (const Machine& machine : machines_) {
    bool ready = machine.core_;
    while (!ready && Clock::now() < until) {
      const Address at{machine.ip_, ports_.ready_};
      ready = Call(at, "GET", "/ready", {{"Host", Join(at)}}, "", kOrderTimeout)
                  .status_ == kStatusOk;
      if (!ready) {
        std::this_thread::sleep_for(kPause);
      }
    }
    if (!ready) {
      return false;
    }
  }
  return true;
}

Upstream::Upstream(UpstreamOptions options, Record& record)
    : options_(std::move(options)), record_(record), born_ms_(UnixMs()) {
  listener_ = BindSocket(options_.address_);
  listen(listener_, kBacklog);
  acceptor_ = std::thread([this] { Accept(); });
}

Upstream::~Upstream() {
  End();
  StopHeartbeats();
}

void Upstream::End() {
  if (ended_.exchange(true)) {
    return;
  }
  heartbeats_ = false;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : fds_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  while (connections_ > 0) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

void Upstream::Accept() {
  while (!ended_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++connections_;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      fds_.insert(fd);
    }
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Upstream::Serve(int fd) {
  constexpr std::chrono::seconds kIdle{10};
  bool open = true;
  while (open && !ended_) {
    Message request;
    Reader reader(fd, Clock::now() + kIdle);
    open = reader.ReadMessage(request);
    if (open) {
      AnswerOne(fd, request);
    }
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    fds_.erase(fd);
  }
  close(fd);
  --connections_;
}

void Upstream::AnswerOne(int fd, const Message& request) {
  std::string status = "200 OK";
  std::string headers = "X-Instance-Id: " + options_.id_ + "\r\n";
  std::string body = "ok";
  if (request.SecondWord() == "/health") {
    status = draining_ ? "503 Service Unavailable" : "200 OK";
  } else {
    Arrival arrival;
    arrival.at_ = Clock::now();
    arrival.upstream_ = options_.id_;
    arrival.service_ = options_.service_;
    arrival.request_id_ = request.Header("X-Request-Id");
    arrival.target_ = request.SecondWord();
    arrival.caller_service_ = request.Header("X-Caller-Service");
    const std::string expected = request.Header("X-Expect-Instance");
    arrival.rejected_ = !expected.empty() && expected != options_.id_;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(arrival);
    }
    record_.Write("upstream " + options_.id_ + " of " + options_.service_ +
                  (arrival.rejected_ ? " rejects " : " runs ") +
                  arrival.request_id_ + " " + request.start_line_ +
                  ", X-Caller-Service " + arrival.caller_service_ +
                  ", X-Expect-Instance " + expected + ", X-Deadline-Ms " +
                  request.Header("X-Deadline-Ms"));
    headers += "X-Request-Id: " + arrival.request_id_ + "\r\n";
    if (arrival.rejected_) {
      status = "421 Misdirected Request";
      headers += "X-Not-Executed: true\r\n";
    } else {
      const std::string deadline = request.Header("X-Deadline-Ms");
      Milliseconds work(work_ms_.load());
      if (!deadline.empty() && Milliseconds(std::stol(deadline)) < work) {
        work = Milliseconds(std::stol(deadline));
        status = "504 Gateway Timeout";
      }
      std::this_thread::sleep_for(work);
      const std::string stamp = options_.id_ + "." + std::to_string(++answers_);
      headers += "X-Server-Stamp: " + stamp + "\r\n";
      body = "answer " + stamp + " to " + arrival.request_id_;
    }
  }
  SendAll(fd, "HTTP/1.1 " + status + "\r\n" + headers +
                  "Keep-Alive: timeout=10\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string Upstream::NextHeartbeat(const std::string& state) {
  std::ostringstream body;
  body << R"({"service":")" << options_.service_ << R"(","address":")"
       << Join(options_.address_) << R"(","zone":")" << options_.zone_
       << R"(","version":")" << options_.version_ << R"(","slots":)"
       << options_.slots_ << R"(,"state":")" << state
       << R"(","cold_remaining_s":0,"sequence":)" << ++sequence_
       << R"(,"born":)" << born_ms_ << "}";
  return body.str();
}

bool Upstream::SendHeartbeat(const std::string& state) {
  const std::string body = NextHeartbeat(state);
  const Answer answer = Call(
      options_.control_, "POST", "/instances/" + options_.id_ + "/heartbeat",
      {{"Host", Join(options_.control_)}, {"Content-Type", "application/json"}},
      body, kHeartbeatTimeout);
  record_.Write("heartbeat of " + options_.id_ + " " + body + " -> " +
                std::to_string(answer.status_));
  return answer.status_ == kStatusOk;
}

void Upstream::StartHeartbeats() {
  heartbeats_ = true;
  heart_ = std::thread([this] {
    Time next = Clock::now();
    while (heartbeats_) {
      if (Clock::now() >= next) {
        next += options_.heartbeat_interval_;
        (void)SendHeartbeat(draining_ ? "draining" : "ready");
      }
      std::this_thread::sleep_for(Milliseconds(10));
    }
  });
}

void Upstream::StopHeartbeats() {
  heartbeats_ = false;
  if (heart_.joinable()) {
    heart_.join();
  }
}

std::optional<Time> Upstream::ReportDraining() {
  draining_ = true;
  return SendHeartbeat("draining") ? std::optional<Time>(Clock::now())
                                   : std::nullopt;
}

std::optional<Time> Upstream::Deregister() {
  StopHeartbeats();
  const Answer answer = Call(
      options_.control_, "POST", "/instances/" + options_.id_ + "/deregister",
      {{"Host", Join(options_.control_)}, {"Content-Type", "application/json"}},
      R"({"born":)" + std::to_string(born_ms_) + "}", kHeartbeatTimeout);
  record_.Write("deregistration of " + options_.id_ + " -> " +
                std::to_string(answer.status_));
  return answer.status_ == kStatusOk ? std::optional<Time>(Clock::now())
                                     : std::nullopt;
}

std::vector<Arrival> Upstream::Arrivals() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return arrivals_;
}

Callers::Callers(Deployment& deployment, std::string machine, Record& record)
    : deployment_(deployment), machine_(std::move(machine)), record_(record) {}

Callers::~Callers() {
  AwaitAll();
}

Answer Callers::Send(const std::string& host,
                     const std::string& method,
                     const std::string& target,
                     const std::string& body,
                     Milliseconds deadline) {
  const Time sent_at = Clock::now();
  const std::string id = machine_ + "-" + std::to_string(next_++);
  record_.Write("caller on " + machine_ + " sends " + id + " " + method + " " +
                host + target);
  Answer answer =
      Call(deployment_.At(machine_, &Ports::callers_), method, target,
           {{"Host", host},
            {"X-Request-Id", id},
            {"X-Deadline-Ms", std::to_string(deadline.count())}},
           body, deadline + Milliseconds(500));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back({sent_at, target, answer.status_});
  }
  record_.Write("caller on " + machine_ + " gets for " + id + " status " +
                std::to_string(answer.status_) + ", X-Server-Stamp " +
                answer.message_.Header("X-Server-Stamp"));
  return answer;
}

void Callers::SendInBackground(const std::string& host,
                               const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               Milliseconds deadline) {
  ++open_;
  std::thread([this, host, method, target, body, deadline] {
    (void)Send(host, method, target, body, deadline);
    --open_;
  }).detach();
}

void Callers::AwaitAll() {
  while (open_ > 0) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

std::vector<Sent> Callers::Requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

std::string Configuration(uint64_t version,
                          const std::vector<RouteOptions>& routes,
                          const std::vector<std::string>& services) {
  std::ostringstream text;
  text << R"({"version":)" << version
       << R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
       << R"("header_timeout_s":3,"idle_timeout_s":15},"listeners":[)";
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteOptions& route = routes[i];
    text << (i == 0 ? "" : ",") << R"({"host":")" << route.host_
         << R"(","rules":[{"name":"r-)" << i << R"(","route_type":")"
         << route.kind_ << R"(","target_latency_s":)" << route.target_latency_s_
         << R"(,"priority":1,"match":{"path_prefix":")" << route.prefix_
         << R"("},"action":{"service":")" << route.service_
         << R"(","timeout_s":)" << route.timeout_s_ << R"(,"max_attempts":)"
         << route.max_attempts_ << "}}]}";
  }
  text << R"(],"clusters":[)";
  for (size_t i = 0; i < services.size(); ++i) {
    text << (i == 0 ? "" : ",") << R"({"name":")" << services[i]
         << R"(","health_path":"/health","max_connections":110,)"
         << R"("protocol":"h1","tls":false})";
  }
  text << "]}";
  return text.str();
}

int RunCase(int argc,
            char** argv,
            const std::function<int(const CaseOptions&, Record&)>& run) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: " << argv[0] << " PROGRAM RECORD\n";
    return kNotRun;
  }
  CaseOptions options;
  options.program_ = argv[1];
  options.record_path_ = argv[2];
  const char* const trouble = std::getenv("TROUBLE");
  options.trouble_ = trouble == nullptr || std::string(trouble) != "0";
  Record record(options.record_path_);
  const int result = run(options, record);
  const char* const text = result == kHeld     ? "the rule held"
                           : result == kBroken ? "the rule was BROKEN"
                                               : "the case could not run";
  record.Write(text);
  std::cout << text << "\n";
  return result;
}

}  // namespace buckthorngate::review
