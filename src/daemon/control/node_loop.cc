// The event loop thread of one node.
#include "daemon/control/node_loop.h"

#include <utility>

namespace buckthorngate::daemon::control {
namespace {

constexpr size_t kMaxQueuedMessages = 100'000;

}  // namespace

NodeLoop::NodeLoop(base::Node& node,
                   const base::Clock& clock,
                   std::function<void(rpc::Envelope)> send)
    : node_(node), clock_(clock), send_(std::move(send)) {}

NodeLoop::~NodeLoop() {
  Stop();
}

void NodeLoop::Start() {
  thread_ = std::thread([this] { RunLoop(); });
}

void NodeLoop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void NodeLoop::Post(rpc::Envelope envelope) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (messages_.size() >= kMaxQueuedMessages) {
      return;
    }
    messages_.push_back(std::move(envelope));
  }
  wake_.notify_one();
}

void NodeLoop::PostTask(NodeTask task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
}

bool NodeLoop::RunAndWait(const NodeTask& task) {
  std::shared_ptr<std::promise<bool>> done =
      std::make_shared<std::promise<bool>>();
  std::future<bool> result = done->get_future();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      return false;
    }
    tasks_.push_back([task, done](const base::Now& now) {
      task(now);
      done->set_value(true);
    });
  }
  wake_.notify_one();
  return result.get();
}

void NodeLoop::RunLoop() {
  while (true) {
    std::vector<rpc::Envelope> messages;
    std::vector<NodeTask> tasks;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait_for(lock, base::kTimerInterval, [this] {
        return stopping_ || !messages_.empty() || !tasks_.empty();
      });
      messages = std::exchange(messages_, {});
      tasks = std::exchange(tasks_, {});
      if (stopping_ && tasks.empty()) {
        return;
      }
    }
    RunOnce(messages, tasks);
  }
}

void NodeLoop::RunOnce(const std::vector<rpc::Envelope>& messages,
                       const std::vector<NodeTask>& tasks) {
  const base::Now now = clock_.Read();
  for (const rpc::Envelope& message : messages) {
    node_.OnMessage(message, now);
  }
  for (const NodeTask& task : tasks) {
    task(now);
  }
  if (now.mono_ >= next_timer_) {
    next_timer_ = now.mono_ + base::kTimerInterval;
    node_.OnTimer(now);
  }
  for (rpc::Envelope& envelope : node_.Flush(now)) {
    send_(std::move(envelope));
  }
  if (after_flush_) {
    after_flush_(clock_.Read());
  }
}

}  // namespace buckthorngate::daemon::control
