// The event loop thread of one node: messages, tasks, timer and flush.
#ifndef SRC_DAEMON_CONTROL_NODE_LOOP_H_
#define SRC_DAEMON_CONTROL_NODE_LOOP_H_

#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/node.h"
#include "base/time.h"

namespace buckthorngate::daemon::control {

// A function to run on the loop's thread.
using NodeTask = std::function<void(const base::Now&)>;

// Messages and tasks that arrive while a flush syncs the journal are processed
// together before the next flush, so that syncs are batched under load (group
// commit). Safe for concurrent use.
class NodeLoop {
 public:
  // `node` and `clock` must outlive the loop.
  NodeLoop(base::Node& node,
           const base::Clock& clock,
           std::function<void(rpc::Envelope)> send);
  ~NodeLoop();
  NodeLoop(const NodeLoop&) = delete;
  NodeLoop& operator=(const NodeLoop&) = delete;

  // Sets a task that runs on the loop's thread after each flush. To be called
  // before Start.
  void SetAfterFlush(NodeTask task) { after_flush_ = std::move(task); }
  void Start();
  void Stop();

  // Queues a message for the node; dropped if the queue is full.
  void Post(rpc::Envelope envelope);
  // Runs `task` on the loop's thread, before the next flush.
  void PostTask(NodeTask task);
  // Like PostTask, but waits until the task has run; false if the loop has
  // stopped.
  bool RunAndWait(const NodeTask& task);

 private:
  void RunLoop();
  void RunOnce(const std::vector<rpc::Envelope>& messages,
               const std::vector<NodeTask>& tasks);

  base::Node& node_;
  const base::Clock& clock_;
  const std::function<void(rpc::Envelope)> send_;
  NodeTask after_flush_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<rpc::Envelope> messages_;
  std::vector<NodeTask> tasks_;
  bool stopping_ = false;
  base::MonoTime next_timer_;
  std::thread thread_;
};

}  // namespace buckthorngate::daemon::control

#endif  // SRC_DAEMON_CONTROL_NODE_LOOP_H_
