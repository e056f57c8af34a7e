// The thread that runs the path of requests: one loop for all connections.
#ifndef SRC_HTTP_EVENT_LOOP_H_
#define SRC_HTTP_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

#include "base/time.h"
#include "http/asio.h"

namespace buckthorngate::http {

class EventLoop {
 public:
  EventLoop() = default;
  ~EventLoop() { Stop(); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // An exception that leaves a handler is logged and counted, and the loop goes
  // on: only what that handler served ends.
  void Start();
  // Ends the thread; what is still under way is abandoned.
  void Stop();

  // Safe for concurrent use: runs `task` on the loop's thread.
  void Post(std::function<void()> task);
  // As Post, and waits until the task has run. Throws what the task throws. Not
  // from the loop's thread.
  void RunAndWait(const std::function<void()>& task);

  // Asks for a count on the loop's thread, every `poll`, until it is 0 or
  // `until` has come. Not from the loop's thread.
  void AwaitZero(const std::function<int64_t()>& count,
                 base::MonoTime until,
                 base::Duration poll);

  // Starts a coroutine; on the loop's thread, or before Start.
  void Spawn(Task<void> task);

  asio::io_context& Context() { return context_; }
  // Handlers that an exception has left. Safe for concurrent use.
  uint64_t FailedHandlers() const { return failed_handlers_; }

 private:
  void Run();

  // One thread runs the context.
  asio::io_context context_{1};
  std::atomic<uint64_t> failed_handlers_{0};
  std::thread thread_;
};

// Suspends the calling coroutine.
Task<void> Sleep(asio::io_context& context, base::Duration duration);

// Wakes one waiting coroutine. Used on the loop's thread only.
class Notifier {
 public:
  explicit Notifier(EventLoop& loop) : timer_(loop.Context()) {}

  void Notify();
  // Returns once Notify was called, at once if it was called before, or at
  // `until`. False if the time ran out.
  Task<bool> Wait(base::MonoTime until);

 private:
  asio::steady_timer timer_;
  bool notified_ = false;
};

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_EVENT_LOOP_H_
