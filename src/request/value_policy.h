// Overload policy that serves the requests with the most value per unit of
// work.
//
// The waiters form a plan: in the order of their value per unit of work, in
// classes, and within a class of their due times, they are assigned to the
// slots that are expected to become free next. While the plan misses a due
// time, the request with the least value per unit of work among those up to
// that point is refused at once. Nested calls come first and are refused only
// if they cannot meet their deadline: the work of their parents would be lost.
#ifndef SRC_REQUEST_VALUE_POLICY_H_
#define SRC_REQUEST_VALUE_POLICY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "request/overload_policy.h"
#include "request/work_estimator.h"

namespace buckthorngate::request {

class ValuePolicy : public OverloadPolicy {
 public:
  // No priority class and no caller waits longer than this for its next slot
  // while others are served, if it has requests that can be answered in time.
  static constexpr base::Duration kStarvationBound = std::chrono::seconds(1);

  bool CanFinish(const AdmissionRequest& request,
                 const QueueState& state) const override;
  bool MayWait(const AdmissionRequest& request,
               const QueueState& state,
               std::vector<uint64_t>& preempted) override;
  std::vector<uint64_t> Shed(const QueueState& state) const override;
  uint64_t Next(const QueueState& state) const override;
  void RecordAdmitted(const AdmissionRequest& request,
                      base::MonoTime now) override;
  void RecordServed(const std::string& kind,
                    base::Duration service_time,
                    base::MonoTime now) override;
  base::Duration ForecastRoom(const AdmissionRequest& request,
                              const QueueState& state) override;
  base::Duration UsualServiceTime() const override {
    return work_.Average().mean_;
  }

 private:
  // Requests are served in the order of their tiers.
  enum class Tier : uint8_t { kNested, kProtected, kOrdinary };
  // A request in the plan.
  struct Item {
    uint64_t ticket_ = 0;
    Tier tier_ = Tier::kOrdinary;
    // Time by which it has to be answered to have the value that `density_`
    // assumes: its objective, or its deadline if it is late anyway.
    base::MonoTime due_;
    double density_ = 0.0;  // Value per second of work.
    uint32_t class_ = 0;    // See DensityClass.
    WorkEstimate work_;
    // Requests of its caller that run or wait.
    uint32_t caller_requests_ = 0;

    bool Precedes(const Item& other) const;
  };
  // A forecast that a refused request was told.
  struct Forecast {
    std::string kind_;
    // Identifies the request when it comes back: a caller's deadline does not
    // change with its tries.
    base::MonoTime deadline_;
    base::MonoTime due_;
  };

  Item MakeItem(const AdmissionRequest& request, const QueueState& state) const;
  // Items of all waiters, in the order in which they are served.
  std::vector<Item> MakePlan(const QueueState& state) const;
  // Times at which the slots are expected to become free, as a min-heap.
  std::vector<base::MonoTime> SlotTimes(const QueueState& state) const;
  // Index of the first item that misses its due time; the size if none does.
  static size_t FirstMissed(const std::vector<Item>& plan,
                            std::vector<base::MonoTime> slots,
                            base::MonoTime now);
  // The item to refuse among the first `count`.
  static size_t CheapestOf(const std::vector<Item>& plan, size_t count);
  // Removes items from the plan until all others meet their due times. Returns
  // the tickets of the removed ones.
  std::vector<uint64_t> MakeFeasible(std::vector<Item>& plan,
                                     const QueueState& state) const;
  // Whether the class or the caller of the request has waited too long.
  bool IsStarved(const AdmissionRequest& request, base::MonoTime now) const;
  // Notes that the class and the caller of the request want a slot.
  void RecordDemand(const AdmissionRequest& request, base::MonoTime now);
  bool HasForecast(const AdmissionRequest& request, base::MonoTime now) const;

  WorkEstimator work_;
  // For classes and callers with requests that wait or were refused: since when
  // none of their requests got a slot.
  std::map<uint32_t, base::MonoTime> class_unserved_;
  std::map<std::string, base::MonoTime> caller_unserved_;
  // Invariant: at most kMaxForecasts.
  std::deque<Forecast> forecasts_;
  // Room up to this time was already promised to refused requests.
  base::MonoTime promised_until_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_VALUE_POLICY_H_
