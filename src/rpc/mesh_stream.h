// One stream's write queue, common to dialled and accepted streams.
#ifndef SRC_RPC_MESH_STREAM_H_
#define SRC_RPC_MESH_STREAM_H_

#include <deque>
#include <mutex>
#include <utility>

#include "mesh.pb.h"

namespace buckthorngate::rpc {

// Messages beyond this many are dropped; the protocols resend.
inline constexpr size_t kMaxQueuedMessages = 8192;

// Safe for concurrent use. The reactor that owns it implements StartWrite and
// Close for its side of gRPC.
class MeshStream {
 public:
  virtual ~MeshStream() = default;

  // False if the stream is closed or its queue is full.
  bool Send(Envelope envelope) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_ || queue_.size() >= kMaxQueuedMessages) {
      return false;
    }
    queue_.push_back(std::move(envelope));
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
  // `more` tells that another message follows at once.
  virtual void StartWriteOf(const Envelope& envelope, bool more) = 0;
  // Called once, when the stream is closed and no write is under way.
  virtual void EndStream() = 0;

  void OnWritten(bool ok) {
    std::unique_lock<std::mutex> lock(mutex_);
    writing_ = false;
    closed_ = closed_ || !ok;
    if (!closed_ && !queue_.empty()) {
      StartNextLocked();
    }
    EndOnce(std::move(lock));
  }

  void CloseStream() {
    std::unique_lock<std::mutex> lock(mutex_);
    closed_ = true;
    EndOnce(std::move(lock));
  }

 private:
  void StartNextLocked() {
    writing_ = true;
    current_ = std::move(queue_.front());
    queue_.pop_front();
    StartWriteOf(current_, !queue_.empty());
  }

  // Ends a closed stream without the lock: the reactor may be deleted by it.
  void EndOnce(std::unique_lock<std::mutex> lock) {
    if (!closed_ || writing_ || ended_) {
      return;
    }
    ended_ = true;
    lock.unlock();
    EndStream();
  }

  std::mutex mutex_;
  std::deque<Envelope> queue_;
  // Invariant: must not change while writing_.
  Envelope current_;
  bool writing_ = false;
  bool closed_ = false;
  bool ended_ = false;
};

}  // namespace buckthorngate::rpc

#endif  // SRC_RPC_MESH_STREAM_H_
