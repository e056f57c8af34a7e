// The hop from the entry to the daemon beside the picked endpoint.
//
// The destination may be this very daemon (Destination) or another one
// (PeerClient): the entry calls both alike.
#ifndef SRC_DAEMON_HOP_H_
#define SRC_DAEMON_HOP_H_

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

namespace buckthorngate::daemon {

// Bodies up to this size are held whole; longer ones are passed on piece by
// piece.
inline constexpr size_t kWholeBodyBytes = http::kPieceBytes;

struct HopRequest {
  // As the caller sent it, without headers of one connection or of daemons.
  http::RequestHead head_;
  // The body, or its beginning if `rest_` has more. `rest_` outlives the hop.
  std::string body_;
  http::BodyReader* rest_ = nullptr;

  std::string peer_address_;
  std::string endpoint_id_;
  std::string request_id_;
  std::string attempt_id_;
  std::string caller_host_;     // For fairness between entries.
  std::string caller_service_;  // Beside which the request began.
  std::string fingerprint_;
  std::string route_;  // Name of the route that it came by.
  bool below_retry_ = false;
  // A call of a request that holds a slot at the caller's host meanwhile.
  bool nested_ = false;
  uint32_t priority_ = 0;
  // May be sent to another endpoint though this one may have run it.
  bool repeatable_ = false;
  base::MonoTime deadline_;
  // Until then an answer is worth its full credit.
  base::MonoTime objective_;
  http::CancelSignal* cancel_ = nullptr;
  // Asks the caller's socket, for when the process was stopped for long.
  std::function<bool()> still_wanted_;
  // Called while the destination answers neither requests nor probes.
  std::function<void()> on_unheard_ = [] {};
  // What the hop keeps until the answer's body is read.
  std::shared_ptr<void> kept_;
};

struct HopAnswer {
  ResultCode code_ = ResultCode::kOk;
  // Certain that application code did not run.
  bool not_run_ = false;
  // The upstream was sent the request, whatever it made of it.
  bool reached_ = false;
  // The upstream died under the request.
  bool crashed_ = false;
  // Calls that the hop caused, itself included.
  uint32_t calls_ = 1;
  // Requests that ran or waited at the endpoint when the hop ended.
  std::optional<uint32_t> load_;
  // Whether the endpoint still warms up, if it tells that.
  std::optional<bool> cold_;
  // With kOk: the upstream's answer, whole in `body_`, or its beginning if
  // `rest_` has more.
  http::AnswerHead head_;
  std::string body_;
  std::shared_ptr<http::BodyReader> rest_;
  // Length that the answer to a HEAD request tells.
  std::optional<uint64_t> told_length_;
  // Set while a streamed request may still be read; see FinishUpload.
  std::shared_ptr<http::Exchange> upload_;
};

class Hop {
 public:
  virtual ~Hop() = default;
  // Never throws; the request must stay until the answer's body is read.
  virtual http::Task<HopAnswer> Run(HopRequest& request) = 0;
};

HopAnswer FailedHop(ResultCode code, bool not_run);

// Reads the beginning of an answer's body from `exchange`; the whole of it if
// it is short. If it is cut off, why: kUpstreamFailed, kAnswerMalformed,
// kDeadlineExceeded or kCallerGone.
http::Task<HopAnswer> CollectAnswer(std::shared_ptr<http::Exchange> exchange,
                                    http::AnswerHead head,
                                    bool without_body);

// One line for an answer whose body broke off while it was collected.
void LogIfCut(const HopRequest& request, const HopAnswer& answer);

// Sends the answer of a hop to the other side of `call`; false if it could not
// be sent whole.
http::Task<bool> SendAnswer(http::ServerCall& call, HopAnswer& answer);

// After the answer: waits until nothing reads the caller's body any more, and
// closes the caller's connection if it goes on sending, but not before its
// answer has arrived.
http::Task<void> FinishUpload(http::ServerCall& call, HopAnswer& answer);

}  // namespace buckthorngate::daemon

#endif  // SRC_DAEMON_HOP_H_
