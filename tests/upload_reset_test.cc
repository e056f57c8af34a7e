// Answers of upstreams that end with their connection while an upload is still
// written: at the HTTP client, and at the callers of real daemons.
//
// A socket tells of a reset once. If a write of the upload is told, a read
// returns the bytes that came, and then 0, as at an orderly end.
#define BOOST_TEST_MODULE upload_reset
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <future>
#include <limits>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <httplib.h>

#include "endless_upstream.h"
#include "http/client.h"
#include "loopback.h"
#include "process_harness.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How an upstream ends a connection on which it has not read the whole upload.
enum class End {
  kReset,
  kInOrder,           // Reads on until the other side has closed.
  kInOrderThenReset,  // Everything that was sent has arrived before.
};

struct Form {
  std::string name_;
  std::string answer_;
  End end_ = End::kReset;
  bool whole_ = false;
};

void CloseWithReset(int file) {
  const linger at_once = {1, 0};
  setsockopt(file, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(file);
}

// Reads until the text has come or the connection has ended.
std::string ReceiveUntil(int file, const std::string& text) {
  std::string received;
  char byte = 0;
  while (received.find(text) == std::string::npos &&
         recv(file, &byte, 1, 0) == 1) {
    received += byte;
  }
  return received;
}

// Reads and drops so many bytes, or all until the other side has closed.
void Drop(int file, size_t bytes) {
  std::vector<char> buffer(size_t{64} * 1024);
  ssize_t got = 1;
  for (size_t left = bytes; left > 0 && got > 0;
       left -= static_cast<size_t>(got)) {
    got = recv(file, buffer.data(), std::min(left, buffer.size()), 0);
    got = std::max<ssize_t>(got, 0);
  }
}

void EndConnection(int file, End end) {
  if (end != End::kReset) {
    shutdown(file, SHUT_WR);
  }
  if (end == End::kInOrder) {
    Drop(file, std::numeric_limits<size_t>::max());
    close(file);
    return;
  }
  if (end == End::kInOrderThenReset) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  CloseWithReset(file);
}

// The next pieces of an upload, which come once the gate is open.
class GatedBody : public http::BodyReader {
 public:
  GatedBody(http::EventLoop& loop,
            const std::atomic<bool>& gate,
            std::optional<uint64_t> length)
      : loop_(loop), gate_(gate), length_(length) {}

  http::Task<http::BodyState> Read(std::string& piece,
                                   size_t /*most*/) override {
    while (!gate_) {
      co_await http::Sleep(loop_.Context(), milliseconds(1));
    }
    piece.append(kPiece, 'u');
    co_return --left_ == 0 ? http::BodyState::kEnd : http::BodyState::kMore;
  }
  std::optional<uint64_t> Length() const override { return length_; }

  static constexpr size_t kPiece = size_t{32} * 1024;
  static constexpr size_t kPieces = 8;

 private:
  http::EventLoop& loop_;
  const std::atomic<bool>& gate_;
  const std::optional<uint64_t> length_;
  size_t left_ = kPieces;
};

struct Outcome {
  bool head_ = false;
  http::BodyState state_ = http::BodyState::kMore;
  std::string body_;
  std::string failure_;
};

bool AnyAnswer(const http::AnswerHead& /*head*/) {
  return true;
}

// Uploads, and reads the answer's body only after the upload has been written
// or has failed: the write meets the end of the connection first.
class UploadBeforeAnswer {
 public:
  UploadBeforeAnswer(const Form& form, bool chunked)
      : form_(form), chunked_(chunked), listener_(ListenAnywhere(port_)) {
    upstream_ = std::thread([this] { Serve(); });
    loop_.Start();
  }
  ~UploadBeforeAnswer() {
    loop_.Stop();
    shutdown(listener_, SHUT_RDWR);
    upstream_.join();
    close(listener_);
  }

  Outcome Run() {
    std::promise<void> ended;
    loop_.RunAndWait([&] { loop_.Spawn(Exchange(ended)); });
    ended.get_future().wait();
    return outcome_;
  }

 private:
  void Serve() {
    const int file = accept(listener_, nullptr, nullptr);
    (void)ReceiveUntil(file, "\r\n\r\n");
    (void)send(file, form_.answer_.data(), form_.answer_.size(), MSG_NOSIGNAL);
    while (!head_came_) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    if (form_.end_ == End::kInOrder) {
      gate_ = true;
      EndConnection(file, form_.end_);
      return;
    }
    EndConnection(file, form_.end_);
    gate_ = true;
  }

  http::Task<void> Exchange(std::promise<void>& ended) {
    {
      http::ConnectionPool pool(loop_, http::ClientOptions());
      http::CancelSignal cancel;
      const base::MonoTime deadline = base::MonoNow() + seconds(5);
      const auto connection = co_await pool.Take(
          "127.0.0.1:" + std::to_string(port_), deadline, cancel);
      BOOST_REQUIRE(connection.has_value());
      http::Exchange exchange(pool, *connection, cancel);
      http::RequestHead request;
      request.method_ = "POST";
      request.target_ = "/";
      const size_t bytes = GatedBody::kPiece * (GatedBody::kPieces + 1);
      GatedBody rest(loop_, gate_,
                     chunked_ ? std::nullopt : std::optional<uint64_t>(bytes));
      const std::string first(GatedBody::kPiece, 'u');
      const auto head = co_await exchange.RunStreamed(
          loop_, request, first, rest, deadline, AnyAnswer);
      outcome_.head_ = head.has_value();
      head_came_ = true;
      (void)co_await exchange.AwaitSender(seconds(5));
      if (outcome_.head_) {
        outcome_.state_ =
            co_await http::ReadUpTo(exchange, outcome_.body_, size_t{1} << 20);
        outcome_.failure_ = exchange.Failure();
      }
    }
    ended.set_value();
  }

  const Form form_;
  const bool chunked_;
  int port_ = 0;
  const int listener_;
  std::atomic<bool> head_came_{false};
  std::atomic<bool> gate_{false};
  Outcome outcome_;
  http::EventLoop loop_;
  std::thread upstream_;
};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";

// Guards against MIXED: an answer without a length that was reset is taken for
// whole because a write of the upload was told of the reset before the reader.
BOOST_AUTO_TEST_CASE(AnAnswerIsWholeOnlyIfItsConnectionEndedInOrder) {
  const std::string head = kHead;
  const std::vector<Form> forms = {
      {"no length, reset", head + "\r\npart", End::kReset, false},
      {"no length and no body, reset", head + "\r\n", End::kReset, false},
      {"no length, in order", head + "\r\npart", End::kInOrder, true},
      {"no length, in order before a reset", head + "\r\npart",
       End::kInOrderThenReset, true},
      {"length, part", head + "Content-Length: 9\r\n\r\npart", End::kReset,
       false},
      {"length, whole", head + "Content-Length: 4\r\n\r\npart", End::kReset,
       true},
      {"length, part, in order", head + "Content-Length: 9\r\n\r\npart",
       End::kInOrder, false},
      {"chunks, part", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
       End::kReset, false},
      {"chunks, whole",
       head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
       End::kReset, true},
      {"chunks, part, in order",
       head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", End::kInOrder,
       false},
  };
  for (const Form& form : forms) {
    for (const bool chunked : {false, true}) {
      const std::string what =
          form.name_ + (chunked ? ", upload in chunks" : ", upload by length");
      const Outcome outcome = UploadBeforeAnswer(form, chunked).Run();
      BOOST_TEST(outcome.head_, what);
      BOOST_TEST((outcome.state_ == http::BodyState::kEnd) == form.whole_,
                 what << ": " << outcome.failure_);
      if (form.whole_) {
        BOOST_TEST(outcome.body_ == "part", what);
      }
    }
  }
}

constexpr size_t kUploadBytes = size_t{4} * 1024 * 1024;

std::string Hex(size_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

// What the last part of a request's path asks the upstream for:
// FORM-BYTES-MILLISECONDS. It answers with so many bytes of the form at once,
// and resets the connection after that time; the forms "early" and "late" are
// whole answers without a length, before and after the upload was read.
struct Order {
  std::string form_;
  size_t bytes_ = 0;
  milliseconds delay_{0};

  std::string Path() const {
    return form_ + "-" + std::to_string(bytes_) + "-" +
           std::to_string(delay_.count());
  }
  bool Whole() const { return form_ == "early" || form_ == "late"; }
};

class ResettingUpstream {
 public:
  ResettingUpstream() : listener_(ListenAnywhere(port_, 64)) {
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~ResettingUpstream() {
    stopping_ = true;
    if (announcer_.joinable()) {
      announcer_.join();
    }
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
  }
  // Announces itself to a daemon of the service "shop" until destruction.
  void AnnounceTo(int admin_port) {
    announcer_ = std::thread([this, admin_port] {
      const httplib::Params report = {
          {"service", "shop"},
          {"version", "v1"},
          {"address", "127.0.0.1:" + std::to_string(port_)},
          {"slots", "8"},
          {"instance", "resetting"}};
      while (!stopping_) {
        httplib::Client client("127.0.0.1", admin_port);
        (void)client.Post("/announce", report);
        std::this_thread::sleep_for(milliseconds(200));
      }
    });
  }

 private:
  void Accept() {
    std::vector<std::thread> connections;
    for (int file = accept(listener_, nullptr, nullptr); file >= 0;
         file = accept(listener_, nullptr, nullptr)) {
      const timeval patience = {5, 0};
      setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
      connections.emplace_back([file] { Serve(file); });
    }
    for (std::thread& connection : connections) {
      connection.join();
    }
  }

  static std::string AnswerFor(const Order& order, const std::string& id) {
    const std::string head =
        std::string(kHead) + "X-Request-Id: " + id + "\r\n";
    const std::string part(order.bytes_, 'a');
    if (order.form_ == "length") {
      return head + "Content-Length: " + std::to_string(order.bytes_ + 1000) +
             "\r\n\r\n" + part;
    }
    if (order.form_ == "chunked") {
      const std::string chunk =
          part.empty() ? "" : Hex(part.size()) + "\r\n" + part + "\r\n";
      return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk;
    }
    return head + "\r\n" + part;
  }

  static void Serve(int file) {
    const std::string head = ReceiveUntil(file, "\r\n\r\n");
    const size_t at = head.find("X-Request-Id: ");
    const std::string id =
        at == std::string::npos
            ? ""
            : head.substr(at + 14, head.find("\r\n", at) - at - 14);
    Order order;
    char form[16] = {};
    long delay = 0;
    if (sscanf(head.c_str(), "POST /shop/%15[a-z]-%zu-%ld ", form,
               &order.bytes_, &delay) != 3) {
      const std::string answer = std::string(kHead) + "X-Request-Id: " + id +
                                 "\r\nConnection: close\r\n"
                                 "Content-Length: 2\r\n\r\nok";
      (void)send(file, answer.data(), answer.size(), MSG_NOSIGNAL);
      EndConnection(file, End::kInOrder);
      return;
    }
    order.form_ = form;
    if (order.form_ == "late") {
      Drop(file, kUploadBytes);
    }
    const std::string answer = AnswerFor(order, id);
    (void)send(file, answer.data(), answer.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(milliseconds(delay));
    EndConnection(file, order.Whole() ? End::kInOrder : End::kReset);
  }

  int port_ = 0;
  const int listener_;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  std::thread announcer_;
};

constexpr char kService[] = R"(service = "shop"
version = "v1"
versions = ["v1"]
[[route]]
name = "read"
path = "/shop"
timeout_ms = 5000
)";

std::string Upload(const Order& order, bool chunked) {
  const std::string head =
      "POST /shop/" + order.Path() + " HTTP/1.1\r\nHost: h\r\n";
  const std::string body(kUploadBytes, 'u');
  return chunked ? head + "Transfer-Encoding: chunked\r\n\r\n" +
                       Hex(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n"
                 : head + "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
}

// Guards against the same at the callers of the daemon beside the upstream, and
// of another one.
BOOST_AUTO_TEST_CASE(ACallerNeverTakesABrokenAnswerToAnUploadForWhole) {
  ProcessMesh mesh(1, 2);
  mesh.StartAll();
  ResettingUpstream upstream;
  upstream.AnnounceTo(mesh.Ports("proxy-1-1").admin_);
  BOOST_REQUIRE(mesh.Publish(1, kService) == 0);
  BOOST_REQUIRE(mesh.AwaitServed("/shop/x"));
  std::vector<Order> orders = {{"early", 20'000, milliseconds(0)},
                               {"late", 20'000, milliseconds(0)}};
  for (const char* form : {"none", "length", "chunked"}) {
    for (const size_t bytes : {0u, 4u, 20'000u}) {
      for (const int delay : {0, 20}) {
        orders.push_back({form, bytes, milliseconds(delay)});
      }
    }
  }
  for (const Order& order : orders) {
    for (const bool chunked : {false, true}) {
      for (const std::string& host : mesh.Proxies()) {
        const RawAnswer answer = CallRaw(mesh.Ports(host).callers_,
                                         Upload(order, chunked), seconds(6));
        const bool success = answer.Status() == 200 && answer.whole_;
        BOOST_TEST(success == order.Whole(),
                   order.Path() << (chunked ? " in chunks" : " by length")
                                << " at " << host << ": " << answer.Status()
                                << ", " << answer.body_bytes_ << " bytes");
        if (success) {
          BOOST_TEST(answer.body_bytes_ >= order.bytes_, order.Path());
        }
      }
    }
  }
}

}  // namespace
}  // namespace buckthorngate::tests
