// HTTP exchanges by cpp-httplib.
#include "daemon/exchange.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "daemon/settings.h"

namespace buckthorngate::daemon {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::chrono::milliseconds kSocketMargin{500};
constexpr size_t kMaxIdlePerAddress = 64;

bool EqualsIgnoringCase(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

// What httplib sets itself, or what belongs to one connection only.
bool IsConnectionHeader(const std::string& name) {
  static constexpr const char* kNames[] = {
      "Connection", "Keep-Alive",       "Transfer-Encoding",
      "Upgrade",    "Proxy-Connection", "Content-Length"};
  return std::any_of(
      std::begin(kNames), std::end(kNames),
      [&name](const char* known) { return EqualsIgnoringCase(name, known); });
}

httplib::Request MakeRequest(const ExchangeRequest& request) {
  httplib::Request message;
  message.method = request.method_;
  message.path = request.target_;
  for (const auto& [name, value] : request.headers_) {
    if (!IsConnectionHeader(name)) {
      message.headers.emplace(name, value);
    }
  }
  message.body = request.body_;
  if (!request.reader_) {
    return message;
  }
  const BodyReader reader = request.reader_;
  const bool chunked = request.chunked_;
  message.content_length_ = static_cast<size_t>(request.reader_length_);
  message.is_chunked_content_provider_ = chunked;
  // The whole body goes through one call of the provider.
  message.content_provider_ = [reader, chunked](size_t, size_t,
                                                httplib::DataSink& sink) {
    const bool whole = reader([&sink](const char* data, size_t size) {
      return sink.write(data, size);
    });
    if (whole && chunked) {
      sink.done();
    }
    return whole;
  };
  if (chunked) {
    message.headers.emplace("Transfer-Encoding", "chunked");
  }
  return message;
}

ExchangeHead HeadOf(const httplib::Response& response) {
  ExchangeHead head;
  head.status_ = response.status;
  for (const auto& [name, value] : response.headers) {
    head.headers_.emplace_back(name, value);
  }
  return head;
}

}  // namespace

struct ConnectionPool::Idle {
  std::unique_ptr<httplib::ClientImpl> client_;
  std::chrono::steady_clock::time_point since_;
};

ConnectionPool::ConnectionPool(base::Duration most_idle)
    : most_idle_(most_idle) {}
ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<httplib::ClientImpl> ConnectionPool::Take(
    const std::string& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Idle>& idle = idle_[address];
    // The latest returned is the most likely to be alive; all older ones go
    // once it is too old.
    if (!idle.empty()) {
      const std::chrono::steady_clock::time_point now =
          std::chrono::steady_clock::now();
      if (now - idle.back().since_ <= most_idle_) {
        std::unique_ptr<httplib::ClientImpl> client =
            std::move(idle.back().client_);
        idle.pop_back();
        return client;
      }
      idle.clear();
    }
  }
  std::unique_ptr<httplib::ClientImpl> client =
      std::make_unique<httplib::ClientImpl>(HostOf(address), PortOf(address));
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  client->set_decompress(false);
  client->set_follow_location(false);
  client->set_connection_timeout(kConnectTimeout);
  return client;
}

void ConnectionPool::Return(const std::string& address,
                            std::unique_ptr<httplib::ClientImpl> client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Idle>& idle = idle_[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({std::move(client), std::chrono::steady_clock::now()});
  }
}

void ExchangeSignal::Notify() {
  const std::lock_guard<std::mutex> lock(mutex_);
  set_ = true;
  changed_.notify_all();
}

void ExchangeSignal::Wait(base::Duration timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, timeout, [this] { return set_; });
  set_ = false;
}

std::string ExchangeHead::Header(const std::string& name) const {
  for (const auto& [known, value] : headers_) {
    if (EqualsIgnoringCase(known, name)) {
      return value;
    }
  }
  return {};
}

