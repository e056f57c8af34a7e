// Bounded pipe of a body.
#include "daemon/body_pipe.h"

namespace buckthorngate::daemon {

bool BodyPipe::Write(const char* data, size_t size) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock,
                [this] { return abandoned_ || buffer_.size() < kPipeBytes; });
  if (abandoned_) {
    return false;
  }
  buffer_.append(data, size);
  changed_.notify_all();
  return true;
}

void BodyPipe::Close(bool whole) {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_ = whole ? PipeState::kComplete : PipeState::kBroken;
  changed_.notify_all();
}

void BodyPipe::Abandon() {
  const std::lock_guard<std::mutex> lock(mutex_);
  abandoned_ = true;
  changed_.notify_all();
}

PipeState BodyPipe::Read(std::string& out, base::Duration timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, timeout, [this] {
    return !buffer_.empty() || state_ != PipeState::kOpen;
  });
  out.clear();
  out.swap(buffer_);
  changed_.notify_all();
  // What was read goes first; the end is told by the next call.
  return out.empty() ? state_ : PipeState::kOpen;
}

PipeState BodyPipe::WaitFor(size_t bytes, base::Duration timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, timeout, [this, bytes] {
    return buffer_.size() >= bytes || state_ != PipeState::kOpen;
  });
  return state_;
}

}  // namespace buckthorngate::daemon
