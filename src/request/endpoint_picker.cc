// Endpoint choice.
#include "request/endpoint_picker.h"

#include <algorithm>
#include <cmath>

namespace buckthorngate::request {
namespace {

// Latency assumed for an endpoint that has not been called yet.
constexpr double kUnknownLatencyUs = 1000.0;
constexpr double kMinWarmUp = 0.1;
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
  return Load(endpoint, now) * std::sqrt(latency);
}

bool WasTried(const std::vector<std::string>& tried, const std::string& id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

// Candidates in [first, last) that can be used now.
const EndpointView* PickAmong(const VersionView& version,
                              size_t first,
                              size_t last,
                              const PickOptions& options,
                              bool allow_ejected,
                              base::MonoTime now,
                              base::Random& random) {
  // Two draws suffice in the common case; the scan is for when many
  // candidates are excluded.
  const EndpointView* best = nullptr;
  constexpr int kDraws = 2;
  const auto usable = [&](const EndpointView& endpoint) {
    return !WasTried(options.tried_, endpoint.endpoint_.id()) &&
           !endpoint.stats_->Full(now, options.rank_) &&
           (allow_ejected || !endpoint.stats_->Ejected(now));
  };
  if (first >= last) {
    return nullptr;
  }
  for (int draw = 0; draw < kDraws; ++draw) {
    const EndpointView& endpoint =
        version.endpoints_[first + random.Below(last - first)];
    const bool better =
        usable(endpoint) &&
        (best == nullptr || Score(endpoint, now) < Score(*best, now));
    if (better) {
      best = &endpoint;
    }
  }
  if (best != nullptr) {
    return best;
  }
  for (size_t i = first; i < last; ++i) {
    const EndpointView& endpoint = version.endpoints_[i];
    const bool better =
        usable(endpoint) &&
        (best == nullptr || Score(endpoint, now) < Score(*best, now));
    if (better) {
      best = &endpoint;
    }
  }
  return best;
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
  const double spill_load =
      options.large_answer_ ? kLargeSpillLoad : kSpillLoad;
  const double spill_gain =
      options.large_answer_ ? kLargeSpillGain : kSpillGain;
  const size_t own = version.own_zone_;
  const size_t all = version.endpoints_.size();
  const EndpointView* near =
      PickAmong(version, 0, own, options, false, now, random);
  if (near != nullptr && Load(*near, now) < spill_load) {
    return near;
  }
  const EndpointView* far =
      PickAmong(version, own, all, options, false, now, random);
  if (near != nullptr && far != nullptr) {
    return Load(*far, now) + spill_gain < Load(*near, now) ? far : near;
  }
  const EndpointView* any = near != nullptr ? near : far;
  return any != nullptr
             ? any
             : PickAmong(version, 0, all, options, true, now, random);
}

PickedEndpoint PickOfTwo(const VersionView* first,
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
