// The loop of the path of requests.
#include "http/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>

#include <exception>
#include <future>
#include <memory>
#include <string>

#include "base/events.h"
#include "base/exception_text.h"

namespace buckthorngate::http {
namespace {

void LogFailure(const std::exception_ptr& failure) {
  base::LogEvent(base::EventId::kTaskFailed, {{"what", base::TextOf(failure)}});
}

}  // namespace

void EventLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void EventLoop::Run() {
  const asio::executor_work_guard<asio::io_context::executor_type> guard(
      context_.get_executor());
  bool stopped = false;
  while (!stopped) {
    try {
      context_.run();
      stopped = true;
    } catch (...) {
      ++failed_handlers_;
      LogFailure(std::current_exception());
    }
  }
}

void EventLoop::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void EventLoop::Post(std::function<void()> task) {
  asio::post(context_, std::move(task));
}

void EventLoop::RunAndWait(const std::function<void()>& task) {
  struct Outcome {
    std::promise<void> done_;
    std::exception_ptr failure_;
  };
  const std::shared_ptr<Outcome> outcome = std::make_shared<Outcome>();
  std::future<void> done = outcome->done_.get_future();
  Post([task, outcome] {
    try {
      task();
    } catch (...) {
      outcome->failure_ = std::current_exception();
    }
    outcome->done_.set_value();
  });
  // Also returns if the loop ends without having run the task.
  done.wait();
  if (outcome->failure_ != nullptr) {
    std::rethrow_exception(outcome->failure_);
  }
}

void EventLoop::AwaitZero(const std::function<int64_t()>& count,
                          base::MonoTime until,
                          base::Duration poll) {
  int64_t left = 1;
  while (left > 0 && base::MonoNow() < until) {
    RunAndWait([&] { left = count(); });
    if (left > 0) {
      std::this_thread::sleep_for(poll);
    }
  }
}

void EventLoop::Spawn(Task<void> task) {
  asio::co_spawn(context_, std::move(task),
                 [](const std::exception_ptr& error) {
                   if (error != nullptr) {
                     LogFailure(error);
                   }
                 });
}

Task<void> Sleep(asio::io_context& context, base::Duration duration) {
  asio::steady_timer timer(context, duration);
  ErrorCode error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

void Notifier::Notify() {
  notified_ = true;
  timer_.cancel();
}

Task<bool> Notifier::Wait(base::MonoTime until) {
  if (!notified_) {
    // The timer counts in a finer unit, so the largest time would overflow.
    timer_.expires_at(until == base::MonoTime::max()
                          ? asio::steady_timer::time_point::max()
                          : asio::steady_timer::time_point(until));
    ErrorCode error;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return std::exchange(notified_, false);
}

}  // namespace buckthorngate::http
