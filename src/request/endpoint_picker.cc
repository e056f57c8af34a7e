// Load balancing between endpoints.
#include "request/endpoint_picker.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

// Latency assumed for an endpoint that has not been called yet.
constexpr double kDefaultLatencyUs = 1000.0;
// Share of its full weight that a new endpoint starts with.
constexpr double kMinWarmUpFactor = 0.1;
// An endpoint whose latency exceeds the mean of the others by this factor is an
// outlier; healthy endpoints of one service differ by less.
constexpr double kOutlierFactor = 2.5;
// Latency measurements older than this no longer make an endpoint an outlier.
constexpr base::Duration kOutlierLifetime = std::chrono::seconds(2);
// Least weight of an endpoint whose link is full, so that it is tried again.
constexpr double kMinLinkRoom = 0.05;
// Requests per slot at which all slots are occupied.
constexpr double kFullLoad = 1.0;

// Weight of an endpoint, which rises to 1 over kWarmUp.
double WarmUpFactor(const EndpointStats& stats, base::MonoTime now) {
  const double age = static_cast<double>((now - stats.Created()).count());
  return std::clamp(age / static_cast<double>(kWarmUp.count()),
                    kMinWarmUpFactor, 1.0);
}

// Requests per slot at the endpoint if it gets this one, divided by its warm-up
// factor. A slow endpoint has a high load because requests pile up there.
double Load(const EndpointView& endpoint, base::MonoTime now) {
  const EndpointStats& stats = *endpoint.stats_;
  const double slots = std::max<uint32_t>(endpoint.endpoint_.slots(), 1);
  return (stats.Load(now) + 1) / slots / WarmUpFactor(stats, now);
}

// Speed of an endpoint relative to the others; an unknown one counts as usual,
// so that it is tried.
double Speed(const EndpointStats& stats) {
  return stats.Slowness() > 0.0 ? 1.0 / stats.Slowness() : 1.0;
}

// Share of the requests that an endpoint is drawn for: what it can serve. Large
// bodies are drawn to where its host's link has room.
double Weight(const EndpointView& endpoint, bool large, base::MonoTime now) {
  const EndpointStats& stats = *endpoint.stats_;
  const double slots = std::max<uint32_t>(endpoint.endpoint_.slots(), 1);
  const double link =
      large ? std::max(1.0 - stats.LinkUse(now), kMinLinkRoom) : 1.0;
  return slots * Speed(stats) * WarmUpFactor(stats, now) * link;
}

// Cost of an endpoint: its load times its latency, or times the root of its
// slowness if speeds are known. Lower is better.
double Score(const EndpointView& endpoint,
             bool speeds_known,
             bool large,
             base::MonoTime now) {
  const EndpointStats& stats = *endpoint.stats_;
  if (speeds_known) {
    // Endpoints are drawn by their speed already; the root prefers the faster
    // one of two with the same load. Of slots and link, the scarcer one counts.
    const double slots = Load(endpoint, now) / std::sqrt(Speed(stats));
    return large ? std::max(slots, stats.LinkUse(now)) : slots;
  }
  const double latency = stats.Latency().count() > 0
                             ? static_cast<double>(stats.Latency().count())
                             : kDefaultLatencyUs;
  return Load(endpoint, now) * latency;
}

