// Model of services under load.
#include "overload_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "request/retry.h"
#include "request/retry_after.h"

namespace buckthorngate::benchmark {
namespace {

constexpr base::Duration kHopInZone = std::chrono::microseconds(300);
constexpr base::Duration kHopBetweenZones = std::chrono::microseconds(1500);
constexpr double kQueuePerSlot = 1.0;
constexpr base::Duration kFullTime = std::chrono::milliseconds(25);

}  // namespace

struct OverloadModel::Endpoint {
  int zone_ = 0;
  double speed_ = 1.0;
  request::AdmissionQueue admission_;
  std::map<uint64_t, RequestPtr> waiting_;

  Endpoint(const ModelService::Endpoint& endpoint, uint32_t slots)
      : zone_(endpoint.zone_),
        speed_(endpoint.speed_),
        admission_({slots, kQueuePerSlot, /*adapts=*/false}) {}
  uint32_t Load() const {
    return static_cast<uint32_t>(admission_.Running() + admission_.Waiting());
  }
};

struct OverloadModel::Entry {
  int zone_ = 0;
  std::string host_;
  std::vector<request::VersionView> services_;
};

// A request of a caller, over all its tries.
struct OverloadModel::Request {
  size_t kind_ = 0;
  size_t entry_ = 0;
  base::MonoTime began_;
  base::MonoTime try_began_;
  base::MonoTime objective_;
  base::MonoTime deadline_;
  int returns_left_ = 0;
  uint64_t ticket_ = 0;
  std::vector<std::string> tried_;
  base::MonoTime admitted_;
  bool over_ = false;
  std::function<void(bool)> done_;  // Set for nested calls.

