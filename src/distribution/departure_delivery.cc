// Resends of departures, and which of them relays have stored.
#include "distribution/departure_delivery.h"

#include <algorithm>
#include <utility>

#include "registry/departures.h"

namespace buckthorngate::distribution {
namespace {

// An upstream waits for the acknowledgement.
constexpr base::Duration kResendInterval = std::chrono::milliseconds(250);
// A majority has it; the others may be lost.
constexpr base::Duration kSpreadInterval = std::chrono::seconds(2);

bool IsSame(const rpc::Departure& a, const rpc::Departure& b) {
  return a.instance() == b.instance() && a.started_ms() == b.started_ms() &&
         a.left() == b.left() && a.only_this_start() == b.only_this_start();
}

int64_t ExpiryFrom(const base::Now& now) {
  return base::ToUnixMs(now.wall_ + registry::kDepartureLifetime);
}

}  // namespace

size_t DepartureDelivery::Entry::StoredBy(
    const std::vector<std::string>& relays) const {
  return static_cast<size_t>(std::count_if(
      relays.begin(), relays.end(),
      [this](const std::string& relay) { return stored_by_.contains(relay); }));
}

bool DepartureDelivery::Entry::HasMajority(
    const std::vector<std::string>& relays) const {
  return StoredBy(relays) >= MajorityOf(relays.size());
}

void DepartureDelivery::Add(rpc::Departure departure, const base::Now& now) {
  if (entries_.size() >= registry::kMaxDepartures) {
    return;
  }
  departure.set_expires_ms(ExpiryFrom(now));
  Entry& entry = entries_.emplace_back();
  entry.departure_ = std::move(departure);
  entry.next_send_ = now.mono_;
}

void DepartureDelivery::Send(const std::string& self,
                             const std::vector<std::string>& relays,
                             const base::Now& now,
                             base::Outbox& outbox) {
  if (entries_.empty()) {
    return;
  }
  DropDelivered(relays, now);
  for (Entry& entry : entries_) {
    if (now.mono_ < entry.next_send_) {
      continue;
    }
    const bool majority = entry.HasMajority(relays);
    if (!majority) {
      // Its lifetime counts from when it can be acknowledged.
      entry.departure_.set_expires_ms(ExpiryFrom(now));
    }
    entry.next_send_ =
        now.mono_ + (majority ? kSpreadInterval : kResendInterval);
    for (const std::string& relay : relays) {
      if (!entry.stored_by_.contains(relay)) {
        *outbox.Add(self, relay).mutable_departure() = entry.departure_;
      }
    }
  }
}

DepartureDelivery::Entry* DepartureDelivery::Find(
    const rpc::Departure& departure) {
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&departure](const Entry& entry) {
                                    return IsSame(entry.departure_, departure);
                                  });
  return found == entries_.end() ? nullptr : &*found;
}

void DepartureDelivery::OnStored(const std::string& relay,
                                 const rpc::Departure& stored) {
  Entry* entry = Find(stored);
  if (entry != nullptr) {
    entry->stored_by_.insert(relay);
  }
}

void DepartureDelivery::OnReported(const std::string& relay,
                                   const rpc::Departure& reported,
                                   const base::Now& now) {
  if (Find(reported) == nullptr) {
    Add(reported, now);
  }
  OnStored(relay, reported);
}

void DepartureDelivery::DropDelivered(const std::vector<std::string>& relays,
                                      const base::Now& now) {
  const int64_t now_ms = base::ToUnixMs(now.wall_);
  std::erase_if(entries_, [&](const Entry& entry) {
    const bool expired = entry.departure_.expires_ms() <= now_ms;
    return entry.HasMajority(relays) &&
           (expired || entry.StoredBy(relays) == relays.size());
  });
}

bool DepartureDelivery::Stored(const std::string& instance,
                               const std::vector<std::string>& relays) const {
  return entries_.size() < registry::kMaxDepartures &&
         std::all_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
           return entry.departure_.instance() != instance ||
                  entry.HasMajority(relays);
         });
}

size_t DepartureDelivery::StoredBy(
    const std::string& instance,
    const std::vector<std::string>& relays) const {
  size_t fewest = relays.size();
  for (const Entry& entry : entries_) {
    if (entry.departure_.instance() == instance) {
      fewest = std::min(fewest, entry.StoredBy(relays));
    }
  }
  return fewest;
}

}  // namespace buckthorngate::distribution
