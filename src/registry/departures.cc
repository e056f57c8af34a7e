// The list of departures, its order and its bounds.
#include "registry/departures.h"

#include <algorithm>
#include <limits>

namespace buckthorngate::registry {
namespace {

// Whether `offered` says more than `stored`, a departure of the same instance.
bool Supersedes(const rpc::Departure& offered, const rpc::Departure& stored) {
  return std::make_tuple(offered.started_ms(), offered.left()) >
         std::make_tuple(stored.started_ms(), stored.left());
}

}  // namespace

bool Departures::Record(const rpc::Departure& departure) {
  const auto [found, added] = entries_.try_emplace(KeyOf(departure), departure);
  if (!added) {
    if (!Supersedes(departure, found->second)) {
      return false;
    }
    found->second = departure;
  }
  if (entries_.size() > kMaxDepartures) {
    DropFirstToExpire();
  }
  return true;
}

const rpc::Departure* Departures::Find(const std::string& host,
                                       const std::string& instance,
                                       int64_t started_ms) const {
  const rpc::Departure* of_this = Lookup({host, instance, started_ms});
  const rpc::Departure* latest = Lookup({host, instance, 0});
  if (latest == nullptr || started_ms > latest->started_ms()) {
    return of_this;
  }
  return of_this != nullptr && of_this->left() ? of_this : latest;
}

Departures::Key Departures::KeyOf(const rpc::Departure& departure) {
  return {departure.host(), departure.instance(),
          departure.only_this_start() ? departure.started_ms() : 0};
}

const rpc::Departure* Departures::Lookup(const Key& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<rpc::Departure> Departures::All() const {
  std::vector<rpc::Departure> all;
  for (const auto& [key, departure] : entries_) {
    all.push_back(departure);
  }
  return all;
}

std::vector<rpc::Departure> Departures::OfHost(const std::string& host) const {
  std::vector<rpc::Departure> of_host;
  const Key first = {host, std::string(), std::numeric_limits<int64_t>::min()};
  for (auto found = entries_.lower_bound(first);
       found != entries_.end() && found->second.host() == host; ++found) {
    of_host.push_back(found->second);
  }
  return of_host;
}

void Departures::Expire(base::WallTime now) {
  const int64_t now_ms = base::ToUnixMs(now);
  std::erase_if(entries_, [now_ms](const auto& item) {
    return item.second.expires_ms() <= now_ms;
  });
}

void Departures::DropFirstToExpire() {
  const auto first = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return a.second.expires_ms() < b.second.expires_ms();
      });
  entries_.erase(first);
}

}  // namespace buckthorngate::registry
