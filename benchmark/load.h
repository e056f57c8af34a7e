// Open-loop HTTP load on one address.
#ifndef BENCHMARK_LOAD_H_
#define BENCHMARK_LOAD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthorngate::benchmark {

struct LoadOptions {
  std::vector<int> ports_;  // Callers' ports, used in turn.
  std::string method_ = "GET";
  std::string path_;
  std::string body_;
  double calls_per_second_ = 100.0;
  std::chrono::milliseconds length_{1000};
  int connections_ = 16;
  std::chrono::milliseconds timeout_{5000};
  // Headers and expected body of call `i`; both may be empty.
  std::function<std::multimap<std::string, std::string>(uint64_t)> headers_;
  std::function<std::string(uint64_t)> body_of_;
  bool expect_echo_ = false;
};

struct LoadResult {
  uint64_t sent_ = 0;
  uint64_t ok_ = 0;       // Status 200.
  uint64_t failed_ = 0;   // Other statuses and connection errors.
  uint64_t crossed_ = 0;  // Status 200 with another call's body.
  // Of whole 200 answers, from the planned start; sorted, in microseconds.
  std::vector<double> latencies_us_;

  double Quantile(double quantile) const;
};

// Each call has a planned start, and its latency counts from there, so that a
// stall is not hidden by the calls that it delayed.
LoadResult RunLoad(const LoadOptions& options);

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_LOAD_H_
