// A server whose handler is steered by the targets of its requests, for tests
// of pipelining callers.
#ifndef TESTS_PIPELINE_HARNESS_H_
#define TESTS_PIPELINE_HARNESS_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http/event_loop.h"
#include "http/server.h"
#include "loopback.h"

namespace buckthorngate::tests {

// "/now/NAME" answers at once, "/wait/NAME" once it is released, "/large/NAME"
// answers one piece, "/refuse/NAME" answers with a body to any method,
// "/stream/NAME" three pieces, "/throws/NAME" throws,
// "/breaks/NAME" breaks its answer off behind a piece once it is released,
// "/long/NAME" answers 20 pieces, and
// "/random/CONNECTION/NUMBER/DELAY_US/SIZE/KIND" waits for the delay and
// answers SIZE bytes, streamed if KIND is "s". Bodies of answers name the
// target.
class SteeredHandler : public http::Handler {
 public:
  explicit SteeredHandler(http::EventLoop& loop) : loop_(loop) {}

  http::Task<void> Handle(http::ServerCall& call) override;

  static constexpr int kStreamPieces = 3;
  static constexpr int kLongPieces = 20;

 private:
  friend class PipelineServer;

  http::Task<void> Wait(http::ServerCall& call);
  http::Task<void> Stream(http::ServerCall& call,
                          const std::string& piece,
                          int pieces = kStreamPieces);
  http::Task<void> Break(http::ServerCall& call);
  http::Task<void> Random(http::ServerCall& call);
  http::Task<void> Send(http::ServerCall& call, const std::string& body);

  http::EventLoop& loop_;
  // Used on the loop's thread.
  std::set<std::string> released_;
  std::vector<std::string> begun_;
  std::vector<std::string> cancelled_;
  size_t pieces_made_ = 0;
  // Requests that run, and those of them that are not safe, by connection.
  std::map<std::string, int> running_;
  std::map<std::string, int> unsafe_;
  int overlaps_ = 0;
  int most_parallel_ = 0;
};

class PipelineServer {
 public:
  explicit PipelineServer(size_t calls = http::kMaxPipelinedCalls);
  ~PipelineServer();
  PipelineServer(const PipelineServer&) = delete;
  PipelineServer& operator=(const PipelineServer&) = delete;

  int Port() const { return port_; }
  void Release(const std::string& name);
  void Drain();
  void TellOpen();
  void Close();
  // Whether the condition holds within 3 s. It is asked on the loop's thread.
  bool Await(const std::function<bool()>& condition);
  bool AwaitBegun(size_t count);
  std::vector<std::string> Begun();
  std::vector<std::string> Cancelled();
  std::vector<http::CutCall> Cuts();
  std::vector<std::string> PipelineCancelled();
  size_t OpenCalls();
  size_t ServingConnections();
  size_t PiecesMade();
  int Overlaps();
  int MostParallel();
  http::Server& Server() { return server_; }

 private:
  template <typename T>
  T Get(const std::function<T()>& read);

  http::EventLoop loop_;
  SteeredHandler handler_;
  http::Server server_;
  std::vector<http::CutCall> cuts_;
  std::vector<std::string> pipeline_cancelled_;
  const int port_;
};

std::string Get(const std::string& target, const std::string& headers = "");

}  // namespace buckthorngate::tests

#endif  // TESTS_PIPELINE_HARNESS_H_
