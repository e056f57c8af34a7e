// Calls read whole on a loop, handled on threads, answered on the loop.
#include "daemon/blocking_server.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio/thread_pool.hpp>

#include "base/events.h"
#include "base/http_status.h"
#include "daemon/cut_log.h"
#include "http/event_loop.h"

namespace buckthorngate::daemon {
namespace {

// Each call may hold so much beside the limit of all together, so that small
// calls go on while large ones use that up.
constexpr size_t kFreeBytes = size_t{64} * 1024;
constexpr size_t kFirstPieceBytes = size_t{4} * 1024;
// For the answers of calls that were handled by the time of a stop.
constexpr base::Duration kLastAnswersTime = std::chrono::seconds(1);
constexpr base::Duration kStopPoll = std::chrono::milliseconds(5);
// Callers are told to leave a connection so long before it is closed, so that
// no call meets its end.
constexpr std::chrono::seconds kKeepAliveMargin{5};

// What one call holds of the bytes of all. Used on the loop's thread.
class CallHold {
 public:
  CallHold(size_t& total, size_t most) : total_(total), most_(most) {}
  ~CallHold() { total_ -= counted_; }
  CallHold(const CallHold&) = delete;
  CallHold& operator=(const CallHold&) = delete;

  // False if that is more than all may hold.
  bool Set(size_t bytes) {
    const size_t counted = bytes - std::min(bytes, kFreeBytes);
    const size_t others = total_ - counted_;
    if (counted > most_ - std::min(most_, others)) {
      return false;
    }
    total_ = others + counted;
    counted_ = counted;
    return true;
  }

 private:
  size_t& total_;
  const size_t most_;
  size_t counted_ = 0;
};

std::string WhyRefused(int status) {
  switch (status) {
    case base::kStatusRequestTimeout:
      return "body takes too long";
    case base::kStatusUnavailable:
      return "too many bytes under way, or about to stop";
    default:
      return "body is not whole";
  }
}

BufferedResponse Refusal(int status, const std::string& why) {
  BufferedResponse answer;
  answer.head_.status_ = status;
  answer.head_.headers_.Add("Content-Type", "text/plain");
  answer.body_ = why + "\n";
  return answer;
}

}  // namespace

class BlockingServer::Impl : public http::Handler {
 public:
  Impl(BlockingHandler& handler, const BlockingLimits& limits)
      : handler_(handler),
        limits_(limits),
        server_(loop_, *this),
        pool_(limits.threads_) {
    server_.SetLimits(limits_.server_);
    server_.OnMalformed([this](int status, std::string_view what) {
      LogRefused(status, std::string(what));
    });
    server_.OnCut(
        [this](const http::CutCall& call) { LogCutCall(limits_.name_, call); });
  }
  ~Impl() override { Stop(); }

  ResultCode Start(const std::string& address) {
    const ResultCode code = server_.Listen(address);
    if (code == ResultCode::kOk) {
      started_ = true;
      loop_.Start();
    }
    return code;
  }

  void Stop() {
    if (!std::exchange(started_, false)) {
      return;
    }
    loop_.RunAndWait([this] {
      stopping_ = true;
      server_.Drain();
    });
    pool_.join();
    loop_.AwaitZero([this] { return handed_over_; },
                    base::MonoNow() + kLastAnswersTime, kStopPoll);
    loop_.RunAndWait([this] { server_.Close(); });
    loop_.Stop();
  }

  size_t HeldNow() {
    size_t held = 0;
    loop_.RunAndWait([this, &held] { held = buffered_bytes_; });
    return held;
  }

  http::Task<void> Handle(http::ServerCall& call) override {
    const std::shared_ptr<Job> job = std::make_shared<Job>(loop_);
    job->call_.head_ = call.Head();
    CallHold held(buffered_bytes_, limits_.max_buffered_bytes_);
    const int refused = co_await ReadBody(call, job->call_.body_, held);
    if (refused != 0) {
      co_await Refuse(call, refused);
      co_return;
    }
    if (stopping_) {
      co_await Refuse(call, base::kStatusUnavailable);
      co_return;
    }
    ++handed_over_;
    RunOnPool(job);
    co_await job->done_.Wait(base::MonoTime::max());
    job->call_.body_ = std::string();
    if (!held.Set(job->answer_.body_.size())) {
      LogRefused(base::kStatusUnavailable,
                 WhyRefused(base::kStatusUnavailable));
      job->answer_ = Refusal(base::kStatusUnavailable,
                             WhyRefused(base::kStatusUnavailable));
    }
    co_await Send(call, job->answer_);
    --handed_over_;
  }

