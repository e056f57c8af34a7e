// Runs the requests of callers.
#include "daemon/serving/entry.h"

#include <utility>

#include "base/hash.h"
#include "daemon/serving/entry_call.h"

namespace buckthorngate::daemon::serving {
namespace {

// A buffered upload is held twice, by the call and by its attempt: at most
// 32 MiB in total.
constexpr size_t kMaxUploadBuffers = 64;

}  // namespace

Entry::Entry(EntryOptions options,
             const base::Clock& clock,
             http::EventLoop& loop,
             blackboard::Blackboard& board,
             ClaimClient& claims,
             Hop& local_hop,
             Hop& remote_hop,
             BrakeHandler on_brake)
    : options_(std::move(options)),
      clock_(clock),
      loop_(loop),
      board_(board),
      claims_(claims),
      local_hop_(local_hop),
      remote_hop_(remote_hop),
      on_brake_(std::move(on_brake)),
      random_(options_.incarnation_ ^ base::Hash(options_.host_)),
      upload_buffers_(kMaxUploadBuffers) {}

std::string Entry::NextId() {
  return options_.host_ + "-" + std::to_string(options_.incarnation_) + "-" +
         std::to_string(next_request_++);
}

http::Task<void> Entry::Handle(http::ServerCall& server_call) {
  const base::MonoTime arrived = clock_.Read().mono_;
  Call call(*this, server_call);
  co_await call.Run();
  board_.DaemonMetrics().RecordRequestDuration(blackboard::CallSide::kEntry,
                                               clock_.Read().mono_ - arrived);
}

}  // namespace buckthorngate::daemon::serving
