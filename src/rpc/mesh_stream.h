// Bounded write queue of one gRPC stream, shared by dialled and accepted
// streams.
#ifndef SRC_RPC_MESH_STREAM_H_
#define SRC_RPC_MESH_STREAM_H_

#include <deque>
#include <mutex>
#include <utility>

#include "mesh.pb.h"

namespace buckthorngate::rpc {

// Messages beyond these limits are dropped; the nodes' protocols resend them.
// The bytes bound the memory that a receiver that doesn't read costs.
inline constexpr size_t kMaxQueuedMessages = 8192;
inline constexpr size_t kMaxQueuedBytes = size_t{8} * 1024 * 1024;

// Safe for concurrent use. The client or server reactor derives from it and
// implements StartWriteOf and EndStream.
class MeshStream {
 public:
  virtual ~MeshStream() = default;

  // Queues the message. Returns false if the stream is closed or the queue
  // full.
  bool Send(Envelope envelope) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const size_t bytes = envelope.ByteSizeLong();
    // A message that is larger than the limit is sent alone.
    const bool fits =
        queued_bytes_ == 0 || queued_bytes_ + bytes <= kMaxQueuedBytes;
    if (closed_ || !fits || queue_.size() >= kMaxQueuedMessages) {
      return false;
    }
    queued_bytes_ += bytes;
    queue_.push_back({std::move(envelope), bytes});
    if (!writing_) {
      StartNextLocked();
    }
    return true;
  }

  bool Closed() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return closed_;
  }

 protected:
  // Starts the write of `envelope`, which stays valid until OnWritten. `more`:
  // the next message is already queued, so that gRPC may buffer this one.
  virtual void StartWriteOf(const Envelope& envelope, bool more) = 0;
  // Called once, when the stream is closed and no write is in progress.
  virtual void EndStream() = 0;

  // Called by the reactor after each write; `ok` is false if it failed.
  void OnWritten(bool ok) {
    std::unique_lock<std::mutex> lock(mutex_);
    writing_ = false;
    closed_ = closed_ || !ok;
    if (!closed_ && !queue_.empty()) {
      StartNextLocked();
    }
    EndStreamOnce(std::move(lock));
  }

  void CloseStream() {
    std::unique_lock<std::mutex> lock(mutex_);
    closed_ = true;
    EndStreamOnce(std::move(lock));
  }

 private:
  struct QueuedMessage {
    Envelope envelope_;
    size_t bytes_ = 0;
  };

  void StartNextLocked() {
    writing_ = true;
    current_ = std::move(queue_.front().envelope_);
    queued_bytes_ -= queue_.front().bytes_;
    queue_.pop_front();
    StartWriteOf(current_, !queue_.empty());
  }

  // Calls EndStream, once, if the stream is closed and idle. Releases the lock
  // first: EndStream may lead to the deletion of this object.
  void EndStreamOnce(std::unique_lock<std::mutex> lock) {
    if (!closed_ || writing_ || ended_) {
      return;
    }
    ended_ = true;
    lock.unlock();
    EndStream();
  }

  std::mutex mutex_;
  std::deque<QueuedMessage> queue_;
  size_t queued_bytes_ = 0;  // Invariant: sum of bytes_ in queue_.
  // The message being written. Invariant: does not change while writing_.
  Envelope current_;
  bool writing_ = false;
  bool closed_ = false;
  bool ended_ = false;
};

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_MESH_STREAM_H_
