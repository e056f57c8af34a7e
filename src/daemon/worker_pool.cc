// Threads that run exchanges.
#include "daemon/worker_pool.h"

#include <utility>

namespace buckthorngate::daemon {

WorkerPool::WorkerPool(size_t most_threads) : most_threads_(most_threads) {}

WorkerPool::~WorkerPool() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

bool WorkerPool::Submit(std::function<void()> job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool covered = jobs_.size() < idle_;
  if (!covered) {
    if (threads_.size() >= most_threads_) {
      return false;
    }
    threads_.emplace_back([this] { Work(); });
  }
  jobs_.push_back(std::move(job));
  wake_.notify_one();
  return true;
}

void WorkerPool::Work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_;
    if (jobs_.empty()) {
      return;
    }
    std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
}

}  // namespace buckthorngate::daemon
