// Threads that run exchanges; grows on demand up to a bound.
#ifndef SRC_DAEMON_WORKER_POOL_H_
#define SRC_DAEMON_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace buckthorngate::daemon {

// Safe for concurrent use.
class WorkerPool {
 public:
  explicit WorkerPool(size_t most_threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // False if all threads are busy and the bound is reached.
  bool Submit(std::function<void()> job);

 private:
  void Work();

  const size_t most_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> jobs_;
  size_t idle_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_WORKER_POOL_H_
