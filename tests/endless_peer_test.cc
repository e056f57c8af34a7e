// Endless streams of bytes between daemons, and into the listeners that serve
// no callers' requests. A fake destination on a raw socket answers the entry
// side's client; real daemons receive endless requests.
#define BOOST_TEST_MODULE endless_peer
#include <boost/test/unit_test.hpp>

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/time.h"
#include "daemon/serving/hop.h"
#include "daemon/serving/peer_client.h"
#include "endless_upstream.h"
#include "http/event_loop.h"
#include "process_harness.h"
#include "sent_hop.h"

namespace buckthorngate::tests {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Requests to the faulty peer at the same time.
constexpr int kRequests = 13;
constexpr milliseconds kDeadline{1000};
// Allowance beyond the deadline for a loaded machine.
constexpr milliseconds kDeadlineSlack{1000};
// Memory that the faulty side may cost a daemon on a host with 88 MB.
constexpr size_t kMaxAddedBytes = size_t{16} * 1024 * 1024;
constexpr milliseconds kSlowPause{50};
// How long a request to another peer may take meanwhile.
constexpr milliseconds kMaxOtherDuration{500};
constexpr milliseconds kSampleInterval{5};
// Before it has passed, all requests are sent, each on its own connection: the
// faulty peer reads one request from each.
constexpr milliseconds kAllSentTime{300};

size_t OwnRssBytes() {
  std::ifstream file("/proc/self/statm");
  size_t whole = 0;
  size_t resident = 0;
  file >> whole >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

// Memory that is allocated from the heap.
size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string OkHead(const std::string& more) {
  return "HTTP/1.1 200 OK\r\nBg-Attempt: {attempt}\r\n" + more;
}

std::string Chunk(size_t size) {
  std::ostringstream text;
  text << std::hex << size << "\r\n" << std::string(size, 'a') << "\r\n";
  return text.str();
}

std::map<std::string, EndlessAnswer> WithPause(
    std::map<std::string, EndlessAnswer> answers,
    milliseconds pause) {
  for (auto& [name, answer] : answers) {
    answer.pause_ = pause;
  }
  return answers;
}

// Answers of a destination that are endless before their head, or the beginning
// of their body, is complete.
std::map<std::string, EndlessAnswer> EndlessAnswerStarts() {
  const std::string foreign =
      "HTTP/1.1 200 OK\r\nBg-Attempt: other\r\nContent-Length: ";
  const std::string chunked = OkHead("Transfer-Encoding: chunked\r\n\r\n");
  return {
      {"binary", {"", std::string("\0\xff\x01\x80", 4)}},
      {"line", {"", "a"}},
      {"reason", {"HTTP/1.1 200 ", "a"}},
      {"field-name", {"HTTP/1.1 200 OK\r\n", "a"}},
      {"field", {"HTTP/1.1 200 OK\r\nX-A: ", "a"}},
      {"fields", {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"}},
      {"short-fields", {"HTTP/1.1 200 OK\r\n", "A:\r\n"}},
      {"attempts", {"HTTP/1.1 200 OK\r\n", "Bg-Attempt: other\r\n"}},
      {"breaks", {"", "\r\n"}},
      {"interim", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"foreign-body", {foreign + "99999999999\r\n\r\n", "a"}},
      {"foreign-short", {"", foreign + "1\r\n\r\na"}},
      {"no-attempt", {"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"}},
      {"chunk-size", {chunked, "0"}},
      {"chunk-extension", {chunked + "1;", "a"}},
      {"trailer", {chunked + "0\r\n", "A: b\r\n"}},
  };
}

// Bodies with the attempt's id that never end.
std::map<std::string, EndlessAnswer> EndlessBodies() {
  return {
      {"chunks", {OkHead("Transfer-Encoding: chunked\r\n\r\n"), Chunk(1000)}},
      {"closing", {OkHead("Connection: close\r\n\r\n"), "aaaaaaaa"}},
      {"long", {OkHead("Content-Length: 9223372036854775807\r\n\r\n"), "aa"}},
  };
}

// The entry side's client for other daemons, with a faulty and a good peer.
class EndlessPeer {
 public:
  explicit EndlessPeer(std::map<std::string, EndlessAnswer> answers)
      : faulty_(std::move(answers)), good_({}) {
    loop_.Start();
  }
  ~EndlessPeer() { loop_.Stop(); }

  // Sends as many requests as a destination has slots to the faulty peer; each
  // must outlive its answer.
  std::vector<std::unique_ptr<SentHop>> Send(const std::string& kind) {
    std::vector<std::unique_ptr<SentHop>> sent;
    sent.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      sent.push_back(std::make_unique<SentHop>(
          client_, loop_, Request(faulty_, kind, i), kDeadline));
    }
    return sent;
  }

  // Sends requests to the good peer and samples the memory until all of `sent`
  // have ended, at most for `timeout`; false if they have not.
  bool AwaitEnd(std::vector<std::unique_ptr<SentHop>>& sent,
                milliseconds timeout) {
    const Clock::time_point until = Clock::now() + timeout;
    std::vector<std::future<void>> ended;
    ended.reserve(sent.size());
    for (const std::unique_ptr<SentHop>& hop : sent) {
      ended.push_back(hop->ended_.get_future());
    }
    bool all = false;
    while (!all && Clock::now() < until) {
      ObserveFor(kSampleInterval);
      all = std::all_of(
          ended.begin(), ended.end(), [](const std::future<void>& one) {
            return one.wait_for(milliseconds(0)) == std::future_status::ready;
          });
    }
    if (!all) {
      // They refer to `sent`.
      loop_.RunAndWait([&sent] {
        for (const std::unique_ptr<SentHop>& hop : sent) {
          hop->cancel_.Raise();
        }
      });
      for (const std::future<void>& one : ended) {
        one.wait();
      }
    }
    return all;
  }

  // Sends requests to the good peer and samples the memory.
  void ObserveFor(milliseconds duration) {
    const Clock::time_point until = Clock::now() + duration;
    do {
      const Clock::time_point began = Clock::now();
      SentHop other(client_, loop_, Request(good_, "other", 0), kDeadline);
      other.ended_.get_future().wait();
      loop_.RunAndWait([&other] { other.answer_.upload_.reset(); });
      BOOST_TEST((other.answer_.code_ == ResultCode::kOk));
      longest_other_ = std::max(
          longest_other_,
          std::chrono::duration_cast<milliseconds>(Clock::now() - began));
      peak_rss_ = std::max(peak_rss_, OwnRssBytes());
      std::this_thread::sleep_for(kSampleInterval);
    } while (Clock::now() < until);
  }

  // Drops the answers, which closes their connections.
  void Drop(std::vector<std::unique_ptr<SentHop>>& sent) {
    loop_.RunAndWait([&sent] {
      for (const std::unique_ptr<SentHop>& hop : sent) {
        hop->answer_ = daemon::serving::HopAnswer();
      }
    });
  }

  void ExpectClosed(const std::string& kind) {
    BOOST_TEST(
        ProcessMesh::Await([this] { return faulty_.OpenAnswers() == 0; },
                           milliseconds(2000)),
        kind << ": connections are still open: " << faulty_.OpenAnswers());
  }

  void ExpectBounded(const std::string& kind, size_t idle) {
    const size_t added = std::max(peak_rss_, idle) - idle;
    BOOST_TEST(added < kMaxAddedBytes,
               kind << " added " << added / 1024 << " KiB");
    BOOST_TEST((longest_other_ < kMaxOtherDuration),
               kind << ": a request to another peer took "
                    << longest_other_.count() << " ms");
    BOOST_TEST_MESSAGE(kind << ": added " << added / 1024
                            << " KiB, others took " << longest_other_.count()
                            << " ms at most");
    peak_rss_ = 0;
    longest_other_ = milliseconds(0);
  }

  http::EventLoop& Loop() { return loop_; }

 private:
  static daemon::serving::HopRequest Request(const EndlessUpstream& peer,
                                             const std::string& kind,
                                             int number) {
    daemon::serving::HopRequest request = MakeHopRequest();
    request.head_.target_ = "/" + kind;
    request.attempt_id_ = kind + "/" + std::to_string(number);
    request.peer_address_ = peer.Address();
    return request;
  }

  EndlessUpstream faulty_;
  EndlessUpstream good_;
  base::SystemClock clock_;
  http::EventLoop loop_;
  daemon::serving::PeerClient client_{clock_, loop_};
  size_t peak_rss_ = 0;
  milliseconds longest_other_{0};
};

void ExpectFailures(EndlessPeer& peer, const std::string& kind) {
  const size_t idle = OwnRssBytes();
  const Clock::time_point began = Clock::now();
  std::vector<std::unique_ptr<SentHop>> sent = peer.Send(kind);
  BOOST_REQUIRE_MESSAGE(peer.AwaitEnd(sent, kDeadline + kDeadlineSlack),
                        kind << " has not ended in time");
  const milliseconds took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - began);
  for (const std::unique_ptr<SentHop>& hop : sent) {
    const ResultCode code = hop->answer_.code_;
    BOOST_TEST((code == ResultCode::kAnswerMalformed ||
                code == ResultCode::kAnswerCrossed ||
                code == ResultCode::kDeadlineExceeded),
               kind << " gave " << Describe(code).name_);
    // The destination may have run the request.
    BOOST_TEST(!hop->answer_.not_run_, kind);
  }
  BOOST_TEST_MESSAGE(kind << ": " << Describe(sent[0]->answer_.code_).name_
                          << " after " << took.count() << " ms");
  peer.Drop(sent);
  peer.ExpectBounded(kind, idle);
  peer.ExpectClosed(kind);
}

// Guards against a destination that exhausts the memory of the entry's daemon,
// delays requests past their deadline, or blocks those to other destinations,
// by sending bytes at full speed that never form an answer.
BOOST_AUTO_TEST_CASE(AFastEndlessAnswerStartOfAPeerIsCutAsAFailure) {
  EndlessPeer peer(EndlessAnswerStarts());
  for (const auto& [kind, answer] : EndlessAnswerStarts()) {
    ExpectFailures(peer, kind);
  }
}

// Guards against the same at a slow rate, at which no size limit is reached in
// time.
BOOST_AUTO_TEST_CASE(ASlowEndlessAnswerStartOfAPeerIsCutAsAFailure) {
  EndlessPeer peer(WithPause(EndlessAnswerStarts(), kSlowPause));
  for (const auto& [kind, answer] : EndlessAnswerStarts()) {
    ExpectFailures(peer, kind);
  }
}

// Guards against endless bodies that are kept for callers that don't read them,
// or continue after their callers have left.
BOOST_AUTO_TEST_CASE(AnEndlessBodyOfAPeerIsNotKeptAndEndsWithItsCaller) {
  EndlessPeer peer(EndlessBodies());
  for (const auto& [kind, answer] : EndlessBodies()) {
    const size_t idle = OwnRssBytes();
    std::vector<std::unique_ptr<SentHop>> sent = peer.Send(kind);
    BOOST_REQUIRE(peer.AwaitEnd(sent, kDeadline + kDeadlineSlack));
    for (const std::unique_ptr<SentHop>& hop : sent) {
      BOOST_TEST((hop->answer_.code_ == ResultCode::kOk), kind);
      BOOST_TEST(hop->answer_.body_.size() ==
                 daemon::serving::kMaxBufferedBodyBytes);
      BOOST_TEST((hop->answer_.rest_ != nullptr), kind);
    }
    // Nobody reads the rest.
    peer.ObserveFor(milliseconds(1000));
    peer.Drop(sent);
    peer.ExpectBounded(kind, idle);
    peer.ExpectClosed(kind);
  }
}

// Reads a body to its end, piece by piece.
struct ReadBody {
  uint64_t bytes_ = 0;
  http::BodyState state_ = http::BodyState::kMore;
  std::promise<void> ended_;
};

http::Task<void> ReadToEnd(std::shared_ptr<http::BodyReader> body,
                           ReadBody& read) {
  std::string piece;
  while (read.state_ == http::BodyState::kMore) {
    piece.clear();
    read.state_ = co_await body->Read(piece, http::kPieceBytes);
    read.bytes_ += piece.size();
  }
  read.ended_.set_value();
}

// Guards against a slow endless body after a long beginning that occupies its
// request for as long as the caller waits. All kinds at once, since each takes
// the 10 s that a piece may take.
BOOST_AUTO_TEST_CASE(ASlowEndlessBodyOfAPeerIsCut) {
  const std::string first(daemon::serving::kMaxBufferedBodyBytes * 2, 'a');
  EndlessPeer peer(WithPause(
      {{"chunks",
        {OkHead("Transfer-Encoding: chunked\r\n\r\n") + Chunk(first.size()),
         Chunk(1)}},
       {"closing", {OkHead("Connection: close\r\n\r\n") + first, "a"}},
       {"long", {OkHead("Content-Length: 99999999999\r\n\r\n") + first, "a"}}},
      kSlowPause));
  const size_t idle = OwnRssBytes();
  std::vector<std::unique_ptr<SentHop>> sent;
  for (const std::string kind : {"chunks", "closing", "long"}) {
    for (std::unique_ptr<SentHop>& hop : peer.Send(kind)) {
      sent.push_back(std::move(hop));
    }
  }
  BOOST_REQUIRE(peer.AwaitEnd(sent, kDeadline + kDeadlineSlack));
  std::vector<ReadBody> bodies(sent.size());
  for (size_t i = 0; i < sent.size(); ++i) {
    BOOST_REQUIRE((sent[i]->answer_.rest_ != nullptr));
    peer.Loop().RunAndWait([&] {
      peer.Loop().Spawn(ReadToEnd(sent[i]->answer_.rest_, bodies[i]));
    });
  }
  peer.ObserveFor(milliseconds(12'000));
  for (size_t i = 0; i < sent.size(); ++i) {
    BOOST_REQUIRE((bodies[i].ended_.get_future().wait_for(milliseconds(2000)) ==
                   std::future_status::ready));
    BOOST_TEST((bodies[i].state_ == http::BodyState::kFailed),
               sent[i]->request_.attempt_id_);
  }
  peer.Drop(sent);
  peer.ExpectBounded("slow bodies", idle);
  peer.ExpectClosed("slow bodies");
}

// A real daemon whose listeners receive endless requests.
class EndlessListener {
 public:
  EndlessListener() : mesh_(1, 1) {
    mesh_.StartAll();
    BOOST_REQUIRE(ProcessMesh::Await(
        [this] { return mesh_.Admin(kHost, "/healthz").status_ == 200; }));
  }

  const HostPorts& Ports() const { return mesh_.Ports(kHost); }

  struct Result {
    std::vector<RawAnswer> answers_;
    size_t added_bytes_ = 0;
    milliseconds longest_other_{0};
    int failed_others_ = 0;
  };

  // Sends the same endless request on `connections` connections; meanwhile asks
  // for the health page as the health check does, and samples the memory.
  Result Send(int port,
              const EndlessAnswer& bytes,
              int connections,
              milliseconds timeout) {
    Result result;
    const size_t idle = mesh_.RssBytes(kHost);
    result.answers_.resize(static_cast<size_t>(connections));
    std::atomic<int> running{connections};
    std::vector<std::thread> senders;
    for (RawAnswer& answer : result.answers_) {
      senders.emplace_back([&] {
        answer = SendRawEndless(port, bytes, timeout);
        --running;
      });
    }
    while (running > 0) {
      const Clock::time_point began = Clock::now();
      const int status = CallRaw(Ports().admin_,
                                 "GET /healthz HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\n\r\n",
                                 kMaxOtherDuration)
                             .Status();
      result.failed_others_ += status == 200 ? 0 : 1;
      result.longest_other_ = std::max(
          result.longest_other_,
          std::chrono::duration_cast<milliseconds>(Clock::now() - began));
      const size_t rss = mesh_.RssBytes(kHost);
      result.added_bytes_ =
          std::max(result.added_bytes_, std::max(rss, idle) - idle);
      std::this_thread::sleep_for(kSampleInterval);
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    return result;
  }

  // Sends and checks that each connection is closed in time, within bounds.
  void ExpectRefused(const std::string& name,
                     int port,
                     const EndlessAnswer& bytes,
                     int connections,
                     milliseconds timeout) {
    const Result result = Send(port, bytes, connections, timeout);
    const auto open =
        std::count_if(result.answers_.begin(), result.answers_.end(),
                      [](const RawAnswer& answer) { return !answer.closed_; });
    BOOST_TEST(open == 0, name << ": connections are still open: " << open);
    BOOST_TEST(result.added_bytes_ < kMaxAddedBytes,
               name << " added " << result.added_bytes_ / 1024 << " KiB");
    BOOST_TEST(result.failed_others_ == 0,
               name << ": failed health checks: " << result.failed_others_);
    BOOST_TEST_MESSAGE(name << ": " << result.answers_[0].Status() << " after "
                            << result.answers_[0].took_.count() << " ms, added "
                            << result.added_bytes_ / 1024
                            << " KiB, other calls took "
                            << result.longest_other_.count()
                            << " ms at most, failed " << result.failed_others_);
  }

 private:
  static constexpr char kHost[] = "proxy-1-1";
  ProcessMesh mesh_;
};

// Guards against idle connections that keep the buffer and the fields of the
// last head, up to 64 connections for each address.
BOOST_AUTO_TEST_CASE(AnIdleConnectionKeepsNoLargeHead) {
  constexpr size_t kMaxKeptBytes = size_t{16} * 1024;
  const std::string head = OkHead("X-A: " + std::string(60'000, 'a') +
                                  "\r\nContent-Length: 2\r\n\r\nok");
  EndlessAnswer large = {head, "", kSlowPause};
  large.lead_ = kAllSentTime;
  EndlessPeer peer({{"large", large}});
  peer.ObserveFor(kSlowPause);
  const size_t idle = HeapBytes();
  std::vector<std::unique_ptr<SentHop>> sent = peer.Send("large");
  BOOST_REQUIRE(peer.AwaitEnd(sent, kDeadline + kDeadlineSlack));
  for (const std::unique_ptr<SentHop>& hop : sent) {
    BOOST_TEST((hop->answer_.code_ == ResultCode::kOk));
  }
  peer.Drop(sent);
  sent.clear();
  const size_t kept = (std::max(HeapBytes(), idle) - idle) / kRequests;
  BOOST_TEST(kept < kMaxKeptBytes, "kept " << kept << " bytes for each");
  BOOST_TEST_MESSAGE("kept " << kept << " bytes for each connection");
}

// Guards against a head whose Connection header lists tens of thousands of
// names, empty ones here, each of which was compared with each field.
BOOST_AUTO_TEST_CASE(AHeadThatListsManyNamesDelaysNoOthers) {
  std::string head =
      OkHead("Connection: a" + std::string(58'000, ',') + "\r\n");
  for (int i = 0; i < 900; ++i) {
    head += "B:\r\n";
  }
  head += "Content-Length: 2\r\n\r\nok";
  EndlessAnswer names = {head, "", kSlowPause};
  names.lead_ = kAllSentTime;
  EndlessPeer peer({{"names", names}});
  const size_t idle = OwnRssBytes();
  std::vector<std::unique_ptr<SentHop>> sent = peer.Send("names");
  BOOST_TEST(peer.AwaitEnd(sent, kDeadline + kDeadlineSlack));
  peer.ExpectBounded("names", idle);
  peer.Drop(sent);
}

struct EndlessRequest {
  std::string name_;
  std::string first_;
  std::string unit_;
};

std::string Repeat(const std::string& unit, size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

// Requests to the admin listener that never end.
std::vector<EndlessRequest> EndlessAdminRequests() {
  const std::string post =
      "POST /announce HTTP/1.1\r\nHost: h\r\n"
      "Content-Type: application/x-www-form-urlencoded\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"binary", "", std::string("\0\xff\x01\x80", 4)},
      {"line", "", "a"},
      {"target", "GET /", "a"},
      {"field name", "GET /healthz HTTP/1.1\r\n", "a"},
      {"field", "GET /healthz HTTP/1.1\r\nX-A: ", "a"},
      {"fields", "GET /healthz HTTP/1.1\r\n", "X-A: b\r\n"},
      {"body", post + "Content-Length: 9223372036854775807\r\n\r\n", "a"},
      {"short body", post + "Content-Length: 8000\r\n\r\n", "a"},
      {"body without a length", post + "Connection: close\r\n\r\n", "a"},
      {"chunks", chunked, Chunk(1000)},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "1;", "a"},
      {"trailer", chunked + "0\r\n", "A: b\r\n"},
      {"body of an unknown call",
       "POST /other HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       Chunk(1000)},
  };
}

// Guards against a request without end to the admin listener, whose body, chunk
// framing or head was kept in memory for as long as it was sent. At most 64
// MB/s are sent, so that a failure of this test doesn't exhaust the machine's
// memory.
BOOST_AUTO_TEST_CASE(AFastEndlessAdminRequestIsRefused) {
  constexpr size_t kBurstBytes = size_t{16} * 1024;
  constexpr int kConnections = 4;
  EndlessListener daemon;
  for (const EndlessRequest& request : EndlessAdminRequests()) {
    daemon.ExpectRefused(
        request.name_, daemon.Ports().admin_,
        {request.first_, Repeat(request.unit_, kBurstBytes), milliseconds(1)},
        kConnections, milliseconds(2500));
  }
}

// Requests to the listener for other daemons that never end.
std::vector<EndlessRequest> EndlessPeerRequests() {
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nBg-Attempt: id/1\r\nX-Request-Id: id\r\n"
      "Bg-Endpoint: none\r\nBg-Deadline-Ms: 1000\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"binary", "", std::string("\0\xff\x01\x80", 4)},
      {"line", "", "a"},
      {"field name", head, "a"},
      {"fields", head, "X-A: b\r\n"},
      {"length", head + "Content-Length: 9223372036854775807\r\n\r\n", "a"},
      {"body", head + "Content-Length: 99999999999\r\n\r\n", "a"},
      {"chunks", chunked, Chunk(1)},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "1;", "a"},
      {"trailer", chunked + "0\r\n", "A: b\r\n"},
  };
}

// Guards against a daemon that sends requests without end to another one.
BOOST_AUTO_TEST_CASE(AFastEndlessRequestOfAPeerIsRefused) {
  constexpr int kConnections = 4;
  EndlessListener daemon;
  for (const EndlessRequest& request : EndlessPeerRequests()) {
    daemon.ExpectRefused(request.name_, daemon.Ports().peers_,
                         {request.first_, request.unit_}, kConnections,
                         milliseconds(4000));
  }
}

// Guards against a request whose body arrives byte by byte: it was read for
// hours, until 64 KiB had arrived, although its deadline had passed.
BOOST_AUTO_TEST_CASE(ASlowRequestBodyOfAPeerEndsWithItsDeadline) {
  EndlessListener daemon;
  const std::vector<EndlessRequest> requests = EndlessPeerRequests();
  for (const EndlessRequest& request : requests) {
    if (request.name_ == "body" || request.name_ == "chunks") {
      daemon.ExpectRefused(request.name_, daemon.Ports().peers_,
                           {request.first_, request.unit_, kSlowPause}, 1,
                           milliseconds(4000));
    }
  }
}

// Guards against slow endless requests, each of which occupied one of the 8
// threads that serve announcements and health checks, and for as long as it was
// sent. All kinds at once.
BOOST_AUTO_TEST_CASE(SlowEndlessAdminRequestsBlockNoOthers) {
  constexpr int kConnections = 3;
  constexpr milliseconds kSlowTime{9000};
  EndlessListener daemon;
  std::vector<std::thread> senders;
  const std::vector<EndlessRequest> requests = EndlessAdminRequests();
  std::vector<RawAnswer> results(requests.size() * kConnections);
  for (size_t i = 0; i < results.size(); ++i) {
    senders.emplace_back([&, i] {
      const EndlessRequest& request = requests[i / kConnections];
      results[i] = SendRawEndless(
          daemon.Ports().admin_,
          {request.first_, request.unit_.substr(0, 20), kSlowPause}, kSlowTime);
    });
  }
  // One more sender beside them, whose call samples the others.
  daemon.ExpectRefused("slow head", daemon.Ports().admin_,
                       {"GET /healthz HTTP/1.1\r\nX-A: ", "a", kSlowPause}, 1,
                       kSlowTime);
  for (std::thread& sender : senders) {
    sender.join();
  }
  for (size_t i = 0; i < results.size(); ++i) {
    BOOST_TEST(results[i].closed_,
               requests[i / kConnections].name_ << " is still open");
  }
}

}  // namespace
}  // namespace buckthorngate::tests
