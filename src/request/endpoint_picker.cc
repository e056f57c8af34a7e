// Endpoint choice.
#include "request/endpoint_picker.h"

#include <algorithm>

namespace buckthorngate::request {
namespace {

// Latency assumed for an endpoint that has not been called yet.
constexpr double kUnknownLatencyUs = 1000.0;
constexpr double kMinWarmUp = 0.1;
// Slower than the mean of the others by this factor is sluggish; endpoints of
// one service differ by less.
constexpr double kSluggishFactor = 2.5;
constexpr base::Duration kSluggishMemory = std::chrono::seconds(2);
// With this load all slots are taken.
constexpr double kFullLoad = 1.0;

double WarmUpFactor(const EndpointStats& stats, base::MonoTime now) {
  const double age = static_cast<double>((now - stats.Created()).count());
  return std::clamp(age / static_cast<double>(kWarmUp.count()), kMinWarmUp,
                    1.0);
}

// Requests per slot at the endpoint with this one, in units of a warm endpoint.
// A slow endpoint shows by the requests that pile up there.
double Load(const EndpointView& endpoint, base::MonoTime now) {
  const EndpointStats& stats = *endpoint.stats_;
  const double slots = std::max<uint32_t>(endpoint.endpoint_.slots(), 1);
  return (stats.Load(now) + 1) / slots / WarmUpFactor(stats, now);
}

// Lower is better: the load, and the latency as far as it is known.
double Score(const EndpointView& endpoint, base::MonoTime now) {
  const EndpointStats& stats = *endpoint.stats_;
  const double latency = stats.Latency().count() > 0
                             ? static_cast<double>(stats.Latency().count())
                             : kUnknownLatencyUs;
  return Load(endpoint, now) * latency;
}

bool WasTried(const std::vector<std::string>& tried, const std::string& id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

// Which endpoints a pick may take.
enum class Care : uint8_t { kNotSluggish, kNotEjected, kAny };

struct Pick {
  const VersionView& version_;
  const PickOptions& options_;
  const base::MonoTime now_;
  // Latencies of the version's endpoints, as far as they are known.
  double latency_sum_us_ = 0.0;
  int latencies_ = 0;
};

Pick MakePick(const VersionView& version,
              const PickOptions& options,
              base::MonoTime now) {
  Pick pick{version, options, now};
  for (const EndpointView& endpoint : version.endpoints_) {
    const base::Duration latency = endpoint.stats_->Latency();
    if (latency.count() > 0) {
      pick.latency_sum_us_ += static_cast<double>(latency.count());
      ++pick.latencies_;
    }
  }
  return pick;
}

// Whether an endpoint has lately been much slower than its siblings. Once its
// latency is old news, it is tried again.
bool Sluggish(const EndpointView& endpoint, const Pick& pick) {
  const EndpointStats& stats = *endpoint.stats_;
  const double own = static_cast<double>(stats.Latency().count());
  if (pick.latencies_ < 2 || own <= 0.0) {
    return false;
  }
  const double others = (pick.latency_sum_us_ - own) / (pick.latencies_ - 1);
  return own > kSluggishFactor * others &&
         stats.LatencyAge(pick.now_) < kSluggishMemory;
}

bool Usable(const EndpointView& endpoint, const Pick& pick, Care care) {
  const EndpointStats& stats = *endpoint.stats_;
  return !WasTried(pick.options_.tried_, endpoint.endpoint_.id()) &&
         !stats.Full(pick.now_, pick.options_.rank_) &&
         (care == Care::kAny || !stats.Ejected(pick.now_)) &&
         (care != Care::kNotSluggish || !Sluggish(endpoint, pick));
}

// The better of two drawn endpoints in [first, last), or the best of all if
// neither can be used; null if none can.
const EndpointView* PickAmong(const Pick& pick,
                              size_t first,
                              size_t last,
                              Care care,
                              base::Random& random) {
  const EndpointView* best = nullptr;
  constexpr int kDraws = 2;
  const auto consider = [&](const EndpointView& endpoint) {
    const bool better = Usable(endpoint, pick, care) &&
                        (best == nullptr ||
                         Score(endpoint, pick.now_) < Score(*best, pick.now_));
    if (better) {
      best = &endpoint;
    }
  };
  if (first >= last) {
    return nullptr;
  }
  for (int draw = 0; draw < kDraws; ++draw) {
    consider(pick.version_.endpoints_[first + random.Below(last - first)]);
  }
  for (size_t i = first; best == nullptr && i < last; ++i) {
    consider(pick.version_.endpoints_[i]);
  }
  return best;
}

// Near ones first, by load.
const EndpointView* PickByZone(const Pick& pick,
                               Care care,
                               base::Random& random) {
  const bool large = pick.options_.large_answer_;
  const double spill_load = large ? kLargeSpillLoad : kSpillLoad;
  const double spill_gain = large ? kLargeSpillGain : kSpillGain;
  const size_t own = pick.version_.own_zone_count_;
  const size_t all = pick.version_.endpoints_.size();
  const EndpointView* near = PickAmong(pick, 0, own, care, random);
  if (near != nullptr && Load(*near, pick.now_) < spill_load) {
    return near;
  }
  const EndpointView* far = PickAmong(pick, own, all, care, random);
  if (near != nullptr && far != nullptr) {
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
  const Pick pick = MakePick(version, options, now);
  for (const Care care : {Care::kNotSluggish, Care::kNotEjected, Care::kAny}) {
    const EndpointView* picked = PickByZone(pick, care, random);
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