 private:
  // One call on its way through a thread.
  struct Job {
    explicit Job(http::EventLoop& loop) : done_(loop) {}

    BufferedRequest call_;
    BufferedResponse answer_;
    http::Notifier done_;
  };

  // 0, or the status to refuse the call with.
  http::Task<int> ReadBody(http::ServerCall& call,
                           std::string& body,
                           CallHold& held) {
    const base::MonoTime until = base::MonoNow() + limits_.body_timeout_;
    http::BodyState state = http::BodyState::kMore;
    while (state == http::BodyState::kMore) {
      if (base::MonoNow() >= until) {
        co_return base::kStatusRequestTimeout;
      }
      const size_t most =
          body.size() +
          std::clamp(body.size(), kFirstPieceBytes, http::kPieceBytes);
      if (!held.Set(most)) {
        co_return base::kStatusUnavailable;
      }
      state = co_await call.Read(body, most);
    }
    co_return state == http::BodyState::kEnd ? 0 : base::kStatusBadRequest;
  }

  void RunOnPool(std::shared_ptr<Job> job) {
    http::asio::post(pool_, [this, job = std::move(job)]() mutable {
      job->answer_ = RunHandler(job->call_);
      loop_.Post([job = std::move(job)] { job->done_.Notify(); });
    });
  }

  BufferedResponse RunHandler(const BufferedRequest& call) {
    try {
      return handler_.Handle(call);
    } catch (const std::exception& exception) {
      base::LogEvent(base::EventId::kTaskFailed, {{"what", exception.what()}});
      return Refusal(base::kStatusServerError, "internal error");
    }
  }

  http::Task<void> Refuse(http::ServerCall& call, int status) {
    const std::string why = WhyRefused(status);
    LogRefused(status, why);
    BufferedResponse answer = Refusal(status, why);
    co_await Send(call, answer);
  }

  http::Task<void> Send(http::ServerCall& call, BufferedResponse& answer) {
    const std::chrono::seconds idle =
        std::chrono::duration_cast<std::chrono::seconds>(
            limits_.server_.idle_timeout_);
    if (idle > kKeepAliveMargin) {
      answer.head_.headers_.Set(
          "Keep-Alive",
          "timeout=" + std::to_string((idle - kKeepAliveMargin).count()));
    }
    if (call.Head().method_ == "HEAD") {
      const std::optional<uint64_t> length = answer.body_.size();
      co_await call.AnswerWithoutBody(answer.head_, length);
    } else {
      co_await call.Answer(answer.head_, answer.body_);
    }
  }

  void LogRefused(int status, const std::string& what) {
    base::LogEvent(base::EventId::kCallerMalformed,
                   {{"side", limits_.name_},
                    {"status", std::to_string(status)},
                    {"what", what}});
  }

  BlockingHandler& handler_;
  const BlockingLimits limits_;
  bool started_ = false;
  // On the loop's thread from here on; outlives the coroutines, which end with
  // the loop.
  size_t buffered_bytes_ = 0;
  // Calls that threads have taken and that are not answered.
  int64_t handed_over_ = 0;
  bool stopping_ = false;
  http::EventLoop loop_;
  http::Server server_;
  boost::asio::thread_pool pool_;
};

BlockingServer::BlockingServer(BlockingHandler& handler,
                               const BlockingLimits& limits)
    : impl_(std::make_unique<Impl>(handler, limits)) {}
BlockingServer::~BlockingServer() = default;
ResultCode BlockingServer::Start(const std::string& address) {
  return impl_->Start(address);
}
void BlockingServer::Stop() {
  impl_->Stop();
}
size_t BlockingServer::HeldBytes() {
  return impl_->HeldNow();
}

}  // namespace buckthorngate::daemon
