// Queue of log lines, rate limits of events, and the writer thread.
#include "base/log_writer.h"

#include <algorithm>
#include <utility>

namespace buckthorngate::base {
namespace {

// Delay before queued lines are written, so that one wake-up writes many.
constexpr std::chrono::milliseconds kBatchDelay{20};
constexpr std::chrono::seconds kDropReportInterval{1};
// Event number reported for lines dropped because the queue was full, whatever
// their event.
constexpr uint16_t kQueueOverflowEvent = 0;

}  // namespace

bool LineRateLimiter::Admit(uint16_t event, MonoTime now) {
  Bucket& bucket = buckets_[event];
  const double seconds =
      std::chrono::duration<double>(now - bucket.refilled_).count();
  bucket.refilled_ = now;
  bucket.tokens_ =
      std::min(kLineBurst, bucket.tokens_ + seconds * kLinesPerSecond);
  if (bucket.tokens_ < 1.0) {
    ++bucket.dropped_;
    return false;
  }
  bucket.tokens_ -= 1.0;
  return true;
}

std::map<uint16_t, uint64_t> LineRateLimiter::TakeDropped() {
  std::map<uint16_t, uint64_t> dropped;
  for (auto& [event, bucket] : buckets_) {
    if (bucket.dropped_ != 0) {
      dropped[event] = std::exchange(bucket.dropped_, 0);
    }
  }
  return dropped;
}

LogWriter::LogWriter(Write write, FormatDropReport format_drop_report)
    : write_(std::move(write)),
      format_drop_report_(std::move(format_drop_report)),
      thread_([this] { Run(); }) {}

void LogWriter::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool LogWriter::Admit(uint16_t event, MonoTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return rate_limiter_.Admit(event, now);
}

void LogWriter::Enqueue(std::string line) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (lines_.size() >= kMaxQueuedLines) {
      ++overflowed_;
      return;
    }
    lines_.push_back(std::move(line));
    if (lines_.size() != 1) {
      return;
    }
  }
  changed_.notify_one();
}

void LogWriter::Run() {
  std::chrono::steady_clock::time_point next_report =
      std::chrono::steady_clock::now() + kDropReportInterval;
  bool stopping = false;
  while (!stopping) {
    std::deque<std::string> lines;
    std::map<uint16_t, uint64_t> dropped;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
      if (!stopping_) {
        changed_.wait_for(lock, kBatchDelay, [this] { return stopping_; });
      }
      stopping = stopping_;
      lines = std::exchange(lines_, {});
      if (std::chrono::steady_clock::now() >= next_report) {
        next_report = std::chrono::steady_clock::now() + kDropReportInterval;
        dropped = rate_limiter_.TakeDropped();
        if (overflowed_ != 0) {
          dropped[kQueueOverflowEvent] = std::exchange(overflowed_, 0);
        }
      }
    }
    std::string text;
    for (const std::string& line : lines) {
      text += line + "\n";
    }
    for (const auto& [event, count] : dropped) {
      text += format_drop_report_(event, count) + "\n";
    }
    write_(text);
  }
}

}  // namespace buckthorngate::base
