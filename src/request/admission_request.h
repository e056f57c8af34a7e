// A request as the admission queue and its overload policy see it.
#ifndef SRC_REQUEST_ADMISSION_REQUEST_H_
#define SRC_REQUEST_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "request/endpoint_stats.h"

namespace buckthorngate::request {

struct AdmissionRequest {
  uint64_t ticket_ = 0;  // Unique among running and waiting requests.
  // Slots are shared fairly between callers.
  std::string caller_;
  uint32_t priority_ = 0;  // 0 is the most urgent.
  // The caller is itself a request, which holds a slot of another upstream
  // until this call is answered.
  bool nested_ = false;
  // Latency objective: answers up to this time count in full. Equals the
  // deadline if the route has no objective.
  base::MonoTime objective_;
  base::MonoTime deadline_;
  // Groups requests with similar service times: the name of the route.
  std::string kind_;
  // `caller_` is a client account, not an entry host.
  bool by_account_ = false;

  uint32_t Rank() const { return RankOf(nested_, priority_); }
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_ADMISSION_REQUEST_H_
