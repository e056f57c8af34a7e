// The entry side of a daemon.
#include "daemon/entry.h"

#include <atomic>
#include <cstdint>
#include <utility>

#include "base/hash.h"
#include "daemon/entry_call.h"

namespace buckthorngate::daemon {
namespace {

// Counts a request until it ends, be it by an exception: a stop waits for all.
class CountedScope {
 public:
  explicit CountedScope(std::atomic<int64_t>& count) : count_(count) {
    count_.fetch_add(1);
  }
  ~CountedScope() { count_.fetch_sub(1); }
  CountedScope(const CountedScope&) = delete;
  CountedScope& operator=(const CountedScope&) = delete;

 private:
  std::atomic<int64_t>& count_;
};

}  // namespace

Entry::Entry(EntryOptions options,
             const base::Clock& clock,
             http::EventLoop& loop,
             blackboard::Blackboard& board,
             ClaimClient& claims,
             Hop& own_host,
             Hop& other_hosts,
             BrakeHandler on_brake)
    : options_(std::move(options)),
      clock_(clock),
      loop_(loop),
      board_(board),
      claims_(claims),
      own_host_(own_host),
      other_hosts_(other_hosts),
      on_brake_(std::move(on_brake)),
      random_(options_.incarnation_ ^ base::Hash(options_.host_)) {}

std::string Entry::NextId() {
  return options_.host_ + "-" + std::to_string(options_.incarnation_) + "-" +
         std::to_string(next_request_++);
}

http::Task<void> Entry::Handle(http::ServerCall& server_call) {
  const CountedScope in_flight(board_.InFlight());
  const base::MonoTime came = clock_.Read().mono_;
  Call call(*this, server_call);
  co_await call.Run();
  board_.DaemonMetrics().RecordRequestDuration(blackboard::CallSide::kEntry,
                                               clock_.Read().mono_ - came);
}

}  // namespace buckthorngate::daemon
