// A hop: the way of one attempt from the entry side to the daemon on the host
// of the selected endpoint.
//
// The destination is either this daemon (Destination) or another one
// (PeerClient); the entry side uses both through the same interface.
#ifndef SRC_DAEMON_SERVING_HOP_H_
#define SRC_DAEMON_SERVING_HOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "http/body.h"
#include "http/cancel.h"
#include "http/client.h"
#include "http/head.h"
#include "http/server.h"

namespace buckthorngate::daemon::serving {

// Bodies up to this size are buffered completely; longer ones are streamed.
inline constexpr size_t kMaxBufferedBodyBytes = http::kPieceBytes;

struct HopRequest {
  // The caller's request head without hop-by-hop headers and headers that are
  // reserved for daemons.
  http::RequestHead head_;
  // The whole body, or its beginning if `rest_` is set, which then reads the
  // rest and must outlive the hop.
  std::string body_;
  http::BodyReader* rest_ = nullptr;

  std::string peer_address_;
  std::string endpoint_id_;
  std::string request_id_;
  std::string attempt_id_;
  std::string caller_host_;     // For fair queueing between entry hosts.
  std::string caller_service_;  // On whose host the request originated.
  // Name of the client account whose key the caller sent; empty: none.
  std::string account_;
  // Identifies requests with the same content, for the quarantine.
  std::string fingerprint_;
  std::string route_;  // Name of the matched route.
  // The request is a retry or was caused by one.
  bool below_retry_ = false;
  // Caused by a request that holds a slot on the caller's host meanwhile.
  bool nested_ = false;
  uint32_t priority_ = 0;
  // May be sent to another endpoint although this one may have run it.
  bool repeatable_ = false;
  base::MonoTime deadline_;
  // Latency objective: until then an answer has its full value, after it less.
  base::MonoTime objective_;
  http::CancelSignal* cancel_ = nullptr;
  // Bytes of a body for which the destination is asked before it is sent; 0: it
  // is sent at once.
  uint64_t asked_bytes_ = 0;
  // The destination's grant for the body; empty: none.
  std::string grant_;
  // Checks the caller's socket; needed after the process was suspended for
  // long, when a disconnect may not have been processed yet.
  std::function<bool()> caller_connected_;
  // Called while the destination responds neither to requests nor to probes.
  std::function<void()> on_peer_unresponsive_ = [] {};
  // Called when the destination has answered no probe in time. The hop still
  // waits for its answer.
  std::function<void()> on_peer_unreachable_ = [] {};
};

// Result of a hop: the upstream's answer, or a failure.
struct HopAnswer {
  ResultCode code_ = ResultCode::kOk;
  // It is certain that application code did not run.
  bool not_run_ = false;
  // The request was sent to the upstream, whatever its result.
  bool reached_ = false;
  // The upstream crashed while it handled the request.
  bool crashed_ = false;
  // Calls that the hop caused, itself included.
  uint32_t calls_ = 1;
  // Requests that were running or queued at the endpoint when the hop ended.
  std::optional<uint32_t> load_;
  // With kEndpointOverloaded: time after which the endpoint expects to have
  // room; zero without a forecast.
  base::Duration room_{0};
  // Whether the endpoint is still warming up, if it announces that.
  std::optional<bool> cold_;
  // Requests that the cold endpoint may take within the next second; nothing if
  // it is not limited.
  std::optional<uint32_t> cold_room_;
  // Share of the destination's incoming link that bodies use, if it is slow.
  std::optional<double> link_use_;
  // With kOk, to a question for a body: the grant.
  std::string grant_;
  // With kOk: the upstream's answer. `body_` is the whole body, or its
  // beginning if `rest_` is set, which then reads the rest.
  http::AnswerHead head_;
  std::string body_;
  std::shared_ptr<http::BodyReader> rest_;
  // Content-Length of the answer to a HEAD request.
  std::optional<uint64_t> announced_length_;
  // Set while a streamed request body may still be read; see FinishUpload.
  std::shared_ptr<http::Exchange> upload_;
};

class Hop {
 public:
  virtual ~Hop() = default;
  // Never throws. The request must outlive the reading of the answer's body.
  virtual http::Task<HopAnswer> Run(HopRequest& request) = 0;
};

// A hop that failed with `code`.
HopAnswer FailedHop(ResultCode code, bool not_run);

// Reads an answer's body from `exchange` up to kMaxBufferedBodyBytes; a longer
// one is left to be streamed. Result code if the body ends early:
// kUpstreamFailed, kAnswerMalformed, kDeadlineExceeded or kCallerGone.
http::Task<HopAnswer> CollectAnswer(std::shared_ptr<http::Exchange> exchange,
                                    http::AnswerHead head,
                                    bool without_body);

// Logs an answer whose body ended early in CollectAnswer.
void LogIfTruncated(const HopRequest& request, const HopAnswer& answer);

// Sends the answer of a hop as the answer to `call`; false if it could not be
// sent completely.
http::Task<bool> SendAnswer(http::ServerCall& call, HopAnswer& answer);

// To be called after the answer was sent: waits until the caller's body is no
// longer read. If the caller keeps sending, its connection is closed, but not
// before the answer has arrived there or its time has run out.
http::Task<void> FinishUpload(http::ServerCall& call, HopAnswer& answer);

}  // namespace buckthorngate::daemon::serving

#endif  // SRC_DAEMON_SERVING_HOP_H_