bool WasTried(const std::vector<std::string>& tried, const std::string& id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

// Which endpoints may be picked, in order of preference.
enum class Eligibility : uint8_t { kNoOutlier, kNotEjected, kAny };

// Input of one pick.
struct PickContext {
  const VersionView& version_;
  const PickOptions& options_;
  const base::MonoTime now_;
  // Sum and number of the known latencies of the version's endpoints.
  double latency_sum_us_ = 0.0;
  int latency_count_ = 0;
  // The speed of at least one endpoint is known.
  bool speeds_known_ = false;
};

PickContext MakePickContext(const VersionView& version,
                            const PickOptions& options,
                            base::MonoTime now) {
  PickContext pick{version, options, now};
  for (const EndpointView& endpoint : version.endpoints_) {
    pick.speeds_known_ =
        pick.speeds_known_ || endpoint.stats_->Slowness() > 0.0;
    const base::Duration latency = endpoint.stats_->Latency();
    if (latency.count() > 0) {
      pick.latency_sum_us_ += static_cast<double>(latency.count());
      ++pick.latency_count_;
    }
  }
  return pick;
}

// Whether the endpoint has recently been much slower than the others of the
// version. After kOutlierLifetime without a new latency it is tried again.
bool IsLatencyOutlier(const EndpointView& endpoint, const PickContext& pick) {
  const EndpointStats& stats = *endpoint.stats_;
  const double own = static_cast<double>(stats.Latency().count());
  if (pick.latency_count_ < 2 || own <= 0.0) {
    return false;
  }
  const double others =
      (pick.latency_sum_us_ - own) / (pick.latency_count_ - 1);
  return own > kOutlierFactor * others &&
         stats.LatencyAge(pick.now_) < kOutlierLifetime;
}

bool IsEligible(const EndpointView& endpoint,
                const PickContext& pick,
                Eligibility eligibility) {
  const EndpointStats& stats = *endpoint.stats_;
  return !WasTried(pick.options_.tried_, endpoint.endpoint_.id()) &&
         !stats.Full(pick.now_, pick.options_.rank_) &&
         (eligibility == Eligibility::kAny ||
          (!stats.Ejected(pick.now_) && stats.HasColdRoom(pick.now_))) &&
         (eligibility != Eligibility::kNoOutlier ||
          !IsLatencyOutlier(endpoint, pick));
}

// Index of an endpoint of [first, last), which must not be empty. Drawn by
// weight, so that endpoints get what they can serve also where this daemon
// knows little of their present load: it sends few requests to each of them.
size_t Draw(const PickContext& pick,
            size_t first,
            size_t last,
            base::Random& random) {
  if (!pick.speeds_known_) {
    return first + random.Below(last - first);
  }
  double sum = 0.0;
  for (size_t i = first; i < last; ++i) {
    sum += Weight(pick.version_.endpoints_[i], pick.options_.large_transfer_,
                  pick.now_);
  }
  double drawn = random.Unit() * sum;
  for (size_t i = first; i + 1 < last; ++i) {
    drawn -= Weight(pick.version_.endpoints_[i], pick.options_.large_transfer_,
                    pick.now_);
    if (drawn < 0.0) {
      return i;
    }
  }
  return last - 1;
}

// The better of two endpoints drawn at random from [first, last), or the first
// eligible one if neither is eligible; null if no endpoint is.
const EndpointView* PickAmong(const PickContext& pick,
                              size_t first,
                              size_t last,
                              Eligibility eligibility,
                              base::Random& random) {
  const EndpointView* best = nullptr;
  const auto score = [&pick](const EndpointView& endpoint) {
    return Score(endpoint, pick.speeds_known_, pick.options_.large_transfer_,
                 pick.now_);
  };
  constexpr int kDraws = 2;
  const auto consider = [&](const EndpointView& endpoint) {
    const bool better = IsEligible(endpoint, pick, eligibility) &&
                        (best == nullptr || score(endpoint) < score(*best));
    if (better) {
      best = &endpoint;
    }
  };
  if (first >= last) {
    return nullptr;
  }
  for (int draw = 0; draw < kDraws; ++draw) {
    consider(pick.version_.endpoints_[Draw(pick, first, last, random)]);
  }
  for (size_t i = first; best == nullptr && i < last; ++i) {
    consider(pick.version_.endpoints_[i]);
  }
  return best;
}

// Prefers an endpoint of the own zone, unless its load exceeds the spill-over
// threshold and one of another zone has a clearly lower load.
const EndpointView* PickByZone(const PickContext& pick,
                               Eligibility eligibility,
                               base::Random& random) {
  const bool large = pick.options_.large_transfer_;
  const double spill_load = large ? kLargeSpillLoad : kSpillLoad;
  const double spill_gain = large ? kLargeSpillGain : kSpillGain;
  const size_t own = pick.version_.own_zone_count_;
  const size_t all = pick.version_.endpoints_.size();
  const EndpointView* near = PickAmong(pick, 0, own, eligibility, random);
  const double near_use =
      large && near != nullptr ? near->stats_->LinkUse(pick.now_) : 0.0;
  const bool link_busy = near_use >= kSpillLinkUse;
  if (near != nullptr && Load(*near, pick.now_) < spill_load && !link_busy) {
    return near;
  }
  const EndpointView* far = PickAmong(pick, own, all, eligibility, random);
  if (near != nullptr && far != nullptr) {
    if (link_busy &&
        far->stats_->LinkUse(pick.now_) + kSpillLinkGain < near_use) {
      return far;
    }
    return Load(*far, pick.now_) + spill_gain < Load(*near, pick.now_) ? far
                                                                       : near;
  }
  return near != nullptr ? near : far;
}

}  // namespace

bool AnyFull(const VersionView& version, uint32_t rank, base::MonoTime now) {
  return std::any_of(version.endpoints_.begin(), version.endpoints_.end(),
                     [now, rank](const EndpointView& endpoint) {
                       return endpoint.stats_->Full(now, rank);
                     });
}

const EndpointView* PickEndpoint(const VersionView& version,
                                 const PickOptions& options,
                                 base::MonoTime now,
                                 base::Random& random) {
  const PickContext pick = MakePickContext(version, options, now);
  for (const Eligibility eligibility :
       {Eligibility::kNoOutlier, Eligibility::kNotEjected, Eligibility::kAny}) {
    const EndpointView* picked = PickByZone(pick, eligibility, random);
    if (picked != nullptr) {
      return picked;
    }
  }
  return nullptr;
}

PickedEndpoint PickWithFallback(const VersionView* first,
                                const VersionView* fallback,
                                const PickOptions& options,
                                base::MonoTime now,
                                base::Random& random) {
  const auto pick = [&](const VersionView* version) {
    return version == nullptr ? nullptr
                              : PickEndpoint(*version, options, now, random);
  };
  const EndpointView* chosen = pick(first);
  if (chosen != nullptr && Load(*chosen, now) <= kFullLoad) {
    return {chosen, false};
  }
  const EndpointView* other = pick(fallback);
  const bool better =
      other != nullptr && (chosen == nullptr ||
                           Load(*other, now) + kSpillGain < Load(*chosen, now));
  return better ? PickedEndpoint{other, true} : PickedEndpoint{chosen, false};
}

}  // namespace buckthorngate::request
