// Writes log lines from a thread of its own.
//
// A line is put into a bounded ring and never waits for the output. Lines that
// find the ring full, or their event over its rate, are dropped and counted;
// the count is written when there is room again.
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

inline constexpr size_t kMaxWaitingLines = 4096;
// Lines of one event: a steady rate, and a burst on top.
inline constexpr double kLinesPerSecond = 100.0;
inline constexpr double kLineBurst = 400.0;

// Bounds the rate of lines of each event. Not safe for concurrent use.
class LineBudget {
 public:
  // Whether a line of the event may be written now.
  bool Admit(uint16_t event, MonoTime now);
  // Lines that were dropped since the last call, by event.
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
  // Gets whole lines, each with its line end.
  using Write = std::function<void(const std::string& lines)>;
  // Makes the line that tells how many lines of an event were dropped.
  using MakeDropLine = std::function<std::string(uint16_t event, uint64_t)>;

  LogWriter(Write write, MakeDropLine make_drop_line);
  ~LogWriter() { Stop(); }
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Writes what waits and ends the thread.
  void Stop();

  // Whether a line of the event should be made at all.
  bool Admit(uint16_t event, MonoTime now);
  void Put(std::string line);

 private:
  void Run();

  const Write write_;
  const MakeDropLine make_drop_line_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> lines_;
  LineBudget budget_;
  uint64_t overflowed_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace buckthorngate::base

#endif  // SRC_BASE_LOG_WRITER_H_
