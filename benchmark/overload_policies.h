// Overload policies that are measured beside those of the product.
#ifndef BENCHMARK_OVERLOAD_POLICIES_H_
#define BENCHMARK_OVERLOAD_POLICIES_H_

#include <map>
#include <string>
#include <vector>

#include "request/overload_policy.h"
#include "request/work_estimator.h"

namespace buckthorngate::benchmark {

// Earliest objective first among the requests that can meet their deadline.
class EarliestFirstPolicy : public request::OverloadPolicy {
 public:
  bool CanFinish(const request::AdmissionRequest& request,
                 const request::QueueState& state) const override;
  bool MayWait(const request::AdmissionRequest& request,
               const request::QueueState& state,
               std::vector<uint64_t>& preempted) override;
  std::vector<uint64_t> Shed(const request::QueueState& state) const override;
  uint64_t Next(const request::QueueState& state) const override;
  void RecordAdmitted(const request::AdmissionRequest&,
                      base::MonoTime) override {}
  void RecordServed(const std::string& kind,
                    base::Duration service_time,
                    base::MonoTime now) override;
  base::Duration ForecastRoom(const request::AdmissionRequest&,
                              const request::QueueState&) override {
    return base::Duration(0);
  }
  base::Duration UsualServiceTime() const override {
    return work_.Average().mean_;
  }

 protected:
  request::WorkEstimator work_;
};

// A price that rises while requests wait for long and falls otherwise; requests
// with less value per unit of work are refused (after DAGOR, SoCC 2018).
class PricePolicy : public EarliestFirstPolicy {
 public:
  bool MayWait(const request::AdmissionRequest& request,
               const request::QueueState& state,
               std::vector<uint64_t>& preempted) override;
  void RecordAdmitted(const request::AdmissionRequest& request,
                      base::MonoTime now) override;

 private:
  // Adapts the price at the end of each window.
  void UpdatePrice(base::MonoTime now);

  double price_ = 0.0;
  base::MonoTime window_began_;
  // Longest wait of a request admitted within the window.
  base::Duration longest_wait_{0};
  std::map<uint64_t, base::MonoTime> arrived_;
};

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_OVERLOAD_POLICIES_H_
