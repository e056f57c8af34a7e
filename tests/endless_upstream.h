// An upstream that answers some paths with bytes that never end, and a caller
// on a raw socket that counts what it gets. For tests.
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

// `first_` once, then `unit_` until the other side closes.
struct EndlessAnswer {
  std::string first_;
  std::string unit_;
  // Between two units; 0: as fast as the socket takes them.
  std::chrono::milliseconds pause_{0};
};

// Listens on loopback; a thread for each connection.
class EndlessUpstream {
 public:
  // Answers by the last part of the path without its query; other paths get a
  // short whole answer. "{id}" in `first_` stands for the request's id.
  explicit EndlessUpstream(std::map<std::string, EndlessAnswer> answers);
  ~EndlessUpstream();
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  // Announces itself to a daemon until it goes.
  void AnnounceTo(int admin_port, const std::string& service, int slots);
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Answers without end that are being sent now, and that were begun.
  int Open() const { return open_; }
  int Begun() const { return begun_; }

 private:
  void Accept();
  void Serve(int file);
  // False once the connection is to be closed.
  bool AnswerOne(int file, const std::string& head);
  void SendEndless(int file, EndlessAnswer answer, const std::string& id);

  const std::map<std::string, EndlessAnswer> answers_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_{0};
  std::atomic<int> begun_{0};
  std::atomic<int> threads_{0};
  std::mutex mutex_;
  std::set<int> files_;
  std::thread acceptor_;
  std::thread announcer_;
};

// What a caller on a raw socket got.
struct RawAnswer {
  std::string head_;  // Empty: no whole head.
  uint64_t body_bytes_ = 0;
  // The body was as long as announced, or its last chunk came.
  bool whole_ = false;
  // The other side closed; else the caller stopped reading.
  bool closed_ = false;
  std::chrono::milliseconds took_{0};

  // 0 without a head.
  int Status() const;
};

// Sends `bytes`, then reads for `most`, or until the answer is whole or the
// connection closes.
RawAnswer CallRaw(int port,
                  const std::string& bytes,
                  std::chrono::milliseconds most);

// Sends `bytes` and holds the connection without reading from it.
class NonReadingCaller {
 public:
  NonReadingCaller(int port, const std::string& bytes);
  ~NonReadingCaller();
  NonReadingCaller(const NonReadingCaller&) = delete;
  NonReadingCaller& operator=(const NonReadingCaller&) = delete;

 private:
  const int file_;
};

// Sends without end, until the other side takes no more (`closed_`) or `most`
// has passed; returns what came back.
RawAnswer SendRawEndless(int port,
                         const EndlessAnswer& bytes,
                         std::chrono::milliseconds most);

}  // namespace buckthorngate::tests

#endif  // TESTS_ENDLESS_UPSTREAM_H_