  uint32_t Rank(const ModelKind& kind) const {
    return request::RankOf(done_ != nullptr, kind.priority_);
  }
};

OverloadModel::OverloadModel(ModelOptions options, uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      reports_(options_.kinds_.size()) {
  std::vector<size_t> first_of_service;
  for (const ModelService& service : options_.services_) {
    first_of_service.push_back(endpoints_.size());
    for (const ModelService::Endpoint& endpoint : service.endpoints_) {
      endpoints_.push_back(
          std::make_unique<Endpoint>(endpoint, service.slots_));
    }
  }
  const int entries = options_.zones_ * options_.entries_per_zone_;
  for (int e = 0; e < entries; ++e) {
    std::unique_ptr<Entry> entry = std::make_unique<Entry>();
    entry->zone_ = e % options_.zones_;
    entry->host_ = std::to_string(e);
    for (size_t s = 0; s < options_.services_.size(); ++s) {
      request::VersionView view;
      const size_t count = options_.services_[s].endpoints_.size();
      for (const bool own : {true, false}) {
        for (size_t i = first_of_service[s]; i < first_of_service[s] + count;
             ++i) {
          if ((endpoints_[i]->zone_ == entry->zone_) != own) {
            continue;
          }
          request::EndpointView endpoint;
          endpoint.endpoint_.set_id(std::to_string(i));
          endpoint.endpoint_.set_slots(options_.services_[s].slots_);
          // Long known, so that it gets its whole share at once.
          endpoint.stats_ = std::make_shared<request::EndpointStats>(
              now_ - std::chrono::minutes(1));
          view.endpoints_.push_back(std::move(endpoint));
          view.own_zone_count_ += own ? 1 : 0;
        }
      }
      entry->services_.push_back(std::move(view));
    }
    entries_.push_back(std::move(entry));
  }
}

OverloadModel::~OverloadModel() = default;

void OverloadModel::At(base::MonoTime time, std::function<void()> action) {
  agenda_.emplace(time, std::move(action));
}

void OverloadModel::After(base::Duration time, std::function<void()> action) {
  At(now_ + time, std::move(action));
}

base::Duration OverloadModel::HopTime(size_t entry, size_t endpoint) const {
  return entries_[entry]->zone_ == endpoints_[endpoint]->zone_
             ? kHopInZone
             : kHopBetweenZones;
}

base::Duration OverloadModel::WorkTime(const ModelKind& kind, double speed) {
  std::lognormal_distribution<double> factor(-kind.spread_ * kind.spread_ / 2.0,
                                             kind.spread_);
  const double mean = static_cast<double>(kind.work_.count()) / speed;
  return base::Duration(static_cast<int64_t>(mean * factor(random_.Engine())) +
                        1);
}

bool OverloadModel::Counts(const Request& request) const {
  return request.began_ >= began_ + options_.warm_up_;
}

void OverloadModel::ScheduleArrivals(size_t kind, int zone) {
  const double rate =
      options_.kinds_[kind].per_second_[static_cast<size_t>(zone)];
  if (rate <= 0.0 || now_ >= began_ + options_.length_) {
    return;
  }
  std::exponential_distribution<double> gap(rate);
  After(base::Duration(static_cast<int64_t>(gap(random_.Engine()) * 1e6) + 1),
        [this, kind, zone] {
          const size_t entry = static_cast<size_t>(zone) +
                               static_cast<size_t>(options_.zones_) *
                                   random_.Below(static_cast<uint64_t>(
                                       options_.entries_per_zone_));
          Start(kind, entry, base::MonoTime::max(), nullptr);
          ScheduleArrivals(kind, zone);
        });
}

void OverloadModel::Start(size_t kind,
                          size_t entry,
                          base::MonoTime latest,
                          std::function<void(bool)> done) {
  const ModelKind& info = options_.kinds_[kind];
  const RequestPtr request = std::make_shared<Request>();
  request->kind_ = kind;
  request->entry_ = entry;
  request->began_ = now_;
  request->try_began_ = now_;
  request->objective_ = now_ + info.objective_;
  request->deadline_ = std::min(now_ + info.deadline_, latest);
  request->returns_left_ = info.returns_;
  request->done_ = std::move(done);
  reports_[kind].asked_ += Counts(*request) ? 1 : 0;
  At(request->deadline_, [this, request] {
    if (!request->over_) {
      reports_[request->kind_].failed_ += Counts(*request) ? 1 : 0;
      Finish(request, false);
    }
  });
  Try(request);
}

void OverloadModel::Try(const RequestPtr& request) {
  if (request->over_) {
    return;
  }
  const ModelKind& kind = options_.kinds_[request->kind_];
  const request::VersionView& view =
      entries_[request->entry_]->services_[kind.service_];
  const request::EndpointView* picked = request::PickEndpoint(
      view, {request->tried_, kind.large_, request->Rank(kind)}, now_, random_);
  if (picked == nullptr) {
    Refuse(request);
    return;
  }
  picked->stats_->Begin();
  request->tried_.push_back(picked->endpoint_.id());
  const size_t endpoint = std::stoul(picked->endpoint_.id());
  After(HopTime(request->entry_, endpoint),
        [this, request, endpoint] { Deliver(request, endpoint); });
}

void OverloadModel::Deliver(const RequestPtr& request, size_t endpoint) {
  const ModelKind& kind = options_.kinds_[request->kind_];
  Endpoint& target = *endpoints_[endpoint];
  request->ticket_ = next_ticket_++;
  const request::AdmissionVerdict verdict = target.admission_.Enter(
      {request->ticket_, entries_[request->entry_]->host_, kind.priority_,
       request->done_ != nullptr, request->objective_, request->deadline_,
       kind.name_},
      now_);
  if (verdict == request::AdmissionVerdict::kAdmitted) {
    Admitted(request, endpoint);
  } else if (verdict == request::AdmissionVerdict::kRefused) {
    TurnedAway(request, endpoint);
  } else {
    target.waiting_[request->ticket_] = request;
    Release(endpoint);
  }
}

void OverloadModel::Release(size_t endpoint) {
  Endpoint& target = *endpoints_[endpoint];
  for (const request::AdmissionQueue::Decision& released :
       target.admission_.TakeDecisions(now_)) {
    const auto found = target.waiting_.find(released.ticket_);
    const RequestPtr request = found->second;
    target.waiting_.erase(found);
    if (released.admitted_) {
      Admitted(request, endpoint);
    } else {
      TurnedAway(request, endpoint);
    }
  }
}

void OverloadModel::Admitted(const RequestPtr& request, size_t endpoint) {
  const ModelKind& kind = options_.kinds_[request->kind_];
  request->admitted_ = now_;
  // An upstream stops at the deadline.
  const base::Duration work =
      std::min(WorkTime(kind, endpoints_[endpoint]->speed_),
               std::max(request->deadline_ - now_, base::Duration(0)));
  const bool calls =
      kind.calls_kind_ >= 0 && random_.Unit() < kind.calls_share_;
  After(work, [this, request, endpoint, calls] {
    if (!calls || request->over_) {
      WorkDone(request, endpoint, !request->over_);
      return;
    }
    // The call enters at the daemon beside the endpoint.
    const int zone = endpoints_[endpoint]->zone_;
    const size_t entry =
        static_cast<size_t>(zone) +
        static_cast<size_t>(options_.zones_) *
            (endpoint % static_cast<size_t>(options_.entries_per_zone_));
    Start(static_cast<size_t>(options_.kinds_[request->kind_].calls_kind_),
          entry, request->deadline_, [this, request, endpoint](bool ok) {
            WorkDone(request, endpoint, ok);
          });
  });
}

void OverloadModel::WorkDone(const RequestPtr& request,
                             size_t endpoint,
                             bool ok) {
  Endpoint& target = *endpoints_[endpoint];
  target.admission_.Leave(request->ticket_, now_ - request->admitted_, !ok,
                          now_);
  Release(endpoint);
  const uint32_t load = target.Load();
  After(HopTime(request->entry_, endpoint), [this, request, endpoint, ok,
                                             load] {
    const ModelKind& kind = options_.kinds_[request->kind_];
    for (const request::EndpointView& view :
         entries_[request->entry_]->services_[kind.service_].endpoints_) {
      if (view.endpoint_.id() == std::to_string(endpoint)) {
        view.stats_->End(now_ - request->try_began_, !ok, now_);
        view.stats_->SetReportedLoad(load, now_);
      }
    }
    if (request->over_) {
      return;
    }
    KindReport& report = reports_[request->kind_];
    if (Counts(*request)) {
      const bool in_time =
          now_ <= request->began_ + options_.kinds_[request->kind_].objective_;
      report.in_time_ += ok && in_time ? 1 : 0;
      report.late_ += ok && !in_time ? 1 : 0;
      report.failed_ += ok ? 0 : 1;
    }
    Finish(request, ok);
  });
}

void OverloadModel::TurnedAway(const RequestPtr& request, size_t endpoint) {
  const uint32_t load = endpoints_[endpoint]->Load();
  After(HopTime(request->entry_, endpoint), [this, request, endpoint, load] {
    const ModelKind& kind = options_.kinds_[request->kind_];
    for (const request::EndpointView& view :
         entries_[request->entry_]->services_[kind.service_].endpoints_) {
      if (view.endpoint_.id() == std::to_string(endpoint)) {
        view.stats_->End(base::Duration(0), /*failed=*/true, now_);
        view.stats_->SetReportedLoad(load, now_);
        view.stats_->MarkFull(now_ + kFullTime, request->Rank(kind), now_);
      }
    }
    request::RetryContext context;
    context.attempts_ = static_cast<int>(request->tried_.size());
    context.time_left_ = request->deadline_ - now_;
    request::AttemptOutcome outcome;
    outcome.code_ = ResultCode::kEndpointOverloaded;
    outcome.not_run_ = true;
    if (request::IsRetryable(outcome, context)) {
      Try(request);
    } else {
      Refuse(request);
    }
  });
}

void OverloadModel::Refuse(const RequestPtr& request) {
  if (request->over_) {
    return;
  }
  KindReport& report = reports_[request->kind_];
  report.slowest_refusal_ =
      std::max(report.slowest_refusal_, now_ - request->try_began_);
  const base::Duration pause =
      request::RetryAfterDelay(ResultCode::kEndpointOverloaded, random_);
  // Callers wait a third of their time at most.
  const bool returns =
      request->returns_left_ > 0 && pause * 3 <= request->deadline_ - now_;
  if (!returns) {
    report.refused_ += Counts(*request) ? 1 : 0;
    Finish(request, false);
    return;
  }
  --request->returns_left_;
  request->tried_.clear();
  After(pause, [this, request] {
    request->try_began_ = now_;
    Try(request);
  });
}

void OverloadModel::Finish(const RequestPtr& request, bool ok) {
  request->over_ = true;
  if (request->done_) {
    std::exchange(request->done_, nullptr)(ok);
  }
}

std::vector<KindReport> OverloadModel::Run() {
  for (size_t kind = 0; kind < options_.kinds_.size(); ++kind) {
    for (size_t zone = 0; zone < options_.kinds_[kind].per_second_.size();
         ++zone) {
      ScheduleArrivals(kind, static_cast<int>(zone));
    }
  }
  while (!agenda_.empty()) {
    const auto next = agenda_.begin();
    now_ = next->first;
    const std::function<void()> action = std::move(next->second);
    agenda_.erase(next);
    action();
  }
  return reports_;
}

}  // namespace buckthorngate::benchmark
