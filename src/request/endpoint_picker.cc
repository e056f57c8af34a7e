// Version and endpoint choice.
#include "request/endpoint_picker.h"

#include <algorithm>

#include "base/hash.h"
#include "config/publication.h"

namespace buckthorngate::request {
namespace {

constexpr uint64_t kPermille = 1000;
// Latency assumed for an endpoint that has not been called yet.
constexpr double kUnknownLatencyUs = 1000.0;
constexpr double kMinWarmUp = 0.1;

double WarmUpFactor(const EndpointStats& stats, base::MonoTime now) {
  const double age = static_cast<double>((now - stats.Created()).count());
  return std::clamp(age / static_cast<double>(kWarmUp.count()), kMinWarmUp,
                    1.0);
}

// Expected wait: lower is better.
double Score(const EndpointView& endpoint, base::MonoTime now) {
  const EndpointStats& stats = *endpoint.stats_;
  const double slots = std::max<uint32_t>(endpoint.endpoint_.slots(), 1);
  const double latency = stats.Latency().count() > 0
                             ? static_cast<double>(stats.Latency().count())
                             : kUnknownLatencyUs;
  return (stats.InFlight() + 1) / slots * latency / WarmUpFactor(stats, now);
}

bool WasTried(const std::vector<std::string>& tried, const std::string& id) {
  return std::find(tried.begin(), tried.end(), id) != tried.end();
}

bool OwnZoneIsFull(const VersionView& version) {
  double in_flight = 0.0;
  double slots = 0.0;
  for (size_t i = 0; i < version.own_zone_; ++i) {
    in_flight += version.endpoints_[i].stats_->InFlight();
    slots += version.endpoints_[i].endpoint_.slots();
  }
  return in_flight >= kSpillLoad * slots;
}

// Candidates in [first, last) that can be used now.
const EndpointView* PickAmong(const VersionView& version,
                              size_t first,
                              size_t last,
                              const std::vector<std::string>& tried,
                              bool allow_ejected,
                              base::MonoTime now,
                              base::Random& random) {
  // Two draws suffice in the common case; the scan is for when many
  // candidates are excluded.
  const EndpointView* best = nullptr;
  constexpr int kDraws = 2;
  const auto usable = [&](const EndpointView& endpoint) {
    return !WasTried(tried, endpoint.endpoint_.id()) &&
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

std::string PickVersion(const rpc::ServiceState& service,
                        std::string_view request_id,
                        bool braked) {
  const rpc::Move& move = service.move();
  const bool moving = service.has_move() && move.share_permille() > 0 &&
                      (move.phase() == rpc::MOVE_PHASE_CANARY ||
                       move.phase() == rpc::MOVE_PHASE_RAMPING ||
                       move.phase() == rpc::MOVE_PHASE_DONE);
  if (!moving) {
    return config::VersionInForce(service);
  }
  if (braked) {
    return move.from();
  }
  // The service's name in the seed decorrelates the services of one request.
  const uint64_t draw =
      base::Hash(request_id, base::Hash(service.service().name())) % kPermille;
  return draw < move.share_permille() ? move.to() : move.from();
}

const EndpointView* PickEndpoint(const VersionView& version,
                                 const std::vector<std::string>& tried,
                                 base::MonoTime now,
                                 base::Random& random) {
  const size_t own = version.own_zone_;
  const size_t all = version.endpoints_.size();
  if (own > 0 && !OwnZoneIsFull(version)) {
    const EndpointView* near =
        PickAmong(version, 0, own, tried, false, now, random);
    if (near != nullptr) {
      return near;
    }
  }
  const EndpointView* any =
      PickAmong(version, 0, all, tried, false, now, random);
  return any != nullptr ? any
                        : PickAmong(version, 0, all, tried, true, now, random);
}

}  // namespace buckthorngate::request
