// A server whose handler is steered by the targets of its requests.
#include "pipeline_harness.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "close_server.h"

namespace buckthorngate::tests {
namespace {

constexpr base::Duration kMostWait = std::chrono::seconds(3);
constexpr base::Duration kPoll = std::chrono::milliseconds(2);

std::vector<std::string> Split(const std::string& target) {
  std::istringstream text(target.substr(1));
  std::vector<std::string> parts;
  std::string part;
  while (std::getline(text, part, '/')) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

http::Task<void> SteeredHandler::Handle(http::ServerCall& call) {
  const std::string target = call.Head().target_;
  const std::string kind = Split(target).at(0);
  begun_.push_back(target);
  call.SetId(target);
  std::string body;
  const http::BodyState state = co_await http::ReadUpTo(call, body, 1 << 20);
  if (state != http::BodyState::kEnd) {
    co_return;
  }
  const std::string whole = "<" + target + body + ">";
  if (kind == "throws") {
    throw std::runtime_error("thrown by the handler");
  }
  if (kind == "random") {
    co_await Random(call);
    co_return;
  }
  if (kind == "wait") {
    co_await Wait(call);
  }
  if (kind == "stream") {
    const std::string piece(http::kPieceBytes, 's');
    co_await Stream(call, piece);
    co_return;
  }
  if (kind == "refuse") {
    http::AnswerHead head;
    head.status_ = 404;
    co_await call.Answer(head, whole);
    co_return;
  }
  if (kind == "long") {
    const std::string piece(http::kPieceBytes, 's');
    co_await Stream(call, piece, kLongPieces);
    co_return;
  }
  if (kind == "breaks") {
    co_await Break(call);
    co_return;
  }
  if (kind == "large") {
    ++pieces_made_;
    const std::string large(http::kPieceBytes, 'l');
    co_await Send(call, large);
    co_return;
  }
  co_await Send(call, whole);
}

http::Task<void> SteeredHandler::Wait(http::ServerCall& call) {
  http::Notifier gone(loop_);
  const http::CancelScope scope(call.Gone(), [&gone] { gone.Notify(); });
  const base::MonoTime until = base::MonoNow() + kMostWait;
  while (released_.count(call.Head().target_) == 0 && !call.Gone().Raised() &&
         base::MonoNow() < until) {
    const base::MonoTime next = base::MonoNow() + kPoll;
    co_await gone.Wait(next);
  }
  if (call.Gone().Raised()) {
    cancelled_.push_back(call.Head().target_);
  }
}

http::Task<void> SteeredHandler::Stream(http::ServerCall& call,
                                        const std::string& piece,
                                        int pieces) {
  http::AnswerHead head;
  head.status_ = 200;
  ++pieces_made_;
  bool sent = co_await call.Begin(head, std::nullopt);
  for (int i = 0; sent && i < pieces; ++i) {
    pieces_made_ += i > 0 ? 1 : 0;
    sent = co_await call.Write(piece);
  }
  if (sent) {
    co_await call.Finish();
  }
}

http::Task<void> SteeredHandler::Break(http::ServerCall& call) {
  http::AnswerHead head;
  head.status_ = 200;
  const bool begun = co_await call.Begin(head, 2 * http::kPieceBytes);
  const std::string piece(http::kPieceBytes, 'b');
  const bool sent = begun && co_await call.Write(piece);
  if (sent) {
    co_await Wait(call);
    call.NoteBodyFailure("broken off by the handler");
  }
}

http::Task<void> SteeredHandler::Random(http::ServerCall& call) {
  const std::vector<std::string> parts = Split(call.Head().target_);
  const std::string& connection = parts.at(1);
  const bool safe = call.Head().method_ != "POST";
  int& running = running_[connection];
  int& unsafe = unsafe_[connection];
  overlaps_ += unsafe > 0 || (!safe && running > 0) ? 1 : 0;
  ++running;
  most_parallel_ = std::max(most_parallel_, running);
  unsafe += safe ? 0 : 1;
  const base::Duration delay =
      std::chrono::microseconds(std::stoi(parts.at(3)));
  if (delay.count() > 0) {
    co_await http::Sleep(loop_.Context(), delay);
  }
  const std::string body(std::stoul(parts.at(4)),
                         static_cast<char>('a' + std::stoi(parts.at(2)) % 26));
  if (parts.at(5) == "s" && call.Head().method_ != "HEAD") {
    co_await Stream(call, body);
  } else {
    co_await Send(call, body);
  }
  --running;
  unsafe -= safe ? 0 : 1;
}

http::Task<void> SteeredHandler::Send(http::ServerCall& call,
                                      const std::string& body) {
  http::AnswerHead head;
  head.status_ = 200;
  head.headers_.Add("X-Target", call.Head().target_);
  if (call.Head().method_ == "HEAD") {
    co_await call.AnswerWithoutBody(head, body.size());
  } else {
    co_await call.Answer(head, body);
  }
}

PipelineServer::PipelineServer(size_t calls)
    : handler_(loop_), server_(loop_, handler_), port_(FreePort()) {
  if (server_.Listen("127.0.0.1:" + std::to_string(port_)) != ResultCode::kOk) {
    throw std::runtime_error("no listener");
  }
  http::ServerLimits limits;
  limits.pipelined_calls_ = calls;
  server_.SetLimits(limits);
  server_.OnCut([this](const http::CutCall& cut) { cuts_.push_back(cut); });
  server_.OnPipelineCancelled(
      [this](std::string_view id) { pipeline_cancelled_.emplace_back(id); });
  loop_.Start();
}

PipelineServer::~PipelineServer() {
  CloseServer(loop_, server_);
  loop_.Stop();
}

void PipelineServer::Release(const std::string& name) {
  loop_.RunAndWait([&] {
    handler_.released_.insert("/wait/" + name);
    handler_.released_.insert("/breaks/" + name);
  });
}

void PipelineServer::Drain() {
  loop_.RunAndWait([this] { server_.Drain(); });
}

void PipelineServer::TellOpen() {
  loop_.RunAndWait([this] { server_.TellOpen(); });
}

void PipelineServer::Close() {
  CloseServer(loop_, server_);
}

template <typename T>
T PipelineServer::Get(const std::function<T()>& read) {
  T value;
  loop_.RunAndWait([&] { value = read(); });
  return value;
}

bool PipelineServer::Await(const std::function<bool()>& condition) {
  const base::MonoTime until = base::MonoNow() + kMostWait;
  bool holds = Get<bool>(condition);
  while (!holds && base::MonoNow() < until) {
    std::this_thread::sleep_for(kPoll);
    holds = Get<bool>(condition);
  }
  return holds;
}

bool PipelineServer::AwaitBegun(size_t count) {
  return Await([this, count] { return handler_.begun_.size() >= count; });
}

std::vector<std::string> PipelineServer::Begun() {
  return Get<std::vector<std::string>>([this] { return handler_.begun_; });
}

std::vector<std::string> PipelineServer::Cancelled() {
  return Get<std::vector<std::string>>([this] { return handler_.cancelled_; });
}

std::vector<http::CutCall> PipelineServer::Cuts() {
  return Get<std::vector<http::CutCall>>([this] { return cuts_; });
}

std::vector<std::string> PipelineServer::PipelineCancelled() {
  return Get<std::vector<std::string>>([this] { return pipeline_cancelled_; });
}

size_t PipelineServer::OpenCalls() {
  return Get<size_t>([this] { return server_.OpenCalls(); });
}

size_t PipelineServer::ServingConnections() {
  return Get<size_t>([this] { return server_.ServingConnections(); });
}

size_t PipelineServer::PiecesMade() {
  return Get<size_t>([this] { return handler_.pieces_made_; });
}

int PipelineServer::Overlaps() {
  return Get<int>([this] { return handler_.overlaps_; });
}

int PipelineServer::MostParallel() {
  return Get<int>([this] { return handler_.most_parallel_; });
}

std::string Get(const std::string& target, const std::string& headers) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

}  // namespace buckthorngate::tests
