// The thread that runs one node: messages, timer, flush.
#ifndef SRC_DAEMON_NODE_LOOP_H_
#define SRC_DAEMON_NODE_LOOP_H_

#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/node.h"
#include "base/time.h"

namespace buckthorngate::daemon {

using Task = std::function<void(const base::Now&)>;

// Whatever arrives while a flush syncs is taken together by the next one, so
// that syncs are shared under load. Safe for concurrent use.
class NodeLoop {
 public:
  // `node` and `clock` must outlive the loop.
  NodeLoop(base::Node& node,
           const base::Clock& clock,
           std::function<void(rpc::Envelope)> send);
  ~NodeLoop();
  NodeLoop(const NodeLoop&) = delete;
  NodeLoop& operator=(const NodeLoop&) = delete;

  // Runs after each flush, on the loop's thread. Before Start.
  void SetAfterFlush(Task task) { after_flush_ = std::move(task); }
  void Start();
  void Stop();

  void Post(rpc::Envelope envelope);
  // Runs `task` on the loop's thread, before the next flush.
  void Run(Task task);
  // As Run, and waits until the task has run. False if the loop has stopped.
  bool RunAndWait(const Task& task);

 private:
  void Loop();
  void RunOnce(const std::vector<rpc::Envelope>& messages,
               const std::vector<Task>& tasks);

  base::Node& node_;
  const base::Clock& clock_;
  const std::function<void(rpc::Envelope)> send_;
  Task after_flush_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<rpc::Envelope> messages_;
  std::vector<Task> tasks_;
  bool stopping_ = false;
  base::MonoTime next_timer_;
  std::thread thread_;
};

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_NODE_LOOP_H_
