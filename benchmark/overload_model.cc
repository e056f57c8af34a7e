// Model of services under load.
#include "overload_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "request/full_marks.h"
#include "request/link_schedule.h"
#include "request/retry.h"
#include "request/retry_after.h"
#include "request/work_estimator.h"

namespace buckthorngate::benchmark {
namespace {

constexpr base::Duration kHopInZone = std::chrono::microseconds(300);
// Head of a request or an answer, and a small body.
constexpr double kMessageBytes = 1000.0;
constexpr int kMaxWaits = 2;
constexpr base::Duration kFullTime = std::chrono::milliseconds(25);

}  // namespace

struct OverloadModel::Endpoint {
  int zone_ = 0;
  double speed_ = 1.0;
  request::AdmissionQueue admission_;
  std::map<uint64_t, RequestPtr> waiting_;

  // Null if the link is not limited.
  std::unique_ptr<request::LinkSchedule> link_;
  std::map<uint64_t, RequestPtr> asking_;
  base::MonoTime link_free_at_;

  const ModelService& service_;
  bool slow_ = false;
  uint64_t served_ = 0;

  Endpoint(const ModelService::Endpoint& endpoint,
           const ModelService& service,
           double queue_per_slot,
           std::unique_ptr<request::OverloadPolicy> policy)
      : zone_(endpoint.zone_),
        speed_(endpoint.speed_),
        admission_({service.slots_, queue_per_slot, /*adapts=*/false},
                   std::move(policy)),
        service_(service) {}
  double Speed() const {
    return slow_ ? speed_ / service_.slow_factor_ : speed_;
  }
  uint32_t Load() const {
    return static_cast<uint32_t>(admission_.Running() + admission_.Waiting());
  }
};

struct OverloadModel::Entry {
  int zone_ = 0;
  std::string host_;
  std::vector<request::VersionView> services_;
  request::FullMarks full_;
  request::WorkEstimator work_;
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
  int attempts_ = 0;
  int waits_ = 0;  // Of a nested call; see Entry::Call::AwaitRoom.
  uint64_t ticket_ = 0;
  std::vector<std::string> tried_;
  base::MonoTime admitted_;
  base::Duration work_{0};  // At speed 1; zero: drawn when it is admitted.
  double body_bytes_ = 0.0;
  uint64_t body_ticket_ = 0;
  // The endpoint whose run makes this call; -1: none.
  int parent_endpoint_ = -1;
  base::Duration room_{0};  // Least forecast of the refusals of this try.
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
      endpoints_.push_back(std::make_unique<Endpoint>(
          endpoint, service, options_.queue_per_slot_,
          options_.policy_ ? options_.policy_()
                           : request::MakeOverloadPolicy(
                                 request::OverloadPolicyKind::kPrecedence)));
      if (options_.link_bytes_per_second_ > 0.0) {
        endpoints_.back()->link_ = std::make_unique<request::LinkSchedule>(
            options_.link_bytes_per_second_);
      }
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
             : options_.hop_between_zones_;
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
  const ModelKind& info = options_.kinds_[kind];
  const double rate =
      info.per_second_[static_cast<size_t>(zone)] * info.max_load_;
  if (rate <= 0.0 || now_ >= began_ + options_.length_) {
    return;
  }
  std::exponential_distribution<double> gap(rate);
  After(base::Duration(static_cast<int64_t>(gap(random_.Engine()) * 1e6) + 1),
        [this, kind, zone] {
          const ModelKind& arriving = options_.kinds_[kind];
          if (arriving.wave_ && random_.Unit() * arriving.max_load_ >=
                                    arriving.wave_(zone, now_ - began_)) {
            ScheduleArrivals(kind, zone);
            return;
          }
          const size_t entry = static_cast<size_t>(zone) +
                               static_cast<size_t>(options_.zones_) *
                                   random_.Below(static_cast<uint64_t>(
                                       options_.entries_per_zone_));
          Start(kind, entry, base::MonoTime::max(), -1, nullptr);
          ScheduleArrivals(kind, zone);
        });
}

void OverloadModel::Start(size_t kind,
                          size_t entry,
                          base::MonoTime latest,
                          int parent_endpoint,
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
  request->parent_endpoint_ = parent_endpoint;
  if (info.body_bytes_ > 0.0) {
    std::lognormal_distribution<double> factor(
        -info.body_spread_ * info.body_spread_ / 2.0, info.body_spread_);
    request->body_bytes_ = info.body_bytes_ * factor(random_.Engine());
  }
  request->done_ = std::move(done);
  if (options_.records_arrivals_) {
    request->work_ = WorkTime(info, 1.0);
    if (request->done_ == nullptr) {
      arrivals_.push_back(
          {kind, entries_[entry]->zone_, now_ - began_, request->work_});
    }
  }
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
  std::vector<std::string> excluded = request->tried_;
  (void)entries_[request->entry_]->full_.Exclude(kind.name_, now_, excluded);
  const request::EndpointView* picked = request::PickEndpoint(
      view, {excluded, kind.large_, request->Rank(kind)}, now_, random_);
  if (picked == nullptr) {
    const bool waits = options_.marks_by_kind_ && request->done_ != nullptr &&
                       request->waits_ < kMaxWaits &&
                       request->attempts_ < request::kMaxRefusedAttempts &&
                       kFullTime * 4 <= request->deadline_ - now_;
    if (!waits) {
      Refuse(request);
      return;
    }
    ++request->waits_;
    request->tried_.clear();
    After(kFullTime, [this, request] { Try(request); });
    return;
  }
  ++request->attempts_;
  picked->stats_->Begin();
  request->tried_.push_back(picked->endpoint_.id());
  const size_t endpoint = std::stoul(picked->endpoint_.id());
  After(HopTime(request->entry_, endpoint),
        [this, request, endpoint] { Send(request, endpoint); });
}

base::Duration OverloadModel::PutOnLink(size_t endpoint, double bytes) {
  if (options_.link_bytes_per_second_ <= 0.0) {
    return base::Duration(0);
  }
  base::MonoTime& free_at = endpoints_[endpoint]->link_free_at_;
  free_at = std::max(free_at, now_) +
            base::Duration(static_cast<int64_t>(
                bytes / options_.link_bytes_per_second_ * 1e6));
  return free_at - now_;
}

double OverloadModel::LinkUse(size_t endpoint) const {
  const Endpoint& host = *endpoints_[endpoint];
  return host.link_ == nullptr ? 0.0 : host.link_->Use(now_);
}

void OverloadModel::Send(const RequestPtr& request, size_t endpoint) {
  const bool asks =
      options_.asks_for_bodies_ && endpoints_[endpoint]->link_ != nullptr &&
      request->body_bytes_ >= static_cast<double>(request::kMinAskedBytes);
  if (asks) {
    After(PutOnLink(endpoint, kMessageBytes),
          [this, request, endpoint] { AskForBody(request, endpoint); });
    return;
  }
  After(PutOnLink(endpoint, kMessageBytes + request->body_bytes_),
        [this, request, endpoint] { Deliver(request, endpoint); });
}

void OverloadModel::AskForBody(const RequestPtr& request, size_t endpoint) {
  const ModelKind& kind = options_.kinds_[request->kind_];
  Endpoint& target = *endpoints_[endpoint];
  request->ticket_ = next_ticket_++;
  request->body_ticket_ = request->ticket_;
  const bool no_slot = target.admission_.WouldRefuse(
      {request->ticket_, entries_[request->entry_]->host_, kind.priority_,
       request->done_ != nullptr, request->objective_, request->deadline_,
       kind.name_},
      now_);
  const request::LinkVerdict verdict =
      no_slot
          ? request::LinkVerdict::kRefused
          : target.link_->Enter({request->body_ticket_,
                                 static_cast<uint64_t>(request->body_bytes_),
                                 request->objective_, request->deadline_},
                                now_);
  if (verdict == request::LinkVerdict::kGranted) {
    SendBody(request, endpoint);
  } else if (verdict == request::LinkVerdict::kRefused) {
    TurnedAway(request, endpoint);
  } else {
    target.asking_[request->body_ticket_] = request;
  }
}

void OverloadModel::SendBody(const RequestPtr& request, size_t endpoint) {
  // The grant goes back before the body comes.
  After(HopTime(request->entry_, endpoint) * 2, [this, request, endpoint] {
    After(PutOnLink(endpoint, request->body_bytes_), [this, request, endpoint] {
      endpoints_[endpoint]->link_->Release(request->body_ticket_);
      TakeGrants(endpoint);
      Deliver(request, endpoint);
    });
  });
}

void OverloadModel::TakeGrants(size_t endpoint) {
  Endpoint& target = *endpoints_[endpoint];
  for (const request::LinkSchedule::Decision& decision :
       target.link_->TakeDecisions(now_)) {
    const RequestPtr request = target.asking_.at(decision.ticket_);
    target.asking_.erase(decision.ticket_);
    if (decision.granted_) {
      SendBody(request, endpoint);
    } else {
      TurnedAway(request, endpoint);
    }
  }
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
  const double speed = endpoints_[endpoint]->Speed();
  const base::Duration needed =
      request->work_.count() == 0
          ? WorkTime(kind, speed)
          : base::Duration(static_cast<int64_t>(
                static_cast<double>(request->work_.count()) / speed));
  const base::Duration work =
      std::min(needed, std::max(request->deadline_ - now_, base::Duration(0)));
  const bool calls =
      kind.calls_kind_ >= 0 && random_.Unit() < kind.calls_share_;
  After(work, [this, request, endpoint, calls] {
    if (!calls || request->over_) {
      WorkDone(request, endpoint, !request->over_);
      return;
    }
    MakeCalls(request, endpoint, options_.kinds_[request->kind_].calls_);
  });
}

void OverloadModel::MakeCalls(const RequestPtr& request,
                              size_t endpoint,
                              int left) {
  // The call enters at the daemon beside the endpoint.
  const int zone = endpoints_[endpoint]->zone_;
  const size_t entry =
      static_cast<size_t>(zone) +
      static_cast<size_t>(options_.zones_) *
          (endpoint % static_cast<size_t>(options_.entries_per_zone_));
  Start(static_cast<size_t>(options_.kinds_[request->kind_].calls_kind_), entry,
        request->deadline_, static_cast<int>(endpoint),
        [this, request, endpoint, left](bool ok) {
          if (ok && left > 1 && !request->over_) {
            MakeCalls(request, endpoint, left - 1);
          } else {
            WorkDone(request, endpoint, ok);
          }
        });
}

void OverloadModel::ScheduleSlowEpisodes(size_t endpoint) {
  const ModelService& service = endpoints_[endpoint]->service_;
  if (service.slow_share_ <= 0.0 || now_ >= began_ + options_.length_) {
    return;
  }
  const double episode = static_cast<double>(service.slow_episode_.count());
  const double normal =
      episode * (1.0 - service.slow_share_) / service.slow_share_;
  std::exponential_distribution<double> length(1.0 / normal);
  After(base::Duration(static_cast<int64_t>(length(random_.Engine()))),
        [this, endpoint] {
          endpoints_[endpoint]->slow_ = true;
          After(endpoints_[endpoint]->service_.slow_episode_, [this, endpoint] {
            endpoints_[endpoint]->slow_ = false;
            ScheduleSlowEpisodes(endpoint);
          });
        });
}

std::vector<uint64_t> OverloadModel::ServedByEndpoint() const {
  std::vector<uint64_t> served;
  for (const std::unique_ptr<Endpoint>& endpoint : endpoints_) {
    served.push_back(endpoint->served_);
  }
  return served;
}

double ValueOf(const ModelOptions& options,
               const std::vector<KindReport>& reports) {
  double value = 0.0;
  for (size_t kind = 0; kind < reports.size(); ++kind) {
    // Calls of other requests have no value of their own.
    if (options.kinds_[kind].per_second_.empty()) {
      continue;
    }
    const double answers =
        static_cast<double>(reports[kind].in_time_) +
        request::kLateValue * static_cast<double>(reports[kind].late_);
    value += request::PriorityWeight(options.kinds_[kind].priority_) * answers;
  }
  return value;
}

void OverloadModel::WorkDone(const RequestPtr& request,
                             size_t endpoint,
                             bool ok) {
  Endpoint& target = *endpoints_[endpoint];
  target.admission_.Leave(request->ticket_, now_ - request->admitted_, !ok,
                          now_);
  Release(endpoint);
  const uint32_t load = target.Load();
  const double link_use = LinkUse(endpoint);
  After(HopTime(request->entry_, endpoint),
        [this, request, endpoint, ok, load, link_use] {
          // The answer to a call arrives behind what its caller's host gets.
          const base::Duration queued =
              request->parent_endpoint_ < 0
                  ? base::Duration(0)
                  : PutOnLink(static_cast<size_t>(request->parent_endpoint_),
                              kMessageBytes);
          After(queued, [this, request, endpoint, ok, load, link_use] {
            Answered(request, endpoint, ok, load, link_use);
          });
        });
}

void OverloadModel::Answered(const RequestPtr& request,
                             size_t endpoint,
                             bool ok,
                             uint32_t load,
                             double link_use) {
  const ModelKind& kind = options_.kinds_[request->kind_];
  for (const request::EndpointView& view :
       entries_[request->entry_]->services_[kind.service_].endpoints_) {
    if (view.endpoint_.id() == std::to_string(endpoint)) {
      const base::Duration took = now_ - request->try_began_;
      view.stats_->End(took, !ok, now_);
      if (ok && options_.learns_speeds_) {
        request::WorkEstimator& work = entries_[request->entry_]->work_;
        work.Record(kind.name_, took, now_);
        view.stats_->RecordSlowness(
            static_cast<double>(took.count()) /
            static_cast<double>(work.Of(kind.name_, now_).mean_.count()));
      }
      view.stats_->SetReportedLoad(load, now_);
      view.stats_->SetLinkUse(link_use, now_);
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
    endpoints_[endpoint]->served_ += ok ? 1 : 0;
    const bool away =
        endpoints_[endpoint]->zone_ != entries_[request->entry_]->zone_;
    spilled_ += away && request->done_ == nullptr ? 1 : 0;
  }
  Finish(request, ok);
}

void OverloadModel::TurnedAway(const RequestPtr& request, size_t endpoint) {
  const uint32_t load = endpoints_[endpoint]->Load();
  const double link_use = LinkUse(endpoint);
  turned_away_ += Counts(*request) ? 1 : 0;
  const ModelKind& refused = options_.kinds_[request->kind_];
  const base::Duration room = endpoints_[endpoint]->admission_.ForecastRoom(
      {request->ticket_, entries_[request->entry_]->host_, refused.priority_,
       request->done_ != nullptr, request->objective_, request->deadline_,
       refused.name_},
      now_);
  request->room_ =
      request->room_.count() == 0 ? room : std::min(room, request->room_);
  After(HopTime(request->entry_, endpoint), [this, request, endpoint, load,
                                             room, link_use] {
    const ModelKind& kind = options_.kinds_[request->kind_];
    for (const request::EndpointView& view :
         entries_[request->entry_]->services_[kind.service_].endpoints_) {
      if (view.endpoint_.id() == std::to_string(endpoint)) {
        view.stats_->End(base::Duration(0), /*failed=*/true, now_);
        view.stats_->SetReportedLoad(load, now_);
        view.stats_->SetLinkUse(link_use, now_);
        if (options_.marks_by_kind_) {
          entries_[request->entry_]->full_.Mark(kind.name_, view.endpoint_.id(),
                                                room, now_);
        } else {
          view.stats_->MarkFull(now_ + kFullTime, request->Rank(kind), now_);
        }
      }
    }
    request::RetryContext context;
    context.attempts_ = request->attempts_;
    context.saves_parent_ =
        options_.marks_by_kind_ && request->done_ != nullptr;
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
  const ModelKind& kind = options_.kinds_[request->kind_];
  const base::Duration pause =
      request->room_.count() > 0
          ? request::RetryAfterForecast(request->room_, kind.priority_, random_)
          : request::RetryAfterDelay(ResultCode::kEndpointOverloaded, random_);
  request->room_ = base::Duration(0);
  // Callers wait a third of their time at most.
  const bool returns =
      request->returns_left_ > 0 && pause * 3 <= request->deadline_ - now_;
  if (!returns) {
    report.refused_ += Counts(*request) ? 1 : 0;
    Finish(request, false);
    return;
  }
  --request->returns_left_;
  request->attempts_ = 0;
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
  for (size_t endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
    ScheduleSlowEpisodes(endpoint);
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
