// One daemon with all roles and the platform's adapter, and its upstream.
#include "platform_daemon.h"

#include <stdlib.h>

#include <filesystem>
#include <stdexcept>
#include <utility>

#include "loopback.h"
#include "platform/dialect.h"

namespace buckthorngate::tests {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr char kLoopbackIp[] = "127.0.0.1";
constexpr char kRequestId[] = "X-Request-Id";
constexpr char kExpectedInstance[] = "X-Expect-Instance";
constexpr char kNotExecuted[] = "X-Not-Executed";
constexpr int kStatusOk = 200;
constexpr int kStatusMisdirected = 421;

constexpr char kConfiguration[] =
    R"({"version":7,"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":100000,"header_timeout_s":3,"idle_timeout_s":15},)"
    R"("listeners":[{"host":"h","rules":[{"name":"r","route_type":"safe",)"
    R"("target_latency_s":1.0,"priority":1,"match":{"path_prefix":"/shop/"},)"
    R"("action":{"service":"shop","timeout_s":4,"max_attempts":2}}]}],)"
    R"("clusters":[{"name":"shop"}]})";

std::string FreeAddress() {
  return std::string(kLoopbackIp) + ":" + std::to_string(FreePort());
}

std::string MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "bg-daemon-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return name;
}

std::string Document(const HeartbeatFields& fields) {
  return R"({"service":")" + fields.service_ + R"(","address":")" +
         fields.address_ + R"(","zone":"local","version":")" + fields.version_ +
         R"(","slots":)" + std::to_string(fields.slots_) + R"(,"state":")" +
         fields.state_ + R"(","cold_remaining_s":0,"sequence":)" +
         std::to_string(fields.sequence_) +
         (fields.born_ms_ == 0
              ? ""
              : R"(,"born":)" + std::to_string(fields.born_ms_)) +
         "}";
}

}  // namespace

bool PollUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout) {
  const std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

RecordingUpstream::RecordingUpstream() {
  const httplib::Server::Handler run = [this](const httplib::Request& request,
                                              httplib::Response& response) {
    Run(request, response);
  };
  server_.Get(".*", run);
  server_.Post(".*", run);
  port_ = server_.bind_to_any_port(kLoopbackIp);
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  while (!server_.is_running()) {
    std::this_thread::yield();
  }
}

RecordingUpstream::~RecordingUpstream() {
  server_.stop();
  thread_.join();
}

void RecordingUpstream::Run(const httplib::Request& request,
                            httplib::Response& response) {
  std::chrono::milliseconds work{0};
  response.set_header(kRequestId, request.get_header_value(kRequestId));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!instance_.empty() &&
        request.get_header_value(kExpectedInstance) != instance_) {
      response.status = kStatusMisdirected;
      response.set_header(kNotExecuted, "1");
      return;
    }
    calls_.push_back({request.path,
                      request.body,
                      {request.headers.begin(), request.headers.end()}});
    work = work_;
  }
  std::this_thread::sleep_for(work);
  response.set_content("done", "text/plain");
}

std::vector<UpstreamCall> RecordingUpstream::Calls(
    const std::string& path) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<UpstreamCall> calls;
  for (const UpstreamCall& call : calls_) {
    if (call.path_ == path) {
      calls.push_back(call);
    }
  }
  return calls;
}

void RecordingUpstream::SetWork(std::chrono::milliseconds work) {
  const std::lock_guard<std::mutex> lock(mutex_);
  work_ = work;
}

void RecordingUpstream::SetInstance(const std::string& instance) {
  const std::lock_guard<std::mutex> lock(mutex_);
  instance_ = instance;
}

PlatformDaemon::PlatformDaemon(std::chrono::milliseconds lease)
    : folder_(MakeFolder()) {
  settings_.service_ = "shop";
  settings_.data_folder_ = folder_;
  settings_.control_address_ = FreeAddress();
  settings_.peers_address_ = FreeAddress();
  settings_.admin_address_ = FreeAddress();
  settings_.callers_address_ = FreeAddress();
  settings_.adapter_["control"] = FreeAddress();
  settings_.announce_lease_ = lease;
  daemon::startup::CompleteSettings(settings_);
  control_port_ = daemon::startup::PortOf(settings_.adapter_["control"]);
  callers_port_ = daemon::startup::PortOf(settings_.callers_address_);
}

