// Reads requests on an event loop, handles them on a thread pool and sends the
// answers on the event loop.
#include "daemon/control/blocking_server.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio/thread_pool.hpp>

#include "base/events.h"
#include "base/exception_text.h"
#include "base/http_status.h"
#include "daemon/serving/cut_log.h"
#include "http/event_loop.h"

namespace buckthorngate::daemon::control {
namespace {

// Bytes of each call that do not count against the shared limit, so that small
// calls still succeed while large ones exhaust it.
constexpr size_t kUncountedBytesPerCall = size_t{64} * 1024;
constexpr size_t kFirstReadBytes = size_t{4} * 1024;
// How long a stop waits until the answers of handled calls are sent.
constexpr base::Duration kFinalAnswersTimeout = std::chrono::seconds(1);
constexpr base::Duration kStopPollInterval = std::chrono::milliseconds(5);
// The advertised keep-alive timeout is shorter than the real one by this much,
// so that no client sends a request on a connection that is being closed.
constexpr std::chrono::seconds kKeepAliveMargin{5};

// One call's share of the buffer limit; released on destruction. Used on the
// loop's thread only.
class BufferReservation {
 public:
  BufferReservation(size_t& total_bytes, size_t limit_bytes)
      : total_bytes_(total_bytes), limit_bytes_(limit_bytes) {}
  ~BufferReservation() { total_bytes_ -= counted_bytes_; }
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;

  // Reserves `bytes` in place of the former reservation; false, and no change,
  // if the limit of all calls together would be exceeded.
  bool TryResize(size_t bytes) {
    const size_t counted = bytes - std::min(bytes, kUncountedBytesPerCall);
    const size_t others = total_bytes_ - counted_bytes_;
    if (counted > limit_bytes_ - std::min(limit_bytes_, others)) {
      return false;
    }
    total_bytes_ = others + counted;
    counted_bytes_ = counted;
    return true;
  }

 private:
  size_t& total_bytes_;
  const size_t limit_bytes_;
  size_t counted_bytes_ = 0;
};

std::string RefusalReason(int status) {
  switch (status) {
    case base::kStatusRequestTimeout:
      return "timeout while reading the request body";
    case base::kStatusUnavailable:
      return "buffer limit exceeded, or server is shutting down";
    default:
      return "request body is incomplete";
  }
}

BufferedResponse MakeRefusal(int status, const std::string& reason) {
  BufferedResponse answer;
  answer.head_.status_ = status;
  answer.head_.headers_.Add("Content-Type", "text/plain");
  answer.body_ = reason + "\n";
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
    server_.OnMalformed(
        [this](int status, std::string_view what, std::string_view /*id*/) {
          LogRefused(status, std::string(what));
        });
    server_.OnCut([this](const http::CutCall& call) {
      serving::LogCutCall(limits_.name_, call);
    });
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
    loop_.AwaitZero([this] { return dispatched_calls_; },
                    base::MonoNow() + kFinalAnswersTimeout, kStopPollInterval);
    loop_.RunAndWait([this] { server_.Close(); });
    loop_.Stop();
  }

  size_t BufferedBytes() {
    size_t bytes = 0;
    loop_.RunAndWait([this, &bytes] { bytes = buffered_bytes_; });
    return bytes;
  }

  http::Task<void> Handle(http::ServerCall& call) override {
    const std::shared_ptr<Job> job = std::make_shared<Job>(loop_);
    job->call_.head_ = call.Head();
    BufferReservation reservation(buffered_bytes_, limits_.max_buffered_bytes_);
    const int refused = co_await ReadBody(call, job->call_.body_, reservation);
    if (refused != 0) {
      co_await Refuse(call, refused);
      co_return;
    }
    if (stopping_) {
      co_await Refuse(call, base::kStatusUnavailable);
      co_return;
    }
    ++dispatched_calls_;
    RunOnPool(job);
    co_await job->done_.Wait(base::MonoTime::max());
    job->call_.body_ = std::string();
    if (!reservation.TryResize(job->answer_.body_.size())) {
      LogRefused(base::kStatusUnavailable,
                 RefusalReason(base::kStatusUnavailable));
      job->answer_ = MakeRefusal(base::kStatusUnavailable,
                                 RefusalReason(base::kStatusUnavailable));
    }
    co_await Send(call, job->answer_);
    --dispatched_calls_;
  }

 private:
  // A call that was dispatched to a thread.
  struct Job {
    explicit Job(http::EventLoop& loop) : done_(loop) {}

    BufferedRequest call_;
    BufferedResponse answer_;
    http::Notifier done_;
  };

  // Returns 0, or the HTTP status to refuse the call with.
  http::Task<int> ReadBody(http::ServerCall& call,
                           std::string& body,
                           BufferReservation& reservation) {
    const base::MonoTime until = base::MonoNow() + limits_.body_timeout_;
    http::BodyState state = http::BodyState::kMore;
    while (state == http::BodyState::kMore) {
      if (base::MonoNow() >= until) {
        co_return base::kStatusRequestTimeout;
      }
      const size_t max_bytes =
          body.size() +
          std::clamp(body.size(), kFirstReadBytes, http::kPieceBytes);
      if (!reservation.TryResize(max_bytes)) {
        co_return base::kStatusUnavailable;
      }
      state = co_await call.Read(body, max_bytes);
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
    } catch (...) {
      base::LogEvent(base::EventId::kTaskFailed,
                     {{"what", base::TextOf(std::current_exception())}});
      return MakeRefusal(base::kStatusServerError, "internal error");
    }
  }

  http::Task<void> Refuse(http::ServerCall& call, int status) {
    const std::string reason = RefusalReason(status);
    LogRefused(status, reason);
    BufferedResponse answer = MakeRefusal(status, reason);
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
  // The members from here on are used on the loop's thread only. These are
  // declared before the loop, since its coroutines use them until it is
  // destroyed.
  size_t buffered_bytes_ = 0;
  // Calls that were dispatched to threads and are not yet answered.
  int64_t dispatched_calls_ = 0;
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
size_t BlockingServer::BufferedBytes() {
  return impl_->BufferedBytes();
}

}  // namespace buckthorngate::daemon::control
