// Asynchronous log writer: a bounded queue and a thread that writes it out.
//
// Adding a line never blocks on the output. Lines are dropped and counted if
// the queue is full or their event exceeds its rate limit; the writer thread
// reports the counts in a log line of their own.
#ifndef SRC_BASE_LOG_WRITER_H_
#define SRC_BASE_LOG_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "base/time.h"

namespace buckthorngate::base {

inline constexpr size_t kMaxQueuedLines = 4096;
// Token bucket of each event: refill rate and capacity, in lines.
inline constexpr double kLinesPerSecond = 100.0;
inline constexpr double kLineBurst = 400.0;

// Limits the rate of lines of each event by a token bucket. Not safe for
// concurrent use.
class LineRateLimiter {
 public:
  // Whether a line of the event may be written now; if not, counts it as
  // dropped.
  bool Admit(uint16_t event, MonoTime now);
  // Returns the number of lines dropped since the last call, by event.
  std::map<uint16_t, uint64_t> TakeDropped();

 private:
  struct Bucket {
    double tokens_ = kLineBurst;
    MonoTime refilled_;
    uint64_t dropped_ = 0;
  };

  std::map<uint16_t, Bucket> buckets_;
};

// Safe for concurrent use.
class LogWriter {
 public:
  // Writes complete lines, each terminated by a newline.
  using Write = std::function<void(const std::string& lines)>;
  // Formats the line that reports how many lines of an event were dropped.
  using FormatDropReport = std::function<std::string(uint16_t event, uint64_t)>;

  LogWriter(Write write, FormatDropReport format_drop_report);
  ~LogWriter() { Stop(); }
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Writes the queued lines and ends the thread.
  void Stop();

  // Whether the rate limit allows a line of the event; asked before the line
  // is formatted.
  bool Admit(uint16_t event, MonoTime now);
  // Queues a line, or drops and counts it if the queue is full.
  void Enqueue(std::string line);

 private:
  void Run();

  const Write write_;
  const FormatDropReport format_drop_report_;
  std::mutex mutex_;
  // Notified when the first line is queued and when stopping begins.
  std::condition_variable changed_;
  std::deque<std::string> lines_;
  LineRateLimiter rate_limiter_;
  // Lines dropped because the queue was full.
  uint64_t overflowed_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace buckthorngate::base

#endif  // SRC_BASE_LOG_WRITER_H_