PlatformDaemon::~PlatformDaemon() {
  Stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void PlatformDaemon::ServeNoCallers() {
  settings_.host_ = "core";
  settings_.proxy_ = false;
  settings_.source_id_.clear();
  settings_.relay_id_.clear();
  settings_.sources_.clear();
  settings_.relays_.clear();
  daemon::startup::CompleteSettings(settings_);
}

void PlatformDaemon::Follow(const PlatformDaemon& core) {
  settings_.source_ = false;
  settings_.relay_ = false;
  settings_.sources_ = core.settings_.sources_;
  settings_.relays_ = core.settings_.relays_;
}

void PlatformDaemon::Start() {
  daemon_ = std::make_unique<daemon::startup::Daemon>(settings_,
                                                      platform::MakeDialect());
  const ResultCode started = daemon_->Start();
  adapter_ =
      std::make_unique<platform::PlatformAdapter>(settings_, daemon_->Api());
  if (started != ResultCode::kOk || adapter_->Start() != ResultCode::kOk ||
      (settings_.source_ && !PollUntil([this] { return Publish(); }))) {
    throw std::runtime_error("the daemon does not start");
  }
}

void PlatformDaemon::Stop() {
  if (adapter_ != nullptr) {
    adapter_->Stop();
    adapter_.reset();
  }
  if (daemon_ != nullptr) {
    daemon_->Stop();
    daemon_.reset();
  }
}

bool PlatformDaemon::Publish() {
  // A daemon that has the configuration acknowledges it again.
  return PutConfiguration("0", kConfiguration) == kStatusOk;
}

int PlatformDaemon::PutConfiguration(const std::string& base,
                                     const std::string& configuration,
                                     std::string* body) {
  httplib::Client client(kLoopbackIp, control_port_);
  const httplib::Result answer =
      client.Post("/config/put", {{platform::kBaseHeader, base}}, configuration,
                  "application/json");
  if (answer && body != nullptr) {
    *body = answer->body;
  }
  return answer ? answer->status : 0;
}

std::string PlatformDaemon::Metrics() {
  httplib::Client client(kLoopbackIp,
                         daemon::startup::PortOf(settings_.admin_address_));
  const httplib::Result answer = client.Get("/metrics");
  return answer ? answer->body : "";
}

int PlatformDaemon::Post(const std::string& path, const std::string& body) {
  httplib::Client client(kLoopbackIp, control_port_);
  const httplib::Result answer = client.Post(path, body, "application/json");
  return answer ? answer->status : 0;
}

int PlatformDaemon::Beat(const HeartbeatFields& fields) {
  return Post("/instances/" + fields.instance_ + "/heartbeat",
              Document(fields));
}

int PlatformDaemon::Deregister(const HeartbeatFields& fields) {
  return Post("/instances/" + fields.instance_ + "/deregister",
              R"({"born":)" + std::to_string(fields.born_ms_) + "}");
}

int PlatformDaemon::Get(const std::string& path,
                        const httplib::Headers& headers) {
  httplib::Client client(kLoopbackIp, callers_port_);
  httplib::Headers all = headers;
  all.emplace("Host", "h");
  const httplib::Result answer = client.Get(path, all);
  return answer ? answer->status : 0;
}

int PlatformDaemon::PostChunked(const std::string& path,
                                const httplib::Headers& headers) {
  httplib::Client client(kLoopbackIp, callers_port_);
  httplib::Headers all = headers;
  all.emplace("Host", "h");
  const httplib::Result answer = client.Post(
      path, all,
      [](size_t, httplib::DataSink& sink) {
        sink.write("body", 4);
        sink.done();
        return true;
      },
      "text/plain");
  return answer ? answer->status : 0;
}

bool PlatformDaemon::AwaitServed(const std::string& path) {
  return PollUntil([this, &path] { return Get(path) == 200; });
}

std::string PlatformDaemon::SendRaw(const std::string& bytes) {
  RawSocket socket(callers_port_);
  socket.Send(bytes);
  const std::string answer = socket.ReadUntil("\r\n\r\n");
  return answer.substr(0, answer.find("\r\n"));
}

ServedShop::ServedShop(std::chrono::milliseconds lease) : daemon_(lease) {
  daemon_.Start();
  own_.address_ =
      std::string(kLoopbackIp) + ":" + std::to_string(upstream_.Port());
  if (daemon_.Beat(own_) != kStatusOk || !daemon_.AwaitServed("/shop/first")) {
    throw std::runtime_error("the daemon does not serve its upstream");
  }
}

void ServedShop::Restart() {
  daemon_.Stop();
  daemon_.Start();
}

}  // namespace buckthorngate::tests
