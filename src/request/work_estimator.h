// Learned work of requests, by kind: the time for which they hold a slot,
// nested calls included.
#ifndef SRC_REQUEST_WORK_ESTIMATOR_H_
#define SRC_REQUEST_WORK_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace buckthorngate::request {

struct WorkEstimate {
  base::Duration mean_{0};
  base::Duration deviation_{0};  // Mean absolute deviation.

  // Time within which about four of five requests are done.
  base::Duration P80() const { return mean_ + deviation_; }
};

// Not safe for concurrent use.
class WorkEstimator {
 public:
  void Record(const std::string& kind, base::Duration work, base::MonoTime now);

  // Estimate for a kind. An unknown kind counts as average, and an estimate
  // without recent samples approaches the average with its age. Zero while no
  // sample is known at all.
  WorkEstimate Of(const std::string& kind, base::MonoTime now) const;
  // Average over all kinds.
  const WorkEstimate& Average() const { return average_.estimate_; }

 private:
  struct Entry {
    WorkEstimate estimate_;
    uint32_t samples_ = 0;
    base::MonoTime updated_;

    void Add(base::Duration work, base::MonoTime now);
  };

  Entry average_;
  // Invariant: at most kMaxKinds entries; the oldest one is replaced.
  std::map<std::string, Entry> kinds_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_WORK_ESTIMATOR_H_
