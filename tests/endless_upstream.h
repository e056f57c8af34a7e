// Test helpers on raw sockets: an upstream that answers some paths with an
// endless stream of bytes, and callers that send arbitrary bytes.
#ifndef TESTS_ENDLESS_UPSTREAM_H_
#define TESTS_ENDLESS_UPSTREAM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace buckthorngate::tests {

// Sends `first_` once, then `unit_` repeatedly until the other side closes.
struct EndlessAnswer {
  std::string first_;
  std::string unit_;
  // Pause between two units; 0: as fast as the socket accepts them.
  std::chrono::milliseconds pause_{0};
  // Pause between `first_` and the first unit.
  std::chrono::milliseconds delay_{0};
  // Pause before `first_`.
  std::chrono::milliseconds lead_{0};
};

// Listens on loopback with one thread per connection.
class EndlessUpstream {
 public:
  // `answers` is keyed by the last segment of the path without its query; other
  // paths get a short complete answer. "{id}" in `first_` is replaced by the
  // request's id, "{attempt}" by the id of the attempt that a daemon sent.
  explicit EndlessUpstream(std::map<std::string, EndlessAnswer> answers);
  ~EndlessUpstream();
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  // Announces itself to a daemon periodically until destruction.
  void AnnounceTo(int admin_port, const std::string& service, int slots);
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Number of endless answers that are being sent now, and that were started.
  int OpenAnswers() const { return open_; }
  int BegunAnswers() const { return begun_; }
  // Bytes that the sockets accepted from endless answers.
  uint64_t SentBytes() const { return sent_bytes_; }

 private:
  void Accept();
  void Serve(int fd);
  // Answers one request; false if the connection is to be closed.
  bool AnswerOne(int fd, const std::string& head);
  void SendEndless(int fd, EndlessAnswer answer);

  const std::map<std::string, EndlessAnswer> answers_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_{0};
  std::atomic<int> begun_{0};
  std::atomic<uint64_t> sent_bytes_{0};
  std::atomic<int> threads_{0};
  std::mutex mutex_;
  std::set<int> fds_;
  std::thread acceptor_;
  std::thread announcer_;
};

// The answer that a caller on a raw socket received.
struct RawAnswer {
  std::string head_;  // Empty: no complete head.
  uint64_t body_bytes_ = 0;
  // The body is complete by its Content-Length or last chunk.
  bool whole_ = false;
  // The other side closed the connection; else the caller stopped reading.
  bool closed_ = false;
  std::chrono::milliseconds took_{0};

  // HTTP status; 0 without a head.
  int Status() const;
};

// Sends `bytes`, then reads until the answer is complete, the connection is
// closed or `timeout` has passed.
RawAnswer CallRaw(int port,
                  const std::string& bytes,
                  std::chrono::milliseconds timeout);

// Sends `bytes` and keeps the connection open without reading from it.
class NonReadingCaller {
 public:
  NonReadingCaller(int port, const std::string& bytes);
  ~NonReadingCaller();
  NonReadingCaller(const NonReadingCaller&) = delete;
  NonReadingCaller& operator=(const NonReadingCaller&) = delete;

 private:
  const int fd_;
};

// Sends an endless request until the other side closes the connection
// (`closed_`) or `timeout` has passed; returns the answer.
RawAnswer SendRawEndless(int port,
                         const EndlessAnswer& bytes,
                         std::chrono::milliseconds timeout);

}  // namespace buckthorngate::tests

#endif  // TESTS_ENDLESS_UPSTREAM_H_