std::optional<uint64_t> ExchangeHead::ContentLength() const {
  const std::string text = Header("Content-Length");
  uint64_t length = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (text.empty() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return length;
}

Exchange::Exchange(ConnectionPool& connections,
                   std::string address,
                   ExchangeRequest request,
                   base::Duration timeout,
                   std::shared_ptr<ExchangeSignal> signal)
    : connections_(connections),
      address_(std::move(address)),
      request_(std::move(request)),
      timeout_(timeout),
      signal_(std::move(signal)) {}

Exchange::~Exchange() = default;

std::shared_ptr<Exchange> Exchange::Prepare(
    ConnectionPool& connections,
    const std::string& address,
    ExchangeRequest request,
    base::Duration timeout,
    std::shared_ptr<ExchangeSignal> signal) {
  return std::shared_ptr<Exchange>(new Exchange(
      connections, address, std::move(request), timeout, std::move(signal)));
}

void Exchange::Start(WorkerPool& workers) {
  const std::shared_ptr<Exchange> self = shared_from_this();
  const bool accepted = workers.Submit([self] {
    self->Run();
    self->MarkFinished();
  });
  if (!accepted) {
    Fail(ResultCode::kOverloaded, /*not_sent=*/true);
    MarkFinished();
  }
}

void Exchange::RunHere() {
  inline_ = true;
  Run();
  MarkFinished();
}

bool Exchange::Admit(uint64_t bytes) {
  if (!inline_) {
    return true;
  }
  received_ += bytes;
  const std::lock_guard<std::mutex> lock(mutex_);
  too_large_ = too_large_ || received_ > kInlineBytes;
  return !too_large_;
}

bool Exchange::TooLarge() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return too_large_;
}

void Exchange::Run() {
  std::unique_ptr<httplib::ClientImpl> client = connections_.Take(address_);
  // The handler judges the deadline; the socket only has to outlast it.
  client->set_read_timeout(timeout_ + kSocketMargin);
  client->set_write_timeout(timeout_ + kSocketMargin);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (aborted_) {
      return;
    }
    client_ = client.get();
  }
  httplib::Request message = MakeRequest(request_);
  message.response_handler = [this](const httplib::Response& response) {
    ExchangeHead head = HeadOf(response);
    // A long answer is better left before its body begins.
    if (inline_ && head.ContentLength().value_or(0) > kInlineBytes) {
      return Admit(kInlineBytes + 1);
    }
    SetHead(std::move(head));
    return true;
  };
  message.content_receiver = [this](const char* data, size_t size, uint64_t,
                                    uint64_t) {
    return Admit(size) && body_.Write(data, size);
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool whole = client->send(message, response, error);
  bool aborted = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    client_ = nullptr;
    aborted = aborted_;
  }
  if (!whole || aborted) {
    const bool not_sent = error == httplib::Error::Connection ||
                          error == httplib::Error::ConnectionTimeout;
    Fail(not_sent ? ResultCode::kConnectFailed : ResultCode::kUpstreamFailed,
         not_sent);
    body_.Close(/*whole=*/false);
    return;
  }
  if (CurrentStage() == Stage::kWaiting) {
    // httplib tells the head of an answer without a body only by its return.
    SetHead(HeadOf(response));
  }
  connections_.Return(address_, std::move(client));
  body_.Close(/*whole=*/true);
  signal_->Notify();
}

void Exchange::SetHead(ExchangeHead head) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    head_ = std::move(head);
    stage_ = Stage::kHead;
  }
  signal_->Notify();
}

void Exchange::Fail(ResultCode code, bool not_sent) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stage_ == Stage::kWaiting) {
      stage_ = Stage::kFailed;
      code_ = code;
      not_sent_ = not_sent;
    }
  }
  signal_->Notify();
}

void Exchange::MarkFinished() {
  const std::lock_guard<std::mutex> lock(mutex_);
  finished_ = true;
  finished_changed_.notify_all();
}

void Exchange::WaitFinished() {
  std::unique_lock<std::mutex> lock(mutex_);
  finished_changed_.wait(lock, [this] { return finished_; });
}

Exchange::Stage Exchange::CurrentStage() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stage_;
}

ResultCode Exchange::Code() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return code_;
}

bool Exchange::NotSent() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return not_sent_;
}

void Exchange::Abort() {
  body_.Abandon();
  const std::lock_guard<std::mutex> lock(mutex_);
  aborted_ = true;
  if (client_ != nullptr) {
    client_->stop();
  }
}

}  // namespace buckthorngate::daemon
