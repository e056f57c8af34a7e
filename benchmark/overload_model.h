// Model of services under load, in virtual time: the decisions of the request
// path (pick, admission, second tries, return times) with stand-ins for
// upstreams, callers and hops.
#ifndef BENCHMARK_OVERLOAD_MODEL_H_
#define BENCHMARK_OVERLOAD_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "buckthorngate/result_code.h"
#include "request/admission.h"
#include "request/endpoint_picker.h"
#include "request/overload_policy.h"

namespace buckthorngate::benchmark {

// Endpoints of one service; zone and relative speed of each.
struct ModelService {
  struct Endpoint {
    int zone_ = 0;
    double speed_ = 1.0;
  };
  std::vector<Endpoint> endpoints_;
  uint32_t slots_ = 18;
  // Share of the time, in episodes, in which an endpoint is slower by a factor.
  double slow_share_ = 0.0;
  double slow_factor_ = 2.5;
  base::Duration slow_episode_ = std::chrono::milliseconds(600);
};

// Relative load of a zone at a time since the start, as a factor of the usual
// rate.
using ModelWave = std::function<double(int zone, base::Duration time)>;

// A kind of request.
struct ModelKind {
  std::string name_;
  size_t service_ = 0;
  std::vector<double> per_second_;  // By zone; empty: from other requests only.
  base::Duration work_{0};          // Mean at speed 1.
  double spread_ = 0.3;             // Standard deviation of its logarithm.
  base::Duration objective_{0};
  base::Duration deadline_{0};
  uint32_t priority_ = 2;
  bool large_ = false;
  // Mean size of the request's body; its spread is that of a logarithm.
  double body_bytes_ = 0.0;
  double body_spread_ = 0.6;
  int returns_ = 1;  // How often a refused caller comes back.
  // A share of the requests calls another kind while it holds its slot.
  int calls_kind_ = -1;
  double calls_share_ = 0.0;
  int calls_ = 1;  // Made one after the other.
  // Null: constant. Never more than max_load_.
  ModelWave wave_;
  double max_load_ = 1.0;
};

// A first request as it arrived, for an oracle.
struct ModelArrival {
  size_t kind_ = 0;
  int zone_ = 0;
  base::Duration time_{0};  // Since the start.
  base::Duration work_{0};  // At speed 1.
};

struct ModelOptions {
  int zones_ = 1;
  int entries_per_zone_ = 4;
  std::vector<ModelService> services_;
  std::vector<ModelKind> kinds_;
  base::Duration length_ = std::chrono::seconds(20);
  // Left out of the report, until the load is steady.
  base::Duration warm_up_ = std::chrono::seconds(3);
  base::Duration hop_between_zones_ = std::chrono::microseconds(1500);
  double queue_per_slot_ = 1.0;
  // Makes the policy of an admission queue; null: precedence classes.
  std::function<std::unique_ptr<request::OverloadPolicy>()> policy_;
  // Entries mark full endpoints by kind of request instead of by rank.
  bool marks_by_kind_ = false;
  // Entries learn the speeds of endpoints; see EndpointStats::RecordSlowness.
  bool learns_speeds_ = false;
  // Incoming link of each endpoint's host, in bytes a second; 0: not limited.
  // Requests to the endpoint and answers to the calls that it makes arrive one
  // after the other.
  double link_bytes_per_second_ = 0.0;
  // Destinations are asked before large bodies are sent; see LinkSchedule.
  bool asks_for_bodies_ = false;
  // The work of first requests is drawn on arrival, so that it does not depend
  // on the policy, and arrivals are recorded.
  bool records_arrivals_ = false;
};

struct KindReport {
  uint64_t asked_ = 0;
  uint64_t in_time_ = 0;  // Within the objective, from the first try.
  uint64_t late_ = 0;
  uint64_t refused_ = 0;
  uint64_t failed_ = 0;  // Deadline passed, or a call of its own failed.
  // Longest wait for a refusal.
  base::Duration slowest_refusal_{0};

  double InTimeShare() const {
    return static_cast<double>(in_time_) / static_cast<double>(asked_);
  }
};

// Value of the answers to first requests: the weight of its priority for each
// in time, and request::kLateValue of it for each late one.
double ValueOf(const ModelOptions& options,
               const std::vector<KindReport>& reports);

class OverloadModel {
 public:
  OverloadModel(ModelOptions options, uint64_t seed);
  ~OverloadModel();

  std::vector<KindReport> Run();
  const std::vector<ModelArrival>& Arrivals() const { return arrivals_; }
  // Requests that each endpoint has answered after the warm-up.
  std::vector<uint64_t> ServedByEndpoint() const;
  // First requests answered by another zone, after the warm-up.
  uint64_t Spilled() const { return spilled_; }
  // Requests that a destination refused, after the warm-up.
  uint64_t TurnedAwayCount() const { return turned_away_; }

 private:
  struct Endpoint;
  struct Entry;
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void At(base::MonoTime time, std::function<void()> action);
  void After(base::Duration time, std::function<void()> action);
  void ScheduleArrivals(size_t kind, int zone);
  void Start(size_t kind,
             size_t entry,
             base::MonoTime latest,
             int parent_endpoint,
             std::function<void(bool)> done);
  void Try(const RequestPtr& request);
  // The way of a request and its body over the link of the endpoint's host.
  void Send(const RequestPtr& request, size_t endpoint);
  void AskForBody(const RequestPtr& request, size_t endpoint);
  void SendBody(const RequestPtr& request, size_t endpoint);
  void TakeGrants(size_t endpoint);
  // Puts bytes on the link; returns how long they take to arrive.
  base::Duration PutOnLink(size_t endpoint, double bytes);
  double LinkUse(size_t endpoint) const;
  void Deliver(const RequestPtr& request, size_t endpoint);
  void Admitted(const RequestPtr& request, size_t endpoint);
  void WorkDone(const RequestPtr& request, size_t endpoint, bool ok);
  // The answer has left the endpoint, with its load and the use of its link.
  void Answered(const RequestPtr& request,
                size_t endpoint,
                bool ok,
                uint32_t load,
                double link_use);
  void Release(size_t endpoint);
  void TurnedAway(const RequestPtr& request, size_t endpoint);
  void Refuse(const RequestPtr& request);
  void Finish(const RequestPtr& request, bool ok);
  void MakeCalls(const RequestPtr& request, size_t endpoint, int left);
  void ScheduleSlowEpisodes(size_t endpoint);
  base::Duration HopTime(size_t entry, size_t endpoint) const;
  base::Duration WorkTime(const ModelKind& kind, double speed);
  bool Counts(const Request& request) const;

  const ModelOptions options_;
  base::Random random_;
  base::MonoTime now_{std::chrono::hours(1)};
  const base::MonoTime began_ = now_;
  std::multimap<base::MonoTime, std::function<void()>> agenda_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<KindReport> reports_;
  std::vector<ModelArrival> arrivals_;
  uint64_t spilled_ = 0;
  uint64_t turned_away_ = 0;
  uint64_t next_ticket_ = 1;
};

}  // namespace buckthorngate::benchmark

#endif  // BENCHMARK_OVERLOAD_MODEL_H_
