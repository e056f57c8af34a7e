// Stand-in upstream: a small HTTP server that announces itself to its host's
// daemon and misbehaves on request. For the examples, tests and benchmarks.
//
// Paths (any prefix): .../echo answers the body; .../slow?ms=N waits;
// .../fail answers 500; .../crash ends the process; .../hang never answers;
// .../big?bytes=N streams N bytes; .../cut sends half of what it announced;
// everything else answers its name, version and a count of calls.
#include <httplib.h>
#include <signal.h>
#include <CLI/CLI.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{500};
constexpr size_t kThreads = 512;
constexpr size_t kPieceBytes = size_t{64} * 1024;

struct Options {
  std::string address_ = "127.0.0.1";
  int port_ = 0;
  std::string admin_;
  std::string service_;
  std::string version_ = "v1";
  int slots_ = 20;
  int work_us_ = 0;
  double fail_rate_ = 0.0;
  std::string record_file_;
};

uint64_t ParamOr(const httplib::Request& request,
                 const char* name,
                 uint64_t fallback) {
  const std::string text = request.get_param_value(name);
  return text.empty() ? fallback : std::stoull(text);
}

class StandIn {
 public:
  explicit StandIn(const Options& options) : options_(options) {}

  int Run() {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(1'000'000);
    const httplib::Server::Handler handler =
        [this](const httplib::Request& request, httplib::Response& response) {
          Handle(request, response);
        };
    server_.Get(".*", handler);
    server_.Post(".*", handler);
    server_.Put(".*", handler);
    server_.Delete(".*", handler);
    if (options_.port_ == 0) {
      options_.port_ = server_.bind_to_any_port(options_.address_);
    } else if (!server_.bind_to_port(options_.address_, options_.port_)) {
      std::cerr << "cannot listen\n";
      return 1;
    }
    std::cout << "port " << options_.port_ << std::endl;
    std::thread announcer([this] { Announce(); });
    const bool served = server_.listen_after_bind();
    stopping_ = true;
    announcer.join();
    return served ? 0 : 1;
  }

  // Announces that it leaves, finishes and ends.
  void Stop() {
    draining_ = true;
    Tell("/drain");
    std::this_thread::sleep_for(std::chrono::milliseconds(2200));
    Tell("/leave");
    server_.stop();
  }

 private:
  std::string OwnAddress() const {
    return options_.address_ + ":" + std::to_string(options_.port_);
  }

  void Tell(const std::string& path) {
    if (options_.admin_.empty()) {
      return;
    }
    const size_t colon = options_.admin_.rfind(':');
    httplib::Client client(options_.admin_.substr(0, colon),
                           std::stoi(options_.admin_.substr(colon + 1)));
    const httplib::Params params = {{"service", options_.service_},
                                    {"version", options_.version_},
                                    {"address", OwnAddress()},
                                    {"slots", std::to_string(options_.slots_)},
                                    {"instance", std::to_string(getpid())}};
    (void)client.Post(path, params);
  }

  void Announce() {
    while (!stopping_) {
      Tell("/announce");
      std::this_thread::sleep_for(kAnnounceInterval);
    }
  }

  void Handle(const httplib::Request& request, httplib::Response& response) {
    const uint64_t count = calls_.fetch_add(1) + 1;
    Record(request.get_header_value("Idempotency-Key"));
    const std::string what = request.path.substr(request.path.rfind('/') + 1);
    if (options_.work_us_ > 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(options_.work_us_));
    }
    const bool fails = what == "fail" || static_cast<double>(count % 1000) <
                                             options_.fail_rate_ * 1000;
    if (fails) {
      response.status = 500;
      response.set_content("failed\n", "text/plain");
    } else if (what == "echo") {
      response.set_content(request.body, "application/octet-stream");
    } else if (what == "slow") {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(ParamOr(request, "ms", 100)));
      response.set_content("slow\n", "text/plain");
    } else if (what == "crash") {
      std::_Exit(70);
    } else if (what == "hang") {
      std::this_thread::sleep_for(std::chrono::seconds(30));
    } else if (what == "big") {
      Stream(ParamOr(request, "bytes", kPieceBytes), false, response);
    } else if (what == "cut") {
      Stream(ParamOr(request, "bytes", 4 * kPieceBytes), true, response);
    } else {
      response.set_header("X-Version", options_.version_);
      response.set_content(options_.service_ + " " + options_.version_ + " " +
                               OwnAddress() + " call " + std::to_string(count) +
                               "\n",
                           "text/plain");
    }
  }

  void Record(const std::string& key) {
    if (options_.record_file_.empty() || key.empty()) {
      return;
    }
    const std::lock_guard<std::mutex> lock(record_mutex_);
    std::ofstream stream(options_.record_file_, std::ios::app);
    stream << key << "\n";
  }

  static void Stream(uint64_t bytes, bool cut, httplib::Response& response) {
    response.set_content_provider(
        bytes, "application/octet-stream",
        [bytes, cut](size_t offset, size_t length, httplib::DataSink& sink) {
          if (cut && offset >= bytes / 2) {
            return false;
          }
          static const std::string piece(kPieceBytes, 'x');
          const size_t most = std::min<size_t>(kPieceBytes, bytes / 4 + 1);
          return sink.write(piece.data(), std::min(length, most));
        });
  }

  Options options_;
  httplib::Server server_;
  std::atomic<uint64_t> calls_{0};
  std::mutex record_mutex_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> draining_{false};
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in upstream for examples, tests and benchmarks."};
  Options options;
  app.add_option("--port", options.port_, "Port; 0 picks one and prints it");
  app.add_option("--admin", options.admin_, "Admin address of the daemon");
  app.add_option("--service", options.service_)->required();
  app.add_option("--service-version", options.version_);
  app.add_option("--slots", options.slots_);
  app.add_option("--work-us", options.work_us_, "Time of each call");
  app.add_option("--fail-rate", options.fail_rate_, "Fraction of calls");
  app.add_option("--record", options.record_file_,
                 "File that gets the idempotency key of each run");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  StandIn upstream(options);
  std::thread stopper([&upstream, &signals] {
    int number = 0;
    sigwait(&signals, &number);
    upstream.Stop();
  });
  stopper.detach();
  return upstream.Run();
}
