// Open-loop HTTP load.
#include "load.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

namespace buckthorngate::benchmark {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

std::unique_ptr<httplib::Client> Connect(int port,
                                         std::chrono::milliseconds timeout) {
  std::unique_ptr<httplib::Client> client =
      std::make_unique<httplib::Client>("127.0.0.1", port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(std::chrono::seconds(2));
  client->set_read_timeout(timeout);
  return client;
}

}  // namespace

double LoadResult::Quantile(double quantile) const {
  if (latencies_us_.empty()) {
    return 0.0;
  }
  const size_t index = static_cast<size_t>(
      std::lround(quantile * static_cast<double>(latencies_us_.size() - 1)));
  return latencies_us_[index];
}

LoadResult RunLoad(const LoadOptions& options) {
  const uint64_t total = static_cast<uint64_t>(
      options.calls_per_second_ *
      std::chrono::duration<double>(options.length_).count());
  const SteadyTime begin =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  std::atomic<uint64_t> next{0};
  std::mutex mutex;
  LoadResult result;
  const auto work = [&](int worker) {
    const int port =
        options.ports_[static_cast<size_t>(worker) % options.ports_.size()];
    std::unique_ptr<httplib::Client> client = Connect(port, options.timeout_);
    LoadResult own;
    for (uint64_t i = next++; i < total; i = next++) {
      const SteadyTime planned =
          begin + std::chrono::duration_cast<std::chrono::nanoseconds>(
                      std::chrono::duration<double>(static_cast<double>(i) /
                                                    options.calls_per_second_));
      std::this_thread::sleep_until(planned);
      httplib::Request request;
      request.method = options.method_;
      request.path = options.path_;
      request.body = options.body_of_ ? options.body_of_(i) : options.body_;
      if (options.headers_) {
        for (const auto& [name, value] : options.headers_(i)) {
          request.headers.emplace(name, value);
        }
      }
      ++own.sent_;
      const std::string expected = request.body;
      const httplib::Result answer = client->send(request);
      const bool ok = answer && answer->status == 200;
      if (!ok) {
        ++own.failed_;
        if (!answer) {
          client = Connect(port, options.timeout_);
        }
        continue;
      }
      ++own.ok_;
      own.crossed_ += options.expect_echo_ && answer->body != expected ? 1 : 0;
      own.latencies_us_.push_back(
          std::chrono::duration<double, std::micro>(
              std::chrono::steady_clock::now() - planned)
              .count());
    }
    const std::lock_guard<std::mutex> lock(mutex);
    result.sent_ += own.sent_;
    result.ok_ += own.ok_;
    result.failed_ += own.failed_;
    result.crossed_ += own.crossed_;
    result.latencies_us_.insert(result.latencies_us_.end(),
                                own.latencies_us_.begin(),
                                own.latencies_us_.end());
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(options.connections_));
  for (int worker = 0; worker < options.connections_; ++worker) {
    threads.emplace_back(work, worker);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::sort(result.latencies_us_.begin(), result.latencies_us_.end());
  return result;
}

}  // namespace buckthorngate::benchmark
