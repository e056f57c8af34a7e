// Bounded pipe that carries a body from one thread to another.
#ifndef SRC_DAEMON_BODY_PIPE_H_
#define SRC_DAEMON_BODY_PIPE_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>

#include "base/time.h"

namespace buckthorngate::daemon {

// Most bytes that a body holds in memory on its way.
inline constexpr size_t kPipeBytes = 256 * 1024;

enum class PipeState : uint8_t { kOpen, kComplete, kBroken };

// Safe for one writer and one reader.
class BodyPipe {
 public:
  // Waits for room. False once the reader has gone.
  bool Write(const char* data, size_t size);
  // The body ended; `whole` unless it was cut.
  void Close(bool whole);
  // The reader wants no more.
  void Abandon();

  // Moves what is there into `out`; waits up to `timeout` if nothing is.
  PipeState Read(std::string& out, base::Duration timeout);

  // Waits until the body is complete or broken, or `bytes` are there.
  PipeState WaitFor(size_t bytes, base::Duration timeout);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string buffer_;
  PipeState state_ = PipeState::kOpen;
  bool abandoned_ = false;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_BODY_PIPE_H_
